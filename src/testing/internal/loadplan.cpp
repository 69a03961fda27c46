#include "testing/loadplan.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "testing/internal/json.h"

namespace savoryrill::testing {

namespace {

constexpr std::size_t kPrefixBytes = 64;
constexpr Duration kDuplicateDelay = 5ms;

class Planner
{
public:
  explicit Planner(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
  {
  }

  bool full() const { return mPlan.size() >= mOptions.maxRequests; }

  double draw() { return std::generate_canonical<double, 53>(mRandom); }

  const std::string& pick(const std::vector<std::string>& aList)
  {
    return aList[std::min(std::size_t(draw() * double(aList.size())), aList.size() - 1)];
  }

  /// Adds a request with a new marker at a random target, and maybe its duplicate.
  void add(PlannedRequest aRequest, bool aWithKey)
  {
    if (full()) {
      return;
    }
    aRequest.target = pick(mOptions.targets);
    aRequest.marker =
      "s" + std::to_string(mOptions.seed) + "-" + std::to_string(++mNumber);
    aRequest.key = aWithKey ? "key-" + aRequest.marker : "";
    const bool twice = aRequest.duplicate && aWithKey;
    aRequest.duplicate = false;
    mPlan.push_back(aRequest);
    if (twice && !full()) {
      aRequest.duplicate = true;
      aRequest.target = pick(mOptions.targets);
      aRequest.at += kDuplicateDelay;
      mPlan.push_back(aRequest);
    }
  }

  /// Calls `aAdd` with the time of each Poisson arrival.
  template<typename Add>
  void poisson(Duration aFrom, Duration aLength, double aRatePerS, Add aAdd)
  {
    double at_s = 0;
    while (!full()) {
      at_s += -std::log1p(-draw()) / aRatePerS;
      if (at_s >= toSeconds(aLength)) {
        return;
      }
      aAdd(aFrom + Duration(std::llround(at_s * 1e6)));
    }
  }

  std::vector<PlannedRequest> finish()
  {
    std::stable_sort(
      mPlan.begin(), mPlan.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.at < aRight.at;
      });
    return std::move(mPlan);
  }

private:
  const LoadOptions& mOptions;
  std::mt19937_64 mRandom;
  std::uint64_t mNumber = 0;
  std::vector<PlannedRequest> mPlan;
};

/// A request whose kind, model and shape are drawn from the options' shares.
PlannedRequest
drawRequest(Planner& aPlanner, const LoadOptions& aOptions, Duration aAt)
{
  PlannedRequest request;
  request.at = aAt;
  request.caller = aOptions.callers.empty() ? "" : aPlanner.pick(aOptions.callers);
  request.priority = aOptions.priority;
  request.maxTokens = aOptions.maxTokens;
  request.promptBytes = aOptions.promptBytes;
  request.deadlineMs = aOptions.deadlineMs;
  const double service = aPlanner.draw();
  const bool to_service = !aOptions.services.empty() &&
                          (aOptions.models.empty() || service < aOptions.serviceShare);
  if (to_service) {
    request.kind = LoadKind::Service;
    request.service = aPlanner.pick(aOptions.services);
    request.duplicate = aPlanner.draw() < aOptions.duplicateShare;
    return request;
  }
  request.kind =
    aPlanner.draw() < aOptions.chatShare ? LoadKind::Chat : LoadKind::Completion;
  request.model = aPlanner.pick(aOptions.models);
  request.stream = aPlanner.draw() < aOptions.streamShare;
  request.prefixGroup =
    static_cast<std::uint32_t>(aPlanner.draw() * aOptions.prefixGroups);
  return request;
}

Result<PlannedRequest>
readArrival(const Json::Value& aArrival, const LoadOptions& aOptions)
{
  if (!aArrival.isObject()) {
    return fail(ErrorCode::Malformed, "an arrival must be an object");
  }
  const auto kind = fromName<LoadKind>(textMember(aArrival, "kind", "completion"));
  PlannedRequest request;
  request.model = textMember(aArrival, "model");
  request.service = textMember(aArrival, "service");
  const bool named = kind && !(*kind == LoadKind::Service ? request.service.empty()
                                                          : request.model.empty());
  if (!named) {
    return fail(ErrorCode::Malformed,
                "an arrival needs a known \"kind\" and its \"model\" or \"service\"");
  }
  const auto number = [&](const char* aName, std::uint64_t aDefault) {
    return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(numberMember(aArrival, aName, aDefault), UINT32_MAX));
  };
  request.kind = *kind;
  request.at = std::chrono::milliseconds(number("at_ms", 0));
  request.stream = flagMember(aArrival, "stream");
  request.duplicate = flagMember(aArrival, "duplicate");
  request.priority = textMember(aArrival, "priority", aOptions.priority);
  request.caller = textMember(
    aArrival, "caller", aOptions.callers.empty() ? "" : aOptions.callers.front());
  request.maxTokens = number("max_tokens", aOptions.maxTokens);
  request.promptBytes = number("prompt_bytes", aOptions.promptBytes);
  request.prefixGroup = number("prefix_group", 0);
  request.deadlineMs = numberMember(aArrival, "deadline_ms", aOptions.deadlineMs);
  return request;
}

void
addArrival(Planner& aPlanner, const Json::Value& aArrival, const PlannedRequest& aRequest)
{
  const bool with_key = flagMember(aArrival, "key", aRequest.kind == LoadKind::Service);
  const double rate = realMember(aArrival, "rate");
  if (rate > 0) {
    const Duration length =
      std::chrono::milliseconds(numberMember(aArrival, "duration_ms"));
    aPlanner.poisson(aRequest.at, length, rate, [&](Duration aAt) {
      PlannedRequest request = aRequest;
      request.at = aAt;
      aPlanner.add(std::move(request), with_key);
    });
    return;
  }
  const auto count = numberMember(aArrival, "count", 1);
  const double spread_us = 1000.0 * double(numberMember(aArrival, "spread_ms"));
  for (std::uint64_t index = 0; index < count && !aPlanner.full(); ++index) {
    PlannedRequest request = aRequest;
    request.at += Duration(std::llround(aPlanner.draw() * spread_us));
    aPlanner.add(std::move(request), with_key);
  }
}

} // namespace

