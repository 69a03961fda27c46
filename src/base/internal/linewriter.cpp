#include "base/linewriter.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace savoryrill {

namespace {

// POSIX: a pipe that polls as writable takes this much without blocking.
constexpr std::size_t kAtomicPipeBytes = 4096;

std::int64_t
steadyMs()
{
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return std::int64_t{ time.tv_sec } * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace

LineWriter::LineWriter(int aFd, Limits aLimits)
  : mFd(aFd)
  , mLimits(aLimits)
  , mAllowance(aLimits.bytesPerSecond)
  , mLastRefillMs(steadyMs())
{
}

bool
LineWriter::write(std::string_view aLine, bool aIgnoresRate)
{
  const std::int64_t now = steadyMs();
  const double rate = mLimits.bytesPerSecond;
  mAllowance =
    std::min(rate, mAllowance + rate * static_cast<double>(now - mLastRefillMs) / 1000.0);
  mLastRefillMs = now;
  const auto size = static_cast<double>(aLine.size() + 1);
  const bool room = mBuffer.size() - mWritten + aLine.size() < mLimits.bufferBytes;
  if (!room || (!aIgnoresRate && mAllowance < size)) {
    ++mDropped;
    return false;
  }
  mAllowance = std::max(-rate, mAllowance - size);
  mBuffer.append(aLine).append("\n");
  flush();
  return true;
}

void
LineWriter::flush()
{
  while (mWritten < mBuffer.size()) {
    pollfd writable{ mFd, POLLOUT, 0 };
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kAtomicPipeBytes, mBuffer.size() - mWritten);
    const ssize_t written = ::write(mFd, mBuffer.data() + mWritten, size);
    if (written <= 0) {
      if (written < 0 && errno == EINTR) {
        continue;
      }
      break; // the reader is gone or slow; the bound of the buffer holds
    }
    mWritten += static_cast<std::size_t>(written);
  }
  if (mWritten == mBuffer.size()) {
    mBuffer.clear();
    mWritten = 0;
  } else if (mWritten > mLimits.bufferBytes / 2) {
    mBuffer.erase(0, mWritten);
    mWritten = 0;
  }
}

std::uint64_t
LineWriter::takeNewlyDropped()
{
  const std::uint64_t fresh = mDropped - mReported;
  mReported = mDropped;
  return fresh;
}

} // namespace savoryrill
