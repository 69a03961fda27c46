#include "router/internal/dispatchtask.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "router/internal/problems.h"
#include "router/types/routerevents.h"

namespace savoryrill::router {

namespace {

using routing::AttemptVerdict;
using routing::Ran;
using routing::Refusal;
using routing::RefusalReason;

// When the deadline of a request ends its attempt, the attempt counts as a failure of the
// upstream if it has run for at least this time and no part of its response has been
// forwarded. Attempts that a short deadline ends earlier must not open the circuit,
// because the caller chose that deadline.
constexpr Duration kHangThreshold = 2s;

/// The current minute of the wall clock, counted from the Unix epoch.
std::int64_t
wallMinute()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::minutes>(now).count();
}

} // namespace

DispatchTask::DispatchTask(event::Loop& aLoop,
                           DispatchOptions aOptions,
                           DispatchPeers aPeers,
                           EventLog& aLog,
                           Metrics& aMetrics)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mPeers(aPeers)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mRandom(mOptions.randomSeed)
{
  mDemandTimer = mLoop.every(mOptions.demandPeriod, [this] {
    publishDemand();
    updateMetrics();
  });
}

void
DispatchTask::handle(DispatchMessage aMessage)
{
  std::visit([this](auto& aTyped) { on(aTyped); }, aMessage);
}

ActiveRequest*
DispatchTask::find(std::uint64_t aNumber)
{
  const auto found = mRequests.find(aNumber);
  return found == mRequests.end() ? nullptr : found->second.get();
}

std::size_t
DispatchTask::waiting() const
{
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aItem) {
      const auto phase = aItem.second->phase;
      return phase == RequestPhase::Waiting || phase == RequestPhase::Claiming;
    }));
}

Json::Value
DispatchTask::upstreamStatus() const
{
  Json::Value result(Json::objectValue);
  if (!mView.configuration()) {
    return result;
  }
  const Instant now = mLoop.now();
  for (const auto& [name, properties] : mView.configuration()->upstreams) {
    Json::Value entry(Json::objectValue);
    entry["circuit"] = std::string(nameOf(mLoads.circuit(name, now)));
    entry["in_flight"] = mLoads.inFlight(name);
    entry["reported_load"] = mView.upstream(name).reportedLoad;
    entry["reachable"] = mView.upstream(name).reachable;
    entry["leaving"] = mView.isLeaving(name);
    result[name] = std::move(entry);
  }
  return result;
}

void
DispatchTask::on(ConfigurationAdopted& aMessage)
{
  mView.setConfiguration(aMessage.configuration);
  scheduleDispatch();
}

Json::Value
DispatchTask::objectives() const
{
  Json::Value result(Json::objectValue);
  const auto& configuration = mView.configuration();
  if (!configuration) {
    return result;
  }
  for (const auto& [name, deployment] : configuration->deployments) {
    auto& entry = result[name];
    entry["availability"] = deployment.objectives.availability;
    entry["first_token_ms"] = Json::Int64(toMs(deployment.objectives.firstToken));
    entry["cold_start_ms"] = Json::Int64(toMs(deployment.objectives.coldStart));
  }
  return result;
}

void
DispatchTask::on(EntryChanged& aMessage)
{
  // Dispatch is only scheduled here, so that all entries of one message are applied
  // before requests are dispatched on their basis.
  if (mView.apply(aMessage.entry, mLoop.now())) {
    scheduleDispatch();
  }
}

void
DispatchTask::on(RequestArrived& aMessage)
{
  const std::uint64_t number = aMessage.request.number;
  auto& request = *(mRequests[number] = std::make_unique<ActiveRequest>());
  request.callerRequest = std::move(aMessage.request);
  const auto& caller_request = request.callerRequest;
  mBudget.requestArrived();
  mLog.write(
    kRequestReceived,
    { { "request", caller_request.id },
      { "model", request.modelOrService() },
      { "caller", caller_request.callerName },
      { "priority", nameOf(caller_request.priority) },
      { "deadline_ms", toMs(caller_request.deadline - caller_request.arrival) } });
  if (const auto* target = request.inference()) {
    mDemand.addArrival(target->model);
    request.coldStart = mView.serving(target->model).empty();
  }
  if (!mView.configuration()) {
    refuse(request, { RefusalReason::NotReady, "no configuration has been received" });
    return;
  }
  if (mRefusing) {
    refuse(request, { RefusalReason::ShuttingDown, "the drain limit has passed" });
    return;
  }
  if (const auto refusal = checkServiceCapacity(request)) {
    refuse(request, *refusal);
    return;
  }
  request.deadlineTimer = mLoop.after(caller_request.deadline - mLoop.now(),
                                      [this, number] { handleDeadline(number); });
  if (caller_request.idempotencyKey.empty()) {
    admit(request);
  } else {
    startClaim(request);
  }
}

