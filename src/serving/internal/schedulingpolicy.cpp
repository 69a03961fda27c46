#include "serving/schedulingpolicy.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <numeric>
#include <string_view>
#include <utility>

#include "serving/admission.h"
#include "serving/organisationservice.h"

namespace savoryrill::serving {

namespace {

// Requests whose slack differs by less than this are equal to their callers: objectives
// are 400 ms or more for the requests that wait for engines.
constexpr Duration kEqualSlack = 200ms;
// A late request goes before one that takes this much less time for each unit of time
// that it has waited longer, so that long requests are served too.
constexpr int kWaitingCreditDivisor = 2;

/// Smaller values are sent first. Integers only: it is compared often.
struct OrderKey
{
  std::uint64_t rank = 0;   // promotion, priority, and whether it is late
  std::int64_t step = 0;    // requests of one step are equal but for their organisations
  std::int64_t urgency = 0; // microseconds
  std::int64_t arrived = 0;

  friend bool operator<(const OrderKey& aLeft, const OrderKey& aRight)
  {
    if (aLeft.rank != aRight.rank) {
      return aLeft.rank < aRight.rank;
    }
    if (aLeft.step != aRight.step) {
      return aLeft.step < aRight.step;
    }
    if (aLeft.urgency != aRight.urgency) {
      return aLeft.urgency < aRight.urgency;
    }
    return aLeft.arrived < aRight.arrived;
  }
};

std::uint64_t
rankOf(const WaitingRequest& aRequest, bool aPromoted, bool aLate)
{
  constexpr std::uint64_t kNotPromoted = std::uint64_t{ 1 } << 33;
  return (aPromoted ? 0 : kNotPromoted) | (std::uint64_t{ aRequest.priority } << 1) |
         (aLate ? 1 : 0);
}

Duration
slackOf(const WaitingRequest& aRequest, Instant aNow)
{
  return aRequest.objective - aNow - aRequest.loadsFor - aRequest.timeToFirstEvent;
}

class KeyOf
{
public:
  KeyOf(const WaitingRequest& aRequest, Instant aNow)
    : mRequest(aRequest)
    , mNow(aNow)
  {
  }

  OrderKey operator()(PriorityThenAge /*aPolicy*/) const { return key(Duration::zero()); }
  OrderKey operator()(LeastSlack /*aPolicy*/) const
  {
    return key(slackOf(mRequest, mNow));
  }
  OrderKey operator()(ShortestWork /*aPolicy*/) const { return key(mRequest.work); }
  OrderKey operator()(EarliestDeadline /*aPolicy*/) const
  {
    return key(mRequest.callerLeaves - mNow);
  }
  OrderKey operator()(InTimeFirst /*aPolicy*/) const
  {
    const auto slack = slackOf(mRequest, mNow);
    const bool late = slack < Duration::zero();
    const auto waited = mNow - mRequest.arrived;
    auto result = key(late ? mRequest.work - waited / kWaitingCreditDivisor : slack);
    result.rank = rankOf(mRequest, mRequest.promoted, late);
    result.step = result.urgency / kEqualSlack.count();
    return result;
  }

private:
  OrderKey key(Duration aUrgency) const
  {
    return { rankOf(mRequest, false, false),
             0,
             aUrgency.count(),
             mRequest.arrived.time_since_epoch().count() };
  }

  const WaitingRequest& mRequest;
  Instant mNow;
};

/// Orders requests of one class by the counter that their organisation will have when its
/// earlier requests are served, so that organisations take turns. Precondition: the
/// requests are in the order within their organisations.
void
takeTurns(std::span<std::size_t> aClass, std::span<const WaitingRequest> aRequests)
{
  std::map<std::string_view, double> counters;
  std::vector<std::pair<double, std::size_t>> turns;
  turns.reserve(aClass.size());
  for (const auto position : aClass) {
    const auto& request = aRequests[position];
    auto& counter =
      counters.try_emplace(request.organisation, request.counter).first->second;
    turns.emplace_back(counter, position);
    counter += request.tokens / OrganisationService::weight(request.priority);
  }
  std::ranges::stable_sort(turns, {}, &std::pair<double, std::size_t>::first);
  std::ranges::transform(turns, aClass.begin(), &std::pair<double, std::size_t>::second);
}

} // namespace

std::vector<std::size_t>
sendingOrder(const SchedulingPolicy& aPolicy,
             std::span<const WaitingRequest> aRequests,
             Instant aNow)
{
  std::vector<OrderKey> keys;
  keys.reserve(aRequests.size());
  for (const auto& request : aRequests) {
    keys.push_back(std::visit(KeyOf(request, aNow), aPolicy));
  }
  std::vector<std::size_t> order(aRequests.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::stable_sort(order, [&](std::size_t aLeft, std::size_t aRight) {
    return keys[aLeft] < keys[aRight];
  });
  if (!std::holds_alternative<InTimeFirst>(aPolicy)) {
    return order;
  }
  const auto same_class = [&](std::size_t aLeft, std::size_t aRight) {
    return keys[aLeft].rank == keys[aRight].rank && keys[aLeft].step == keys[aRight].step;
  };
  for (auto begin = order.begin(); begin != order.end();) {
    const auto end = std::find_if(
      begin, order.end(), [&](std::size_t aItem) { return !same_class(*begin, aItem); });
    if (end - begin > 1) {
      takeTurns(std::span(begin, end), aRequests);
    }
    begin = end;
  }
  return order;
}

ArrivalAssessment
assessArrival(const SchedulingPolicy& aPolicy,
              const WaitingRequest& aArriving,
              std::span<const WaitingRequest> aWaiting,
              Duration aBacklog,
              Instant aNow)
{
  ArrivalAssessment result;
  const auto to_objective = aArriving.objective - aNow;
  if (std::holds_alternative<PriorityThenAge>(aPolicy)) {
    result.ahead = aBacklog;
    result.decision = shouldQueue(aBacklog, to_objective) ? ArrivalDecision::Wait
                                                          : ArrivalDecision::RefuseLate;
    return result;
  }
  std::vector<WaitingRequest> requests(aWaiting.begin(), aWaiting.end());
  requests.push_back(aArriving);
  double total = 0;
  double ahead = 0;
  bool reached = false;
  for (const auto position : sendingOrder(aPolicy, requests, aNow)) {
    reached = reached || position == aWaiting.size();
    const double work = toSeconds(requests[position].work);
    total += work;
    ahead += reached ? 0 : work;
  }
  // Without another request at this host, those of other hosts may be ahead.
  const double part = aWaiting.empty() || total <= 0 ? 1 : ahead / total;
  result.ahead = std::max(
    Duration(static_cast<std::int64_t>(static_cast<double>(aBacklog.count()) * part)),
    aArriving.loadsFor);
  const auto first_event = result.ahead + aArriving.timeToFirstEvent;
  if (aNow + first_event > aArriving.callerLeaves) {
    result.decision = ArrivalDecision::RefuseHopeless;
  } else if (first_event > to_objective && !aArriving.promoted &&
             result.ahead > aArriving.loadsFor) {
    result.decision = ArrivalDecision::RefuseLate;
  }
  return result;
}

} // namespace savoryrill::serving
