#include <algorithm>
#include <chrono>
#include <utility>

#include "base/jsontext.h"
#include "router/internal/dispatchtask.h"
#include "router/internal/problems.h"
#include "router/types/routerevents.h"

// The part of the dispatch task that makes attempts at upstreams.

namespace savoryrill::router {

namespace {

using routing::AttemptVerdict;
using routing::Ran;
using routing::RefusalReason;

constexpr Duration kRetryBaseDelay = 20ms;
constexpr Duration kMaxRetryDelay = 1s;
// A repeatable attempt is normally ended by the deadline timer of its request. The
// timeout of the HTTP client is later by this margin and ends the attempt only if the
// timer did not.
constexpr Duration kAttemptTimeoutMargin = 1s;
// Maximum body size of a response that is not an event stream although one was requested;
// further bytes are dropped.
constexpr std::size_t kMaxUnstreamedBodyBytes = 1024 * 1024;

/// The current minute of the wall clock, counted from the Unix epoch.
std::int64_t
wallMinute()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::minutes>(now).count();
}

} // namespace

ActiveRequest*
DispatchTask::findAttempt(std::uint64_t aAttempt)
{
  const auto number = mRegistry.accept(aAttempt);
  return number ? find(*number) : nullptr;
}

void
DispatchTask::dispatch(ActiveRequest& aRequest, const std::string& aUpstream)
{
  const Instant now = mLoop.now();
  const auto& caller_request = aRequest.callerRequest;
  aRequest.upstream = aUpstream;
  aRequest.address = mView.configured(aUpstream)->address;
  ++aRequest.attempts;
  aRequest.upstreamRequestId =
    aRequest.attempts == 1 ? caller_request.id
                           : caller_request.id + "-" + std::to_string(aRequest.attempts);
  aRequest.dispatchedAt = now;
  aRequest.stream = {};
  if (aRequest.coldStart && aRequest.attempts == 1) {
    mDurations.observe(
      "cold/" + aRequest.deploymentOrService(), now - caller_request.arrival, now);
    if (!aRequest.streams()) {
      const auto& deployments = mView.configuration()->deployments;
      const auto deployment = deployments.find(aRequest.deploymentOrService());
      if (deployment != deployments.end()) {
        mStatistics.addColdStart(aRequest.deploymentOrService(),
                                 now - caller_request.arrival,
                                 deployment->second.objectives,
                                 wallMinute());
      }
    }
  }
  if (mClaims.count(caller_request.number) > 0) {
    applyClaimEvent(caller_request.number, routing::claim_event::Dispatched{});
  }
  mMetrics.add("savoryrill_router_dispatches_total");
  mMetrics.observe("savoryrill_router_wait_seconds",
                   toSeconds(now - caller_request.arrival));
  mLog.write(kRequestDispatched,
             { { "request", caller_request.id },
               { "model", aRequest.modelOrService() },
               { "upstream", aUpstream },
               { "attempt", aRequest.upstreamRequestId },
               { "waited_ms", toMs(now - caller_request.arrival) } });
  startAttempt(aRequest);
}

void
DispatchTask::startAttempt(ActiveRequest& aRequest)
{
  aRequest.phase = RequestPhase::Running;
  aRequest.attempt = mRegistry.open(aRequest.callerRequest.number);
  mLoads.dispatched(aRequest.upstream, mLoop.now());
  mPeers.upstreams.send(
    StartAttempt{ aRequest.attempt, upstreamRequest(aRequest), aRequest.streams() });
}

http::ClientRequest
DispatchTask::upstreamRequest(const ActiveRequest& aRequest) const
{
  const auto& caller_request = aRequest.callerRequest;
  http::ClientRequest request;
  request.method = caller_request.method;
  request.url = "http://" + aRequest.address + caller_request.path;
  request.headers = caller_request.headers;
  request.headers["X-Request-Id"] = aRequest.upstreamRequestId;
  if (!aRequest.stream.lastEventId.empty()) {
    request.headers["Last-Event-ID"] = aRequest.stream.lastEventId;
  }
  request.body = caller_request.body;
  request.freshConnection = !caller_request.repeatable;
  request.totalTimeout =
    caller_request.deadline - mLoop.now() +
    (caller_request.repeatable ? kAttemptTimeoutMargin : mOptions.lateOutcomeTimeout);
  return request;
}