AttemptVerdict
DispatchTask::verdictAtDeadline(const ActiveRequest& aRequest) const
{
  const bool unresponsive =
    !aRequest.stream.started && mLoop.now() - aRequest.dispatchedAt >= kHangThreshold;
  return unresponsive ? AttemptVerdict::Failed : AttemptVerdict::Abandoned;
}

void
DispatchTask::handleDeadline(std::uint64_t aNumber)
{
  auto* request = find(aNumber);
  if (request == nullptr || !request->callerWaiting) {
    return;
  }
  switch (request->phase) {
    case RequestPhase::Running:
      if (!request->callerRequest.repeatable) {
        // The attempt goes on, so that its outcome can be recorded for duplicates.
        sendRefusal(*request,
                    { RefusalReason::OutcomeUnknown,
                      "the upstream has not answered by the deadline",
                      Ran::Unknown });
        return;
      }
      if (request->stream.finished) {
        cancel(*request, AttemptVerdict::Answered);
        finishStream(*request);
        return;
      }
      cancel(*request, verdictAtDeadline(*request));
      [[fallthrough]];
    case RequestPhase::AwaitingResume:
      refuse(*request,
             { RefusalReason::DeadlineExceeded,
               "the upstream has not finished",
               Ran::Unknown });
      return;
    case RequestPhase::ReadingOutcome:
      refuse(*request,
             { RefusalReason::OutcomeUnavailable,
               "the recorded outcome has not arrived",
               Ran::Unknown });
      return;
    case RequestPhase::Claiming:
    case RequestPhase::Waiting:
      refuse(*request,
             { RefusalReason::DeadlineExceeded,
               "the request was still waiting",
               request->mayHaveRun ? Ran::Unknown : Ran::No });
      return;
  }
}

/// Sends a refusal to the caller if it is still waiting.
void
DispatchTask::sendRefusal(ActiveRequest& aRequest, const Refusal& aRefusal)
{
  if (!std::exchange(aRequest.callerWaiting, false)) {
    return;
  }
  const auto& caller_request = aRequest.callerRequest;
  const std::string reason(nameOf(aRefusal.reason));
  mMetrics.add("savoryrill_router_refusals_total{reason=\"" + reason + "\"}");
  mStatistics.addRefusal(aRequest.deploymentOrService(), aRefusal.reason, wallMinute());
  mLog.write(kRequestRefused,
             { { "request", caller_request.id },
               { "model", aRequest.modelOrService() },
               { "upstream", aRequest.upstream },
               { "reason", reason },
               { "detail", aRefusal.detail },
               { "ran", nameOf(aRefusal.ran) },
               { "after_ms", toMs(mLoop.now() - caller_request.arrival) } });
  if (aRequest.stream.started) {
    mPeers.callers.send(
      SendStreamData{ caller_request.number, errorEvent(aRefusal, caller_request.id) });
    mPeers.callers.send(EndResponseStream{ caller_request.number, false });
  } else {
    mPeers.callers.send(SendResponse{ caller_request.number,
                                      problemResponse(aRefusal, caller_request.id) });
  }
}

/// Ends a request with a refusal. Precondition: no attempt of it is open.
void
DispatchTask::refuse(ActiveRequest& aRequest, const Refusal& aRefusal)
{
  const std::uint64_t number = aRequest.callerRequest.number;
  sendRefusal(aRequest, aRefusal);
  if (mClaims.count(number) > 0) {
    applyClaimEvent(number, routing::claim_event::Abandoned{});
  }
  removeRequest(number);
}

void
DispatchTask::recordResponse(ActiveRequest& aRequest)
{
  const Instant now = mLoop.now();
  const auto& caller_request = aRequest.callerRequest;
  mDurations.observe(
    "service/" + aRequest.deploymentOrService(), now - aRequest.dispatchedAt, now);
  mStatistics.addResponse(aRequest.deploymentOrService(), wallMinute());
  mMetrics.add("savoryrill_router_answers_total");
  mMetrics.observe("savoryrill_router_answer_seconds",
                   toSeconds(now - caller_request.arrival));
  mLog.write(kRequestFinished,
             { { "request", caller_request.id },
               { "model", aRequest.modelOrService() },
               { "upstream", aRequest.upstream },
               { "attempts", std::uint64_t(aRequest.attempts) },
               { "after_ms", toMs(now - caller_request.arrival) } });
}

