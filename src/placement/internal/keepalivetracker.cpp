#include "placement/keepalivetracker.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace savoryrill::placement {

namespace {

// Use is recorded from demand entries, which arrive about once a second. Gaps shorter
// than this do not count as idle times.
constexpr Duration kMinIdleTime = 3s;
constexpr Duration kDay = std::chrono::hours(24);
// Maximum time for which a replica with a fixed keep-alive time stays loaded after a
// pre-warm time if the expected requests do not arrive.
constexpr Duration kMaxPrewarmHold = 300s;

struct KeepAliveTime
{
  const std::deque<Duration>& idleTimes;
  double quantile;

  Duration operator()(const config::FixedKeepAlive& aPolicy) const
  {
    return aPolicy.idle;
  }

  Duration operator()(const config::HistogramKeepAlive& aPolicy) const
  {
    if (idleTimes.size() < KeepAliveTracker::kMinSamples) {
      return aPolicy.maximum;
    }
    std::vector<Duration> sorted(idleTimes.begin(), idleTimes.end());
    std::sort(sorted.begin(), sorted.end());
    const double position =
      std::clamp(quantile, 0.0, 1.0) * static_cast<double>(sorted.size() - 1);
    const Duration wanted = sorted[static_cast<std::size_t>(std::lround(position))];
    return std::clamp(
      wanted, aPolicy.minimum, std::max(aPolicy.minimum, aPolicy.maximum));
  }
};

struct PrewarmHold
{
  Duration operator()(const config::FixedKeepAlive& aPolicy) const
  {
    return std::min(aPolicy.idle, kMaxPrewarmHold);
  }
  Duration operator()(const config::HistogramKeepAlive& aPolicy) const
  {
    return aPolicy.minimum;
  }
};

} // namespace

void
KeepAliveTracker::recordUse(const config::Loadable& aLoadable, Instant aNow)
{
  auto& usage = mUsage[aLoadable];
  const Duration idle = aNow - usage.lastActive;
  if (usage.used && idle >= kMinIdleTime) {
    usage.idleTimes.push_back(idle);
    if (usage.idleTimes.size() > kMaxSamples) {
      usage.idleTimes.pop_front();
    }
  }
  usage.used = true;
  usage.lastActive = aNow;
}

void
KeepAliveTracker::recordLoad(const config::Loadable& aLoadable, Instant aNow)
{
  const auto [usage, inserted] = mUsage.try_emplace(aLoadable);
  if (inserted) {
    usage->second.lastActive = aNow;
  }
}

Instant
KeepAliveTracker::idleSince(const config::Loadable& aLoadable, Instant aNow) const
{
  const auto usage = mUsage.find(aLoadable);
  return usage == mUsage.end() ? aNow : usage->second.lastActive;
}

Duration
KeepAliveTracker::keepAliveTime(const config::Loadable& aLoadable,
                                const config::Deployment& aDeployment) const
{
  static const std::deque<Duration> sNoSamples;
  const auto usage = mUsage.find(aLoadable);
  const KeepAliveTime visitor{ usage == mUsage.end() ? sNoSamples
                                                     : usage->second.idleTimes,
                               aDeployment.coldStartWeight };
  return std::visit(visitor, aDeployment.keepAlive);
}

bool
KeepAliveTracker::expired(const config::Loadable& aLoadable,
                          const config::Deployment& aDeployment,
                          Instant aNow,
                          Duration aTimeOfDay) const
{
  return aNow - idleSince(aLoadable, aNow) >= keepAliveTime(aLoadable, aDeployment) &&
         !prewarmDue(aDeployment, aTimeOfDay);
}

double
KeepAliveTracker::retentionValue(const config::Loadable& aLoadable,
                                 const config::Deployment& aDeployment,
                                 Instant aNow) const
{
  const double keep = std::max(1e-3, toSeconds(keepAliveTime(aLoadable, aDeployment)));
  const double idle = toSeconds(aNow - idleSince(aLoadable, aNow));
  const double left = std::max(0.0, 1.0 - idle / keep);
  return toSeconds(aDeployment.loadTime) * aDeployment.coldStartWeight * left;
}

bool
KeepAliveTracker::prewarmDue(const config::Deployment& aDeployment, Duration aTimeOfDay)
{
  const Duration hold = std::visit(PrewarmHold{}, aDeployment.keepAlive);
  return std::any_of(
    aDeployment.prewarm.begin(), aDeployment.prewarm.end(), [&](const auto& aTime) {
      const Duration start = std::chrono::minutes(aTime.minuteOfDay) - aTime.lead;
      const Duration since_start = ((aTimeOfDay - start) % kDay + kDay) % kDay;
      return since_start < aTime.lead + hold;
    });
}

} // namespace savoryrill::placement
