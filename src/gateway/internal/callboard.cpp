#include "gateway/internal/callboard.h"

#include <algorithm>

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

using serving::RefusalReason;

namespace {

// Hosts assumed to share the retry reserve before the leader has told their number.
constexpr std::uint32_t kAssumedHosts = 12;
// Part of the retry limits that is used, since hosts count at different moments.
constexpr double kRetryMargin = 0.8;

} // namespace

CallBoard::CallBoard(CallContext aContext, Options aOptions, std::uint64_t aSeed)
  : mContext(aContext)
  , mOptions(aOptions)
  , mRandom(aSeed)
  , mHosts(kAssumedHosts)
{
}

CallBoard::~CallBoard() = default;

void
CallBoard::setOptions(Options aOptions)
{
  mOptions = aOptions;
  limitBudgets();
}

void
CallBoard::setRoutes(std::shared_ptr<const serving::RouteTable> aRoutes)
{
  mRoutes = std::move(aRoutes);
  const auto& limits = mRoutes->config().limits;
  mLimits = {
    limits.maxHeadBytes, limits.maxBodyBytes, limits.receiveTimeout, limits.idleTimeout
  };
}

void
CallBoard::setHosts(std::uint32_t aHosts)
{
  if (aHosts > 0 && aHosts != mHosts) {
    mHosts = aHosts;
    limitBudgets();
  }
}

void
CallBoard::requestReceived(const std::shared_ptr<link::InboundConnection>& aConnection,
                           link::RequestMessage aRequest)
{
  const auto details = mContext.protocol.readCall(aRequest);
  if (!mRoutes) {
    refuseAtOnce(aConnection,
                 details ? details.value().id : "",
                 aRequest.target,
                 RefusalReason::NoConfiguration);
    return;
  }
  if (mRefusing) {
    refuseAtOnce(aConnection,
                 details ? details.value().id : "",
                 aRequest.target,
                 RefusalReason::Stopping);
    return;
  }
  const auto* host = link::findHeader(aRequest.headers, "host");
  const auto* route = host == nullptr ? nullptr : mRoutes->find(*host, aRequest.target);
  if (route == nullptr) {
    refuseAtOnce(aConnection,
                 details ? details.value().id : "",
                 aRequest.target,
                 RefusalReason::NoRoute);
    return;
  }
  if (!details) {
    refuseAtOnce(aConnection, "", aRequest.target, RefusalReason::BadRequest);
    return;
  }
  const double random = std::uniform_real_distribution<double>(0, 1)(mRandom);
  const auto& group = serving::RouteTable::chooseGroup(*route, random);
  budgetOf(group).requestArrived();
  if (!details.value().model.model.empty()) {
    ++mArrivals[details.value().model];
  }
  auto call = std::make_shared<Call>(mContext,
                                     static_cast<ICallOwner&>(*this),
                                     aConnection,
                                     std::move(aRequest),
                                     details.value(),
                                     mRoutes,
                                     *route,
                                     group);
  mCalls.insert(call);
  call->start();
}

void
CallBoard::requestRejected(int aStatus, std::string_view aReason)
{
  mContext.metrics.add("savoryrill_gateway_rejected_callers_total");
  mContext.log.write(kCallerRejected,
                     { { "status", std::int64_t{ aStatus } }, { "reason", aReason } });
}

void
CallBoard::refuseAtOnce(const std::shared_ptr<link::InboundConnection>& aConnection,
                        const std::string& aCallId,
                        const std::string& aTarget,
                        RefusalReason aReason)
{
  const auto refusal = refusalFor(aReason, false, std::nullopt);
  mContext.metrics.add("savoryrill_gateway_refusals_total{reason=\"" +
                       std::string(nameOf(aReason)) + "\"}");
  mContext.log.write(
    kCallRefused,
    { { "call", aCallId },
      { "target", aTarget },
      { "reason", nameOf(aReason) },
      { "status", std::int64_t{ refusal.status } },
      { "ran", "no" },
      { "config", mRoutes ? mRoutes->config().version : std::uint64_t{ 0 } } });
  aConnection->respond(headOf(refusal, aCallId), bodyOf(refusal));
}

