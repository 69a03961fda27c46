#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/types/time.h"

namespace savoryrill {

/// Writes lines to a file descriptor without blocking on its reader. Lines that the
/// descriptor doesn't accept yet are buffered. Lines that don't fit the buffer or exceed
/// the rate limit (a token bucket that holds one second's bytes) are dropped and counted.
/// Not thread safe.
class LineWriter
{
public:
  struct Limits
  {
    std::size_t bufferBytes = 256UL * 1024;
    std::uint32_t bytesPerSecond = 64 * 1024;
  };

  /// Doesn't take ownership of `aFd`.
  LineWriter(int aFd, Limits aLimits);

  /// Writes or buffers a line, which is passed without its line end; returns false if it
  /// was dropped. With `aIgnoresRate`, the rate limit does not apply, and the line is
  /// dropped only if it does not fit the buffer; meant for reports of failures.
  bool write(std::string_view aLine, bool aIgnoresRate);

  /// Writes as many buffered bytes as the descriptor accepts without blocking.
  void flush();

  /// Lines dropped since construction.
  std::uint64_t dropped() const { return mDropped; }
  /// Lines dropped since the last call of this method.
  std::uint64_t takeNewlyDropped();

private:
  int mFd;
  Limits mLimits;
  std::string mBuffer;
  std::size_t mWrittenBytes = 0; // bytes at the start of mBuffer already written to mFd
  double mAllowanceBytes;        // may be negative after lines that ignore the rate
  std::int64_t mLastRefillMs = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mReportedDropped = 0;
};

} // namespace savoryrill
