#include "gateway/internal/leadertask.h"

#include <algorithm>

#include "gateway/internal/leaderrowcodec.h"
#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

using serving::LeadershipStep;

namespace {

constexpr const char* kLeaderTable = "savoryrill-leader";
constexpr const char* kLeaderKey = "placement";
// Period of all checks, and of plans while nothing changes.
constexpr Duration kTickPeriod = 100ms;
// Minimum time between two plans. A plan takes 0.6 ms for 140 engines and 750 models, and
// changes that require a plan arrive some hundred times a second in such a deployment.
constexpr Duration kPlanPause = 15ms;
// New demand is reported at once; all demand is reported once in this period.
constexpr Duration kDemandPeriod = 400ms;
constexpr Duration kOrderTimeout = 700ms;
constexpr Duration kReportTimeout = 500ms;
constexpr Duration kPeerHeartbeat = 500ms;
constexpr Duration kPeerTimeout = 1500ms;
// A leader of 64 hosts in a large deployment sends up to 8 Mbit/s to other data centres.
// Hosts whose link has less than about six times that rate delay taking a free lease, so
// that other hosts can read the row twice before.
constexpr double kMinLeaderLinkMbps = 50;
constexpr Duration kSlowLinkTakeDelay = 1s;
// Time without a connection to a leader after which this host looks for other sources of
// news. A change of leaders mostly takes less.
constexpr Duration kLeaderContactMissing = 1s;
// Terms are random numbers from 1 up to this value.
constexpr std::uint64_t kMaxTerm = 0xFFFFFFFFFFFFULL;

transport::LocalPeer
localPeer(const config::GatewaySettings& aSettings, std::uint64_t aIncarnation)
{
  transport::LocalPeer local;
  local.role = peer::ROLE_CONTROLLER;
  local.host = aSettings.host;
  local.dataCentre = aSettings.dataCentre;
  local.incarnation = aIncarnation;
  local.bindEndpoint = link::toString(aSettings.peerAddress);
  local.heartbeatPeriod = kPeerHeartbeat;
  local.peerTimeout = kPeerTimeout;
  return local;
}

bool
hasSlowLink(const config::GatewaySettings& aSettings)
{
  return aSettings.linkMbps > 0 && aSettings.linkMbps < kMinLeaderLinkMbps;
}

serving::Leadership::Options
leadershipOptions(const config::GatewaySettings& aSettings)
{
  serving::Leadership::Options options;
  options.host = aSettings.host;
  options.endpoint = link::toString(aSettings.peerAddress);
  options.handoverGap = aSettings.orderTurnTime;
  if (hasSlowLink(aSettings)) {
    options.takeDelay = kSlowLinkTakeDelay;
  }
  return options;
}

std::string
controlKey(const std::string& aUpstream)
{
  return "control/" + aUpstream;
}

} // namespace

Result<std::unique_ptr<LeaderTask>>
LeaderTask::create(Dependencies aDependencies,
                   const config::GatewaySettings& aSettings,
                   Handlers aHandlers,
                   std::uint64_t aSeed)
{
  std::unique_ptr<LeaderTask> task(
    new LeaderTask(aDependencies, aSettings, std::move(aHandlers), aSeed));
  const auto incarnation =
    static_cast<std::uint64_t>(aDependencies.loop.now().time_since_epoch().count());
  BOOST_OUTCOME_TRY(peers,
                    transport::PeerNetwork::create(aDependencies.loop,
                                                   localPeer(aSettings, incarnation),
                                                   {},
                                                   aDependencies.log,
                                                   aDependencies.metrics,
                                                   *task));
  task->mPeers = std::move(peers);
  task->connectQuotas();
  task->mTimer =
    aDependencies.loop.every(kTickPeriod, [raw = task.get()] { raw->tick(); });
  return task;
}

