#pragma once

#include <algorithm>
#include <optional>

#include "base/types/time.h"

namespace savoryrill::gateway {

/// When the events of a stream were forwarded to the caller: what callers notice of an
/// engine's batch. Covers all attempts of a request. Not thread safe.
class StreamTimes
{
public:
  /// Notes that one or more events were forwarded.
  void recordEvents(Instant aNow)
  {
    if (!mFirst) {
      mFirst = aNow;
    } else {
      mLongestPause = std::max(mLongestPause, aNow - mLast);
    }
    mLast = aNow;
  }

  /// Time of the first event; nothing before it.
  std::optional<Instant> firstEvent() const { return mFirst; }
  /// Time of the last event; nothing before the first.
  std::optional<Instant> lastEvent() const
  {
    return mFirst ? std::optional(mLast) : std::nullopt;
  }
  /// Longest time between two events; zero with less than two.
  Duration longestPause() const { return mLongestPause; }

private:
  std::optional<Instant> mFirst;
  Instant mLast{};
  Duration mLongestPause = Duration::zero();
};

} // namespace savoryrill::gateway
