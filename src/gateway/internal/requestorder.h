#pragma once

#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "base/types/time.h"
#include "gateway/internal/requesttask.h"
#include "serving/observedwork.h"
#include "serving/organisationservice.h"
#include "serving/retryspread.h"
#include "serving/schedulingpolicy.h"
#include "serving/servedshares.h"

namespace savoryrill::gateway {

/// Applies the scheduling policy to the requests of this host and keeps what the policy
/// depends on. Records nothing with `PriorityThenAge`, which needs none of it. Not thread
/// safe.
class RequestOrder
{
public:
  using Requests = std::vector<std::shared_ptr<RequestTask>>;

  void setPolicy(serving::SchedulingPolicy aPolicy) { mPolicy = aPolicy; }
  /// False for `PriorityThenAge`, with which all decisions are those of earlier versions.
  bool active() const;

  void sort(Requests& aWaiting, Instant aNow);
  /// Decides about a request that has to wait for its model, whose backlog takes
  /// `aBacklog`.
  serving::ArrivalAssessment assess(
    const RequestTask& aArriving,
    std::span<const std::shared_ptr<RequestTask>> aWaiting,
    Duration aBacklog,
    Instant aNow);
  /// When a refused caller should return; `aReadyIn` is the time until the request could
  /// run, if known.
  std::optional<Duration> returnTime(const RequestTask& aRequest,
                                     serving::RefusalReason aReason,
                                     std::optional<Duration> aReadyIn,
                                     double aRandom,
                                     Instant aNow);

  void sent(const RequestTask& aRequest, Instant aNow);
  void ended(const RequestTask& aRequest, Instant aNow);

private:
  serving::WaitingRequest describe(const RequestTask& aRequest, Instant aNow) const;

  serving::SchedulingPolicy mPolicy;
  serving::OrganisationService mService;
  serving::ServedShares mShares;
  serving::ObservedWork mWork;
  serving::RetrySpread mRetries;
};

} // namespace savoryrill::gateway