LeaderTask::LeaderTask(Dependencies aDependencies,
                       const config::GatewaySettings& aSettings,
                       Handlers aHandlers,
                       std::uint64_t aSeed)
  : mDependencies(aDependencies)
  , mSettings(aSettings)
  , mHandlers(std::move(aHandlers))
  , mRandom(aSeed)
  , mLeadership(leadershipOptions(aSettings))
  , mPermits(
      { aDependencies.loop,
        aDependencies.log,
        aDependencies.metrics,
        aDependencies.selector.limits() },
      aSettings.host,
      [this](const std::string& aHost, const PermitMessage& aMessage) {
        sendPermits(aHost, aMessage);
      },
      [this] { mHandlers.onReplicasChanged(); })
  , mLastLeaderContact(aDependencies.loop.now())
  , mStarted(aDependencies.loop.now())
  , mSuitedToLead(!hasSlowLink(aSettings))
  , mDemandReportCall(aDependencies.loop, [this] { reportDemand(); })
  , mPermitExchangeCall(aDependencies.loop, [this] { exchangePermits(); })
  , mReportTimes(std::uniform_int_distribution<std::uint64_t>(0, kMaxTerm)(mRandom))
  , mQuotaShare(aSettings.keyConfirmationTime)
{
}

LeaderTask::~LeaderTask()
{
  mDependencies.quotas.setPeers({});
}

void
LeaderTask::setConfig(const serving::ServingConfig& aConfig)
{
  mProfiles.clear();
  for (const auto& [name, group] : aConfig.groups) {
    if (group.engine) {
      mProfiles[name] = *group.engine;
    }
  }
  for (auto& [name, planner] : mPlanners) {
    if (const auto profile = mProfiles.find(name); profile != mProfiles.end()) {
      planner->setProfile(profile->second);
    }
  }
}

void
LeaderTask::onUpstreamsChanged(const std::vector<serving::DirectoryChange>& aChanges)
{
  for (const auto& change : aChanges) {
    if (change.kind == serving::DirectoryChange::Kind::Vanished) {
      for (auto& [name, planner] : mPlanners) {
        planner->removeEngine(change.id);
      }
      mPublished.erase(change.id);
      mDependencies.client.cancel(controlKey(change.id));
    }
  }
}

void
LeaderTask::onUpstreamListReadStarted()
{
  for (auto& [id, peer_host] : mPeerHosts) {
    peer_host.reportAtReadStart = peer_host.reportNumber;
  }
}

void
LeaderTask::onUpstreamListRead()
{
  if (!mLeading) {
    return;
  }
  mListRead = true;
  mLastStatus.reset(); // publishes the result of the read at once
  for (auto& [id, peer_host] : mPeerHosts) {
    peer_host.reportBeforeLastRead = peer_host.reportAtReadStart;
  }
  const auto now = mDependencies.loop.now();
  for (const auto& [id, entry] : mDependencies.selector.directory().entries()) {
    if (auto* planner = plannerOf(entry.group)) {
      planner->updateEngine(entry, now);
    }
  }
  plan();
}

serving::PlacementPlanner*
LeaderTask::plannerOf(const std::string& aGroup)
{
  const auto profile = mProfiles.find(aGroup);
  if (profile == mProfiles.end()) {
    return nullptr;
  }
  auto& planner = mPlanners[aGroup];
  if (!planner) {
    planner = std::make_unique<serving::PlacementPlanner>(
      serving::PlacementPlanner::Options{}, mDependencies.loop.now());
    planner->setProfile(profile->second);
    for (const auto& [upstream, load] : mTotalLoads) {
      planner->setEngineLoad(upstream, load);
    }
  }
  return planner.get();
}

void
LeaderTask::releaseLeadership()
{
  mStopping = true;
  if (mLeading) {
    nameSuccessor();
  }
  stepLease();
}

void
LeaderTask::tick()
{
  stepLease();
  updateLeadership();
  updateLeaderContact();
  updateSubstitutes();
  exchangePermits();
  mDependencies.quotas.exchange();
  const auto now = mDependencies.loop.now();
  if (!mLastDemandReport || now - *mLastDemandReport >= kDemandPeriod) {
    reportDemand();
  }
  if (mLeading) {
    plan();
    publishReplicas();
  }
}

