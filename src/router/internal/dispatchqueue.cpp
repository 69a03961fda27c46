#include <algorithm>
#include <utility>

#include "router/internal/dispatchtask.h"
#include "router/types/routerevents.h"

// The part of the dispatch task that admits requests, queues them and selects upstreams.

namespace savoryrill::router {

namespace {

using routing::Ran;
using routing::Refusal;
using routing::RefusalReason;

// The queues are checked at least this often while requests wait, because open circuits
// become half-open with time, without a message.
constexpr Duration kDispatchPeriod = 100ms;
// Upper estimate: an adapter loads within a few hundredths of a second.
constexpr Duration kAdapterLoadTime = 100ms;
// Maximum time for which demand is still reported after a request for a model without a
// loaded replica was refused because its deadline cannot be met.
constexpr Duration kMaxDemandRetention = 10s;

} // namespace

/// Returns a refusal if too many requests to a plain service are in progress.
std::optional<Refusal>
DispatchTask::checkServiceCapacity(const ActiveRequest& aRequest) const
{
  if (aRequest.inference() != nullptr) {
    return std::nullopt;
  }
  const auto& services = mView.configuration()->services;
  const auto service = services.find(aRequest.deploymentOrService());
  if (service == services.end()) {
    return Refusal{ RefusalReason::UnknownService, "the service was removed" };
  }
  const auto open = std::count_if(mRequests.begin(), mRequests.end(), [&](auto& aItem) {
    return aItem.second->inference() == nullptr &&
           aItem.second->deploymentOrService() == aRequest.deploymentOrService();
  });
  if (static_cast<std::size_t>(open) > service->second.maxQueue) {
    return Refusal{ RefusalReason::QueueFull, "too many calls are in progress" };
  }
  return std::nullopt;
}

routing::WaitQueue&
DispatchTask::queueOf(const ActiveRequest& aRequest)
{
  routing::WaitQueue::Limits limits;
  const auto& configuration = *mView.configuration();
  const std::string group = aRequest.deploymentOrService();
  if (aRequest.inference() == nullptr) {
    const auto service = configuration.services.find(group);
    if (service != configuration.services.end()) {
      limits.maxCount = service->second.maxQueue;
      limits.maxBytes = SIZE_MAX; // bounded by the count and the server's body limit
    }
  } else if (const auto deployment = configuration.deployments.find(group);
             deployment != configuration.deployments.end()) {
    limits.maxCount = deployment->second.maxQueue;
    limits.maxBytes = deployment->second.maxQueueBytes;
  }
  const std::string kind = aRequest.inference() == nullptr ? "service/" : "deployment/";
  auto& queue = mQueues.try_emplace(kind + group, limits).first->second;
  queue.setLimits(limits);
  return queue;
}

routing::WaitingRequest
DispatchTask::toWaitingRequest(const ActiveRequest& aRequest, Instant aNotBefore)
{
  routing::WaitingRequest waiting;
  waiting.request = aRequest.callerRequest.number;
  waiting.priority = aRequest.callerRequest.priority;
  waiting.arrival = aRequest.callerRequest.arrival;
  waiting.deadline = aRequest.callerRequest.deadline;
  waiting.notBefore = aNotBefore;
  waiting.bytes = aRequest.callerRequest.body.size();
  if (const auto* target = aRequest.inference()) {
    waiting.model = target->model;
  }
  return waiting;
}

/// Estimates the time until the model is loaded, if it is not: the load time of an
/// adapter if the base model is loaded, else the remaining time of a load in progress,
/// else the observed duration of cold starts, at most the configured load time.
Duration
DispatchTask::untilLoaded(const config::ModelReference& aModel, Instant aNow) const
{
  const config::ModelReference base{ aModel.loadable, "" };
  if (!aModel.adapter.empty() && !mView.serving(base).empty()) {
    return kAdapterLoadTime;
  }
  if (const auto ready = mView.readyIn(aModel.loadable, aNow)) {
    return *ready;
  }
  const auto& deployment =
    mView.configuration()->deployments.at(aModel.loadable.deployment);
  const auto observed = mDurations.estimate("cold/" + aModel.loadable.deployment, aNow);
  return std::min(observed.value_or(deployment.loadTime), deployment.loadTime);
}

routing::AdmissionInput
DispatchTask::admissionInput(const ActiveRequest& aRequest, Duration aUntilLoaded) const
{
  const Instant now = mLoop.now();
  routing::AdmissionInput input;
  input.untilDeadline = aRequest.callerRequest.deadline - now;
  input.untilLoaded = aUntilLoaded;
  input.serviceTime =
    mDurations.estimate("service/" + aRequest.deploymentOrService(), now)
      .value_or(Duration::zero());
  for (const auto& name : mView.serving(aRequest.inference()->model)) {
    input.slots += mView.configured(name)->maxConcurrency;
  }
  const auto queue = mQueues.find("deployment/" + aRequest.deploymentOrService());
  if (queue != mQueues.end()) {
    input.requestsAhead = queue->second.countAheadOf(
      aRequest.callerRequest.priority, aRequest.callerRequest.deadline, now);
  }
  return input;
}

/// Refuses a request if its deadline cannot be met or its queue is full; else queues it.
void
DispatchTask::admit(ActiveRequest& aRequest)
{
  const Instant now = mLoop.now();
  const std::uint64_t number = aRequest.callerRequest.number;
  if (const auto* target = aRequest.inference()) {
    const auto& model = target->model;
    if (!config::findModel(*mView.configuration(), config::toString(model))) {
      refuse(aRequest, { RefusalReason::UnknownModel, "the model was removed" });
      return;
    }
    const auto decision =
      routing::admit(admissionInput(aRequest, untilLoaded(model, now)));
    if (!decision.admitted) {
      if (aRequest.coldStart) {
        mDemand.retainUntil(model,
                            now + std::min(decision.estimate, kMaxDemandRetention));
        publishDemand();
      }
      refuse(
        aRequest,
        { RefusalReason::DeadlineUnreachable,
          "the answer is expected in " + std::to_string(toMs(decision.estimate)) + " ms",
          Ran::No,
          decision.estimate });
      return;
    }
  }
  aRequest.phase = RequestPhase::Waiting;
  const auto offer = queueOf(aRequest).offer(toWaitingRequest(aRequest, now));
  if (!offer.accepted) {
    refuse(aRequest, { RefusalReason::QueueFull, "no place of lower priority is left" });
    return;
  }
  for (const std::uint64_t shed : offer.shed) {
    if (auto* shed_request = find(shed)) {
      refuse(*shed_request,
             { RefusalReason::Shed,
               "the queue is full",
               shed_request->mayHaveRun ? Ran::Unknown : Ran::No });
    }
  }
  dispatchWaiting();
  const auto* queued = find(number);
  if (queued != nullptr && queued->phase == RequestPhase::Waiting) {
    reportWaiting(*queued);
  }
}

void
DispatchTask::reportWaiting(const ActiveRequest& aRequest)
{
  const char* reason = "all upstreams are busy";
  if (const auto* target = aRequest.inference()) {
    if (mView.serving(target->model).empty()) {
      const bool loading = mView.readyIn(target->model.loadable, mLoop.now()).has_value();
      const bool assigned = !mView.assigned(target->model.loadable).empty();
      reason = loading    ? "a replica is loading"
               : assigned ? "no replica is loaded"
                          : "no upstream is assigned";
    }
    publishDemand();
  }
  mLog.write(kRequestWaiting,
             { { "request", aRequest.callerRequest.id },
               { "model", aRequest.modelOrService() },
               { "reason", reason } });
}

std::vector<routing::Candidate>
DispatchTask::candidates(const ActiveRequest& aRequest) const
{
  static const std::vector<std::uint64_t> sNone;
  const Instant now = mLoop.now();
  if (const auto* target = aRequest.inference()) {
    return mLoads.candidates(
      mView.serving(target->model), mView, mOptions.dataCentre, target->prefixes, now);
  }
  const auto& services = mView.configuration()->services;
  const auto service = services.find(aRequest.deploymentOrService());
  if (service == services.end()) {
    return {};
  }
  return mLoads.candidates(mView.usableInPool(service->second.pool, mOptions.dataCentre),
                           mView,
                           mOptions.dataCentre,
                           sNone,
                           now);
}

/// Dispatches all queued requests for which an upstream is available.
void
DispatchTask::dispatchWaiting()
{
  const Instant now = mLoop.now();
  Duration next = Duration::zero();
  for (auto& [group, queue] : mQueues) {
    while (true) {
      std::vector<routing::Candidate> found;
      const auto taken = queue.take(now, [&](const routing::WaitingRequest& aWaiting) {
        const auto* request = find(aWaiting.request);
        found = request == nullptr ? found : candidates(*request);
        return request == nullptr || !found.empty();
      });
      if (!taken) {
        break;
      }
      if (auto* request = find(taken->request)) {
        const auto chosen = routing::choose(mOptions.policy, found, mRandom);
        dispatch(*request, found[*chosen].upstream);
      }
    }
    if (queue.count() > 0) {
      const Duration wait =
        queue.nextBackOffEnd(now).value_or(now + kDispatchPeriod) - now;
      const Duration bounded = std::clamp<Duration>(wait, 1ms, kDispatchPeriod);
      next = next == Duration::zero() ? bounded : std::min(next, bounded);
    }
  }
  if (next > Duration::zero()) {
    mDispatchTimer = mLoop.after(next, [this] { dispatchWaiting(); });
  } else {
    mDispatchTimer.reset();
  }
}

void
DispatchTask::scheduleDispatch()
{
  if (!mDispatchTimer) {
    mDispatchTimer = mLoop.after(Duration::zero(), [this] {
      mDispatchTimer.reset();
      dispatchWaiting();
    });
  }
}

} // namespace savoryrill::router
