#include "gateway/internal/requestorder.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace savoryrill::gateway {

using serving::RefusalReason;

namespace {

// Counted for a request that states no tokens, as a small part of that of a stream.
constexpr double kTokensOfPlainRequest = 200;
// Retry-After if the time until the request can run is unknown, before it is spread.
constexpr Duration kUnknownReadyIn = 500ms;
// Callers return once or twice, within a third of the time limit of a request.
constexpr int kReturnPart = 3;

std::vector<std::string>
groupsOf(const RequestTask& aRequest)
{
  std::vector<std::string> groups{ "route/" + aRequest.routeName() };
  if (!aRequest.organisation().empty()) {
    groups.push_back("organisation/" + aRequest.organisation());
  }
  if (!aRequest.model().model.empty()) {
    groups.push_back("model/" + aRequest.model().model);
  }
  return groups;
}

/// Requests that compete for the same slots: those of the model, or of the group of a
/// plain service.
const std::string&
completedWith(const RequestTask& aRequest)
{
  return aRequest.model().model.empty() ? aRequest.group() : aRequest.model().model;
}

/// True if a request was refused because there was not enough capacity for it.
bool
isForWantOfCapacity(RefusalReason aReason)
{
  return aReason == RefusalReason::Overloaded || aReason == RefusalReason::QueueFull ||
         aReason == RefusalReason::ModelNotInTime ||
         aReason == RefusalReason::DeadlinePassed;
}

} // namespace

bool
RequestOrder::active() const
{
  return !std::holds_alternative<serving::PriorityThenAge>(mPolicy);
}

serving::WaitingRequest
RequestOrder::describe(const RequestTask& aRequest, Instant aNow) const
{
  const auto expected = mWork.estimate(aRequest.routeName(), aRequest.tokens());
  serving::WaitingRequest result;
  result.priority = aRequest.priority();
  result.organisation = aRequest.organisation();
  result.counter = mService.counter(aRequest.organisation());
  result.arrived = aRequest.arrived();
  result.objective = aRequest.objective();
  result.callerLeaves = aRequest.callerLeavesAt();
  // Slow responses seen before must not alone make a request late or hopeless: without
  // requests, the estimate would never change again.
  result.timeToFirstEvent =
    std::min(expected.timeToFirstEvent, (aRequest.objective() - aRequest.arrived()) / 2);
  result.work = expected.work;
  if (aRequest.hasBegun()) {
    // A stream that broke off pauses for its caller now, and its work would be lost.
    result.objective = aNow + result.timeToFirstEvent;
  }
  result.loadsFor =
    std::max(Duration::zero(), aRequest.modelReadyAt().value_or(aNow) - aNow);
  result.tokens = aRequest.tokens() > 0 ? aRequest.tokens() : kTokensOfPlainRequest;
  result.promoted = mShares.anyStarved() && mShares.mayPromote(groupsOf(aRequest));
  return result;
}

void
RequestOrder::sort(Requests& aWaiting, Instant aNow)
{
  if (!active()) {
    std::ranges::stable_sort(aWaiting, [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft->priority(), aLeft->arrived()) <
             std::pair(aRight->priority(), aRight->arrived());
    });
    return;
  }
  std::set<std::string> organisations;
  for (const auto& request : aWaiting) {
    organisations.insert(request->organisation());
  }
  mService.setWaiting(organisations);
  std::vector<serving::WaitingRequest> described;
  described.reserve(aWaiting.size());
  for (const auto& request : aWaiting) {
    described.push_back(describe(*request, aNow));
  }
  Requests sorted;
  sorted.reserve(aWaiting.size());
  for (const auto position : serving::sendingOrder(mPolicy, described, aNow)) {
    sorted.push_back(aWaiting[position]);
  }
  aWaiting = std::move(sorted);
}

serving::ArrivalAssessment
RequestOrder::assess(const RequestTask& aArriving,
                     std::span<const std::shared_ptr<RequestTask>> aWaiting,
                     Duration aBacklog,
                     Instant aNow)
{
  std::vector<serving::WaitingRequest> same_model;
  if (active()) {
    for (const auto& request : aWaiting) {
      if (request->model().model == aArriving.model().model &&
          request.get() != &aArriving) {
        same_model.push_back(describe(*request, aNow));
      }
    }
  }
  return serving::assessArrival(
    mPolicy, describe(aArriving, aNow), same_model, aBacklog, aNow);
}

std::optional<Duration>
RequestOrder::returnTime(const RequestTask& aRequest,
                         RefusalReason aReason,
                         std::optional<Duration> aReadyIn,
                         double aRandom,
                         Instant aNow)
{
  if (!active() || !isForWantOfCapacity(aReason)) {
    return aReadyIn;
  }
  return mRetries.returnTime(completedWith(aRequest),
                             aReadyIn.value_or(kUnknownReadyIn),
                             aRequest.timeLimit() / kReturnPart,
                             aRandom,
                             aNow);
}

void
RequestOrder::sent(const RequestTask& aRequest, Instant aNow)
{
  if (!active()) {
    return;
  }
  const auto groups = groupsOf(aRequest);
  if (aRequest.hadToWait()) {
    mShares.sent(mShares.mayPromote(groups));
  }
  mShares.ended(groups, true, aNow);
  mService.served(aRequest.organisation(),
                  aRequest.tokens() > 0 ? aRequest.tokens() : kTokensOfPlainRequest,
                  aRequest.priority());
}

void
RequestOrder::ended(const RequestTask& aRequest, Instant aNow)
{
  if (!active()) {
    return;
  }
  if (aRequest.completed()) {
    mRetries.completed(completedWith(aRequest), aNow);
    mWork.completed(aRequest.routeName(),
                    aRequest.tokens(),
                    { aRequest.timeToFirstEvent(aNow), aRequest.timeAtUpstream(aNow) });
  } else if (!aRequest.wasSent() &&
             aRequest.modelReadyAt().value_or(Instant::max()) <= aNow) {
    // It was refused, or its caller left, for want of a slot. The order can't help
    // requests whose model is not loaded.
    mShares.ended(groupsOf(aRequest), false, aNow);
  }
}

} // namespace savoryrill::gateway
