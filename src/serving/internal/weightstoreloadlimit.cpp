#include "serving/weightstoreloadlimit.h"

#include <algorithm>
#include <cmath>

namespace savoryrill::serving {

namespace {

// A load counts as at full speed up to this multiple of its full-speed time. Reports show
// the end up to 600 ms late, a tenth of the shortest load.
constexpr double kMaxFullSpeedSlowdown = 1.2;
// Multiple of its full-speed time at which a load in progress counts as slowed down. At
// this value two concurrent loads reduce the limit to one, since 2 / 1.5 rounds to 1.
constexpr double kOverdueSlowdown = 1.5;
// Upper bound of the learned limit; the rate of loads is limited separately.
constexpr std::uint32_t kLoadsUpperBound = 64;
// Time for which the limit is not raised after it was too high; many times the time of a
// load.
constexpr Duration kRaisePause = 300s;

} // namespace

void
WeightStoreLoadLimit::started(const std::string& aEngine,
                              Duration aFullSpeedTime,
                              Instant aSent)
{
  const auto found = mLoads.find(aEngine);
  if (found != mLoads.end() && found->second.sent == aSent) {
    return;
  }
  mLoads[aEngine] = { aSent, aFullSpeedTime, 1, false };
  const auto together = static_cast<std::uint32_t>(mLoads.size());
  for (auto& [engine, load] : mLoads) {
    load.concurrentLoads = std::max(load.concurrentLoads, together);
  }
}

void
WeightStoreLoadLimit::ended(const std::string& aEngine, bool aComplete, Instant aNow)
{
  const auto found = mLoads.find(aEngine);
  if (found == mLoads.end()) {
    return;
  }
  const auto load = found->second;
  mLoads.erase(found);
  if (!aComplete || load.fullSpeedTime <= Duration::zero()) {
    return;
  }
  const double slowdown = toSeconds(aNow - load.sent) / toSeconds(load.fullSpeedTime);
  if (slowdown > kMaxFullSpeedSlowdown && load.concurrentLoads > 1) {
    reduceLimit(load.concurrentLoads, slowdown, aNow);
  } else if (slowdown <= kMaxFullSpeedSlowdown && load.concurrentLoads >= mMaxLoads &&
             aNow >= mNextRaise) {
    mMaxLoads = std::min(mMaxLoads + 1, kLoadsUpperBound);
  }
}

void
WeightStoreLoadLimit::checkOverdue(Instant aNow)
{
  for (auto& [engine, load] : mLoads) {
    const double slowdown = toSeconds(aNow - load.sent) / toSeconds(load.fullSpeedTime);
    if (!load.overdue && slowdown >= kOverdueSlowdown && load.concurrentLoads > 1) {
      load.overdue = true;
      reduceLimit(load.concurrentLoads, slowdown, aNow);
    }
  }
}

void
WeightStoreLoadLimit::reduceLimit(std::uint32_t aConcurrentLoads,
                                  double aSlowdown,
                                  Instant aNow)
{
  const auto sustained =
    static_cast<std::uint32_t>(std::lround(aConcurrentLoads / aSlowdown));
  mMaxLoads = std::max(1U, std::min(mMaxLoads, sustained));
  mNextRaise = aNow + kRaisePause;
}

} // namespace savoryrill::serving
