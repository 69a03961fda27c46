#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::placement {

/// Decides how long an idle replica is kept. It observes when loadables are in use and
/// keeps their latest idle times. No I/O; not thread safe.
class KeepAliveTracker
{
public:
  /// Idle times that are kept of each loadable.
  static constexpr std::size_t kMaxSamples = 128;
  /// With fewer samples the histogram policy keeps a replica for the maximum.
  static constexpr std::size_t kMinSamples = 4;

  /// The loadable has waiting or running requests now.
  void recordUse(const config::Loadable& aLoadable, Instant aNow);

  /// A replica is loaded; without any use its idle time begins now.
  void recordLoad(const config::Loadable& aLoadable, Instant aNow);

  /// Since when the loadable has been idle, `aNow` if nothing is known of it.
  Instant idleSince(const config::Loadable& aLoadable, Instant aNow) const;

  /// How long an idle replica is kept: a fixed time, or the quantile of its idle times
  /// given by `coldStartWeight`, within the policy's bounds.
  Duration keepAliveTime(const config::Loadable& aLoadable,
                         const config::Deployment& aDeployment) const;

  /// True if an idle replica should be unloaded. `aTimeOfDay` is the time since midnight
  /// in UTC.
  bool expired(const config::Loadable& aLoadable,
               const config::Deployment& aDeployment,
               Instant aNow,
               Duration aTimeOfDay) const;

  /// Value of keeping a replica, to compare replicas for eviction: its load time,
  /// weighted and scaled by how much of its keep-alive time is left.
  double retentionValue(const config::Loadable& aLoadable,
                        const config::Deployment& aDeployment,
                        Instant aNow) const;

  /// True from the lead before a pre-warm time until the keep-alive minimum after it.
  static bool prewarmDue(const config::Deployment& aDeployment, Duration aTimeOfDay);

  /// Drops a loadable that the configuration does not have any more.
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
