#include "gateway/internal/call.h"

#include <algorithm>

#include "gateway/types/gatewayevents.h"
#include "serving/admission.h"

namespace savoryrill::gateway {

using serving::RefusalReason;
using serving::RequestKind;

namespace {

// The final response is given this long after the due time at the latest; an upstream's
// own response at its deadline arrives before.
constexpr Duration kResponseGrace = 150ms;
// Output of a caller that does not read, above which its upstream is not read either.
constexpr std::size_t kMostUnsentBytes = 128UL * 1024;
// Responses up to this size are collected, so that one that breaks off can be replaced.
constexpr std::size_t kMostCollectedBytes = 512UL * 1024;
// Of the body of a response that is not handed on. A longer one is not waited for.
constexpr std::size_t kMostDiscardedBytes = 64UL * 1024;
// Sends of one request, including those that an upstream declined to run.
constexpr std::uint32_t kMostSends = 4;
// Connections tried for one request.
constexpr std::uint32_t kMostAttempts = 6;
// Time that a request needs at an upstream at the least.
constexpr Duration kLeastServiceTime = 20ms;
// The least time that an engine needs until the first event.
constexpr Duration kLeastEngineTime = 60ms;
// Waits for a model are cut off when this share of the time is left and nothing is known
// of its load: the caller can still come back elsewhere.
constexpr int kUnknownWaitDivisor = 4;

std::string
seriesOf(std::string_view aName, std::string_view aLabel, std::string_view aValue)
{
  std::string series(aName);
  return series.append("{").append(aLabel).append("=\"").append(aValue).append("\"}");
}

bool
isEventStream(const link::ResponseHead& aHead)
{
  const auto* type = link::findHeader(aHead.headers, "content-type");
  return type != nullptr && type->starts_with("text/event-stream");
}

} // namespace

Call::Call(CallContext& aContext,
           ICallOwner& aOwner,
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
  mDue = mArrived + limit;
}

Call::~Call() = default;

const serving::UpstreamGroup*
Call::groupProfile() const
{
  const auto& groups = mRoutes->config().groups;
  const auto found = groups.find(mGroup);
  return found == groups.end() ? nullptr : &found->second;
}

UpstreamBoard::Query
Call::query() const
{
  return { groupProfile(), mDetails.model, mDetails.sharedPrefix, mExcluded };
}

std::int64_t
Call::elapsedMs() const
{
  return toMs(mContext.loop.now() - mArrived);
}

bool
Call::repeatable() const
{
  return mRoute->kind == RequestKind::Repeatable ||
         (mRoute->kind == RequestKind::Stream && mRoute->resumable);
}

void
Call::start()
{
  mCaller->onCallerLeft([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->callerLeft();
    }
  });
  mTimer = mContext.loop.after(mDue - mArrived + kResponseGrace,
                               [this] { endNow(RefusalReason::DeadlinePassed); });
  if (groupProfile() == nullptr) {
    refuseNow(RefusalReason::NoUpstream);
    return;
  }
  const auto& engine = groupProfile()->engine;
  if (engine && !mDetails.model.model.empty() &&
      !engine->models.contains(mDetails.model.model)) {
    // No engine will ever be ordered to load it under this configuration.
    refuseNow(RefusalReason::NoUpstream);
    return;
  }
  if (!trySend()) {
    wait();
  }
}

void
Call::retry()
{
  const auto self = shared_from_this();
  if (mState == State::Waiting && !trySend()) {
    wait();
  }
}

void
Call::refuse(RefusalReason aReason)
{
  const auto self = shared_from_this();
  if (mState == State::Waiting) {
    refuseNow(aReason);
  }
}

bool
Call::trySend()
{
  const auto now = mContext.loop.now();
  const auto profile = groupProfile();
  while (mAttempts < kMostAttempts) {
    const auto chosen = mContext.board.choose(query(), now);
    if (!chosen) {
      return false;
    }
    const auto* entry = mContext.board.directory().find(*chosen);
    // The connections that an upstream accepts are shared by all hosts.
    const std::size_t most_open =
      std::max<std::size_t>(2, profile->maxConnections / std::max(1U, mOwner.hosts()));
    mPoolKey = entry->id + "#" + std::to_string(entry->bornMs);
    const auto lease = mContext.pool.take(mPoolKey, entry->endpoint, most_open);
    if (!lease.connection) {
      mContext.board.declined(*chosen, mDetails.model, now);
      continue;
    }
    ++mAttempts;
    mConnection = lease.connection;
    mUpstream = *chosen;
    mState = State::Sent;
    mSentAt = now;
    mWaitedMs = toMs(now - mArrived);
    mDiscarding = false;
    mCollected.clear();
    mHead = {};
    SendTerms terms;
    terms.upstream = entry->id;
    terms.remaining = mDue - now;
    terms.urgency = std::min(9U, mRoute->priority);
    terms.resumeAfter = mEvents.lastId();
    ++mSends;
    mContext.board.sent(mUpstream, now);
    mConnection->send(
      mContext.protocol.writeRequest(mRequest, terms), mRequest.method == "HEAD", *this);
    return true;
  }
  return false;
}

