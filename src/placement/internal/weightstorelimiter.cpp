#include "placement/weightstorelimiter.h"

#include <algorithm>

namespace savoryrill::placement {

namespace {

// Starts older than this are not counted. A configured rate below one start per this time
// therefore has the effect of one start per this time.
constexpr Duration kMaxRateWindow = 60s;

} // namespace

WeightStoreLimiter::WeightStoreLimiter(std::size_t aDataCentres)
  : mDataCentres(std::max<std::size_t>(1, aDataCentres))
{
}

void
WeightStoreLimiter::setLimits(const config::WeightStore& aLimits,
                              std::size_t aDataCentres)
{
  mLimits = aLimits;
  mDataCentres = std::max<std::size_t>(1, aDataCentres);
}

void
WeightStoreLimiter::observe(std::set<WeightStoreLoad> aInFlight,
                            bool aIsolated,
                            std::size_t aControllers,
                            Instant aNow)
{
  for (const auto& load : aInFlight) {
    if (!mInFlight.contains(load)) {
      mStarts.push_back(aNow);
    }
  }
  while (!mStarts.empty() && aNow - mStarts.front() > kMaxRateWindow) {
    mStarts.pop_front();
  }
  mInFlight = std::move(aInFlight);
  mIsolated = aIsolated;
  mControllers = std::max<std::size_t>(1, aControllers);
}

double
WeightStoreLimiter::startRate() const
{
  const double share = mIsolated ? 1.0 / static_cast<double>(mDataCentres) : 1.0;
  return mLimits.loadsPerSecond * share;
}

std::uint32_t
WeightStoreLimiter::maxLoads() const
{
  if (!mIsolated) {
    return mLimits.fullSpeedLoads;
  }
  const auto share = static_cast<std::uint32_t>(mLimits.fullSpeedLoads / mDataCentres);
  return std::max<std::uint32_t>(1, share);
}

std::uint32_t
WeightStoreLimiter::maxAdapterLoads() const
{
  const auto share = static_cast<std::uint32_t>(mLimits.adaptersInFlight / mControllers);
  return std::max<std::uint32_t>(1, share);
}

bool
WeightStoreLimiter::mayStart(Instant aNow) const
{
  if (mInFlight.size() >= maxLoads()) {
    return false;
  }
  // A whole number of starts is allowed per window. The window is about one second, or
  // longer for rates below one start per second.
  const double allowed = std::max(1.0, startRate());
  const auto window =
    std::min(kMaxRateWindow,
             std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
               static_cast<double>(static_cast<std::uint64_t>(allowed)) /
               std::max(startRate(), 1e-3))));
  const auto recent =
    std::count_if(mStarts.begin(), mStarts.end(), [&](const Instant aStart) {
      return aNow - aStart < window;
    });
  return static_cast<double>(recent) <
         static_cast<double>(static_cast<std::uint64_t>(allowed));
}

void
WeightStoreLimiter::started(const WeightStoreLoad& aLoad, Instant aNow)
{
  if (mInFlight.insert(aLoad).second) {
    mStarts.push_back(aNow);
  }
}

} // namespace savoryrill::placement
