#include "testing/recorder.h"

#include <cerrno>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

#include "testing/internal/json.h"

namespace savoryrill::testing {

namespace {

std::int64_t
boottimeUs()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::int64_t{ time.tv_sec } * 1000000 + time.tv_nsec / 1000;
}

} // namespace

Result<std::unique_ptr<Recorder>>
Recorder::create(const std::string& aPath)
{
  int fd = -1;
  if (!aPath.empty()) {
    fd = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd < 0) {
      return fail(ErrorCode::InvalidArgument,
                  "cannot open the record file " + aPath + ": " + std::strerror(errno));
    }
  }
  return std::unique_ptr<Recorder>(new Recorder(fd));
}

Recorder::Recorder(int aFd)
  : mFd(aFd)
{
}

Recorder::~Recorder()
{
  if (mFd >= 0) {
    ::close(mFd);
  }
}

void
Recorder::write(std::string_view aKind, Json::Value aFields)
{
  aFields["t_us"] = Json::Int64(boottimeUs());
  aFields["kind"] = std::string(aKind);
  if (mFd < 0) {
    mKept.push_back(std::move(aFields));
    return;
  }
  const std::string line = toText(aFields) + "\n";
  // A short write to a regular file means a full disk; the checker sees the torn line.
  [[maybe_unused]] const ssize_t written = ::write(mFd, line.data(), line.size());
}

std::vector<Json::Value>
Recorder::kept(std::string_view aKind) const
{
  std::vector<Json::Value> found;
  for (const auto& record : mKept) {
    if (record["kind"].asString() == aKind) {
      found.push_back(record);
    }
  }
  return found;
}

} // namespace savoryrill::testing
