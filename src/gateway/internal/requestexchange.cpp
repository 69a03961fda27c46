#include "gateway/internal/requesttask.h"

#include "gateway/internal/seriesname.h"
#include "gateway/internal/waitingdecision.h"
#include "gateway/types/gatewayevents.h"

// The responses of upstreams: what is forwarded to the caller, and what an attempt that
// failed means for the request.

namespace savoryrill::gateway {

using serving::RefusalReason;
using serving::RequestKind;

namespace {

// Unsent output to a slow caller above which reading from the upstream pauses.
constexpr std::size_t kMaxUnsentBytes = 128UL * 1024;
// Responses up to this size are buffered, so that the request can be retried if the
// upstream breaks off.
constexpr std::size_t kMaxBufferedBytes = 512UL * 1024;
// Body bytes read from a response that is not forwarded; a longer one is cancelled.
constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;
constexpr std::string_view kEventStream = "text/event-stream";
// An upstream that has sent parts of a response for this long is not crashed by the
// request.
constexpr Duration kServedAfter = 250ms;

bool
isSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}

/// True if a response names the media type of event streams. Names of media types are
/// case-insensitive and may be followed by parameters.
bool
isEventStream(const link::ResponseHead& aHead)
{
  const auto* type = link::findHeader(aHead.headers, "content-type");
  return type != nullptr &&
         link::sameHeaderName(type->substr(0, type->find_first_of("; \t")), kEventStream);
}

} // namespace

void
RequestTask::recordServed()
{
  // An upstream may send another status without having begun to answer the prompt.
  if (isSuccess(mAttempt.head.status) && !mAttempt.servedRecorded) {
    mAttempt.servedRecorded = true;
    mContext.quarantine.requestServed(mDetails.sharedParts);
  }
}

void
RequestTask::recordConnectionEnd(QuarantineTask::Response aResponse)
{
  const auto* entry = mContext.selector.directory().find(mAttempt.upstream);
  if (!mAttempt.servedRecorded && entry != nullptr) {
    mContext.quarantine.connectionEnded(
      *entry, { mDetails.id, mDetails.model.model, mDetails.sharedParts }, aResponse);
  }
}

bool
RequestTask::streamIsBrokenOff() const
{
  // Engines send at least one event, unless a stream is resumed after its last one, and
  // end streams after whole ones.
  const bool resumed = !mEvents.lastId().empty() || !mDetails.resumeAfter.empty();
  const bool may_be_empty = resumed && mAttempt.head.framing != link::Framing::UntilClose;
  return mAttempt.streaming &&
         (mEvents.hasPartial() || (!mAttempt.bodyStarted && !may_be_empty));
}

bool
RequestTask::matchesResponse(const link::ResponseHead& aHead)
{
  mAttempt.metadata = mContext.protocol.readMetadata(aHead);
  // Without an id, a response on a used connection may be that of an earlier request.
  return mAttempt.metadata.requestId.empty() ? !mAttempt.connectionReused
                                             : mAttempt.metadata.requestId == mDetails.id;
}

void
RequestTask::responseStarted(const link::ResponseHead& aHead)
{
  mAttempt.head = aHead;
  recordUpstreamState();
  const bool success = isSuccess(aHead.status);
  // The body of a success that names no media type is checked to be an event stream.
  const bool other_type =
    link::findHeader(aHead.headers, "content-type") != nullptr && !isEventStream(aHead);
  const bool wants_stream =
    mRoute->kind == RequestKind::Stream && success && mRequest.method != "HEAD";
  mAttempt.streaming =
    wants_stream && aHead.framing != link::Framing::None && !other_type;
  // Not forwarded: a response that says that the upstream did not execute the request or
  // is not the intended one, a response without signature or this request's id, a success
  // of a stream's route that is no event stream, and a response other than a successful
  // event stream to an attempt that resumes a stream.
  mAttempt.discarding = mAttempt.metadata.notExecuted ||
                        mAttempt.metadata.wrongUpstream || !mAttempt.metadata.isSigned ||
                        mAttempt.metadata.requestId != mDetails.id ||
                        (wants_stream && !mAttempt.streaming) ||
                        (mHeadForwarded && !(mAttempt.streaming && isEventStream(aHead)));
  mAttempt.discardedBytes = 0;
  if (mAttempt.discarding || !mAttempt.streaming) {
    return;
  }
  mContext.metrics.observe("savoryrill_gateway_first_byte_ms",
                           static_cast<double>(elapsedMs()));
  forwardHead();
}

