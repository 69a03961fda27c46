#include <algorithm>
#include <chrono>
#include <utility>

#include "base/jsontext.h"
#include "router/internal/dispatchtask.h"
#include "router/internal/problems.h"
#include "router/types/routerevents.h"

// The part of the dispatch task that runs attempts at upstreams.

namespace savoryrill::router {

namespace {

using routing::AttemptVerdict;
using routing::Ran;
using routing::RefusalReason;

constexpr Duration kRetryBase = 20ms;
constexpr Duration kRetryLimit = 1s;
// The timer of the deadline ends a call; the call's own limit is a second line.
constexpr Duration kCallMargin = 1s;
constexpr std::size_t kMaxPlainBodyBytes = 1024 * 1024; // of an answer that should stream

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
  const auto& caller = aRequest.caller;
  aRequest.upstream = aUpstream;
  aRequest.address = mView.configured(aUpstream)->address;
  ++aRequest.attempts;
  aRequest.upstreamRequestId = aRequest.attempts == 1
                                 ? caller.id
                                 : caller.id + "-" + std::to_string(aRequest.attempts);
  aRequest.dispatchedAt = now;
  aRequest.stream = {};
  if (aRequest.coldStart && aRequest.attempts == 1) {
    mTimes.observe("cold/" + aRequest.group(), now - caller.arrival, now);
    if (!aRequest.streams()) {
      const auto& deployments = mView.configuration()->deployments;
      const auto deployment = deployments.find(aRequest.group());
      if (deployment != deployments.end()) {
        mReport.coldStart(aRequest.group(),
                          now - caller.arrival,
                          deployment->second.objectives,
                          wallMinute());
      }
    }
  }
  if (mClaims.count(caller.number) > 0) {
    feedClaim(caller.number, routing::claim_event::Dispatched{});
  }
  mMetrics.add("savoryrill_router_dispatches_total");
  mMetrics.observe("savoryrill_router_wait_seconds", toSeconds(now - caller.arrival));
  mLog.write(kRequestDispatched,
             { { "request", caller.id },
               { "model", aRequest.subject() },
               { "upstream", aUpstream },
               { "attempt", aRequest.upstreamRequestId },
               { "waited_ms", toMs(now - caller.arrival) } });
  startAttempt(aRequest);
}

void
DispatchTask::startAttempt(ActiveRequest& aRequest)
{
  aRequest.phase = RequestPhase::Running;
  aRequest.attempt = mRegistry.open(aRequest.caller.number);
  mLoads.dispatched(aRequest.upstream, mLoop.now());
  mPeers.upstreams.send(
    StartAttempt{ aRequest.attempt, upstreamRequest(aRequest), aRequest.streams() });
}

http::ClientRequest
DispatchTask::upstreamRequest(const ActiveRequest& aRequest) const
{
  const auto& caller = aRequest.caller;
  http::ClientRequest request;
  request.method = caller.method;
  request.url = "http://" + aRequest.address + caller.path;
  request.headers = caller.headers;
  request.headers["X-Request-Id"] = aRequest.upstreamRequestId;
  if (!aRequest.stream.lastEventId.empty()) {
    request.headers["Last-Event-ID"] = aRequest.stream.lastEventId;
  }
  request.body = caller.body;
  request.freshConnection = !caller.repeatable;
  request.totalTimeout = caller.deadline - mLoop.now() +
                         (caller.repeatable ? kCallMargin : mOptions.lateAnswerTime);
  return request;
}

/// Closes the open attempt and tells the engine to stop.
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
    stream.events = stream.status == 200 && type != stream.headers.end() &&
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
  if (!stream.events) {
    const std::size_t room = kMaxPlainBodyBytes - stream.body.size();
    stream.body.append(aMessage.data, 0, room);
    return;
  }
  const auto events = stream.reader.feed(aMessage.data);
  if (!events) {
    breakStream(*request, RefusalReason::InvalidUpstreamResponse);
    return;
  }
  const std::uint64_t number = request->caller.number;
  for (const auto& event : *events) {
    relay(*request, event);
    request = find(number);
    if (request == nullptr || request->attempt != aMessage.attempt ||
        request->phase != RequestPhase::Running) {
      return;
    }
  }
}

/// Passes one event on. Events that the caller has got before a resumption are dropped.
void
DispatchTask::relay(ActiveRequest& aRequest, const SseEvent& aEvent)
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
    breakStream(aRequest, RefusalReason::InvalidUpstreamResponse);
    return;
  }
  if (!stream.started) {
    startAnswer(aRequest);
  }
  if (!aEvent.id.empty()) {
    stream.lastEventId = aEvent.id;
  }
  stream.finished = terminator;
  mPeers.callers.send(AnswerData{ aRequest.caller.number, aEvent.raw });
}

