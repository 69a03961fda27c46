#include "gateway/internal/requesttask.h"

#include <algorithm>
#include <utility>

#include "gateway/internal/namelist.h"
#include "gateway/internal/seriesname.h"
#include "gateway/internal/waitingdecision.h"
#include "gateway/types/gatewayevents.h"
#include "serving/requestcost.h"

namespace savoryrill::gateway {

using serving::RefusalReason;
using serving::RequestKind;

namespace {

// The final response is sent at most this long after the deadline, so that an upstream's
// own response at the deadline still arrives.
constexpr Duration kResponseGrace = 150ms;
// Part of the objective for which a request waits for its quota, and the least time: the
// rest is left for an upstream, and an issuer of quotas responds within a few round
// trips. A window of a quota counts requests by the time at which callers sent them, so
// what waits is paid from grants of a longer time; above half a second the sum of a
// window could exceed the quota.
constexpr int kQuotaWaitDivisor = 4;
constexpr Duration kMinQuotaWait = 100ms;
constexpr Duration kMaxQuotaWait = 400ms;
// Longest wait for the result of a request that decides about a prompt part. A host lets
// it through within a second, and its result mostly arrives within another one.
constexpr Duration kMaxHold = 2s;

} // namespace

RequestTask::RequestTask(RequestContext& aContext,
                         IRequestOwner& aOwner,
                         std::shared_ptr<link::InboundConnection> aCaller,
                         link::RequestMessage aRequest,
                         serving::RequestDetails aDetails,
                         serving::CallerAuthentication aAuthentication,
                         std::shared_ptr<const serving::RouteTable> aRoutes,
                         const serving::Route& aRoute,
                         std::string aGroup)
  : mContext(aContext)
  , mOwner(aOwner)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mDetails(std::move(aDetails))
  , mAuthentication(std::move(aAuthentication))
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
  return { groupProfile(), mDetails.model, mDetails.sharedPrefix, mHistory.excluded };
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
  mCaller->onMemoryNeeded([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->terminate(RefusalReason::MemoryShort);
    }
  });
  mBufferedCharge = mCaller->charge(link::MemoryKind::Response);
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
  requestQuota();
}

void
RequestTask::requestQuota()
{
  const auto* organisation = mAuthentication.organisation();
  if (mContext.quotas == nullptr || organisation == nullptr || !organisation->quota) {
    serve();
    return;
  }
  mState = AwaitingQuota{};
  auto pending = mContext.quotas->admit(
    organisation->name,
    serving::costOf(mDetails, *organisation->quota),
    std::clamp(mRoute->objective / kQuotaWaitDivisor, kMinQuotaWait, kMaxQuotaWait),
    [weak = weak_from_this()](const QuotaOutcome& aOutcome) {
      if (const auto self = weak.lock()) {
        self->onQuotaOutcome(aOutcome);
      }
    });
  if (auto* awaiting = std::get_if<AwaitingQuota>(&mState)) {
    awaiting->pending = std::move(pending);
  }
}

void
RequestTask::onQuotaOutcome(const QuotaOutcome& aOutcome)
{
  if (!isAwaitingQuota()) {
    return;
  }
  if (const auto* denial = std::get_if<serving::QuotaDenial>(&aOutcome)) {
    refuse(RefusalReason::QuotaExceeded, denial->roomIn);
    return;
  }
  mCharge = std::get<QuotaCharge>(aOutcome);
  serve();
}

void
RequestTask::refundQuota()
{
  const bool may_have_run = mHistory.mayHaveRun || mHeadForwarded || mCompleted;
  if (mCharge && !may_have_run) {
    mContext.quotas->refund(*mCharge);
  }
  mCharge.reset();
}

void
RequestTask::serve()
{
  // The configuration may have changed while the request waited for its quota.
  if (refuseUnauthenticated()) {
    return;
  }
  if (const auto* organisation = mAuthentication.organisation()) {
    const auto& quota = organisation->quota;
    mContext.organisationMetrics.recordAdmitted(
      organisation->name, serving::tokensOf(mDetails, quota ? quota->defaultTokens : 0));
  }
  if (!keptByQuarantine() && !startAttempt()) {
    waitOrRefuse();
  }
}

void
RequestTask::sendIfPossible()
{
  const auto self = shared_from_this();
  if (isWaiting() && !refuseUnauthenticated() && !keptByQuarantine() && !startAttempt()) {
    waitOrRefuse();
  }
}

void
RequestTask::refuseIfWaiting(RefusalReason aReason)
{
  const auto self = shared_from_this();
  if (isWaiting() || isAwaitingQuota()) {
    refuse(aReason);
  }
}

std::optional<RefusalReason>
RequestTask::authenticationProblem()
{
  return mAuthentication.check(mOwner.organisations(),
                               mContext.confirmation.valid(mContext.loop.now()));
}