void
RequestTask::recordUpstreamState()
{
  if (mAttempt.metadata.wrongUpstream) {
    return; // the response of another upstream
  }
  recordRateLimit();
  if (const auto pause = mAttempt.metadata.retryAfter) {
    mContext.selector.recordPause(
      mAttempt.upstream, mAttempt.upstreamBornMs, *pause, mContext.loop.now());
    mContext.log.write(
      kUpstreamPause,
      { { "upstream", mAttempt.upstream }, { "pause_ms", toMs(*pause) } });
  }
  if (mAttempt.metadata.leaving && mAttempt.metadata.requestId == mDetails.id) {
    mOwner.onUpstreamLeaving(mAttempt.upstream, mAttempt.upstreamBornMs);
  }
}

void
RequestTask::recordRateLimit()
{
  if (mAttempt.metadata.rateLimitUnreadable) {
    // The last limit that could be read stays in force.
    mContext.metrics.add("savoryrill_gateway_unreadable_limits_total");
    return;
  }
  const auto& limit = mAttempt.metadata.rateLimit;
  if (!limit && !mAttempt.metadata.isSigned) {
    return; // not necessarily a response of the upstream itself
  }
  if (mContext.selector.limits().setNamed(
        mAttempt.upstream, limit, mContext.loop.now())) {
    mContext.log.write(kUpstreamLimit,
                       { { "upstream", mAttempt.upstream },
                         { "per_second", limit ? std::to_string(*limit) : "-1" },
                         { "source", "response" } });
  }
}

void
RequestTask::forwardHead()
{
  if (mHeadForwarded) {
    return; // a resumed stream: the caller already has the first upstream's head
  }
  mHeadForwarded = true;
  mState = Responding{};
  mCaller->onOutputSent([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->mAttempt.connection) {
      self->mAttempt.connection->pause(false);
    }
  });
  auto head = mAttempt.head;
  if (mAttempt.streaming && mRoute->resumable && head.framing == link::Framing::Length) {
    // Another upstream may complete the stream with a rest of another length.
    head.framing = link::Framing::Chunked;
  }
  mCaller->sendHead(head);
}

void
RequestTask::responseData(std::string_view aData)
{
  const auto self = shared_from_this();
  if (mAttempt.discarding) {
    mAttempt.discardedBytes += aData.size();
    if (mAttempt.discardedBytes > kMaxDiscardedBytes) {
      // The rest of the body is not needed: the head shows how the attempt has failed.
      mAttempt.connection->cancel();
      responseFinished();
    }
    return;
  }
  if (mAttempt.streaming) {
    forwardEvents(aData);
    return;
  }
  recordBodyOfAttempt();
  if (!mHeadForwarded) {
    link::appendGrowing(mAttempt.bufferedBody, aData, kMaxBufferedBytes);
    mBufferedCharge.set(link::bufferMemory(mAttempt.bufferedBody));
    if (mAttempt.bufferedBody.size() <= kMaxBufferedBytes) {
      return;
    }
    forwardHead();
    const std::string body = std::move(mAttempt.bufferedBody);
    releaseBufferedBody();
    mCaller->sendData(body);
  } else {
    mCaller->sendData(aData);
  }
  if (mAttempt.connection && mCaller->unsentBytes() > kMaxUnsentBytes) {
    mAttempt.connection->pause(true);
  }
}

void
RequestTask::releaseBufferedBody()
{
  link::releaseBuffer(mAttempt.bufferedBody);
  mBufferedCharge.set(0);
}

void
RequestTask::recordBodyOfAttempt()
{
  if (!mAttempt.bodyStarted) {
    mAttempt.bodyStarted = mContext.loop.now();
  } else if (mContext.loop.now() - *mAttempt.bodyStarted >= kServedAfter) {
    recordServed();
  }
}

void
RequestTask::forwardEvents(std::string_view aData)
{
  const auto events_before = mEvents.events();
  const auto sound = mEvents.take(aData);
  if (mEvents.events() > events_before) {
    mStreamTimes.recordEvents(mContext.loop.now());
    recordBodyOfAttempt();
  }
  mCaller->sendData(sound);
  if (ended()) {
    return; // the caller has disconnected
  }
  if (const auto fault = mEvents.fault()) {
    mContext.metrics.add(
      seriesOf("savoryrill_gateway_malformed_streams_total", "fault", nameOf(*fault)));
    mAttempt.connection->cancel();
    failAttempt(link::ExchangeFault::Malformed,
                "malformed event stream: " + std::string(nameOf(*fault)));
    return;
  }
  if (mAttempt.connection && mCaller->unsentBytes() > kMaxUnsentBytes) {
    mAttempt.connection->pause(true);
  }
}