void
LeaderTask::stepLease()
{
  const auto now = mDependencies.loop.now();
  mLeadership.setStoreEra(mDependencies.store.era());
  const auto step = mLeadership.next(now, mStopping || mHandingOver);
  switch (step) {
    case LeadershipStep::None:
      return;
    case LeadershipStep::Read:
      readRow();
      return;
    default:
      writeRow(step);
      return;
  }
}

void
LeaderTask::readRow()
{
  mLeadership.callSent(LeadershipStep::Read, "", mDependencies.loop.now());
  mDependencies.store.readRow(
    kLeaderTable, kLeaderKey, [this](Result<std::optional<StoredRow>> aRow) {
      const auto now = mDependencies.loop.now();
      recordLeaseResult(LeadershipStep::Read, aRow ? nullptr : &aRow.error());
      if (!aRow) {
        mLeadership.callFailed(now);
        return;
      }
      std::optional<serving::LeaderRow> row;
      if (aRow.value()) {
        auto decoded = decodeLeaderRow(aRow.value()->value);
        // A malformed row names no holder, but its version still restarts the time that a
        // successor waits.
        row = decoded ? decoded.value() : serving::LeaderRow{};
        row->version = aRow.value()->version;
      }
      mLeadership.setStoreEra(mDependencies.store.era());
      mLeadership.rowRead(row, now);
      updateLeadership();
      stepLease();
    });
}

void
LeaderTask::writeRow(LeadershipStep aStep)
{
  const std::string term =
    std::to_string(std::uniform_int_distribution<std::uint64_t>(1, kMaxTerm)(mRandom));
  const auto row = mLeadership.rowFor(aStep, term, mDependencies.loop.now());
  const auto base = mLeadership.baseVersion();
  mLeadership.callSent(aStep, row.term, mDependencies.loop.now());
  mDependencies.store.writeRow(
    kLeaderTable,
    { kLeaderKey, encodeLeaderRow(row), 0, false },
    base,
    [this, aStep, row](Result<std::uint64_t> aVersion) {
      const auto now = mDependencies.loop.now();
      recordLeaseResult(aStep, aVersion ? nullptr : &aVersion.error());
      if (aVersion) {
        mLeadership.writeApplied(aStep, row, aVersion.value(), now);
      } else if (aVersion.error().code == ErrorCode::Unavailable) {
        mLeadership.callFailed(now);
      } else {
        mLeadership.writeUncertain(now);
      }
      updateLeadership();
    });
}

void
LeaderTask::recordLeaseResult(LeadershipStep aStep, const Error* aError)
{
  // Logged once per outage, since the requests are retried several times a second.
  if (aError != nullptr && !mLeaseRequestFailed) {
    mDependencies.log.write(kLeaseCallFailed,
                            { { "step", nameOf(aStep) },
                              { "error", nameOf(aError->code) },
                              { "reason", aError->message } });
  }
  mLeaseRequestFailed = aError != nullptr;
}

void
LeaderTask::updateLeadership()
{
  const auto now = mDependencies.loop.now();
  const bool leads = mLeadership.leads(now);
  const auto& row = mLeadership.row();
  const std::string leader = row && !row->released ? row->host : "";
  if (leads != mLeading || leader != mKnownLeader) {
    mDependencies.log.write(
      kLeaderChanged,
      { { "leader", leader },
        { "own", leads ? "yes" : "no" },
        { "fencing", leads ? mLeadership.fencingNumber() : std::uint64_t{ 0 } },
        { "successor", mSuccessor },
        { "row_version", row ? row->version : std::uint64_t{ 0 } } });
  }
  mKnownLeader = leader;
  if (leads == mLeading) {
    connectToLeader();
    return;
  }
  mLeading = leads;
  mQuotaShare.setLeading(leads, now);
  mHandingOver = false;
  mListRead = false;
  mPublished.clear();
  mUnsentViews.clear();
  for (auto& [id, peer_host] : mPeerHosts) {
    peer_host.needsAllViews = true;
  }
  if (leads) {
    mPlanners.clear();
  } else {
    announceRelease();
  }
  mSuccessor.clear();
  mLeadership.setSuccessor("");
  mHandlers.onLeadershipChanged(leads);
  connectToLeader();
}