Result<std::vector<PlannedRequest>>
planRequests(const LoadOptions& aOptions)
{
  if (aOptions.targets.empty() ||
      (aOptions.models.empty() && aOptions.services.empty())) {
    return fail(ErrorCode::InvalidArgument,
                "a load needs targets, and models or services");
  }
  Planner planner(aOptions);
  const auto add = [&](PlannedRequest aRequest) {
    const bool with_key =
      aRequest.kind == LoadKind::Service && planner.draw() < aOptions.keyShare;
    planner.add(std::move(aRequest), with_key);
  };
  if (aOptions.ratePerS > 0) {
    planner.poisson(Duration::zero(),
                    aOptions.duration,
                    aOptions.ratePerS,
                    [&](auto aAt) { add(drawRequest(planner, aOptions, aAt)); });
  }
  const bool bursts = aOptions.burstSize > 0 && aOptions.burstPeriod > Duration::zero();
  for (Duration at{ 0 }; bursts && at < aOptions.duration; at += aOptions.burstPeriod) {
    const PlannedRequest first = drawRequest(planner, aOptions, at);
    for (std::uint32_t index = 0; index < aOptions.burstSize; ++index) {
      add(first);
    }
  }
  return planner.finish();
}

Result<std::vector<PlannedRequest>>
planTrace(std::string_view aTrace, const LoadOptions& aOptions)
{
  if (aOptions.targets.empty()) {
    return fail(ErrorCode::InvalidArgument, "a load needs targets");
  }
  BOOST_OUTCOME_TRY(trace, parseObject(aTrace));
  if (!trace["arrivals"].isArray()) {
    return fail(ErrorCode::Malformed, "\"arrivals\" must be a list");
  }
  Planner planner(aOptions);
  for (const auto& arrival : trace["arrivals"]) {
    BOOST_OUTCOME_TRY(request, readArrival(arrival, aOptions));
    addArrival(planner, arrival, request);
  }
  return planner.finish();
}

std::string
promptOf(const PlannedRequest& aRequest)
{
  std::string prompt = "Group " + std::to_string(aRequest.prefixGroup) + " ";
  prompt.resize(kPrefixBytes, '.');
  prompt += " marker=" + aRequest.marker + " ";
  if (prompt.size() < aRequest.promptBytes) {
    prompt.resize(aRequest.promptBytes, 'x');
  }
  return prompt;
}

} // namespace savoryrill::testing
