#include "base/linewriter.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace savoryrill {

namespace {

// `PIPE_BUF` on Linux: a pipe that `poll` reports as writable accepts a write of this
// size without blocking.
constexpr std::size_t kAtomicPipeBytes = 4096;

std::int64_t
monotonicMs()
{
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return std::int64_t{ time.tv_sec } * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace

LineWriter::LineWriter(int aFd, Limits aLimits)
  : mFd(aFd)
  , mLimits(aLimits)
  , mAllowanceBytes(aLimits.bytesPerSecond)
  , mLastRefillMs(monotonicMs())
{
}

bool
LineWriter::write(std::string_view aLine, bool aIgnoresRate)
{
  const std::int64_t now = monotonicMs();
  const double rate = mLimits.bytesPerSecond;
  mAllowanceBytes = std::min(
    rate, mAllowanceBytes + rate * static_cast<double>(now - mLastRefillMs) / 1000.0);
  mLastRefillMs = now;
  const auto size = static_cast<double>(aLine.size() + 1);
  const bool fits = mBuffer.size() - mWrittenBytes + aLine.size() < mLimits.bufferBytes;
  if (!fits || (!aIgnoresRate && mAllowanceBytes < size)) {
    ++mDropped;
    return false;
  }
  mAllowanceBytes = std::max(-rate, mAllowanceBytes - size);
  mBuffer.append(aLine).append("\n");
  flush();
  return true;
}

void
LineWriter::flush()
{
  while (mWrittenBytes < mBuffer.size()) {
    pollfd writable{ mFd, POLLOUT, 0 };
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kAtomicPipeBytes, mBuffer.size() - mWrittenBytes);
    const ssize_t written = ::write(mFd, mBuffer.data() + mWrittenBytes, size);
    if (written <= 0) {
      if (written < 0 && errno == EINTR) {
        continue;
      }
      break; // the reader is slow or has closed; the buffer limit still applies
    }
    mWrittenBytes += static_cast<std::size_t>(written);
  }
  if (mWrittenBytes == mBuffer.size()) {
    mBuffer.clear();
    mWrittenBytes = 0;
  } else if (mWrittenBytes > mLimits.bufferBytes / 2) {
    mBuffer.erase(0, mWrittenBytes);
    mWrittenBytes = 0;
  }
}

std::uint64_t
LineWriter::takeNewlyDropped()
{
  const std::uint64_t newlyDropped = mDropped - mReportedDropped;
  mReportedDropped = mDropped;
  return newlyDropped;
}

} // namespace savoryrill
