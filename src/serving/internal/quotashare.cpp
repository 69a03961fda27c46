#include "serving/quotashare.h"

#include <algorithm>

#include "serving/quotaledger.h"

namespace savoryrill::serving {

void
QuotaShare::record(std::uint32_t aCount, bool aStated, Instant aNow)
{
  mStated = mStated || aStated;
  if (aCount >= mCount || aNow - mCountSeen > kMemory) {
    mCount = aCount;
    mCountSeen = aNow;
  }
}

void
QuotaShare::setLeading(bool aLeading, Instant aNow)
{
  if (aLeading != mLeading) {
    mLeading = aLeading;
    mLeadingChanged = aNow;
    mFirstLed = mFirstLed.value_or(aNow);
    mMissingSince.reset();
  }
}

double
QuotaShare::ofFormerLeader(std::uint32_t aServed, bool aKnown, Instant aNow) const
{
  // Hosts that it has not seen while it led use at most a part of their own shares.
  const double unseen =
    aKnown ? 0 : 1 - std::min(1.0, mCount / double{ QuotaLedger::kUnknownHostCount });
  const double served = static_cast<double>(aServed) / std::max({ 1U, aServed, mCount }) *
                        (1 - unseen * QuotaLedger::kUsedShare);
  const bool lately = aNow - *mLeadingChanged < bounded(kFormerLeaderTime);
  return lately ? served : served * QuotaLedger::kUsedShare;
}

Duration
QuotaShare::bounded(Duration aTime) const
{
  return mKeyBound > Duration::zero() ? std::min(aTime, mKeyBound) : aTime;
}

double
QuotaShare::of(std::uint32_t aServed, Instant aNow)
{
  const bool known = mStated || (mFirstLed && aNow - *mFirstLed >= kMemory);
  const std::uint32_t all =
    std::max({ 1U, aServed, mCount, known ? 0 : QuotaLedger::kUnknownHostCount });
  const double served = static_cast<double>(aServed) / all;
  if (!mLeading) {
    return mLeadingChanged ? ofFormerLeader(aServed, known, aNow)
                           : served * QuotaLedger::kUsedShare;
  }
  if (aServed >= all) {
    mMissingSince.reset();
    return 1;
  }
  mMissingSince = mMissingSince.value_or(aNow);
  if (aNow - *mMissingSince < (known ? bounded(kMissingTime) : kSettlingTime)) {
    return served;
  }
  return 1 - (1 - served) * QuotaLedger::kUsedShare;
}

} // namespace savoryrill::serving