void
DispatchTask::startAnswer(ActiveRequest& aRequest)
{
  const auto& caller = aRequest.caller;
  aRequest.stream.started = true;
  auto headers = endToEndHeaders(aRequest.stream.headers);
  headers["X-Request-Id"] = caller.id;
  mPeers.callers.send(AnswerStart{ caller.number, std::move(headers) });
  const auto& deployments = mView.configuration()->deployments;
  const auto deployment = deployments.find(aRequest.group());
  if (deployment == deployments.end()) {
    return;
  }
  const Duration time = mLoop.now() - caller.arrival;
  const auto& objectives = deployment->second.objectives;
  if (aRequest.coldStart) {
    mReport.coldStart(aRequest.group(), time, objectives, wallMinute());
    mMetrics.observe("savoryrill_router_cold_start_seconds", toSeconds(time));
  } else {
    mReport.firstToken(aRequest.group(), time, objectives, wallMinute());
    mMetrics.observe("savoryrill_router_first_token_seconds", toSeconds(time));
  }
}

/// Ends an attempt whose stream makes no sense.
void
DispatchTask::breakStream(ActiveRequest& aRequest, RefusalReason aReason)
{
  cancel(aRequest, AttemptVerdict::Failed);
  Judgement judgement;
  judgement.reason = aReason;
  judgement.detail = "the engine's stream makes no sense";
  judgement.verdict = AttemptVerdict::Failed;
  if (aRequest.stream.started) {
    refuse(aRequest, { aReason, judgement.detail, Ran::Unknown });
  } else {
    conclude(aRequest, judgement);
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
  if (request->streams() && request->stream.events) {
    endStream(*request, aMessage.outcome);
  } else {
    conclude(*request, std::move(aMessage.outcome));
  }
  pumpSoon();
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
  Judgement judgement;
  judgement.detail = aOutcome.response ? "the stream ended without its terminator"
                                       : aOutcome.response.error().message;
  conclude(aRequest, judgement);
}

void
DispatchTask::finishStream(ActiveRequest& aRequest)
{
  const std::uint64_t number = aRequest.caller.number;
  noteAnswered(aRequest);
  mPeers.callers.send(AnswerEnd{ number, true });
  close(number);
}

/// Continues a cut stream at the same engine, behind the last event that was passed on.
void
DispatchTask::resume(ActiveRequest& aRequest)
{
  auto& stream = aRequest.stream;
  const std::uint64_t number = aRequest.caller.number;
  if (stream.lastEventId.empty() || stream.resumes >= mOptions.maxResumes) {
    refuse(aRequest,
           { RefusalReason::StreamCut,
             stream.lastEventId.empty() ? "the engine's events have no ids"
                                        : "the stream was cut too often",
             Ran::Unknown });
    return;
  }
  const Duration delay =
    routing::fullJitter(stream.resumes, kRetryBase, kRetryLimit, mRandom);
  ++stream.resumes;
  stream.events = false;
  stream.body.clear();
  stream.reader.reset();
  mMetrics.add("savoryrill_router_resumes_total");
  mLog.write(kRequestResumed,
             { { "request", aRequest.caller.id },
               { "model", aRequest.subject() },
               { "upstream", aRequest.upstream },
               { "last_event", stream.lastEventId },
               { "delay_ms", toMs(delay) } });
  aRequest.phase = RequestPhase::Pausing;
  aRequest.pause = mLoop.after(delay, [this, number] {
    if (auto* request = find(number)) {
      startAttempt(*request);
    }
  });
}

/// Judges an attempt whose answer is no event stream.
void
DispatchTask::conclude(ActiveRequest& aRequest, http::ClientOutcome aOutcome)
{
  auto& stream = aRequest.stream;
  if (aRequest.streams() && aOutcome.response) {
    aOutcome.response.value().body = std::move(stream.body);
  }
  auto judgement = judge(aOutcome, aRequest.inference() != nullptr);
  if (aRequest.streams() && judgement.end == AttemptEnd::Answered &&
      aOutcome.response.value().status == 200) {
    judgement.end = AttemptEnd::Failed;
    judgement.reason = RefusalReason::InvalidUpstreamResponse;
    judgement.detail = "the engine sent no event stream";
    judgement.verdict = AttemptVerdict::Failed;
  }
  mLoads.ended(aRequest.upstream, judgement.verdict, mLoop.now());
  if (stream.started) {
    // The attempt to resume failed: what was passed on cannot be taken back.
    if (judgement.cause == NotRunCause::NotSent) {
      resume(aRequest);
    } else {
      refuse(aRequest, { RefusalReason::StreamCut, judgement.detail, Ran::Unknown });
    }
    return;
  }
  if (judgement.end != AttemptEnd::Answered) {
    conclude(aRequest, judgement);
    return;
  }
  auto response = std::move(aOutcome.response.value());
  if (mClaims.count(aRequest.caller.number) > 0) {
    const auto type = response.headers.find("Content-Type");
    routing::RecordedOutcome recorded;
    recorded.status = response.status;
    recorded.contentType = type == response.headers.end() ? "" : type->second;
    recorded.body = response.body;
    feedClaim(aRequest.caller.number, routing::claim_event::Finished{ recorded });
  }
  finish(aRequest, std::move(response));
}

/// Decides what follows an attempt without a usable answer.
void
DispatchTask::conclude(ActiveRequest& aRequest, const Judgement& aJudgement)
{
  const std::uint64_t number = aRequest.caller.number;
  const bool keyed = mClaims.count(number) > 0;
  const bool not_run = aJudgement.end == AttemptEnd::NotRun;
  mMetrics.add("savoryrill_router_failed_attempts_total{reason=\"" +
               std::string(nameOf(aJudgement.reason)) + "\"}");
  mLog.write(kAttemptFailed,
             { { "request", aRequest.caller.id },
               { "model", aRequest.subject() },
               { "upstream", aRequest.upstream },
               { "attempt", aRequest.upstreamRequestId },
               { "reason", nameOf(aJudgement.reason) },
               { "detail", aJudgement.detail },
               { "ran", not_run ? "no" : "unknown" } });
  if (not_run) {
    correctView(aRequest, aJudgement.cause);
    if (keyed) {
      feedClaim(number, routing::claim_event::NotRun{});
    }
    if (!aRequest.callerWaits) {
      refuse(aRequest, {}); // releases the claim; the caller has its answer
    } else if (aRequest.caller.repeatable || keyed) {
      retry(aRequest, aJudgement);
    } else {
      refuse(aRequest, { aJudgement.reason, aJudgement.detail, Ran::No });
    }
    return;
  }
  aRequest.mayHaveRun = true;
  ++aRequest.failures;
  if (aRequest.caller.repeatable) {
    retry(aRequest, aJudgement);
  } else if (keyed) {
    feedClaim(number, routing::claim_event::OutcomeUnknown{});
  } else {
    refuse(aRequest, { RefusalReason::OutcomeUnknown, aJudgement.detail, Ran::Unknown });
  }
}

void
DispatchTask::correctView(const ActiveRequest& aRequest, NotRunCause aCause)
{
  const auto* target = aRequest.inference();
  if (aCause == NotRunCause::Leaving) {
    mView.markLeaving(aRequest.upstream);
    mLog.write(kUpstreamLeaving,
               { { "request", aRequest.caller.id }, { "upstream", aRequest.upstream } });
    mPeers.sync.send(
      PublishLeaving{ aRequest.upstream, mView.upstream(aRequest.upstream).incarnation });
  } else if (target != nullptr && aCause == NotRunCause::ModelNotLoaded) {
    mView.markNotLoaded(aRequest.upstream, { target->model.loadable, "" });
  } else if (target != nullptr && aCause == NotRunCause::AdapterNotLoaded) {
    mView.markNotLoaded(aRequest.upstream, target->model);
  }
}

/// Puts the request back into its queue, within the retry budget.
void
DispatchTask::retry(ActiveRequest& aRequest, const Judgement& aJudgement)
{
  const Ran ran = aRequest.mayHaveRun ? Ran::Unknown : Ran::No;
  if (aRequest.failures >= mOptions.maxFailures) {
    refuse(aRequest, { aJudgement.reason, aJudgement.detail, ran });
    return;
  }
  if (!mBudget.takeRetry()) {
    refuse(aRequest, { RefusalReason::RetryBudgetExhausted, aJudgement.detail, ran });
    return;
  }
  const Instant now = mLoop.now();
  const Duration delay =
    routing::fullJitter(aRequest.retries++, kRetryBase, kRetryLimit, mRandom);
  mMetrics.add("savoryrill_router_retries_total");
  mLog.write(kRequestRetried,
             { { "request", aRequest.caller.id },
               { "model", aRequest.subject() },
               { "reason", nameOf(aJudgement.reason) },
               { "delay_ms", toMs(delay) } });
  aRequest.phase = RequestPhase::Waiting;
  queueOf(aRequest).putBack(waitingOf(aRequest, now + delay));
  if (aRequest.inference() != nullptr) {
    publishDemand();
  }
  pumpSoon();
}

} // namespace savoryrill::router
