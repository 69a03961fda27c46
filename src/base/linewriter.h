#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/types/time.h"

namespace savoryrill {

/// Writes lines to a descriptor without ever waiting for its reader. What the reader does
/// not take is kept up to a bound and then dropped and counted; so are lines above the
/// rate. Not thread safe.
class LineWriter
{
public:
  struct Limits
  {
    std::size_t bufferBytes = 256UL * 1024;
    std::uint32_t bytesPerSecond = 64 * 1024;
  };

  /// Does not own `aFd`.
  LineWriter(int aFd, Limits aLimits);

  /// Takes a line without its end; false if it was dropped. Lines that must not be lost
  /// to the rate, such as failures, are bounded by the buffer only.
  bool write(std::string_view aLine, bool aIgnoresRate);

  /// Hands kept bytes to the descriptor as far as it takes them at once.
  void flush();

  std::uint64_t dropped() const { return mDropped; }
  /// Lines dropped since the last call of this method.
  std::uint64_t takeNewlyDropped();

private:
  int mFd;
  Limits mLimits;
  std::string mBuffer;
  std::size_t mWritten = 0;
  double mAllowance;
  std::int64_t mLastRefillMs = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mReported = 0;
};

} // namespace savoryrill
