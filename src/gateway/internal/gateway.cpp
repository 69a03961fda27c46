#include "gateway/gateway.h"

#include <algorithm>
#include <set>

#include "base/types/baseevents.h"
#include "gateway/internal/callboard.h"
#include "gateway/internal/leadertask.h"
#include "gateway/internal/statusserver.h"
#include "gateway/internal/storefollower.h"
#include "gateway/types/gatewayevents.h"
#include "serving/upstreamlistchanges.h"

namespace savoryrill::gateway {

namespace {

// Waiting requests are looked at when something changes, and at least this often.
constexpr Duration kTickPeriod = 50ms;
// The configuration is waited for in one call, which the store holds for this long. On a
// connection that has gone silent a change is seen this much later.
constexpr Duration kConfigWait = 2500ms;
// The same while the leader of placement tells which version is in force: a call that
// hangs is noticed from that. Below the history that a store keeps at the least (20 s).
constexpr Duration kConfigWaitFollowing = 15s;
// Between two reads of a version that the leader has told.
constexpr Duration kConfigAskPause = 1s;
constexpr Duration kConfigPause = 50ms;
// What is known of the list may have this age, as a part of the time that leaving
// upstreams still serve, before this host reads it: the rest is for the read itself and a
// failed one before it. Reads of all hosts cost calls and processor time.
constexpr double kUpstreamsPauseShare = 0.6;
// The leader of placement reads the list for all hosts this often.
constexpr Duration kUpstreamsPauseLeading = 500ms;
// A balancer notices a changed readiness within this time and sends no new callers.
constexpr Duration kBalancerTime = 2500ms;
// Left for the last responses before the drain limit.
constexpr Duration kEndMargin = 500ms;

class GatewayImpl final : public Gateway
{
public:
  GatewayImpl(Dependencies aDependencies, config::GatewaySettings aSettings)
    : mDependencies(std::move(aDependencies))
    , mSettings(std::move(aSettings))
    , mBoard(mSettings.dataCentre, mDependencies.seed)
    , mPool(mDependencies.loop, {})
    , mControlCalls(mDependencies.loop, mPool)
    , mCalls({ mDependencies.loop,
               mDependencies.log,
               mDependencies.metrics,
               mDependencies.calls,
               mBoard,
               mPool },
             callOptions(mSettings),
             mDependencies.seed)
  {
  }

  Result<void> start();

  bool ready() const override { return readinessProblem().empty(); }
  void updateSettings(const config::GatewaySettings& aSettings) override
  {
    mSettings.drainLimit = aSettings.drainLimit;
    mCalls.setOptions(callOptions(aSettings));
  }
  void drain(std::function<void()> aDone) override;

private:
  static CallBoard::Options callOptions(const config::GatewaySettings& aSettings)
  {
    CallBoard::Options options;
    options.retryShare = aSettings.retryShare;
    options.retryReserve = aSettings.retryReserve;
    return options;
  }

  Result<void> startServers();
  void startFollowers();
  void configRead(const RowSet& aRows);
  void upstreamsRead(const RowSet& aRows, bool aWhole);
  void listTold(const serving::UpstreamListUpdate& aUpdate, Instant aAsOf);
  void listChanged(const std::vector<serving::DirectoryChange>& aChanges);
  void upstreamsReadStarted();
  void configTold(std::uint64_t aVersion);
  void leadershipChanged(bool aLeads);
  Duration ownUpstreamsPause() const;
  void applyChanges(const std::vector<serving::DirectoryChange>& aChanges);
  std::optional<serving::UpstreamEntry> decodeUpstream(const StoredRow& aRow);
  std::string readinessProblem() const;
  void noteReadiness();
  void tick();
  void stepDrain();
  std::string renderMetrics();

