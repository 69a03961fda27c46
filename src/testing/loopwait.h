#pragma once

#include "event/loop.h"

namespace savoryrill::testing {

/// Runs a loop until a condition holds, at most for `aLimit`; tells whether it held. The
/// condition may be asked again after it has held. Not thread safe.
template<typename Condition>
bool
runUntil(event::Loop& aLoop, Duration aLimit, Condition aCondition)
{
  constexpr Duration kLookPeriod = 5ms;
  const Instant end = aLoop.now() + aLimit;
  const auto wake = aLoop.every(kLookPeriod, [] {});
  while (!aCondition() && aLoop.now() < end) {
    aLoop.runOnce(true);
  }
  return aCondition();
}

} // namespace savoryrill::testing
