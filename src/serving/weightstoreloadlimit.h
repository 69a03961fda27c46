#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/types/time.h"

namespace savoryrill::serving {

/// Learns how many loads from the weight store run at full speed together, which the
/// store does not tell. Answers this load pattern: many models have no checkpoint copy,
/// and each load beyond the full-speed number slows all others down, so that none of them
/// ends while its callers wait. Begins with one load, doubles the number after a load
/// that ran at full speed beside as many as allowed, and falls back when loads take
/// longer. Not thread safe; no I/O.
class WeightStoreLoadLimit
{
public:
  /// Loads that may run together.
  std::uint32_t maxLoads() const { return mMaxLoads; }

  /// A load that takes `aFullSpeedTime` at full speed was sent at `aSent`; repeated calls
  /// for the same engine and time have no effect.
  void started(const std::string& aEngine, Duration aFullSpeedTime, Instant aSent);
  /// The load has ended, and was complete or not; no effect if none is known.
  void ended(const std::string& aEngine, bool aComplete, Instant aNow);
  /// Looks for loads that are overdue.
  void checkOverdue(Instant aNow);

private:
  struct Load
  {
    Instant sent{};
    Duration fullSpeedTime{};
    std::uint32_t concurrentLoads = 1; // most loads at the same time, with this one
    bool overdue = false;
  };

  void reduceLimit(std::uint32_t aConcurrentLoads, double aSlowdown, Instant aNow);

  std::uint32_t mMaxLoads = 1;
  std::map<std::string, Load> mLoads; // in progress, by engine
  Instant mNextRaise{};
};

} // namespace savoryrill::serving
