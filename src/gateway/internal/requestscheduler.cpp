#include "gateway/internal/requestscheduler.h"

#include <algorithm>

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

using serving::RefusalReason;

namespace {

// Hosts assumed to share the retry budget until the leader has reported their number.
constexpr std::uint32_t kAssumedHostCount = 12;
// Part of the retry limits that hosts use: they count requests and retries at different
// times, so with the full limits the sum of all hosts could exceed them.
constexpr double kUsedRetryShare = 0.8;

} // namespace

RequestScheduler::RequestScheduler(RequestContext aContext,
                                   Options aOptions,
                                   std::uint64_t aSeed)
  : mContext(aContext)
  , mOptions(aOptions)
  , mRandom(aSeed)
  , mHostCount(kAssumedHostCount)
  , mSendCall(aContext.loop, [this] { sendWaiting(); })
{
  mOrder.setPolicy(mOptions.scheduling);
}

RequestScheduler::~RequestScheduler() = default;

void
RequestScheduler::setOptions(Options aOptions)
{
  mOptions = aOptions;
  mOrder.setPolicy(mOptions.scheduling);
  updateBudgetLimits();
}

void
RequestScheduler::setRoutes(std::shared_ptr<const serving::RouteTable> aRoutes)
{
  mRoutes = std::move(aRoutes);
  const auto& limits = mRoutes->config().limits;
  mLimits = {
    limits.maxHeadBytes, limits.maxBodyBytes, limits.receiveTimeout, limits.idleTimeout
  };
}

void
RequestScheduler::setHostCount(std::uint32_t aHostCount)
{
  if (aHostCount > 0 && aHostCount != mHostCount) {
    mHostCount = aHostCount;
    updateBudgetLimits();
  }
}

void
RequestScheduler::requestReceived(
  const std::shared_ptr<link::InboundConnection>& aConnection,
  link::RequestMessage aRequest)
{
  auto details = mContext.protocol.readRequest(aRequest);
  if (!mRoutes) {
    refuseOnArrival(aConnection,
                    details ? details.value().id : "",
                    aRequest.target,
                    RefusalReason::NoConfiguration);
    return;
  }
  if (mRefusesNew) {
    refuseOnArrival(aConnection,
                    details ? details.value().id : "",
                    aRequest.target,
                    RefusalReason::Stopping);
    return;
  }
  const auto* host = link::findHeader(aRequest.headers, "host");
  const auto* route = host == nullptr ? nullptr : mRoutes->find(*host, aRequest.target);
  if (route == nullptr) {
    refuseOnArrival(aConnection,
                    details ? details.value().id : "",
                    aRequest.target,
                    RefusalReason::NoRoute);
    return;
  }
  if (!details) {
    refuseOnArrival(aConnection, "", aRequest.target, RefusalReason::BadRequest);
    return;
  }
  serving::CallerAuthentication authentication(
    route->needsKey, std::exchange(details.value().key, std::string()));
  if (organisations()) {
    mContext.protocol.eraseKey(aRequest);
  }
  const bool confirmed = mContext.confirmation.valid(mContext.loop.now());
  if (const auto problem = authentication.check(organisations(), confirmed)) {
    refuseOnArrival(aConnection, details.value().id, aRequest.target, *problem);
    return;
  }
  const double random = std::uniform_real_distribution<double>(0, 1)(mRandom);
  const auto& group = serving::RouteTable::chooseGroup(*route, random);
  budgetOf(group).requestArrived();
  if (!details.value().model.model.empty()) {
    ++mArrivals[details.value().model];
  }
  auto request = std::make_shared<RequestTask>(mContext,
                                               static_cast<IRequestOwner&>(*this),
                                               aConnection,
                                               std::move(aRequest),
                                               std::move(details.value()),
                                               std::move(authentication),
                                               mRoutes,
                                               *route,
                                               group);
  mRequests.insert(request);
  request->start();
}

void
RequestScheduler::requestRejected(int aStatus, std::string_view aReason)
{
  mContext.metrics.add("savoryrill_gateway_rejected_callers_total");
  if (aStatus == 503) {
    return; // the lack of memory is logged once for all, see `kMemoryShort`
  }
  mContext.log.write(kCallerRejected,
                     { { "status", std::int64_t{ aStatus } }, { "reason", aReason } });
}

void
RequestScheduler::connectionClosed(link::CloseReason aReason)
{
  mContext.metrics.add("savoryrill_gateway_connections_closed_total{reason=\"" +
                       std::string(nameOf(aReason)) + "\"}");
}

void
RequestScheduler::refuseOnArrival(
  const std::shared_ptr<link::InboundConnection>& aConnection,
  const std::string& aRequestId,
  const std::string& aTarget,
  RefusalReason aReason)
{
  const auto refusal = refusalFor(aReason, false, std::nullopt);
  mContext.metrics.add("savoryrill_gateway_refusals_total{reason=\"" +
                       std::string(nameOf(aReason)) + "\"}");
  mContext.log.write(
    kCallRefused,
    { { "call", aRequestId },
      { "target", aTarget },
      { "reason", nameOf(aReason) },
      { "status", std::int64_t{ refusal.status } },
      { "ran", "no" },
      { "config", mRoutes ? mRoutes->config().version : std::uint64_t{ 0 } } });
  aConnection->respond(headOf(refusal, aRequestId), bodyOf(refusal));
}