/// Ends the attempt in progress; an engine is also asked to cancel the request.
void
DispatchTask::cancel(ActiveRequest& aRequest, AttemptVerdict aVerdict)
{
  mRegistry.close(aRequest.attempt);
  mLoads.ended(aRequest.upstream, aVerdict, mLoop.now());
  const bool engine = aRequest.inference() != nullptr;
  mPeers.upstreams.send(CancelAttempt{
    aRequest.attempt,
    engine ? "http://" + aRequest.address + "/v1/requests/" + aRequest.upstreamRequestId
           : "" });
}

void
DispatchTask::on(AttemptHeaders& aMessage)
{
  if (auto* request = findAttempt(aMessage.attempt)) {
    auto& stream = request->stream;
    stream.status = aMessage.response.status;
    stream.headers = aMessage.response.headers;
    const auto type = stream.headers.find("Content-Type");
    stream.isEventStream = stream.status == 200 && type != stream.headers.end() &&
                           type->second.starts_with("text/event-stream");
  }
}

void
DispatchTask::on(AttemptData& aMessage)
{
  auto* request = findAttempt(aMessage.attempt);
  if (request == nullptr) {
    return;
  }
  auto& stream = request->stream;
  if (!stream.isEventStream) {
    const std::size_t room = kMaxUnstreamedBodyBytes - stream.body.size();
    stream.body.append(aMessage.data, 0, room);
    return;
  }
  const auto events = stream.reader.feed(aMessage.data);
  if (!events) {
    failStream(*request, RefusalReason::InvalidUpstreamResponse);
    return;
  }
  const std::uint64_t number = request->callerRequest.number;
  for (const auto& event : *events) {
    forwardEvent(*request, event);
    request = find(number);
    if (request == nullptr || request->attempt != aMessage.attempt ||
        request->phase != RequestPhase::Running) {
      return;
    }
  }
}

/// Forwards one event. Events that the caller received before the stream was resumed are
/// dropped.
void
DispatchTask::forwardEvent(ActiveRequest& aRequest, const SseEvent& aEvent)
{
  auto& stream = aRequest.stream;
  const auto id = numericId(aEvent.id);
  const auto last = numericId(stream.lastEventId);
  const bool repeated = id && last && *id <= *last;
  if (stream.finished || repeated || aEvent.data.empty()) {
    return;
  }
  const bool terminator = aEvent.data == "[DONE]";
  const auto parsed = parseJson(aEvent.data);
  if (!terminator && (!parsed || !memberOf(parsed.value(), "choices").isArray())) {
    failStream(aRequest, RefusalReason::InvalidUpstreamResponse);
    return;
  }
  if (!stream.started) {
    startResponse(aRequest);
  }
  if (!aEvent.id.empty()) {
    stream.lastEventId = aEvent.id;
  }
  stream.finished = terminator;
  mPeers.callers.send(SendStreamData{ aRequest.callerRequest.number, aEvent.raw });
}

void
DispatchTask::startResponse(ActiveRequest& aRequest)
{
  const auto& caller_request = aRequest.callerRequest;
  aRequest.stream.started = true;
  auto headers = endToEndHeaders(aRequest.stream.headers);
  headers["X-Request-Id"] = caller_request.id;
  mPeers.callers.send(StartResponseStream{ caller_request.number, std::move(headers) });
  const auto& deployments = mView.configuration()->deployments;
  const auto deployment = deployments.find(aRequest.deploymentOrService());
  if (deployment == deployments.end()) {
    return;
  }
  const Duration time = mLoop.now() - caller_request.arrival;
  const auto& objectives = deployment->second.objectives;
  if (aRequest.coldStart) {
    mStatistics.addColdStart(
      aRequest.deploymentOrService(), time, objectives, wallMinute());
    mMetrics.observe("savoryrill_router_cold_start_seconds", toSeconds(time));
  } else {
    mStatistics.addFirstToken(
      aRequest.deploymentOrService(), time, objectives, wallMinute());
    mMetrics.observe("savoryrill_router_first_token_seconds", toSeconds(time));
  }
}

/// Ends an attempt whose stream is malformed.
void
DispatchTask::failStream(ActiveRequest& aRequest, RefusalReason aReason)
{
  cancel(aRequest, AttemptVerdict::Failed);
  AttemptResult attempt_result;
  attempt_result.reason = aReason;
  attempt_result.detail = "the engine's stream makes no sense";
  attempt_result.verdict = AttemptVerdict::Failed;
  if (aRequest.stream.started) {
    refuse(aRequest, { aReason, attempt_result.detail, Ran::Unknown });
  } else {
    handleFailedAttempt(aRequest, attempt_result);
  }
}