void
LeaderTask::connectToLeader()
{
  const auto& row = mLeadership.row();
  const std::string endpoint =
    row && !row->released && !mLeading && row->host != mSettings.host ? row->endpoint
                                                                      : "";
  if (endpoint == mConnectedTo) {
    return;
  }
  const bool is_substitute =
    mSubstitutesInUse &&
    std::ranges::find(mSubstitutes, mConnectedTo) != mSubstitutes.end();
  if (!mConnectedTo.empty() && !is_substitute) {
    mPeers->disconnect(mConnectedTo);
  }
  mConnectedTo = endpoint;
  if (!endpoint.empty()) {
    mPeers->connect(endpoint);
  }
}

bool
LeaderTask::isConnectedToLeader() const
{
  return std::ranges::any_of(mPeerHosts, [&](const auto& aItem) {
    const auto& peer = aItem.second.peer;
    return peer.outgoing && peer.endpoint == mConnectedTo;
  });
}

void
LeaderTask::updateLeaderContact()
{
  const auto now = mDependencies.loop.now();
  if (mLeading || isConnectedToLeader()) {
    mLastLeaderContact = now;
  }
  const bool contact = now - mLastLeaderContact <= kLeaderContactMissing;
  if (contact != mLeaderContact) {
    mLeaderContact = contact;
    mHandlers.onLeaderContactChanged(contact);
  }
}

void
LeaderTask::updateSubstitutes()
{
  const bool needed = !mLeaderContact;
  if (needed == mSubstitutesInUse || (needed && mSubstitutes.empty())) {
    return;
  }
  const auto now = mDependencies.loop.now();
  mSubstitutesInUse = needed;
  mDependencies.log.write(kSubstitutesUsed,
                          { { "used", needed ? "yes" : "no" },
                            { "hosts", std::uint64_t{ mSubstitutes.size() } },
                            { "without_leader_ms", toMs(now - mLastLeaderContact) } });
  for (const auto& endpoint : mSubstitutes) {
    if (needed) {
      mPeers->connect(endpoint);
    } else if (endpoint != mConnectedTo) {
      mPeers->disconnect(endpoint);
    }
  }
}

void
LeaderTask::planAfterPause()
{
  if (mPlanPauseTimer) {
    return;
  }
  const auto now = mDependencies.loop.now();
  const Duration since = mLastPlan ? now - *mLastPlan : kPlanPause;
  mPlanPauseTimer =
    mDependencies.loop.after(std::max(Duration::zero(), kPlanPause - since), [this] {
      mPlanPauseTimer.reset();
      plan();
    });
}

void
LeaderTask::plan()
{
  const auto now = mDependencies.loop.now();
  if (!mLeading || !mLeadership.leads(now)) {
    return;
  }
  mLastPlan = now;
  if (mLeadership.mayOrder(now)) {
    for (auto& [group, planner] : mPlanners) {
      for (const auto& order : planner->plan(now)) {
        sendOrder(order);
      }
      for (const auto& blocked : planner->takeBlockedModels()) {
        mDependencies.log.write(kLoadBlocked,
                                { { "model", blocked.model },
                                  { "obstacle", nameOf(blocked.obstacle) },
                                  { "waiting", std::int64_t{ blocked.waiting } },
                                  { "engines", std::int64_t{ blocked.engines } } });
      }
      for (const auto& id : planner->enginesWithReportDue(now)) {
        readReport(id);
      }
    }
    scheduleDuePlan();
  }
  publishReplicas();
}

void
LeaderTask::scheduleDuePlan()
{
  const auto now = mDependencies.loop.now();
  std::optional<Instant> next;
  for (const auto& [group, planner] : mPlanners) {
    const auto due = planner->nextPlanTime();
    next = due && (!next || *due < *next) ? due : next;
  }
  // The next tick handles plans that are due after it.
  if (next && *next > now && *next - now < kTickPeriod) {
    mDuePlanTimer =
      mDependencies.loop.after(*next - now + 1ms, [this] { planAfterPause(); });
  }
}

