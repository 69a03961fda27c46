#include "serving/admission.h"

#include <cmath>

namespace savoryrill::serving {

void
CompletionRate::completed(std::uint32_t aCount, Instant aNow)
{
  if (!mStart) {
    if (aCount == 0) {
      return;
    }
    mStart = aNow;
    mUpdated = aNow;
    return; // these completed before the measured period
  }
  const double age = toSeconds(aNow - mUpdated) / toSeconds(kTimeConstant);
  mMean = mMean * std::exp(-age) + aCount / toSeconds(kTimeConstant);
  mUpdated = aNow;
}

std::optional<double>
CompletionRate::perSecond(Instant aNow) const
{
  if (!mStart || aNow - *mStart < kMinAge) {
    return std::nullopt;
  }
  const double age = toSeconds(aNow - mUpdated) / toSeconds(kTimeConstant);
  // The mean starts at zero; dividing by the weight of the observed time corrects for it.
  const double observed =
    1 - std::exp(-toSeconds(aNow - *mStart) / toSeconds(kTimeConstant));
  return mMean * std::exp(-age) / observed;
}

} // namespace savoryrill::serving
