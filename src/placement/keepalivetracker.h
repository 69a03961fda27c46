#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::placement {

/// Decides how long an idle replica is kept loaded, from the recent idle times of its
/// loadable. No I/O; not thread safe.
class KeepAliveTracker
{
public:
  /// Maximum number of idle times that are kept for each loadable.
  static constexpr std::size_t kMaxSamples = 128;
  /// With fewer idle times than this the histogram policy keeps a replica for its maximum
  /// time.
  static constexpr std::size_t kMinSamples = 4;

  /// Records that the loadable has waiting or running requests now.
  void recordUse(const config::Loadable& aLoadable, Instant aNow);

  /// Records that a replica was loaded. If nothing else is recorded of the loadable, its
  /// idle time begins now.
  void recordLoad(const config::Loadable& aLoadable, Instant aNow);

  /// When the loadable became idle; `aNow` if neither a use nor a load was recorded.
  Instant idleSince(const config::Loadable& aLoadable, Instant aNow) const;

  /// How long an idle replica is kept: a fixed time, or the quantile `coldStartWeight` of
  /// its idle times within the policy's bounds.
  Duration keepAliveTime(const config::Loadable& aLoadable,
                         const config::Deployment& aDeployment) const;

  /// True if an idle replica should be unloaded. `aTimeOfDay` is the time since midnight
  /// UTC.
  bool expired(const config::Loadable& aLoadable,
               const config::Deployment& aDeployment,
               Instant aNow,
               Duration aTimeOfDay) const;

  /// Value of keeping a replica, by which replicas are compared for eviction: its load
  /// time, multiplied by `coldStartWeight` and by the fraction of its keep-alive time
  /// that is left.
  double retentionValue(const config::Loadable& aLoadable,
                        const config::Deployment& aDeployment,
                        Instant aNow) const;

  /// True from the lead time before a pre-warm time until some time after it: the
  /// keep-alive minimum of the histogram policy, or the fixed keep-alive time up to 5
  /// minutes.
  static bool prewarmDue(const config::Deployment& aDeployment, Duration aTimeOfDay);

  /// Drops the records of a loadable that the configuration no longer contains.
  void forget(const config::Loadable& aLoadable) { mUsage.erase(aLoadable); }

private:
  struct Usage
  {
    Instant lastActive;
    bool used = false;
    std::deque<Duration> idleTimes;
  };
  std::map<config::Loadable, Usage> mUsage;
};

} // namespace savoryrill::placement