  Dependencies mDependencies;
  config::GatewaySettings mSettings;
  UpstreamBoard mBoard;
  link::OutboundPool mPool;
  link::RequestClient mControlCalls;
  CallBoard mCalls;
  std::unique_ptr<link::Listener> mCallers;
  std::unique_ptr<StatusServer> mReadiness;
  std::unique_ptr<StatusServer> mMetricsServer;
  std::unique_ptr<TableFollower> mConfigFollower;
  std::unique_ptr<TableFollower> mUpstreamFollower;
  std::unique_ptr<LeaderTask> mLeader;
  std::uint64_t mConfigVersion = 0;
  std::optional<Instant> mConfigAsked; // after the leader told of a newer version
  serving::UpstreamListChanges mUpstreamListChanges;
  bool mLeading = false;
  bool mUpstreamsKnown = false;
  std::string mReadinessLogged = "unknown";
  std::uint64_t mIgnoredRows = 0;
  event::Watch mTick;
  std::optional<Instant> mDrainStarted;
  std::function<void()> mDrained;
  event::Watch mEnd;
};

Result<void>
GatewayImpl::start()
{
  BOOST_OUTCOME_TRY(startServers());
  LeaderTask::Handlers handlers;
  handlers.demand = [this] { return mCalls.takeDemand(); };
  handlers.replicasChanged = [this] { mCalls.retryWaiting(); };
  handlers.hostsChanged = [this](std::uint32_t aHosts) { mCalls.setHosts(aHosts); };
  handlers.listVersion = [this] {
    return mUpstreamFollower ? mUpstreamFollower->version() : 0;
  };
  handlers.configVersion = [this] { return mConfigVersion; };
  handlers.configTold = [this](std::uint64_t aVersion) { configTold(aVersion); };
  handlers.listTold = [this](const serving::UpstreamListUpdate& aUpdate, Instant aAsOf) {
    listTold(aUpdate, aAsOf);
  };
  handlers.leadershipChanged = [this](bool aLeads) { leadershipChanged(aLeads); };
  BOOST_OUTCOME_TRY(leader,
                    LeaderTask::create({ mDependencies.loop,
                                         mDependencies.log,
                                         mDependencies.metrics,
                                         mDependencies.store,
                                         mDependencies.control,
                                         mBoard,
                                         mUpstreamListChanges,
                                         mControlCalls },
                                       mSettings,
                                       std::move(handlers),
                                       mDependencies.seed));
  mLeader = std::move(leader);
  mCalls.onDemand([this] { mLeader->demandAppeared(); });
  startFollowers();
  mTick = mDependencies.loop.every(kTickPeriod, [this] { tick(); });
  return outcome::success();
}

Result<void>
GatewayImpl::startServers()
{
  BOOST_OUTCOME_TRY(
    callers,
    link::Listener::create(
      mDependencies.loop, mSettings.callerAddress, mCalls, mSettings.maxConnections));
  mCallers = std::move(callers);
  BOOST_OUTCOME_TRY(readiness,
                    StatusServer::create(mDependencies.loop,
                                         mSettings.readinessAddress,
                                         mDependencies.readinessPath,
                                         [this] {
                                           const auto problem = readinessProblem();
                                           return StatusServer::Answer{
                                             problem.empty() ? 200 : 503,
                                             problem.empty() ? "ready\n" : problem + "\n"
                                           };
                                         }));
  mReadiness = std::move(readiness);
  if (mSettings.metricsAddress) {
    BOOST_OUTCOME_TRY(
      metrics,
      StatusServer::create(
        mDependencies.loop, *mSettings.metricsAddress, "/metrics", [this] {
          return StatusServer::Answer{ 200, renderMetrics() };
        }));
    mMetricsServer = std::move(metrics);
  }
  return outcome::success();
}

void
GatewayImpl::startFollowers()
{
  TableFollower::Options config;
  config.table = mDependencies.records.configTable();
  config.wait = kConfigWait;
  config.pause = kConfigPause;
  const auto config_read = [this](const RowSet& aRows) { configRead(aRows); };
  mConfigFollower = std::make_unique<TableFollower>(
    mDependencies.loop,
    mDependencies.store,
    mDependencies.log,
    mDependencies.metrics,
    config,
    TableFollower::Handlers{ config_read, config_read, {} });
  TableFollower::Options upstreams;
  upstreams.table = mDependencies.records.upstreamTable();
  upstreams.pause = ownUpstreamsPause();
  mUpstreamFollower = std::make_unique<TableFollower>(
    mDependencies.loop,
    mDependencies.store,
    mDependencies.log,
    mDependencies.metrics,
    upstreams,
    TableFollower::Handlers{ [this](const RowSet& aRows) { upstreamsRead(aRows, true); },
                             [this](const RowSet& aRows) { upstreamsRead(aRows, false); },
                             [this] { upstreamsReadStarted(); } });
  // A waiting read that hangs since an outage would hide changes for its whole wait.
  mUpstreamFollower->onRegained([this] { mConfigFollower->readNow(); });
  mConfigFollower->start();
  mUpstreamFollower->start();
}

void
GatewayImpl::configRead(const RowSet& aRows)
{
  for (const auto& row : aRows.rows) {
    if (row.key != mDependencies.records.configKey() || row.deleted) {
      continue;
    }
    auto config = mDependencies.records.readConfig(row.value);
    if (!config) {
      mDependencies.log.write(
        kConfigUnusable,
        { { "row_version", row.version }, { "reason", config.error().message } });
      continue;
    }
    if (config.value().version <= mConfigVersion) {
      continue; // only forwards
    }
    mConfigVersion = config.value().version;
    mDependencies.metrics.set("savoryrill_gateway_config_version",
                              static_cast<double>(mConfigVersion));
    mDependencies.log.write(
      kConfigInForce,
      { { "version", mConfigVersion },
        { "row_version", row.version },
        { "routes", std::uint64_t{ config.value().routes.size() } } });
    const auto table = serving::RouteTable::create(std::move(config.value()));
    mCalls.setRoutes(table);
    mLeader->setConfig(table->config());
    noteReadiness();
  }
}

std::optional<serving::UpstreamEntry>
GatewayImpl::decodeUpstream(const StoredRow& aRow)
{
  auto entry = mDependencies.records.readUpstream(aRow.key, aRow.value);
  if (entry) {
    return std::move(entry.value());
  }
  ++mIgnoredRows;
  mDependencies.metrics.add("savoryrill_gateway_ignored_rows_total");
  mDependencies.log.write(kEntryIgnored,
                          { { "key", aRow.key },
                            { "row_version", aRow.version },
                            { "reason", entry.error().message },
                            { "ignored", mIgnoredRows } });
  return std::nullopt;
}

Duration
GatewayImpl::ownUpstreamsPause() const
{
  return std::chrono::duration_cast<Duration>(mSettings.leaveNotice *
                                              kUpstreamsPauseShare);
}

void
GatewayImpl::leadershipChanged(bool aLeads)
{
  mLeading = aLeads;
  mUpstreamFollower->setPause(
    aLeads ? std::min(kUpstreamsPauseLeading, ownUpstreamsPause()) : ownUpstreamsPause());
  if (aLeads) {
    // Others may have told what is known, without what engines hold.
    mUpstreamFollower->readNow();
  }
}

void
GatewayImpl::upstreamsReadStarted()
{
  if (mLeading) {
    mLeader->listReadStarted();
    return;
  }
  // The leader has told nothing for a while, so a call that hangs would not be noticed.
  mConfigFollower->setWait(kConfigWait);
  if (mDependencies.loop.now() - mConfigFollower->started() > kConfigWait) {
    mConfigFollower->readNow();
  }
}

void
GatewayImpl::upstreamsRead(const RowSet& aRows, bool aWhole)
{
  const auto now = mDependencies.loop.now();
  std::vector<serving::DirectoryChange> changes;
  auto& directory = mBoard.directory();
  std::vector<serving::UpstreamEntry> entries;
  std::set<std::string> ids;
  for (const auto& row : aRows.rows) {
    if (row.deleted) {
      directory.remove(row.key, now, changes);
      mUpstreamListChanges.remove(row.key, row.version);
      continue;
    }
    auto entry = decodeUpstream(row);
    if (!entry) {
      continue;
    }
    entry->rowVersion = row.version;
    mUpstreamListChanges.update(*entry);
    if (aWhole) {
      ids.insert(entry->id);
      entries.push_back(std::move(*entry));
    } else {
      directory.update(std::move(*entry), now, changes);
    }
  }
  if (aWhole) {
    directory.replaceAll(std::move(entries), now, changes);
    mUpstreamListChanges.retainOnly(ids, aRows.version);
  }
  mUpstreamListChanges.setVersion(aRows.version);
  mBoard.enginesRead(now);
  directory.readSucceeded(now);
  mUpstreamsKnown = true;
  listChanged(changes);
  mLeader->upstreamsRead();
}

void
GatewayImpl::listTold(const serving::UpstreamListUpdate& aUpdate, Instant aAsOf)
{
  const std::uint64_t known = mUpstreamFollower->version();
  if (mLeading || known == 0 || aUpdate.base > known) {
    return; // it may lack changes that this host does not know
  }
  const auto now = mDependencies.loop.now();
  std::vector<serving::DirectoryChange> changes;
  if (aUpdate.version >= known) {
    mBoard.directory().apply(aUpdate, now, changes);
  }
  mBoard.directory().readSucceeded(now);
  mUpstreamFollower->confirm(aUpdate.version, aAsOf);
  mDependencies.metrics.add("savoryrill_gateway_list_told_total");
  mConfigFollower->setWait(kConfigWaitFollowing);
  if (!changes.empty()) {
    listChanged(changes);
  }
}

void
GatewayImpl::listChanged(const std::vector<serving::DirectoryChange>& aChanges)
{
  applyChanges(aChanges);
  mCalls.retryWaiting();
  noteReadiness();
}

void
GatewayImpl::configTold(std::uint64_t aVersion)
{
  const auto now = mDependencies.loop.now();
  if (aVersion <= mConfigVersion ||
      (mConfigAsked && now - *mConfigAsked < kConfigAskPause)) {
    return;
  }
  mConfigAsked = now;
  mConfigFollower->readNow();
}

void
GatewayImpl::applyChanges(const std::vector<serving::DirectoryChange>& aChanges)
{
  if (aChanges.empty()) {
    return;
  }
  mLeader->upstreamsChanged(aChanges);
  for (const auto& change : aChanges) {
    mDependencies.log.write(
      kUpstreamListed, { { "upstream", change.id }, { "change", nameOf(change.kind) } });
    if (change.kind == serving::DirectoryChange::Kind::Vanished) {
      mBoard.forget(change.id);
    }
  }
}

std::string
GatewayImpl::readinessProblem() const
{
  if (mDrainStarted) {
    return "stopping";
  }
  if (!mCalls.hasRoutes()) {
    return "no configuration";
  }
  return mUpstreamsKnown ? "" : "no list of upstreams";
}

void
GatewayImpl::noteReadiness()
{
  const auto problem = readinessProblem();
  if (problem != mReadinessLogged) {
    mReadinessLogged = problem;
    mDependencies.log.write(
      kGatewayReady,
      { { "ready", problem.empty() ? "yes" : "no" }, { "reason", problem } });
  }
}

void
GatewayImpl::tick()
{
  std::vector<serving::DirectoryChange> changes;
  mBoard.directory().expire(mDependencies.loop.now(), changes);
  applyChanges(changes);
  mCalls.retryWaiting();
  if (mDrainStarted) {
    stepDrain();
  }
}

void
GatewayImpl::drain(std::function<void()> aDone)
{
  if (mDrainStarted) {
    return;
  }
  mDrainStarted = mDependencies.loop.now();
  mDrained = std::move(aDone);
  mDependencies.log.write(kDrainStarted,
                          { { "active", std::uint64_t{ mCalls.active() } } });
  noteReadiness();
  mCalls.stop();
  mLeader->stop();
}

void
GatewayImpl::stepDrain()
{
  const Duration since = mDependencies.loop.now() - *mDrainStarted;
  const bool balanced = since >= std::min(kBalancerTime, mSettings.drainLimit / 2);
  if (balanced) {
    // Callers that still come are better off elsewhere: what is taken from now on might
    // not end before the drain limit.
    mCallers->stop();
    mCalls.refuseNew();
    mCallers->closeIdle();
  }
  if (since >= mSettings.drainLimit - kEndMargin) {
    mCalls.endAll();
  }
  if (balanced && mCalls.active() == 0 && mDrained) {
    // The last responses are in the kernel's hands by the next tick.
    mEnd = mDependencies.loop.after(kTickPeriod, std::exchange(mDrained, nullptr));
  }
}

std::string
GatewayImpl::renderMetrics()
{
  auto& metrics = mDependencies.metrics;
  metrics.set("savoryrill_gateway_active_requests", static_cast<double>(mCalls.active()));
  metrics.set("savoryrill_gateway_waiting_requests",
              static_cast<double>(mCalls.waiting()));
  metrics.set("savoryrill_gateway_caller_connections",
              static_cast<double>(mCallers->connections()));
  metrics.set("savoryrill_gateway_upstream_connections_opened",
              static_cast<double>(mPool.opened()));
  metrics.set("savoryrill_gateway_ready", ready() ? 1 : 0);
  metrics.set("savoryrill_gateway_upstreams",
              static_cast<double>(mBoard.directory().entries().size()));
  return metrics.renderPrometheus();
}

} // namespace

Result<std::unique_ptr<Gateway>>
Gateway::create(Dependencies aDependencies, config::GatewaySettings aSettings)
{
  auto gateway =
    std::make_unique<GatewayImpl>(std::move(aDependencies), std::move(aSettings));
  BOOST_OUTCOME_TRY(gateway->start());
  return std::unique_ptr<Gateway>(std::move(gateway));
}

} // namespace savoryrill::gateway
