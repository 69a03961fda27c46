#include "serving/retryspread.h"

#include <algorithm>

namespace savoryrill::serving {

RetrySpread::Model&
RetrySpread::modelOf(const std::string& aModel, Instant aNow)
{
  if (++mCalls >= kCallsBetweenCleanups) {
    mCalls = 0;
    std::erase_if(mModels, [&](const auto& aItem) {
      return aNow - aItem.second.used > kForgottenAfter;
    });
  }
  auto& model = mModels[aModel];
  model.used = aNow;
  return model;
}

void
RetrySpread::completed(const std::string& aModel, Instant aNow)
{
  modelOf(aModel, aNow).rate.completed(1, aNow);
}

Duration
RetrySpread::returnTime(const std::string& aModel,
                        Duration aBacklog,
                        Duration aLatest,
                        double aRandom,
                        Instant aNow)
{
  const auto part = [&](Duration aWidth) {
    return Duration(
      static_cast<std::int64_t>(static_cast<double>(aWidth.count()) * aRandom));
  };
  auto& model = modelOf(aModel, aNow);
  const double rate = model.rate.perSecond(aNow).value_or(0) * kReturningPart;
  // Below this rate no caller would be given a time before the latest one.
  if (rate * toSeconds(aLatest) < 1) {
    const Duration width = std::min(std::max(kUnknownWidth, aBacklog),
                                    std::max(kUnknownWidth, aLatest - aBacklog));
    return aBacklog + part(width);
  }
  const Duration gap(static_cast<std::int64_t>(1e6 / rate));
  const Instant turn = std::max(model.nextReturn, aNow + aBacklog);
  if (turn - aNow > aLatest) {
    // More were refused than can be served in time. Spreading the rest evenly gives none
    // of them a time that they cannot use.
    return aBacklog + part(std::max(kUnknownWidth, aLatest - aBacklog));
  }
  model.nextReturn = turn + gap;
  return turn - aNow + part(gap);
}

} // namespace savoryrill::serving
