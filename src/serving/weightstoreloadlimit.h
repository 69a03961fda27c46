#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/types/time.h"

namespace savoryrill::serving {

/// Learns how many loads from the weight store can run at full speed at the same time,
/// which the store does not report. It handles this load pattern: many models have no
/// checkpoint copy, and each load above that number slows down all others, so that none
/// ends while its callers still wait. The limit starts at one load. Each load that ran at
/// full speed while as many loads as allowed were in progress raises the limit by one, so
/// that the limit at most doubles in the time of a load. Slower loads lower it. Not
/// thread safe; no I/O.
class WeightStoreLoadLimit
{
public:
  /// Maximum number of concurrent loads.
  std::uint32_t maxLoads() const { return mMaxLoads; }

  /// Call when a load that takes `aFullSpeedTime` at full speed was sent at `aSent`.
  /// Repeated calls for the same engine and time have no effect.
  void started(const std::string& aEngine, Duration aFullSpeedTime, Instant aSent);
  /// Call when a load has ended, completed or not. Has no effect if no load of the engine
  /// is known.
  void ended(const std::string& aEngine, bool aComplete, Instant aNow);
  /// Lowers the limit if loads in progress are overdue.
  void checkOverdue(Instant aNow);

private:
  struct Load
  {
    Instant sent{};
    Duration fullSpeedTime{};
    std::uint32_t concurrentLoads = 1; // maximum while this load ran, including it
    bool overdue = false;
  };

  void reduceLimit(std::uint32_t aConcurrentLoads, double aSlowdown, Instant aNow);

  std::uint32_t mMaxLoads = 1;
  std::map<std::string, Load> mLoads; // in progress, by engine
  Instant mNextRaise{};
};

} // namespace savoryrill::serving