void
DispatchTask::on(AttemptDone& aMessage)
{
  auto* request = findAttempt(aMessage.attempt);
  mRegistry.close(aMessage.attempt);
  if (request == nullptr) {
    return;
  }
  if (request->streams() && request->stream.isEventStream) {
    endStream(*request, aMessage.outcome);
  } else {
    finishAttempt(*request, std::move(aMessage.outcome));
  }
  scheduleDispatch();
}

void
DispatchTask::endStream(ActiveRequest& aRequest, const http::ClientOutcome& aOutcome)
{
  const auto& stream = aRequest.stream;
  mLoads.ended(aRequest.upstream,
               stream.finished ? AttemptVerdict::Answered : AttemptVerdict::Failed,
               mLoop.now());
  if (stream.finished) {
    finishStream(aRequest);
    return;
  }
  mMetrics.add("savoryrill_router_cut_streams_total");
  if (stream.started) {
    resume(aRequest);
    return;
  }
  AttemptResult attempt_result;
  attempt_result.detail = aOutcome.response ? "the stream ended without its terminator"
                                            : aOutcome.response.error().message;
  handleFailedAttempt(aRequest, attempt_result);
}

void
DispatchTask::finishStream(ActiveRequest& aRequest)
{
  const std::uint64_t number = aRequest.callerRequest.number;
  recordResponse(aRequest);
  mPeers.callers.send(EndResponseStream{ number, true });
  removeRequest(number);
}

/// Resumes an interrupted stream at the same engine, after the last event that was
/// forwarded.
void
DispatchTask::resume(ActiveRequest& aRequest)
{
  auto& stream = aRequest.stream;
  const std::uint64_t number = aRequest.callerRequest.number;
  if (stream.lastEventId.empty() || stream.resumeCount >= mOptions.maxResumes) {
    refuse(aRequest,
           { RefusalReason::StreamCut,
             stream.lastEventId.empty() ? "the engine's events have no ids"
                                        : "the stream was cut too often",
             Ran::Unknown });
    return;
  }
  const Duration delay =
    routing::fullJitter(stream.resumeCount, kRetryBaseDelay, kMaxRetryDelay, mRandom);
  ++stream.resumeCount;
  stream.isEventStream = false;
  stream.body.clear();
  stream.reader.reset();
  mMetrics.add("savoryrill_router_resumes_total");
  mLog.write(kRequestResumed,
             { { "request", aRequest.callerRequest.id },
               { "model", aRequest.modelOrService() },
               { "upstream", aRequest.upstream },
               { "last_event", stream.lastEventId },
               { "delay_ms", toMs(delay) } });
  aRequest.phase = RequestPhase::AwaitingResume;
  aRequest.resumeTimer = mLoop.after(delay, [this, number] {
    if (auto* request = find(number)) {
      startAttempt(*request);
    }
  });
}

/// Ends an attempt whose response is not an event stream.
void
DispatchTask::finishAttempt(ActiveRequest& aRequest, http::ClientOutcome aOutcome)
{
  auto& stream = aRequest.stream;
  if (aRequest.streams() && aOutcome.response) {
    aOutcome.response.value().body = std::move(stream.body);
  }
  auto attempt_result = evaluateAttempt(aOutcome, aRequest.inference() != nullptr);
  if (aRequest.streams() && attempt_result.outcome == AttemptOutcome::Answered &&
      aOutcome.response.value().status == 200) {
    attempt_result.outcome = AttemptOutcome::Failed;
    attempt_result.reason = RefusalReason::InvalidUpstreamResponse;
    attempt_result.detail = "the engine sent no event stream";
    attempt_result.verdict = AttemptVerdict::Failed;
  }
  mLoads.ended(aRequest.upstream, attempt_result.verdict, mLoop.now());
  if (stream.started) {
    // Resuming the stream failed. The events forwarded so far cannot be taken back, so
    // the request cannot start again at another upstream.
    if (attempt_result.cause == NotRunCause::NotSent) {
      resume(aRequest);
    } else {
      refuse(aRequest, { RefusalReason::StreamCut, attempt_result.detail, Ran::Unknown });
    }
    return;
  }
  if (attempt_result.outcome != AttemptOutcome::Answered) {
    handleFailedAttempt(aRequest, attempt_result);
    return;
  }
  auto response = std::move(aOutcome.response.value());
  if (mClaims.count(aRequest.callerRequest.number) > 0) {
    const auto type = response.headers.find("Content-Type");
    routing::RecordedOutcome recorded;
    recorded.status = response.status;
    recorded.contentType = type == response.headers.end() ? "" : type->second;
    recorded.body = response.body;
    applyClaimEvent(aRequest.callerRequest.number,
                    routing::claim_event::Finished{ recorded });
  }
  finish(aRequest, std::move(response));
}