void
Call::wait()
{
  mState = State::Waiting;
  const auto now = mContext.loop.now();
  const bool engine = !mDetails.model.model.empty();
  // Until its first event a stream has only as long as its caller stays.
  const Duration rest = std::min(mDue, mArrived + mRoute->callerTimeout) - now;
  const Duration needed = engine ? kLeastEngineTime : kLeastServiceTime;
  if (mAttempts >= kMostAttempts || rest < needed) {
    refuseNow(mAttempts >= kMostAttempts ? RefusalReason::NoUpstream
                                         : RefusalReason::DeadlinePassed);
    return;
  }
  const auto ready_in = mContext.board.readyIn(query(), now);
  if (ready_in && *ready_in + needed > rest) {
    refuseNow(RefusalReason::ModelNotInTime);
    return;
  }
  if (!ready_in && engine && mContext.board.leaderIsAway(now)) {
    // Load pattern: the store is away, so nothing is loaded, and callers wait in vain.
    refuseNow(RefusalReason::NoLeader);
    return;
  }
  if (!ready_in &&
      rest < std::min(mDue - mArrived, mRoute->callerTimeout) / kUnknownWaitDivisor) {
    refuseNow(RefusalReason::ModelNotInTime);
    return;
  }
  if (!mWaitLogged) {
    // Decided once: who waits already is nearer to a place than a newcomer.
    const auto backlog = mContext.board.backlogTime(mDetails.model.model, now);
    if (engine && backlog && !serving::shouldQueue(*backlog, objective() - now)) {
      refuseNow(RefusalReason::Overloaded);
      return;
    }
    mWaitLogged = true;
    mContext.log.write(kCallWaits,
                       { { "call", mDetails.id },
                         { "model", serving::toString(mDetails.model) },
                         { "ready_in_ms", ready_in ? toMs(*ready_in) : -1 } });
  }
  mOwner.callWaits(*this);
}

bool
Call::matchesResponse(const link::ResponseHead& aHead)
{
  mMarks = mContext.protocol.readMarks(aHead);
  return mMarks.callId.empty() || mMarks.callId == mDetails.id;
}

void
Call::responseStarted(const link::ResponseHead& aHead)
{
  mHead = aHead;
  const bool success = aHead.status / 100 == 2;
  // A response that names no request, or that nobody vouches for, is not handed on.
  // Nor is a failure in the middle of a stream that is being resumed.
  mDiscarding = mMarks.notRun || mMarks.otherUpstream || !mMarks.signedBody ||
                mMarks.callId != mDetails.id ||
                (mHeadPassed && !(success && isEventStream(aHead)));
  mStreaming = mRoute->kind == RequestKind::Stream && success && isEventStream(aHead);
  mDiscardedBytes = 0;
  if (mDiscarding || !mStreaming) {
    return;
  }
  mContext.metrics.observe("savoryrill_gateway_first_byte_ms",
                           static_cast<double>(elapsedMs()));
  passHead();
}

void
Call::passHead()
{
  if (mHeadPassed) {
    return; // resumed: the caller has the head of the first upstream
  }
  mHeadPassed = true;
  mState = State::Responding;
  mCaller->onOutputSent([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->mConnection) {
      self->mConnection->pause(false);
    }
  });
  mCaller->sendHead(mHead);
}

void
Call::responseData(std::string_view aData)
{
  const auto self = shared_from_this();
  if (mDiscarding) {
    mDiscardedBytes += aData.size();
    if (mDiscardedBytes > kMostDiscardedBytes) {
      // The head has said all that counts.
      mConnection->cancel();
      responseFinished();
    }
    return;
  }
  if (mStreaming) {
    passEvents(aData);
    return;
  }
  if (!mHeadPassed) {
    mCollected.append(aData);
    if (mCollected.size() <= kMostCollectedBytes) {
      return;
    }
    passHead();
    mCaller->sendData(mCollected);
    mCollected.clear();
  } else {
    mCaller->sendData(aData);
  }
  if (mConnection && mCaller->unsentBytes() > kMostUnsentBytes) {
    mConnection->pause(true);
  }
}

