#include "gateway/internal/requesttask.h"

#include <algorithm>
#include <utility>

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

using serving::RefusalReason;
using serving::RequestKind;

namespace {

// The final response is sent at most this long after the deadline, so that an upstream's
// own response at the deadline still arrives.
constexpr Duration kResponseGrace = 150ms;
// Unsent output to a slow caller above which reading from the upstream pauses.
constexpr std::size_t kMaxUnsentBytes = 128UL * 1024;
// Responses up to this size are buffered, so that the request can be retried if the
// upstream breaks off.
constexpr std::size_t kMaxBufferedBytes = 512UL * 1024;
// Body bytes read from a response that is not forwarded; a longer one is cancelled.
constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;
// Attempts of one request, including those that an upstream declined.
constexpr std::uint32_t kMaxAttempts = 4;
// Connection attempts for one request.
constexpr std::uint32_t kMaxConnectionAttempts = 6;
// Minimum time that an attempt needs at an upstream.
constexpr Duration kMinServiceTime = 20ms;
// Minimum time that an engine needs until the first event.
constexpr Duration kMinFirstEventTime = 60ms;
constexpr std::string_view kEventStream = "text/event-stream";
// An upstream that has sent parts of a response for this long is not crashed by the
// request.
constexpr Duration kServedAfter = 250ms;
// A request that waits for a model of unknown load time is refused when less than its
// total time divided by this is left, so that the caller can still retry elsewhere.
constexpr int kUnknownDelayDivisor = 4;

std::string
joined(const std::vector<std::string>& aParts)
{
  std::string text;
  for (const auto& part : aParts) {
    text.append(text.empty() ? "" : ",").append(part);
  }
  return text;
}

bool
isSuccess(int aStatus)
{
  return aStatus / 100 == 2;
}

std::string
seriesOf(std::string_view aName, std::string_view aLabel, std::string_view aValue)
{
  std::string series(aName);
  return series.append("{").append(aLabel).append("=\"").append(aValue).append("\"}");
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

RequestTask::RequestTask(RequestContext& aContext,
                         IRequestOwner& aOwner,
                         std::shared_ptr<link::InboundConnection> aCaller,
                         link::RequestMessage aRequest,
                         serving::RequestDetails aDetails,
                         std::shared_ptr<const serving::RouteTable> aRoutes,
                         const serving::Route& aRoute,
                         std::string aGroup)
  : mContext(aContext)
  , mOwner(aOwner)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mDetails(std::move(aDetails))
  , mRoutes(std::move(aRoutes))
  , mRoute(&aRoute)
  , mGroup(std::move(aGroup))
  , mArrived(aContext.loop.now())
{
  const Duration limit =
    mDetails.deadline ? std::min(*mDetails.deadline, mRoute->timeout) : mRoute->timeout;
  mDeadline = mArrived + limit;
  if (mRoute->resumable) {
    mEvents.startAfter(mDetails.resumeAfter);
  }
}

RequestTask::~RequestTask() = default;

const serving::UpstreamGroup*
RequestTask::groupProfile() const
{
  const auto& groups = mRoutes->config().groups;
  const auto found = groups.find(mGroup);
  return found == groups.end() ? nullptr : &found->second;
}

UpstreamSelector::Query
RequestTask::query() const
{
  return { groupProfile(), mDetails.model, mDetails.sharedPrefix, mExcluded };
}

std::int64_t
RequestTask::elapsedMs() const
{
  return toMs(mContext.loop.now() - mArrived);
}

std::int64_t
RequestTask::firstEventMs() const
{
  const auto first = mStreamTimes.firstEvent();
  return first ? toMs(*first - mArrived) : -1;
}

bool
RequestTask::mayRetry() const
{
  return mRoute->kind == RequestKind::Repeatable ||
         (mRoute->kind == RequestKind::Stream && mRoute->resumable);
}

void
RequestTask::start()
{
  mCaller->onCallerLeft([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->onCallerDisconnected();
    }
  });
  mTimer = mContext.loop.after(mDeadline - mArrived + kResponseGrace,
                               [this] { terminate(RefusalReason::DeadlinePassed); });
  if (groupProfile() == nullptr) {
    refuse(RefusalReason::NoUpstream);
    return;
  }
  const auto& engine = groupProfile()->engine;
  if (engine && !mDetails.model.model.empty() &&
      !engine->models.contains(mDetails.model.model)) {
    // Under this configuration no engine is ever ordered to load the model.
    refuse(RefusalReason::NoUpstream);
    return;
  }
  if (!refuseQuarantined() && !startAttempt()) {
    waitOrRefuse();
  }
}

void
RequestTask::sendIfPossible()
{
  const auto self = shared_from_this();
  if (mState == State::Waiting && !refuseQuarantined() && !startAttempt()) {
    waitOrRefuse();
  }
}

void
RequestTask::refuseIfWaiting(RefusalReason aReason)
{
  const auto self = shared_from_this();
  if (mState == State::Waiting) {
    refuse(aReason);
  }
}

bool
RequestTask::refuseQuarantined()
{
  const auto quarantined = mContext.quarantine.check(mDetails.id, mDetails.sharedParts);
  if (quarantined) {
    refuse(RefusalReason::PromptQuarantined, quarantined->remaining);
  }
  return quarantined.has_value();
}

void
RequestTask::recordServed()
{
  // An upstream may send another status without having begun to answer the prompt.
  if (isSuccess(mHead.status) && !mServedRecorded) {
    mServedRecorded = true;
    mContext.quarantine.requestServed(mDetails.sharedParts);
  }
}

void
RequestTask::recordConnectionEnd(QuarantineTask::Response aResponse)
{
  const auto* entry = mContext.selector.directory().find(mUpstream);
  if (!mServedRecorded && entry != nullptr) {
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
  const bool may_be_empty = resumed && mHead.framing != link::Framing::UntilClose;
  return mStreaming && (mEvents.hasPartial() || (!mAttemptBodyStarted && !may_be_empty));
}

bool
RequestTask::startAttempt()
{
  const auto now = mContext.loop.now();
  const auto profile = groupProfile();
  while (mConnectionAttempts < kMaxConnectionAttempts) {
    const auto chosen = mContext.selector.choose(query(), now);
    if (!chosen) {
      return false;
    }
    const auto* entry = mContext.selector.directory().find(*chosen);
    // All hosts share the connections that an upstream accepts.
    const std::size_t max_open = std::max<std::size_t>(
      2, profile->maxConnections / std::max(1U, mOwner.hostCount()));
    mPoolKey = entry->id + "#" + std::to_string(entry->bornMs);
    // A faulty upstream may send a refusal once more. On a new connection it cannot be
    // that of this request's earlier attempt, which has the same id.
    const auto source = mRefusedBy.contains(mPoolKey)
                          ? link::OutboundPool::Source::OnlyNew
                          : link::OutboundPool::Source::IdleOrNew;
    const auto lease = mContext.pool.take(mPoolKey, entry->endpoint, max_open, source);
    if (!lease.connection) {
      mContext.selector.recordDecline(*chosen, mDetails.model, now);
      continue;
    }
    ++mConnectionAttempts;
    mConnection = lease.connection;
    mConnectionReused = lease.reused;
    mUpstream = *chosen;
    mUpstreamBornMs = entry->bornMs;
    mState = State::AwaitingResponse;
    mAttemptStarted = now;
    mWaitedMs = toMs(now - mArrived);
    mDiscarding = false;
    mBufferedBody.clear();
    mHead = {};
    mAttemptBodyStarted.reset();
    mServedRecorded = false;
    mEvents.startNextResponse();
    AttemptParameters parameters;
    parameters.upstream = entry->id;
    parameters.remaining = mDeadline - now;
    parameters.urgency = std::min(9U, mRoute->priority);
    parameters.resumeAfter = mEvents.lastId();
    ++mAttempts;
    if (!std::exchange(mSent, true)) {
      mOwner.onRequestSent(*this);
    }
    mContext.selector.recordStart(mUpstream, now);
    mConnection->send(mContext.protocol.writeRequest(mRequest, parameters),
                      mRequest.method == "HEAD",
                      *this);
    return true;
  }
  return false;
}

void
RequestTask::waitOrRefuse()
{
  mState = State::Waiting;
  const auto now = mContext.loop.now();
  const bool engine = !mDetails.model.model.empty();
  const Duration remaining_time = callerLeavesAt() - now;
  const Duration needed = engine ? kMinFirstEventTime : kMinServiceTime;
  if (mConnectionAttempts >= kMaxConnectionAttempts || remaining_time < needed) {
    refuse(mConnectionAttempts >= kMaxConnectionAttempts ? RefusalReason::NoUpstream
                                                         : RefusalReason::DeadlinePassed);
    return;
  }
  const auto delay = mContext.selector.timeUntilReady(query(), now);
  mModelReadyAt = delay ? std::optional(now + *delay) : std::nullopt;
  if (delay && *delay + needed > remaining_time) {
    refuse(RefusalReason::ModelNotInTime);
    return;
  }
  const auto not_taken = mContext.selector.timeUntilTaken(query(), now);
  if (not_taken + needed > remaining_time) {
    refuse(RefusalReason::UpstreamsNotTaking, not_taken);
    return;
  }
  if (!delay && engine && mContext.selector.leaderIsUnavailable(now)) {
    // Load pattern: the store is unreachable, so no models are loaded and waiting is
    // useless.
    refuse(RefusalReason::NoLeader);
    return;
  }
  if (!delay && remaining_time < std::min(mDeadline - mArrived, mRoute->callerTimeout) /
                                   kUnknownDelayDivisor) {
    refuse(RefusalReason::ModelNotInTime);
    return;
  }
  if (!mAdmitted) {
    // Checked only when the request first has to wait: the backlog is the delay of a new
    // request, and those that already wait are ahead of new ones.
    const auto backlog = mContext.selector.backlogTime(mDetails.model.model, now);
    if (engine && !mHeadForwarded && backlog) {
      const auto assessed = mOwner.assessArrival(*this, *backlog);
      mAhead = assessed.ahead;
      if (assessed.decision != serving::ArrivalDecision::Wait) {
        refuse(RefusalReason::Overloaded);
        return;
      }
    }
    mAdmitted = true;
    mContext.log.write(
      kCallWaits,
      { { "call", mDetails.id },
        { "model", serving::toString(mDetails.model) },
        { "without_permit",
          std::uint64_t{ mContext.selector.countWithoutPermit(query(), now) } },
        { "ready_in_ms", delay ? toMs(*delay) : -1 },
        { "ahead_ms", toMs(mAhead) } });
  }
  mOwner.onRequestWaiting(*this);
}

bool
RequestTask::matchesResponse(const link::ResponseHead& aHead)
{
  mMetadata = mContext.protocol.readMetadata(aHead);
  // Without an id, a response on a used connection may be that of an earlier request.
  return mMetadata.requestId.empty() ? !mConnectionReused
                                     : mMetadata.requestId == mDetails.id;
}

void
RequestTask::responseStarted(const link::ResponseHead& aHead)
{
  mHead = aHead;
  recordUpstreamState();
  const bool success = isSuccess(aHead.status);
  // The body of a success that names no media type is checked to be an event stream.
  const bool other_type =
    link::findHeader(aHead.headers, "content-type") != nullptr && !isEventStream(aHead);
  const bool wants_stream =
    mRoute->kind == RequestKind::Stream && success && mRequest.method != "HEAD";
  mStreaming = wants_stream && aHead.framing != link::Framing::None && !other_type;
  // Not forwarded: a response that says that the upstream did not execute the request or
  // is not the intended one, a response without signature or this request's id, a success
  // of a stream's route that is no event stream, and a response other than a successful
  // event stream to an attempt that resumes a stream.
  mDiscarding = mMetadata.notExecuted || mMetadata.wrongUpstream || !mMetadata.isSigned ||
                mMetadata.requestId != mDetails.id || (wants_stream && !mStreaming) ||
                (mHeadForwarded && !(mStreaming && isEventStream(aHead)));
  mDiscardedBytes = 0;
  if (mDiscarding || !mStreaming) {
    return;
  }
  mContext.metrics.observe("savoryrill_gateway_first_byte_ms",
                           static_cast<double>(elapsedMs()));
  forwardHead();
}

void
RequestTask::recordUpstreamState()
{
  if (mMetadata.wrongUpstream) {
    return; // the response of another upstream
  }
  recordRateLimit();
  if (const auto pause = mMetadata.retryAfter) {
    mContext.selector.recordPause(
      mUpstream, mUpstreamBornMs, *pause, mContext.loop.now());
    mContext.log.write(kUpstreamPause,
                       { { "upstream", mUpstream }, { "pause_ms", toMs(*pause) } });
  }
  if (mMetadata.leaving && mMetadata.requestId == mDetails.id) {
    mOwner.onUpstreamLeaving(mUpstream, mUpstreamBornMs);
  }
}

void
RequestTask::recordRateLimit()
{
  if (mMetadata.rateLimitUnreadable) {
    // The last limit that could be read stays in force.
    mContext.metrics.add("savoryrill_gateway_unreadable_limits_total");
    return;
  }
  const auto& limit = mMetadata.rateLimit;
  if (!limit && !mMetadata.isSigned) {
    return; // not necessarily a response of the upstream itself
  }
  if (mContext.selector.limits().setNamed(mUpstream, limit, mContext.loop.now())) {
    mContext.log.write(kUpstreamLimit,
                       { { "upstream", mUpstream },
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
  mState = State::Responding;
  mCaller->onOutputSent([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->mConnection) {
      self->mConnection->pause(false);
    }
  });
  auto head = mHead;
  if (mStreaming && mRoute->resumable && head.framing == link::Framing::Length) {
    // Another upstream may complete the stream with a rest of another length.
    head.framing = link::Framing::Chunked;
  }
  mCaller->sendHead(head);
}

void
RequestTask::responseData(std::string_view aData)
{
  const auto self = shared_from_this();
  if (mDiscarding) {
    mDiscardedBytes += aData.size();
    if (mDiscardedBytes > kMaxDiscardedBytes) {
      // The rest of the body is not needed: the head shows how the attempt has failed.
      mConnection->cancel();
      responseFinished();
    }
    return;
  }
  if (mStreaming) {
    forwardEvents(aData);
    return;
  }
  recordBodyOfAttempt();
  if (!mHeadForwarded) {
    mBufferedBody.append(aData);
    if (mBufferedBody.size() <= kMaxBufferedBytes) {
      return;
    }
    forwardHead();
    mCaller->sendData(mBufferedBody);
    mBufferedBody.clear();
  } else {
    mCaller->sendData(aData);
  }
  if (mConnection && mCaller->unsentBytes() > kMaxUnsentBytes) {
    mConnection->pause(true);
  }
}

void
RequestTask::recordBodyOfAttempt()
{
  if (!mAttemptBodyStarted) {
    mAttemptBodyStarted = mContext.loop.now();
  } else if (mContext.loop.now() - *mAttemptBodyStarted >= kServedAfter) {
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
  if (mState == State::Ended) {
    return; // the caller has disconnected
  }
  if (const auto fault = mEvents.fault()) {
    mContext.metrics.add(
      seriesOf("savoryrill_gateway_malformed_streams_total", "fault", nameOf(*fault)));
    mConnection->cancel();
    failAttempt(link::ExchangeFault::Malformed,
                "malformed event stream: " + std::string(nameOf(*fault)));
    return;
  }
  if (mConnection && mCaller->unsentBytes() > kMaxUnsentBytes) {
    mConnection->pause(true);
  }
}

void
RequestTask::responseFinished()
{
  const auto self = shared_from_this();
  const int status = mHead.status;
  releaseConnection(false);
  if (mMetadata.notExecuted || (mMetadata.wrongUpstream && status == 421)) {
    mContext.selector.recordDecline(mUpstream, mDetails.model, mContext.loop.now());
    mRefusedBy.insert(mPoolKey);
    logAttemptFailure("the upstream did not execute the request, status " +
                      std::to_string(status));
    if (mMetadata.wrongUpstream) {
      mExcluded.insert(mUpstream);
    }
    retryOrFail(mMayHaveRun, RefusalReason::NoUpstream);
    return;
  }
  if (!mDiscarding && streamIsBrokenOff()) {
    exchangeFailed(link::ExchangeFault::Broken);
    return;
  }
  ++mPossibleRuns;
  mMayHaveRun = true;
  if (mDiscarding) {
    mContext.selector.recordFailure(mUpstream, mContext.loop.now());
    logAttemptFailure("the upstream's response is unsigned, has no request id, or is no "
                      "event stream although the request is for one; status " +
                      std::to_string(status));
    retryOrFail(true, RefusalReason::UpstreamFailed);
    return;
  }
  if (status >= 500) {
    mContext.selector.recordFailure(mUpstream, mContext.loop.now());
    const bool may_retry = mRoute->kind == RequestKind::Repeatable && !mHeadForwarded &&
                           mPossibleRuns < mRoute->maxAttempts &&
                           mDeadline - mContext.loop.now() > kMinServiceTime;
    if (may_retry && mOwner.takeRetry(mGroup)) {
      logAttemptFailure("status " + std::to_string(status));
      // Kept for the caller in case no other upstream is available.
      const auto head = mHead;
      const auto body = mBufferedBody;
      mExcluded.insert(mUpstream);
      if (startAttempt()) {
        return;
      }
      mHead = head;
      mBufferedBody = body;
    }
  } else {
    mContext.selector.recordSuccess(mUpstream);
    if (isSuccess(status) && mHead.framing == link::Framing::UntilClose) {
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
  recordResponse(mHead.status);
  if (mRequest.method == "HEAD" || mHead.framing == link::Framing::None) {
    mCaller->sendHead(mHead);
    mCaller->finish();
  } else {
    mCaller->respond(mHead, mBufferedBody);
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
  mContext.selector.recordFailure(mUpstream, mContext.loop.now());
  logAttemptFailure(aReason);
  const bool may_have_run =
    aFault == link::ExchangeFault::Broken || aFault == link::ExchangeFault::Malformed;
  if (aFault == link::ExchangeFault::Broken) {
    recordConnectionEnd(QuarantineTask::Response::BrokenOff);
  }
  if (may_have_run) {
    ++mPossibleRuns;
    mMayHaveRun = true;
  } else {
    --mAttempts;
  }
  mExcluded.insert(mUpstream);
  if (mHeadForwarded && !mRoute->resumable) {
    abortResponse("the upstream failed after a part of the response was forwarded");
    return;
  }
  // A resumable stream goes on after its last event, or starts again if there was none.
  retryOrFail(mMayHaveRun, RefusalReason::OutcomeUnknown);
}

void
RequestTask::retryOrFail(bool aMayHaveRun, RefusalReason aReason)
{
  const bool allowed =
    !aMayHaveRun || (mayRetry() && mPossibleRuns < mRoute->maxAttempts);
  const Duration remaining_time = mDeadline - mContext.loop.now();
  const bool in_time = remaining_time > kMinServiceTime;
  // Failed connections do not use up the retry budget; attempts do, even if declined.
  if (allowed && in_time && mAttempts < kMaxAttempts &&
      mConnectionAttempts < kMaxConnectionAttempts &&
      (mAttempts == 0 || mOwner.takeRetry(mGroup))) {
    if (refuseQuarantined() || startAttempt()) {
      return;
    }
    if (mHeadForwarded) {
      // Rare models have one replica. The stream goes on once the model is loaded
      // elsewhere, or at the same upstream if only the connection has failed.
      mExcluded.clear();
    }
    waitOrRefuse();
    return;
  }
  refuse(aReason);
}

void
RequestTask::releaseConnection(bool aCancel)
{
  if (!mConnection) {
    return;
  }
  if (aCancel) {
    mConnection->cancel();
  }
  mContext.selector.recordEnd(mUpstream);
  mContext.pool.giveBack(mPoolKey, mConnection);
  mConnection.reset();
  mOwner.onSlotFreed();
}

ResponseProgress
RequestTask::progressOfAttempt() const
{
  if (mAttemptBodyStarted) {
    return ResponseProgress::Body;
  }
  return mHead.status == 0 ? ResponseProgress::Nothing : ResponseProgress::Head;
}

void
RequestTask::logAttemptFailure(std::string_view aReason)
{
  mContext.metrics.add("savoryrill_gateway_failed_sends_total");
  mContext.log.write(kSendFailed,
                     { { "call", mDetails.id },
                       { "upstream", mUpstream },
                       { "model", serving::toString(mDetails.model) },
                       { "parts", joined(mDetails.sharedParts) },
                       { "progress", nameOf(progressOfAttempt()) },
                       { "reason", aReason },
                       { "sends", std::int64_t{ mAttempts } },
                       { "after_ms", toMs(mContext.loop.now() - mAttemptStarted) } });
}

std::optional<Duration>
RequestTask::expectedDelay() const
{
  if (groupProfile() == nullptr) {
    return std::nullopt;
  }
  const auto now = mContext.loop.now();
  const auto delay = mContext.selector.timeUntilReady(query(), now);
  const auto backlog = mContext.selector.backlogTime(mDetails.model.model, now);
  return delay && backlog ? std::max(*delay, *backlog) : delay;
}

void
RequestTask::refuse(RefusalReason aReason, std::optional<Duration> aRetryAfter)
{
  if (mHeadForwarded) {
    abortResponse("the stream could not be resumed: " + std::string(nameOf(aReason)));
    return;
  }
  const auto delay = aRetryAfter ? aRetryAfter : expectedDelay();
  const bool known = delay && *delay > Duration::zero();
  const auto ready_in = known ? delay : std::nullopt;
  const auto return_in =
    mMayHaveRun ? ready_in : mOwner.returnTime(*this, aReason, ready_in);
  const auto refusal = refusalFor(aReason, mMayHaveRun, return_in);
  const auto now = mContext.loop.now();
  mContext.metrics.add(
    seriesOf("savoryrill_gateway_refusals_total", "reason", nameOf(aReason)));
  mContext.log.write(kCallRefused,
                     { { "call", mDetails.id },
                       { "route", mRoute->name },
                       { "model", serving::toString(mDetails.model) },
                       { "reason", nameOf(aReason) },
                       { "status", std::int64_t{ refusal.status } },
                       { "ran", refusal.mayHaveRun ? "unknown" : "no" },
                       { "ready_in_ms", delay ? toMs(*delay) : -1 },
                       { "priority", std::uint64_t{ priority() } },
                       { "ahead_ms", toMs(mAhead) },
                       { "to_objective_ms", toMs(objective() - now) },
                       { "caller_leaves_ms", toMs(callerLeavesAt() - now) },
                       { "sends", std::int64_t{ mAttempts } },
                       { "config", mRoutes->config().version },
                       { "after_ms", elapsedMs() } });
  mCaller->respond(headOf(refusal, mDetails.id), bodyOf(refusal));
  end();
}

void
RequestTask::abortResponse(std::string_view aReason)
{
  mContext.metrics.add("savoryrill_gateway_cut_responses_total");
  mContext.log.write(kCallCut,
                     { { "call", mDetails.id },
                       { "route", mRoute->name },
                       { "upstream", mUpstream },
                       { "model", serving::toString(mDetails.model) },
                       { "reason", aReason },
                       { "last_event", mEvents.lastId() },
                       { "waited_ms", mWaitedMs },
                       { "first_event_ms", firstEventMs() },
                       { "longest_pause_ms", toMs(mStreamTimes.longestPause()) },
                       { "after_ms", elapsedMs() } });
  mCaller->abort();
  end();
}

void
RequestTask::onCallerDisconnected()
{
  const auto self = shared_from_this();
  if (mState == State::Ended) {
    return;
  }
  mContext.metrics.add("savoryrill_gateway_callers_left_total");
  mContext.log.write(kCallLeft,
                     { { "call", mDetails.id },
                       { "route", mRoute->name },
                       { "upstream", mUpstream },
                       { "waiting", mState == State::Waiting ? "yes" : "no" },
                       { "after_ms", elapsedMs() } });
  releaseConnection(true);
  end();
}

void
RequestTask::terminate(RefusalReason aReason)
{
  const auto self = shared_from_this();
  switch (mState) {
    case State::Waiting:
      refuse(aReason);
      break;
    case State::AwaitingResponse:
      mMayHaveRun = mMayHaveRun || mConnection->requestStarted();
      logAttemptFailure(nameOf(aReason));
      releaseConnection(true);
      refuse(aReason);
      break;
    case State::Responding:
      releaseConnection(true);
      abortResponse(nameOf(aReason));
      break;
    case State::Ended:
      break;
  }
}

void
RequestTask::end()
{
  mState = State::Ended;
  mTimer.reset();
  releaseConnection(true);
  mOwner.onRequestEnded(*this);
}

void
RequestTask::recordResponse(int aStatus)
{
  mCompleted = true;
  mContext.metrics.add(
    seriesOf("savoryrill_gateway_responses_total", "status", std::to_string(aStatus)));
  mContext.metrics.observe("savoryrill_gateway_response_ms",
                           static_cast<double>(elapsedMs()));
  mContext.metrics.observe("savoryrill_gateway_waited_ms",
                           static_cast<double>(mWaitedMs));
  mContext.log.write(kCallFinished,
                     { { "call", mDetails.id },
                       { "route", mRoute->name },
                       { "config", mRoutes->config().version },
                       { "model", serving::toString(mDetails.model) },
                       { "parts", joined(mDetails.sharedParts) },
                       { "upstream", mUpstream },
                       { "status", std::int64_t{ aStatus } },
                       { "sends", std::int64_t{ mAttempts } },
                       { "waited_ms", mWaitedMs },
                       { "first_event_ms", firstEventMs() },
                       { "longest_pause_ms", toMs(mStreamTimes.longestPause()) },
                       { "after_ms", elapsedMs() } });
}

} // namespace savoryrill::gateway
