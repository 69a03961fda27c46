#include "serving/waitingmodels.h"

#include <algorithm>
#include <tuple>

namespace savoryrill::serving {

namespace {

// Time before a late caller gives up, besides the load time, from which on its model goes
// first: engines may be busy with other loads.
constexpr Duration kLateCallerReserve = 2500ms;

enum class Urgency
{
  LastChance, // late, and its first caller gives up soon
  InTime,     // a load that starts now can still meet an objective
  Late
};

Urgency
urgencyOf(const WaitingModel& aModel, Instant aNow)
{
  if (aModel.latestObjective && *aModel.latestObjective - aNow > aModel.loadTime) {
    return Urgency::InTime;
  }
  const bool leaves_soon = aModel.firstLeaves && *aModel.firstLeaves - aNow <
                                                   aModel.loadTime + kLateCallerReserve;
  return leaves_soon ? Urgency::LastChance : Urgency::Late;
}

} // namespace

void
sortByPlacementOrder(std::vector<WaitingModel>& aModels, Instant aNow)
{
  const auto key = [&](const WaitingModel& aModel) {
    const Urgency urgency = urgencyOf(aModel, aNow);
    const bool in_time = urgency == Urgency::InTime;
    const Instant limit =
      (in_time ? aModel.latestObjective : aModel.firstLeaves).value_or(Instant::max());
    // Only models in time are compared by their number of requests.
    const std::int64_t requests = in_time ? aModel.waiting : 0;
    return std::tuple(!aModel.hasCopy, urgency, -requests, limit);
  };
  std::ranges::stable_sort(aModels,
                           [&](const WaitingModel& aLeft, const WaitingModel& aRight) {
                             return key(aLeft) < key(aRight);
                           });
}

} // namespace savoryrill::serving