void
RequestScheduler::onRequestWaiting(RequestTask& aRequest)
{
  const auto known =
    std::ranges::any_of(mWaiting, [&](const std::shared_ptr<RequestTask>& aItem) {
      return aItem.get() == &aRequest;
    });
  if (known) {
    return;
  }
  if (mWaiting.size() >= mOptions.maxWaiting && !mOrder.active()) {
    // The limit bounds the memory; the requests that already wait are served first.
    aRequest.refuseIfWaiting(RefusalReason::QueueFull);
    return;
  }
  mWaiting.push_back(aRequest.shared_from_this());
  if (mWaiting.size() > mOptions.maxWaiting) {
    // Here the request that would be sent last makes room.
    mOrder.sort(mWaiting, mContext.loop.now());
    const auto last = mWaiting.back();
    last->refuseIfWaiting(RefusalReason::QueueFull);
    if (last.get() == &aRequest) {
      return;
    }
  }
  if (!aRequest.model().model.empty() && mDemandCallback) {
    mDemandCallback();
  }
}

void
RequestScheduler::refuseNew()
{
  mRefusesNew = true;
  const auto requests = mRequests;
  for (const auto& request : requests) {
    request->refuseIfWaiting(RefusalReason::Stopping);
  }
}

void
RequestScheduler::terminateAll()
{
  const auto requests = mRequests;
  for (const auto& request : requests) {
    request->terminate(RefusalReason::Stopping);
  }
}

void
RequestScheduler::onSlotFreed()
{
  if (!mWaiting.empty()) {
    mSendCall.request();
  }
}

void
RequestScheduler::onRequestEnded(RequestTask& aRequest)
{
  std::erase_if(mWaiting, [&](const std::shared_ptr<RequestTask>& aItem) {
    return aItem.get() == &aRequest;
  });
  mOrder.ended(aRequest, mContext.loop.now());
  if (aRequest.completed() && !aRequest.model().model.empty()) {
    ++mFinished[aRequest.model()];
  }
  const auto request = aRequest.shared_from_this();
  mRequests.erase(request);
}

void
RequestScheduler::onUpstreamLeaving(const std::string& aUpstream, std::int64_t aBornMs)
{
  if (mUpstreamLeavingCallback) {
    mUpstreamLeavingCallback(aUpstream, aBornMs);
  }
}

void
RequestScheduler::sendWaiting()
{
  if (mWaiting.empty()) {
    return;
  }
  mOrder.sort(mWaiting, mContext.loop.now());
  const auto waiting = mWaiting;
  for (const auto& request : waiting) {
    request->sendIfPossible();
  }
  std::erase_if(mWaiting, [](const std::shared_ptr<RequestTask>& aRequest) {
    return !aRequest->isWaiting();
  });
}

std::vector<serving::DemandItem>
RequestScheduler::takeDemand()
{
  std::map<serving::ModelKey, serving::DemandItem> items;
  const auto now = mContext.loop.now();
  for (const auto& [key, arrivals] : mArrivals) {
    items[key].arrivals = arrivals;
  }
  for (const auto& [key, finished] : mFinished) {
    items[key].finished = finished;
  }
  mArrivals.clear();
  mFinished.clear();
  for (const auto& request : mRequests) {
    if (request->model().model.empty() || request->isAwaitingQuota()) {
      continue;
    }
    auto& item = items[request->model()];
    if (!request->isWaiting()) {
      ++item.inFlight;
      continue;
    }
    const Duration remaining_time =
      std::max(Duration::zero(), request->callerLeavesAt() - now);
    item.firstLeavesIn =
      item.firstLeavesIn ? std::min(*item.firstLeavesIn, remaining_time) : remaining_time;
    item.timeToObjective = std::max(item.timeToObjective, request->objective() - now);
    ++item.waiting;
  }
  std::vector<serving::DemandItem> demand;
  for (auto& [key, item] : items) {
    item.model = key;
    demand.push_back(std::move(item));
  }
  return demand;
}

routing::RetryBudget&
RequestScheduler::budgetOf(const std::string& aGroup)
{
  const auto found = mBudgets.find(aGroup);
  if (found != mBudgets.end()) {
    return found->second;
  }
  return mBudgets.emplace(aGroup, budgetLimits()).first->second;
}

routing::RetryBudget::Limits
RequestScheduler::budgetLimits() const
{
  const double capacity = mOptions.retryReserve * kUsedRetryShare / mHostCount;
  return { mOptions.retryShare * kUsedRetryShare, std::max(1.0, capacity) };
}

/// Retries that were taken before a change stay counted, since the number of hosts
/// changes often.
void
RequestScheduler::updateBudgetLimits()
{
  for (auto& [group, budget] : mBudgets) {
    budget.setLimits(budgetLimits());
  }
}

void
RequestScheduler::onRequestSent(const RequestTask& aRequest)
{
  mOrder.sent(aRequest, mContext.loop.now());
}

serving::ArrivalAssessment
RequestScheduler::assessArrival(const RequestTask& aRequest, Duration aBacklog)
{
  return mOrder.assess(aRequest, mWaiting, aBacklog, mContext.loop.now());
}

std::optional<Duration>
RequestScheduler::returnTime(const RequestTask& aRequest,
                             RefusalReason aReason,
                             std::optional<Duration> aReadyIn)
{
  if (!mOrder.active()) {
    return aReadyIn; // and the sequence of random choices stays the same
  }
  const double random = std::uniform_real_distribution<double>(0, 1)(mRandom);
  return mOrder.returnTime(aRequest, aReason, aReadyIn, random, mContext.loop.now());
}

bool
RequestScheduler::takeRetry(const std::string& aGroup)
{
  const bool taken = budgetOf(aGroup).takeRetry();
  if (!taken) {
    mContext.metrics.add("savoryrill_gateway_repeats_denied_total");
  }
  return taken;
}

} // namespace savoryrill::gateway
