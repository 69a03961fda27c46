#include "routing/admission.h"

#include <algorithm>
#include <cmath>

namespace savoryrill::routing {

namespace {

constexpr double kSmoothingFactor = 0.2;
constexpr Duration kEstimateHalfLife = 30s;

} // namespace

void
DurationEstimator::observe(const std::string& aName, Duration aTime, Instant aNow)
{
  const auto newest = static_cast<double>(aTime.count());
  const auto [found, added] = mEstimates.try_emplace(aName, Estimate{ newest, aNow });
  auto& entry = found->second;
  entry.microseconds += kSmoothingFactor * (newest - entry.microseconds);
  entry.observedAt = aNow;
}

std::optional<Duration>
DurationEstimator::estimate(const std::string& aName, Instant aNow) const
{
  const auto found = mEstimates.find(aName);
  if (found == mEstimates.end()) {
    return std::nullopt;
  }
  const double half_lives =
    toSeconds(aNow - found->second.observedAt) / toSeconds(kEstimateHalfLife);
  const double decayed =
    found->second.microseconds * std::exp2(-std::max(0.0, half_lives));
  return Duration(static_cast<std::int64_t>(decayed));
}

AdmissionDecision
admit(const AdmissionInput& aInput)
{
  const std::int64_t slots = std::max<std::int64_t>(1, aInput.slots);
  const auto ahead = static_cast<std::int64_t>(aInput.requestsAhead);
  Duration wait = aInput.serviceTime * ahead / slots;
  if (aInput.slots == 0) {
    wait += aInput.untilLoaded;
  }
  AdmissionDecision decision;
  decision.estimate = wait + aInput.serviceTime;
  decision.admitted = decision.estimate <= aInput.untilDeadline;
  return decision;
}

} // namespace savoryrill::routing
