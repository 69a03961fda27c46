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

// An attempt without any answer for so long speaks against the upstream when the deadline
// ends it; shorter deadlines are the caller's choice and must not open circuits.
constexpr Duration kHangTime = 2s;

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
    measure();
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
  pumpSoon();
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
  // The entries of one message are applied together before requests are sent on them.
  if (mView.apply(aMessage.entry, mLoop.now())) {
    pumpSoon();
  }
}

void
DispatchTask::on(RequestArrived& aMessage)
{
  const std::uint64_t number = aMessage.request.number;
  auto& request = *(mRequests[number] = std::make_unique<ActiveRequest>());
  request.caller = std::move(aMessage.request);
  const auto& caller = request.caller;
  mBudget.requestArrived();
  mLog.write(kRequestReceived,
             { { "request", caller.id },
               { "model", request.subject() },
               { "caller", caller.caller },
               { "priority", nameOf(caller.priority) },
               { "deadline_ms", toMs(caller.deadline - caller.arrival) } });
  if (const auto* target = request.inference()) {
    mDemand.arrived(target->model);
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
  if (const auto refusal = checkService(request)) {
    refuse(request, *refusal);
    return;
  }
  request.deadline =
    mLoop.after(caller.deadline - mLoop.now(), [this, number] { passDeadline(number); });
  if (caller.idempotencyKey.empty()) {
    admit(request);
  } else {
    startClaim(request);
  }
}

AttemptVerdict
DispatchTask::verdictAtDeadline(const ActiveRequest& aRequest) const
{
  const bool hangs =
    !aRequest.stream.started && mLoop.now() - aRequest.dispatchedAt >= kHangTime;
  return hangs ? AttemptVerdict::Failed : AttemptVerdict::Abandoned;
}

void
DispatchTask::passDeadline(std::uint64_t aNumber)
{
  auto* request = find(aNumber);
  if (request == nullptr || !request->callerWaits) {
    return;
  }
  switch (request->phase) {
    case RequestPhase::Running:
      if (!request->caller.repeatable) {
        // The attempt goes on: its outcome is recorded for duplicates.
        tellRefusal(*request,
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
    case RequestPhase::Pausing:
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

/// Answers the caller, if it still waits, with a refusal.
void
DispatchTask::tellRefusal(ActiveRequest& aRequest, const Refusal& aRefusal)
{
  if (!std::exchange(aRequest.callerWaits, false)) {
    return;
  }
  const auto& caller = aRequest.caller;
  const std::string reason(nameOf(aRefusal.reason));
  mMetrics.add("savoryrill_router_refusals_total{reason=\"" + reason + "\"}");
  mReport.refused(aRequest.group(), aRefusal.reason, wallMinute());
  mLog.write(kRequestRefused,
             { { "request", caller.id },
               { "model", aRequest.subject() },
               { "upstream", aRequest.upstream },
               { "reason", reason },
               { "detail", aRefusal.detail },
               { "ran", nameOf(aRefusal.ran) },
               { "after_ms", toMs(mLoop.now() - caller.arrival) } });
  if (aRequest.stream.started) {
    mPeers.callers.send(AnswerData{ caller.number, errorEvent(aRefusal, caller.id) });
    mPeers.callers.send(AnswerEnd{ caller.number, false });
  } else {
    mPeers.callers.send(
      AnswerWhole{ caller.number, problemResponse(aRefusal, caller.id) });
  }
}

/// Ends a request with a refusal. Precondition: no attempt of it is open.
void
DispatchTask::refuse(ActiveRequest& aRequest, const Refusal& aRefusal)
{
  const std::uint64_t number = aRequest.caller.number;
  tellRefusal(aRequest, aRefusal);
  if (mClaims.count(number) > 0) {
    feedClaim(number, routing::claim_event::Abandoned{});
  }
  close(number);
}

void
DispatchTask::noteAnswered(ActiveRequest& aRequest)
{
  const Instant now = mLoop.now();
  const auto& caller = aRequest.caller;
  mTimes.observe("service/" + aRequest.group(), now - aRequest.dispatchedAt, now);
  mReport.answered(aRequest.group(), wallMinute());
  mMetrics.add("savoryrill_router_answers_total");
  mMetrics.observe("savoryrill_router_answer_seconds", toSeconds(now - caller.arrival));
  mLog.write(kRequestFinished,
             { { "request", caller.id },
               { "model", aRequest.subject() },
               { "upstream", aRequest.upstream },
               { "attempts", std::uint64_t(aRequest.attempts) },
               { "after_ms", toMs(now - caller.arrival) } });
}

/// Ends a request with a whole answer.
void
DispatchTask::finish(ActiveRequest& aRequest, http::Response aResponse)
{
  const std::uint64_t number = aRequest.caller.number;
  if (std::exchange(aRequest.callerWaits, false)) {
    noteAnswered(aRequest);
    aResponse.headers = endToEndHeaders(aResponse.headers);
    aResponse.headers["X-Request-Id"] = aRequest.caller.id;
    mPeers.callers.send(AnswerWhole{ number, std::move(aResponse) });
  } else {
    mLog.write(kOutcomeArrivedLate,
               { { "request", aRequest.caller.id }, { "upstream", aRequest.upstream } });
  }
  close(number);
}

void
DispatchTask::close(std::uint64_t aNumber)
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
  pumpSoon();
}

void
DispatchTask::on(CallerLeft& aMessage)
{
  auto* request = find(aMessage.request);
  if (request == nullptr || !std::exchange(request->callerWaits, false)) {
    return;
  }
  const char* reason = aMessage.tooSlow ? "the caller reads too slowly" : "caller left";
  mMetrics.add("savoryrill_router_abandoned_total");
  mLog.write(kRequestAbandoned,
             { { "request", request->caller.id },
               { "model", request->subject() },
               { "upstream", request->upstream },
               { "reason", reason } });
  if (request->phase == RequestPhase::Running) {
    if (!request->caller.repeatable) {
      return; // it may not be repeated, so its outcome is worth recording
    }
    cancel(*request, AttemptVerdict::Abandoned);
  }
  if (mClaims.count(aMessage.request) > 0) {
    feedClaim(aMessage.request, routing::claim_event::Abandoned{});
  }
  close(aMessage.request);
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
      running || request->phase == RequestPhase::Pausing || request->mayHaveRun;
    if (running) {
      cancel(*request, AttemptVerdict::Abandoned);
    }
    // A claim that has been dispatched records that its outcome is unknown.
    refuse(*request,
           { may_have_run && !request->caller.repeatable ? RefusalReason::OutcomeUnknown
                                                         : RefusalReason::ShuttingDown,
             "the router stops",
             may_have_run ? Ran::Unknown : Ran::No });
  }
}

void
DispatchTask::publishDemand()
{
  mDemand.begin(mLoop.now());
  for (const auto& [number, request] : mRequests) {
    const auto* target = request->inference();
    if (target == nullptr) {
      continue;
    }
    if (request->phase == RequestPhase::Waiting) {
      mDemand.addWaiting(
        target->model, request->caller.deadline, request->caller.priority);
    } else if (request->phase == RequestPhase::Running) {
      mDemand.addInFlight(target->model);
    }
  }
  auto content = mDemand.finish();
  const bool empty = content.items().empty();
  if (!empty || mDemandPublished) {
    mDemandPublished = !empty;
    mPeers.sync.send(PublishDemand{ std::move(content) });
  }
}

void
DispatchTask::measure()
{
  mMetrics.set("savoryrill_router_waiting", double(waiting()));
  mMetrics.set("savoryrill_router_in_flight", double(inFlight()));
  mMetrics.set("savoryrill_router_retry_budget", mBudget.available());
  mMetrics.set("savoryrill_router_discarded_events", double(mRegistry.discarded()));
}

} // namespace savoryrill::router