void
Call::passEvents(std::string_view aData)
{
  if (mHead.framing == link::Framing::Length && !mRoute->resumable) {
    // The length is promised to the caller, so bytes pass as they are.
    mEventBytes += aData.size();
    mCaller->sendData(aData);
  } else {
    const auto events = mEvents.take(aData);
    mEventBytes += events.size();
    mCaller->sendData(events);
    if (mEvents.overflows()) {
      mConnection->cancel();
      exchangeFailed(link::ExchangeFault::Malformed);
      return;
    }
  }
  if (mConnection && mCaller->unsentBytes() > kMostUnsentBytes) {
    mConnection->pause(true);
  }
}

void
Call::responseFinished()
{
  const auto self = shared_from_this();
  const int status = mHead.status;
  releaseConnection(false);
  if (mMarks.notRun || (mMarks.otherUpstream && status == 421)) {
    mContext.board.declined(mUpstream, mDetails.model, mContext.loop.now());
    noteFailure("not run, status " + std::to_string(status));
    if (mMarks.otherUpstream) {
      mExcluded.insert(mUpstream);
    }
    sendAgainOrFail(mMayHaveRun, RefusalReason::NoUpstream);
    return;
  }
  ++mRuns;
  mMayHaveRun = true;
  if (mDiscarding) {
    mContext.board.failed(mUpstream, mContext.loop.now());
    noteFailure("unusable response, status " + std::to_string(status));
    sendAgainOrFail(true, RefusalReason::UpstreamFailed);
    return;
  }
  if (status >= 500) {
    mContext.board.failed(mUpstream, mContext.loop.now());
    const bool again = mRoute->kind == RequestKind::Repeatable && !mHeadPassed &&
                       mRuns < mRoute->maxAttempts &&
                       mDue - mContext.loop.now() > kLeastServiceTime;
    if (again && mOwner.takeRepeat(mGroup)) {
      noteFailure("status " + std::to_string(status));
      // Kept, in case no other upstream can be had.
      const auto head = mHead;
      const auto body = mCollected;
      mExcluded.insert(mUpstream);
      if (trySend()) {
        return;
      }
      mHead = head;
      mCollected = body;
    }
  } else {
    mContext.board.succeeded(mUpstream);
  }
  if (mHeadPassed) {
    if (mEvents.hasPartial()) {
      // The stream claims to be complete although its last event is not.
      cut("partial event at the end");
      return;
    }
    logFinished(status);
    mCaller->finish();
    end();
    return;
  }
  respondCollected();
}

void
Call::respondCollected()
{
  logFinished(mHead.status);
  if (mRequest.method == "HEAD" || mHead.framing == link::Framing::None) {
    mCaller->sendHead(mHead);
    mCaller->finish();
  } else {
    mCaller->respond(mHead, mCollected);
  }
  end();
}

void
Call::exchangeFailed(link::ExchangeFault aFault)
{
  const auto self = shared_from_this();
  releaseConnection(false);
  mContext.board.failed(mUpstream, mContext.loop.now());
  noteFailure(nameOf(aFault));
  const bool sent =
    aFault == link::ExchangeFault::Broken || aFault == link::ExchangeFault::Malformed;
  if (sent) {
    ++mRuns;
    mMayHaveRun = true;
  } else {
    --mSends;
  }
  mExcluded.insert(mUpstream);
  if (mHeadPassed && (!mRoute->resumable || mEvents.lastId().empty())) {
    if (mEventBytes > 0 || !mRoute->resumable) {
      cut("upstream broke off");
      return;
    }
  }
  mEvents.dropPartial();
  sendAgainOrFail(mMayHaveRun, RefusalReason::OutcomeUnknown);
}

