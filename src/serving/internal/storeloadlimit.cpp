#include "serving/storeloadlimit.h"

#include <algorithm>
#include <cmath>

namespace savoryrill::serving {

namespace {

// Multiple of its time alone up to which a load counts as at full speed; reports tell of
// an end up to 600 ms late, which is a tenth of the shortest load.
constexpr double kFullSpeed = 1.2;
// Multiple at which a load in progress is known to be slowed down, and at which two loads
// where one runs at full speed count as one.
constexpr double kOverdue = 1.5;
// Bound of the learned number; the rate of the store is limited apart from it.
constexpr std::uint32_t kMostLoads = 64;
// Time for which a number that was too high is not tried again: many times a load.
constexpr Duration kRaisePause = 300s;

} // namespace

void
StoreLoadLimit::started(const std::string& aEngine, Duration aAlone, Instant aSent)
{
  const auto found = mLoads.find(aEngine);
  if (found != mLoads.end() && found->second.sent == aSent) {
    return;
  }
  mLoads[aEngine] = { aSent, aAlone, 1, false };
  const auto together = static_cast<std::uint32_t>(mLoads.size());
  for (auto& [engine, load] : mLoads) {
    load.beside = std::max(load.beside, together);
  }
}

void
StoreLoadLimit::ended(const std::string& aEngine, bool aComplete, Instant aNow)
{
  const auto found = mLoads.find(aEngine);
  if (found == mLoads.end()) {
    return;
  }
  const auto load = found->second;
  mLoads.erase(found);
  if (!aComplete || load.alone <= Duration::zero()) {
    return;
  }
  const double stretch = toSeconds(aNow - load.sent) / toSeconds(load.alone);
  if (stretch > kFullSpeed && load.beside > 1) {
    slowedDown(load.beside, stretch, aNow);
  } else if (stretch <= kFullSpeed && load.beside >= mMost && aNow >= mRaiseFrom) {
    mMost = std::min(mMost + 1, kMostLoads);
  }
}

void
StoreLoadLimit::check(Instant aNow)
{
  for (auto& [engine, load] : mLoads) {
    const double stretch = toSeconds(aNow - load.sent) / toSeconds(load.alone);
    if (!load.overdue && stretch >= kOverdue && load.beside > 1) {
      load.overdue = true;
      slowedDown(load.beside, stretch, aNow);
    }
  }
}

void
StoreLoadLimit::slowedDown(std::uint32_t aBeside, double aStretch, Instant aNow)
{
  const auto sustained = static_cast<std::uint32_t>(std::lround(aBeside / aStretch));
  mMost = std::max(1U, std::min(mMost, sustained));
  mRaiseFrom = aNow + kRaisePause;
}

} // namespace savoryrill::serving