void
CallBoard::callWaits(Call& aCall)
{
  const auto known = std::ranges::any_of(
    mWaiting, [&](const std::shared_ptr<Call>& aItem) { return aItem.get() == &aCall; });
  if (known) {
    return;
  }
  if (mWaiting.size() >= mOptions.mostWaiting) {
    // The queue is a bound for the memory; who waits longest is served first.
    aCall.refuse(RefusalReason::QueueFull);
    return;
  }
  mWaiting.push_back(aCall.shared_from_this());
  if (!aCall.model().model.empty() && mOnDemand) {
    mOnDemand();
  }
}

void
CallBoard::refuseNew()
{
  mRefusing = true;
  const auto waiting = mWaiting;
  for (const auto& call : waiting) {
    call->refuse(RefusalReason::Stopping);
  }
}

void
CallBoard::endAll()
{
  const auto calls = mCalls;
  for (const auto& call : calls) {
    call->endNow(RefusalReason::Stopping);
  }
}

void
CallBoard::placeFreed()
{
  if (mWaiting.empty() || mRetryPosted) {
    return;
  }
  mRetryPosted = true;
  mContext.loop.post([this] {
    mRetryPosted = false;
    retryWaiting();
  });
}

void
CallBoard::callEnded(Call& aCall)
{
  std::erase_if(
    mWaiting, [&](const std::shared_ptr<Call>& aItem) { return aItem.get() == &aCall; });
  if (aCall.answered() && !aCall.model().model.empty()) {
    ++mFinished[aCall.model()];
  }
  const auto call = aCall.shared_from_this();
  mCalls.erase(call);
}

void
CallBoard::retryWaiting()
{
  if (mWaiting.empty()) {
    return;
  }
  std::ranges::stable_sort(mWaiting, [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft->priority(), aLeft->arrived()) <
           std::pair(aRight->priority(), aRight->arrived());
  });
  const auto waiting = mWaiting;
  for (const auto& call : waiting) {
    call->retry();
  }
  std::erase_if(mWaiting,
                [](const std::shared_ptr<Call>& aCall) { return !aCall->waits(); });
}

std::vector<serving::DemandItem>
CallBoard::takeDemand()
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
  for (const auto& call : mCalls) {
    if (call->model().model.empty()) {
      continue;
    }
    auto& item = items[call->model()];
    if (!call->waits()) {
      ++item.inFlight;
      continue;
    }
    const Duration rest = std::max(Duration::zero(), call->due() - now);
    item.priority =
      item.waiting == 0 ? call->priority() : std::min(item.priority, call->priority());
    item.deadline = item.deadline ? std::min(*item.deadline, rest) : rest;
    item.timeToObjective = std::max(item.timeToObjective, call->objective() - now);
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
CallBoard::budgetOf(const std::string& aGroup)
{
  const auto found = mBudgets.find(aGroup);
  if (found != mBudgets.end()) {
    return found->second;
  }
  return mBudgets.emplace(aGroup, budgetLimits()).first->second;
}

routing::RetryBudget::Limits
CallBoard::budgetLimits() const
{
  const double capacity = mOptions.retryReserve * kRetryMargin / mHosts;
  return { mOptions.retryShare * kRetryMargin, std::max(1.0, capacity) };
}

/// What was taken before a change stays taken: hosts come and go all the time.
void
CallBoard::limitBudgets()
{
  for (auto& [group, budget] : mBudgets) {
    budget.setLimits(budgetLimits());
  }
}

bool
CallBoard::takeRepeat(const std::string& aGroup)
{
  const bool taken = budgetOf(aGroup).takeRetry();
  if (!taken) {
    mContext.metrics.add("savoryrill_gateway_repeats_denied_total");
  }
  return taken;
}

} // namespace savoryrill::gateway