void
Call::sendAgainOrFail(bool aMayHaveRun, RefusalReason aReason)
{
  const bool allowed = !aMayHaveRun || (repeatable() && mRuns < mRoute->maxAttempts);
  const Duration rest = mDue - mContext.loop.now();
  const bool in_time = rest > kLeastServiceTime;
  // A connection that was never used costs nothing; a send counts, also if declined.
  if (allowed && in_time && mSends < kMostSends && mAttempts < kMostAttempts &&
      (mSends == 0 || mOwner.takeRepeat(mGroup))) {
    if (trySend()) {
      return;
    }
    if (!mHeadPassed) {
      wait();
      return;
    }
  }
  if (mHeadPassed) {
    cut("not resumed");
    return;
  }
  refuseNow(aReason);
}

void
Call::releaseConnection(bool aCancel)
{
  if (!mConnection) {
    return;
  }
  if (aCancel) {
    mConnection->cancel();
  }
  mContext.board.ended(mUpstream);
  mContext.pool.giveBack(mPoolKey, mConnection);
  mConnection.reset();
  mOwner.placeFreed();
}

void
Call::noteFailure(std::string_view aReason)
{
  mContext.metrics.add("savoryrill_gateway_failed_sends_total");
  mContext.log.write(kSendFailed,
                     { { "call", mDetails.id },
                       { "upstream", mUpstream },
                       { "model", serving::toString(mDetails.model) },
                       { "reason", aReason },
                       { "sends", std::int64_t{ mSends } },
                       { "after_ms", toMs(mContext.loop.now() - mSentAt) } });
}

std::optional<Duration>
Call::expectedTime() const
{
  if (groupProfile() == nullptr) {
    return std::nullopt;
  }
  const auto now = mContext.loop.now();
  const auto ready_in = mContext.board.readyIn(query(), now);
  const auto backlog = mContext.board.backlogTime(mDetails.model.model, now);
  return ready_in && backlog ? std::max(*ready_in, *backlog) : ready_in;
}

void
Call::refuseNow(RefusalReason aReason)
{
  const auto ready_in = expectedTime();
  const bool known = ready_in && *ready_in > Duration::zero();
  const auto refusal = refusalFor(aReason, mMayHaveRun, known ? ready_in : std::nullopt);
  mContext.metrics.add(
    seriesOf("savoryrill_gateway_refusals_total", "reason", nameOf(aReason)));
  mContext.log.write(kCallRefused,
                     { { "call", mDetails.id },
                       { "route", mRoute->name },
                       { "model", serving::toString(mDetails.model) },
                       { "reason", nameOf(aReason) },
                       { "status", std::int64_t{ refusal.status } },
                       { "ran", refusal.mayHaveRun ? "unknown" : "no" },
                       { "ready_in_ms", ready_in ? toMs(*ready_in) : -1 },
                       { "sends", std::int64_t{ mSends } },
                       { "config", mRoutes->config().version },
                       { "after_ms", elapsedMs() } });
  mCaller->respond(headOf(refusal, mDetails.id), bodyOf(refusal));
  end();
}

void
Call::cut(std::string_view aReason)
{
  mContext.metrics.add("savoryrill_gateway_cut_responses_total");
  mContext.log.write(kCallCut,
                     { { "call", mDetails.id },
                       { "route", mRoute->name },
                       { "upstream", mUpstream },
                       { "model", serving::toString(mDetails.model) },
                       { "reason", aReason },
                       { "last_event", mEvents.lastId() },
                       { "after_ms", elapsedMs() } });
  mCaller->abort();
  end();
}

void
Call::callerLeft()
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
Call::endNow(RefusalReason aReason)
{
  const auto self = shared_from_this();
  switch (mState) {
    case State::Waiting:
      if (mHeadPassed) {
        cut(nameOf(aReason));
      } else {
        refuseNow(aReason);
      }
      break;
    case State::Sent:
      mMayHaveRun = mMayHaveRun || mConnection->requestStarted();
      noteFailure(nameOf(aReason));
      releaseConnection(true);
      if (mHeadPassed) {
        cut(nameOf(aReason));
      } else {
        refuseNow(aReason);
      }
      break;
    case State::Responding:
      releaseConnection(true);
      cut(nameOf(aReason));
      break;
    case State::Ended:
      break;
  }
}

void
Call::end()
{
  mState = State::Ended;
  mTimer.reset();
  releaseConnection(true);
  mOwner.callEnded(*this);
}

void
Call::logFinished(int aStatus)
{
  mAnswered = true;
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
                       { "upstream", mUpstream },
                       { "status", std::int64_t{ aStatus } },
                       { "sends", std::int64_t{ mSends } },
                       { "waited_ms", mWaitedMs },
                       { "after_ms", elapsedMs() } });
}

} // namespace savoryrill::gateway