/// Retries or refuses the request of an attempt without a usable response.
void
DispatchTask::handleFailedAttempt(ActiveRequest& aRequest, const AttemptResult& aResult)
{
  const std::uint64_t number = aRequest.callerRequest.number;
  const bool keyed = mClaims.count(number) > 0;
  const bool not_run = aResult.outcome == AttemptOutcome::NotRun;
  mMetrics.add("savoryrill_router_failed_attempts_total{reason=\"" +
               std::string(nameOf(aResult.reason)) + "\"}");
  mLog.write(kAttemptFailed,
             { { "request", aRequest.callerRequest.id },
               { "model", aRequest.modelOrService() },
               { "upstream", aRequest.upstream },
               { "attempt", aRequest.upstreamRequestId },
               { "reason", nameOf(aResult.reason) },
               { "detail", aResult.detail },
               { "ran", not_run ? "no" : "unknown" } });
  if (not_run) {
    updateServingView(aRequest, aResult.cause);
    if (keyed) {
      applyClaimEvent(number, routing::claim_event::NotRun{});
    }
    if (!aRequest.callerWaiting) {
      refuse(aRequest, {}); // sends nothing; releases the claim and removes the request
    } else if (aRequest.callerRequest.repeatable || keyed) {
      retry(aRequest, aResult);
    } else {
      refuse(aRequest, { aResult.reason, aResult.detail, Ran::No });
    }
    return;
  }
  aRequest.mayHaveRun = true;
  ++aRequest.failures;
  if (aRequest.callerRequest.repeatable) {
    retry(aRequest, aResult);
  } else if (keyed) {
    applyClaimEvent(number, routing::claim_event::OutcomeUnknown{});
  } else {
    refuse(aRequest, { RefusalReason::OutcomeUnknown, aResult.detail, Ran::Unknown });
  }
}

/// Marks the upstream as leaving, or the model or adapter as not loaded there, if the
/// upstream gave this as the cause for not running a request. Publishes a leaving
/// upstream.
void
DispatchTask::updateServingView(const ActiveRequest& aRequest, NotRunCause aCause)
{
  const auto* target = aRequest.inference();
  if (aCause == NotRunCause::Leaving) {
    mView.markLeaving(aRequest.upstream);
    mLog.write(
      kUpstreamLeaving,
      { { "request", aRequest.callerRequest.id }, { "upstream", aRequest.upstream } });
    mPeers.sync.send(
      PublishLeaving{ aRequest.upstream, mView.upstream(aRequest.upstream).incarnation });
  } else if (target != nullptr && aCause == NotRunCause::ModelNotLoaded) {
    mView.markNotLoaded(aRequest.upstream, { target->model.loadable, "" });
  } else if (target != nullptr && aCause == NotRunCause::AdapterNotLoaded) {
    mView.markNotLoaded(aRequest.upstream, target->model);
  }
}

/// Puts the request back into its queue; refuses it if it has failed too often or the
/// retry budget is exhausted.
void
DispatchTask::retry(ActiveRequest& aRequest, const AttemptResult& aResult)
{
  const Ran ran = aRequest.mayHaveRun ? Ran::Unknown : Ran::No;
  if (aRequest.failures >= mOptions.maxFailures) {
    refuse(aRequest, { aResult.reason, aResult.detail, ran });
    return;
  }
  if (!mBudget.takeRetry()) {
    refuse(aRequest, { RefusalReason::RetryBudgetExhausted, aResult.detail, ran });
    return;
  }
  const Instant now = mLoop.now();
  const Duration delay =
    routing::fullJitter(aRequest.retries++, kRetryBaseDelay, kMaxRetryDelay, mRandom);
  mMetrics.add("savoryrill_router_retries_total");
  mLog.write(kRequestRetried,
             { { "request", aRequest.callerRequest.id },
               { "model", aRequest.modelOrService() },
               { "reason", nameOf(aResult.reason) },
               { "delay_ms", toMs(delay) } });
  aRequest.phase = RequestPhase::Waiting;
  queueOf(aRequest).putBack(toWaitingRequest(aRequest, now + delay));
  if (aRequest.inference() != nullptr) {
    publishDemand();
  }
  scheduleDispatch();
}

} // namespace savoryrill::router