bool
RequestTask::refuseUnauthenticated()
{
  const auto problem = authenticationProblem();
  if (problem) {
    // The time until the model is ready says nothing about the configuration.
    refuse(mHistory.mayHaveRun ? RefusalReason::OutcomeUnknown : *problem,
           Duration::zero());
  }
  return problem.has_value();
}

bool
RequestTask::keptByQuarantine()
{
  const auto refusal = mContext.quarantine.check(mDetails.id, mDetails.sharedParts);
  if (!refusal) {
    mHeldSince.reset();
    return false;
  }
  const auto now = mContext.loop.now();
  if (!refusal->undecided || now + refusal->remaining > callerLeavesAt() ||
      now - mHeldSince.value_or(now) >= kMaxHold) {
    refuse(RefusalReason::PromptQuarantined, refusal->remaining);
    return true;
  }
  if (!mHeldSince) {
    mHeldSince = now;
    mContext.metrics.add("savoryrill_gateway_held_requests_total");
    mContext.log.write(kCallHeld,
                       { { "call", mDetails.id },
                         { "part", refusal->part },
                         { "expected_ms", toMs(refusal->remaining) } });
  }
  waitForUpstream();
  mOwner.onRequestWaiting(*this);
  return true;
}

bool
RequestTask::startAttempt()
{
  const auto now = mContext.loop.now();
  const auto profile = groupProfile();
  while (mHistory.mayConnect()) {
    const auto chosen = mContext.selector.choose(query(), now);
    if (!chosen) {
      return false;
    }
    const auto* entry = mContext.selector.directory().find(*chosen);
    // All hosts share the connections that an upstream accepts.
    const std::size_t max_open = std::max<std::size_t>(
      2, profile->maxConnections / std::max(1U, mOwner.hostCount()));
    const auto pool_key = entry->id + "#" + std::to_string(entry->bornMs);
    // A faulty upstream may send a refusal once more. On a new connection it cannot be
    // that of this request's earlier attempt, which has the same id.
    const auto source = mHistory.refusedBy.contains(pool_key)
                          ? link::OutboundPool::Source::OnlyNew
                          : link::OutboundPool::Source::IdleOrNew;
    const auto lease = mContext.pool.take(pool_key, entry->endpoint, max_open, source);
    if (!lease.connection) {
      mContext.selector.recordDecline(*chosen, mDetails.model, now);
      continue;
    }
    ++mHistory.connectionAttempts;
    releaseBufferedBody();
    mAttempt = {};
    mAttempt.connection = lease.connection;
    mAttempt.connectionReused = lease.reused;
    mAttempt.upstream = *chosen;
    mAttempt.upstreamBornMs = entry->bornMs;
    mAttempt.poolKey = pool_key;
    mAttempt.started = now;
    mState = AwaitingResponse{};
    mWaitedMs = toMs(now - mArrived);
    mEvents.startNextResponse();
    AttemptParameters parameters;
    parameters.upstream = entry->id;
    parameters.remaining = mDeadline - now;
    parameters.urgency = std::min(9U, priority());
    const auto* organisation = mAuthentication.organisation();
    if (organisation != nullptr) {
      parameters.organisation = organisation->name;
    }
    parameters.replacesOrganisation =
      organisation != nullptr || mOwner.organisations() != nullptr;
    parameters.resumeAfter = mEvents.lastId();
    ++mHistory.attempts;
    if (!std::exchange(mSent, true)) {
      mOwner.onRequestSent(*this);
    }
    mContext.selector.recordStart(mAttempt.upstream, now);
    mCaller->setRequestStage(link::MemoryAccount::Stage::Running);
    mAttempt.connection->send(mContext.protocol.writeRequestHead(mRequest, parameters),
                              mRequest.method == "HEAD",
                              *this,
                              mRequest.body);
    mContext.quarantine.requestSent(mDetails.id, entry->id);
    return true;
  }
  return false;
}

void
RequestTask::waitForUpstream()
{
  mState = WaitingForUpstream{};
  mCaller->setRequestStage(link::MemoryAccount::Stage::Waiting);
}

void
RequestTask::waitOrRefuse()
{
  waitForUpstream();
  // Another request may be sent sooner.
  mContext.quarantine.requestEnded(mDetails.id);
  const auto now = mContext.loop.now();
  const bool engine = !mDetails.model.model.empty();
  const WaitingOutlook outlook{ engine,
                                mHistory.mayConnect(),
                                callerLeavesAt() - now,
                                std::min(mDeadline - mArrived, mRoute->callerTimeout),
                                mContext.selector.timeUntilReady(query(), now),
                                mContext.selector.timeUntilTaken(query(), now),
                                mContext.selector.leaderIsUnavailable(now) };
  mModelReadyAt = outlook.readyIn ? std::optional(now + *outlook.readyIn) : std::nullopt;
  if (const auto refusal = refusalOfWaiting(outlook)) {
    refuse(refusal->reason, refusal->retryAfter);
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
        { "ready_in_ms", outlook.readyIn ? toMs(*outlook.readyIn) : -1 },
        { "ahead_ms", toMs(mAhead) } });
  }
  mOwner.onRequestWaiting(*this);
}

