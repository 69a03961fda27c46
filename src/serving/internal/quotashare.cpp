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
    mMissingSince.reset();
  }
}

double
QuotaShare::of(std::uint32_t aServed, Instant aNow)
{
  const bool settled =
    mStated || (mLeadingChanged && aNow - *mLeadingChanged >= kSettlingTime);
  const std::uint32_t all =
    std::max({ 1U, aServed, settled ? mCount : QuotaLedger::kUnknownHostCount });
  const double served = static_cast<double>(aServed) / all;
  if (!mLeading) {
    const bool lately = mLeadingChanged && aNow - *mLeadingChanged < kFormerLeaderTime;
    return lately ? served : served * QuotaLedger::kUsedShare;
  }
  if (aServed >= all) {
    mMissingSince.reset();
    return 1;
  }
  mMissingSince = mMissingSince.value_or(aNow);
  if (aNow - *mMissingSince < kMissingTime) {
    return served;
  }
  return 1 - (1 - served) * QuotaLedger::kUsedShare;
}

} // namespace savoryrill::serving