void
LeaderTask::sendOrder(const serving::PlacementOrder& aOrder)
{
  const auto* entry = mDependencies.selector.directory().find(aOrder.upstream);
  const auto now = mDependencies.loop.now();
  if (entry == nullptr || !mLeadership.mayOrder(now)) {
    for (auto& [group, planner] : mPlanners) {
      planner->orderDone(aOrder.upstream, serving::OrderOutcome::Rejected, now);
    }
    return;
  }
  mDependencies.metrics.add("savoryrill_gateway_orders_total{kind=\"" +
                            std::string(nameOf(aOrder.kind)) + "\"}");
  mDependencies.log.write(kOrderSent,
                          { { "upstream", aOrder.upstream },
                            { "kind", nameOf(aOrder.kind) },
                            { "model", serving::toString(aOrder.model) },
                            { "expected_orders", aOrder.expectedOrders },
                            { "fencing", mLeadership.fencingNumber() } });
  link::BufferedRequest request;
  request.key = controlKey(aOrder.upstream);
  request.endpoint = entry->endpoint;
  request.request = mDependencies.protocol.writeOrder(
    aOrder, entry->endpoint, mSettings.host, mLeadership.fencingNumber());
  request.timeout = kOrderTimeout;
  const auto fencing = mLeadership.fencingNumber();
  request.isPermitted = [this, fencing] {
    return fencing == mLeadership.fencingNumber() &&
           mLeadership.mayOrder(mDependencies.loop.now());
  };
  mDependencies.client.start(
    std::move(request),
    [this, aOrder, fencing](Result<link::BufferedResponse> aResponse) {
      auto outcome = serving::OrderOutcome::Unknown;
      if (aResponse) {
        outcome =
          mDependencies.protocol.readOrderResponse(aOrder, aResponse.value().head.status);
      } else if (aResponse.error().code == ErrorCode::Unavailable) {
        outcome =
          serving::OrderOutcome::Conflict; // not sent; the planner orders it again later
      }
      mDependencies.log.write(kOrderDone,
                              { { "upstream", aOrder.upstream },
                                { "kind", nameOf(aOrder.kind) },
                                { "model", serving::toString(aOrder.model) },
                                { "outcome", nameOf(outcome) },
                                { "fencing", fencing } });
      if (!mLeading || fencing != mLeadership.fencingNumber()) {
        return; // sent under a lease that has ended
      }
      for (auto& [group, planner] : mPlanners) {
        planner->orderDone(aOrder.upstream, outcome, mDependencies.loop.now());
      }
      planAfterPause();
    });
}

void
LeaderTask::readReport(const std::string& aUpstream)
{
  const auto* entry = mDependencies.selector.directory().find(aUpstream);
  if (entry == nullptr) {
    return;
  }
  mDependencies.metrics.add("savoryrill_gateway_reports_read_total");
  link::BufferedRequest request;
  request.key = controlKey(aUpstream);
  request.endpoint = entry->endpoint;
  request.request = mDependencies.protocol.writeReportRequest(aUpstream, entry->endpoint);
  request.timeout = kReportTimeout;
  const auto sent = mDependencies.loop.now();
  mDependencies.client.start(
    std::move(request),
    [this, aUpstream, sent](Result<link::BufferedResponse> aResponse) {
      if (!mLeading) {
        return;
      }
      const auto now = mDependencies.loop.now();
      Result<serving::EngineReport> report =
        fail(ErrorCode::Unavailable,
             "report request failed or its status was not 200, upstream " + aUpstream);
      if (aResponse && aResponse.value().head.status == 200) {
        report = mDependencies.protocol.readReport(aResponse.value().body);
      }
      if (!report) {
        mDependencies.log.write(
          kReportFailed,
          { { "upstream", aUpstream }, { "reason", report.error().message } });
      }
      for (auto& [group, planner] : mPlanners) {
        if (report) {
          planner->reportReceived(aUpstream, report.value(), sent, now);
        } else {
          mDependencies.metrics.add("savoryrill_gateway_failed_reports_total");
          planner->reportFailed(aUpstream, now);
        }
      }
      planAfterPause();
    });
}

} // namespace savoryrill::gateway
