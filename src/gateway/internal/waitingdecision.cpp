#include "gateway/internal/waitingdecision.h"

namespace savoryrill::gateway {

using serving::RefusalReason;

namespace {

// Minimum time that an engine needs until the first event.
constexpr Duration kMinFirstEventTime = 60ms;
// A request that waits for a model of unknown load time is refused when less than its
// total time divided by this is left, so that the caller can still retry elsewhere.
constexpr int kUnknownDelayDivisor = 4;

} // namespace

std::optional<WaitingRefusal>
refusalOfWaiting(const WaitingOutlook& aOutlook)
{
  const Duration remaining_time = aOutlook.remainingTime;
  const Duration needed = aOutlook.engine ? kMinFirstEventTime : kMinServiceTime;
  if (!aOutlook.mayConnect) {
    return WaitingRefusal{ RefusalReason::NoUpstream, std::nullopt };
  }
  if (remaining_time < needed) {
    return WaitingRefusal{ RefusalReason::DeadlinePassed, std::nullopt };
  }
  if (aOutlook.readyIn && *aOutlook.readyIn + needed > remaining_time) {
    return WaitingRefusal{ RefusalReason::ModelNotInTime, std::nullopt };
  }
  if (aOutlook.takenIn + needed > remaining_time) {
    return WaitingRefusal{ RefusalReason::UpstreamsNotTaking, aOutlook.takenIn };
  }
  if (!aOutlook.readyIn && aOutlook.engine && aOutlook.leaderUnavailable) {
    // Load pattern: the store is unreachable, so no models are loaded and waiting is
    // useless.
    return WaitingRefusal{ RefusalReason::NoLeader, std::nullopt };
  }
  if (!aOutlook.readyIn && remaining_time < aOutlook.totalTime / kUnknownDelayDivisor) {
    return WaitingRefusal{ RefusalReason::ModelNotInTime, std::nullopt };
  }
  return std::nullopt;
}

} // namespace savoryrill::gateway
