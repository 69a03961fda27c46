#include "routing/waitqueue.h"

#include <algorithm>
#include <tuple>

namespace savoryrill::routing {

std::size_t
WaitQueue::bytes() const
{
  std::size_t total = 0;
  for (const auto& waiting : mWaiting) {
    total += waiting.bytes;
  }
  return total;
}

int
WaitQueue::agedPriority(config::Priority aPriority, Instant aArrival, Instant aNow) const
{
  const auto steps = static_cast<int>((aNow - aArrival) / mLimits.agingPeriod);
  return std::min(static_cast<int>(aPriority) + std::max(0, steps),
                  static_cast<int>(config::Priority::High));
}

OfferResult
WaitQueue::offer(WaitingRequest aWaiting)
{
  std::vector<const WaitingRequest*> sheddable;
  for (const auto& waiting : mWaiting) {
    if (waiting.priority < aWaiting.priority) {
      sheddable.push_back(&waiting);
    }
  }
  // Removes the lowest priority first and the latest deadline within a priority, because
  // its caller has the most time left to send the request to another router.
  std::sort(
    sheddable.begin(),
    sheddable.end(),
    [](const WaitingRequest* aLeft, const WaitingRequest* aRight) {
      return std::make_tuple(aLeft->priority, -aLeft->deadline.time_since_epoch()) <
             std::make_tuple(aRight->priority, -aRight->deadline.time_since_epoch());
    });
  std::size_t count = mWaiting.size();
  std::size_t total = bytes();
  OfferResult result;
  for (const WaitingRequest* victim : sheddable) {
    if (count < mLimits.maxCount && total + aWaiting.bytes <= mLimits.maxBytes) {
      break;
    }
    --count;
    total -= victim->bytes;
    result.shed.push_back(victim->request);
  }
  if (count >= mLimits.maxCount || total + aWaiting.bytes > mLimits.maxBytes) {
    return {};
  }
  for (const std::uint64_t request : result.shed) {
    remove(request);
  }
  mWaiting.push_back(std::move(aWaiting));
  result.accepted = true;
  return result;
}

std::optional<WaitingRequest>
WaitQueue::take(Instant aNow, const std::function<bool(const WaitingRequest&)>& aCanServe)
{
  const auto rank = [&](const WaitingRequest& aWaiting) {
    return std::make_tuple(-agedPriority(aWaiting.priority, aWaiting.arrival, aNow),
                           aWaiting.deadline,
                           aWaiting.request);
  };
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < mWaiting.size(); ++i) {
    if (mWaiting[i].notBefore <= aNow) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return rank(mWaiting[aLeft]) < rank(mWaiting[aRight]);
  });
  for (const std::size_t i : order) {
    if (aCanServe(mWaiting[i])) {
      WaitingRequest taken = std::move(mWaiting[i]);
      mWaiting.erase(mWaiting.begin() + static_cast<std::ptrdiff_t>(i));
      return taken;
    }
  }
  return std::nullopt;
}

bool
WaitQueue::remove(std::uint64_t aRequest)
{
  return std::erase_if(mWaiting, [aRequest](const WaitingRequest& aWaiting) {
           return aWaiting.request == aRequest;
         }) > 0;
}

std::size_t
WaitQueue::countAheadOf(config::Priority aPriority, Instant aDeadline, Instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mWaiting.begin(), mWaiting.end(), [&](const WaitingRequest& aWaiting) {
      const int aged = agedPriority(aWaiting.priority, aWaiting.arrival, aNow);
      const int own = static_cast<int>(aPriority);
      return aged > own || (aged == own && aWaiting.deadline <= aDeadline);
    }));
}

std::optional<Instant>
WaitQueue::nextBackOffEnd(Instant aNow) const
{
  std::optional<Instant> next;
  for (const auto& waiting : mWaiting) {
    if (waiting.notBefore > aNow) {
      next = std::min(next.value_or(waiting.notBefore), waiting.notBefore);
    }
  }
  return next;
}

} // namespace savoryrill::routing