void
RequestTask::responseFinished()
{
  const auto self = shared_from_this();
  const int status = mAttempt.head.status;
  releaseConnection(false);
  if (mAttempt.metadata.notExecuted ||
      (mAttempt.metadata.wrongUpstream && status == 421)) {
    mContext.selector.recordDecline(
      mAttempt.upstream, mDetails.model, mContext.loop.now());
    mHistory.refusedBy.insert(mAttempt.poolKey);
    logAttemptFailure("the upstream did not execute the request, status " +
                      std::to_string(status));
    if (mAttempt.metadata.wrongUpstream) {
      mHistory.excluded.insert(mAttempt.upstream);
    }
    retryOrFail(mHistory.mayHaveRun, RefusalReason::NoUpstream);
    return;
  }
  if (!mAttempt.discarding && streamIsBrokenOff()) {
    exchangeFailed(link::ExchangeFault::Broken);
    return;
  }
  mHistory.recordPossibleRun();
  if (mAttempt.discarding) {
    mContext.selector.recordFailure(mAttempt.upstream, mContext.loop.now());
    logAttemptFailure("the upstream's response is unsigned, has no request id, or is no "
                      "event stream although the request is for one; status " +
                      std::to_string(status));
    retryOrFail(true, RefusalReason::UpstreamFailed);
    return;
  }
  if (status >= 500) {
    mContext.selector.recordFailure(mAttempt.upstream, mContext.loop.now());
    const bool may_retry = mRoute->kind == RequestKind::Repeatable && !mHeadForwarded &&
                           mHistory.possibleRuns < mRoute->maxAttempts &&
                           mDeadline - mContext.loop.now() > kMinServiceTime;
    if (may_retry && !authenticationProblem() && mOwner.takeRetry(mGroup)) {
      logAttemptFailure("status " + std::to_string(status));
      mHistory.excluded.insert(mAttempt.upstream);
      // If no other upstream is available, the caller receives this response.
      if (startAttempt()) {
        return;
      }
    }
  } else {
    mContext.selector.recordSuccess(mAttempt.upstream);
    if (isSuccess(status) && mAttempt.head.framing == link::Framing::UntilClose) {
      recordConnectionEnd(QuarantineTask::Response::PossiblyComplete);
    } else {
      recordServed();
    }
  }
  if (mHeadForwarded) {
    recordResponse(status);
    mCaller->finish();
    end();
    return;
  }
  sendBufferedResponse();
}

void
RequestTask::sendBufferedResponse()
{
  recordResponse(mAttempt.head.status);
  if (mRequest.method == "HEAD" || mAttempt.head.framing == link::Framing::None) {
    mCaller->sendHead(mAttempt.head);
    mCaller->finish();
  } else {
    mCaller->respond(mAttempt.head, mAttempt.bufferedBody);
  }
  end();
}

void
RequestTask::exchangeFailed(link::ExchangeFault aFault)
{
  failAttempt(aFault, nameOf(aFault));
}

void
RequestTask::failAttempt(link::ExchangeFault aFault, std::string_view aReason)
{
  const auto self = shared_from_this();
  releaseConnection(false);
  mContext.selector.recordFailure(mAttempt.upstream, mContext.loop.now());
  logAttemptFailure(aReason);
  const bool may_have_run =
    aFault == link::ExchangeFault::Broken || aFault == link::ExchangeFault::Malformed;
  if (aFault == link::ExchangeFault::Broken) {
    recordConnectionEnd(QuarantineTask::Response::BrokenOff);
  }
  if (may_have_run) {
    mHistory.recordPossibleRun();
  } else {
    --mHistory.attempts;
  }
  mHistory.excluded.insert(mAttempt.upstream);
  if (mHeadForwarded && !mRoute->resumable) {
    abortResponse("the upstream failed after a part of the response was forwarded");
    return;
  }
  // A resumable stream goes on after its last event, or starts again if there was none.
  retryOrFail(mHistory.mayHaveRun, RefusalReason::OutcomeUnknown);
}

} // namespace savoryrill::gateway