/// Ends a request with a complete response.
void
DispatchTask::finish(ActiveRequest& aRequest, http::Response aResponse)
{
  const std::uint64_t number = aRequest.callerRequest.number;
  if (std::exchange(aRequest.callerWaiting, false)) {
    recordResponse(aRequest);
    aResponse.headers = endToEndHeaders(aResponse.headers);
    aResponse.headers["X-Request-Id"] = aRequest.callerRequest.id;
    mPeers.callers.send(SendResponse{ number, std::move(aResponse) });
  } else {
    mLog.write(
      kOutcomeArrivedLate,
      { { "request", aRequest.callerRequest.id }, { "upstream", aRequest.upstream } });
  }
  removeRequest(number);
}

void
DispatchTask::removeRequest(std::uint64_t aNumber)
{
  const auto found = mRequests.find(aNumber);
  if (found == mRequests.end()) {
    return;
  }
  for (auto& [group, queue] : mQueues) {
    if (queue.remove(aNumber)) {
      break;
    }
  }
  mRequests.erase(found);
  scheduleDispatch();
}

void
DispatchTask::on(CallerDisconnected& aMessage)
{
  auto* request = find(aMessage.request);
  if (request == nullptr || !std::exchange(request->callerWaiting, false)) {
    return;
  }
  const char* reason = aMessage.tooSlow ? "the caller reads too slowly" : "caller left";
  mMetrics.add("savoryrill_router_abandoned_total");
  mLog.write(kRequestAbandoned,
             { { "request", request->callerRequest.id },
               { "model", request->modelOrService() },
               { "upstream", request->upstream },
               { "reason", reason } });
  if (request->phase == RequestPhase::Running) {
    if (!request->callerRequest.repeatable) {
      return; // the attempt cannot be repeated, so it goes on and its outcome is recorded
    }
    cancel(*request, AttemptVerdict::Abandoned);
  }
  if (mClaims.count(aMessage.request) > 0) {
    applyClaimEvent(aMessage.request, routing::claim_event::Abandoned{});
  }
  removeRequest(aMessage.request);
}

void
DispatchTask::on(RefuseAll&)
{
  mRefusing = true;
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, request] : mRequests) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    auto* request = find(number);
    if (request == nullptr) {
      continue;
    }
    const bool running = request->phase == RequestPhase::Running;
    const bool may_have_run =
      running || request->phase == RequestPhase::AwaitingResume || request->mayHaveRun;
    if (running) {
      cancel(*request, AttemptVerdict::Abandoned);
    }
    // If the request of a claim has been dispatched, `refuse` lets the claim record that
    // the outcome is unknown.
    refuse(*request,
           { may_have_run && !request->callerRequest.repeatable
               ? RefusalReason::OutcomeUnknown
               : RefusalReason::ShuttingDown,
             "the router stops",
             may_have_run ? Ran::Unknown : Ran::No });
  }
}

void
DispatchTask::publishDemand()
{
  mDemand.startCount(mLoop.now());
  for (const auto& [number, request] : mRequests) {
    const auto* target = request->inference();
    if (target == nullptr) {
      continue;
    }
    if (request->phase == RequestPhase::Waiting) {
      mDemand.addWaiting(
        target->model, request->callerRequest.deadline, request->callerRequest.priority);
    } else if (request->phase == RequestPhase::Running) {
      mDemand.addInFlight(target->model);
    }
  }
  auto content = mDemand.takeContent();
  const bool empty = content.items().empty();
  if (!empty || mDemandPublished) {
    mDemandPublished = !empty;
    mPeers.sync.send(PublishDemand{ std::move(content) });
  }
}

void
DispatchTask::updateMetrics()
{
  mMetrics.set("savoryrill_router_waiting", double(waiting()));
  mMetrics.set("savoryrill_router_in_flight", double(inFlight()));
  mMetrics.set("savoryrill_router_retry_budget", mBudget.available());
  mMetrics.set("savoryrill_router_discarded_events", double(mRegistry.discarded()));
}

} // namespace savoryrill::router