void
RequestTask::retryOrFail(bool aMayHaveRun, RefusalReason aReason)
{
  const bool allowed =
    !aMayHaveRun || (mayRetry() && mHistory.possibleRuns < mRoute->maxAttempts);
  const Duration remaining_time = mDeadline - mContext.loop.now();
  const bool in_time = remaining_time > kMinServiceTime;
  // Failed connections do not use up the retry budget; attempts do, even if declined.
  if (allowed && in_time && mHistory.maySend() &&
      (mHistory.attempts == 0 || mOwner.takeRetry(mGroup))) {
    if (refuseUnauthenticated() || keptByQuarantine() || startAttempt()) {
      return;
    }
    if (mHeadForwarded) {
      // Rare models have one replica. The stream goes on once the model is loaded
      // elsewhere, or at the same upstream if only the connection has failed.
      mHistory.excluded.clear();
    }
    waitOrRefuse();
    return;
  }
  refuse(aReason);
}

void
RequestTask::releaseConnection(bool aCancel)
{
  if (!mAttempt.connection) {
    return;
  }
  if (aCancel) {
    mAttempt.connection->cancel();
  }
  mContext.selector.recordEnd(mAttempt.upstream);
  mContext.pool.giveBack(mAttempt.poolKey, mAttempt.connection);
  mAttempt.connection.reset();
  mOwner.onSlotFreed();
}

void
RequestTask::logAttemptFailure(std::string_view aReason)
{
  mContext.metrics.add("savoryrill_gateway_failed_sends_total");
  mContext.log.write(kSendFailed,
                     { { "call", mDetails.id },
                       { "upstream", mAttempt.upstream },
                       { "model", serving::toString(mDetails.model) },
                       { "parts", nameList(mDetails.sharedParts) },
                       { "progress", nameOf(mAttempt.progress()) },
                       { "reason", aReason },
                       { "sends", std::int64_t{ mHistory.attempts } },
                       { "after_ms", toMs(mContext.loop.now() - mAttempt.started) } });
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
    mHistory.mayHaveRun ? ready_in : mOwner.returnTime(*this, aReason, ready_in);
  const auto refusal = refusalFor(aReason, mHistory.mayHaveRun, return_in);
  const auto now = mContext.loop.now();
  mContext.metrics.add(
    seriesOf("savoryrill_gateway_refusals_total", "reason", nameOf(aReason)));
  if (const auto* organisation = mAuthentication.organisation()) {
    mContext.organisationMetrics.recordRefused(organisation->name, aReason);
  }
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
                       { "sends", std::int64_t{ mHistory.attempts } },
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
                       { "upstream", mAttempt.upstream },
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
  if (ended()) {
    return;
  }
  mContext.metrics.add("savoryrill_gateway_callers_left_total");
  mContext.log.write(kCallLeft,
                     { { "call", mDetails.id },
                       { "route", mRoute->name },
                       { "upstream", mAttempt.upstream },
                       { "waiting", isWaiting() || isAwaitingQuota() ? "yes" : "no" },
                       { "after_ms", elapsedMs() } });
  mHistory.mayHaveRun =
    mHistory.mayHaveRun || (mAttempt.connection && mAttempt.connection->requestStarted());
  releaseConnection(true);
  end();
}

void
RequestTask::terminate(RefusalReason aReason)
{
  const auto self = shared_from_this();
  std::visit(StateVisitor{ [&](const WaitingForUpstream&) { refuse(aReason); },
                           [&](const AwaitingQuota&) { refuse(aReason); },
                           [&](const AwaitingResponse&) {
                             mHistory.mayHaveRun = mHistory.mayHaveRun ||
                                                   mAttempt.connection->requestStarted();
                             logAttemptFailure(nameOf(aReason));
                             releaseConnection(true);
                             refuse(aReason);
                           },
                           [&](const Responding&) {
                             releaseConnection(true);
                             abortResponse(nameOf(aReason));
                           },
                           [](const Ended&) {} },
             mState);
}

void
RequestTask::end()
{
  mState = Ended{};
  mTimer.reset();
  releaseConnection(true);
  refundQuota();
  mContext.quarantine.requestEnded(mDetails.id);
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
                       { "parts", nameList(mDetails.sharedParts) },
                       { "upstream", mAttempt.upstream },
                       { "status", std::int64_t{ aStatus } },
                       { "sends", std::int64_t{ mHistory.attempts } },
                       { "waited_ms", mWaitedMs },
                       { "first_event_ms", firstEventMs() },
                       { "longest_pause_ms", toMs(mStreamTimes.longestPause()) },
                       { "after_ms", elapsedMs() } });
}

} // namespace savoryrill::gateway
