#include "gateway/gateway.h"

#include <algorithm>
#include <map>
#include <set>

#include "base/types/baseevents.h"
#include "gateway/internal/configreadtask.h"
#include "gateway/internal/leadertask.h"
#include "gateway/internal/quarantinetask.h"
#include "gateway/internal/quotaexchange.h"
#include "gateway/internal/requestscheduler.h"
#include "gateway/internal/statusserver.h"
#include "gateway/internal/tablefollower.h"
#include "gateway/types/gatewayevents.h"
#include "link/listener.h"
#include "serving/configconfirmation.h"
#include "serving/upstreamlistchanges.h"

namespace savoryrill::gateway {

namespace {

// Waiting requests are checked on each change, and at least once in this period.
constexpr Duration kTickPeriod = 50ms;
// Age of the known upstream list at which this host reads it again, as a part of the time
// for which leaving upstreams still serve. The rest of that time is left for the read and
// for a second one if the first fails. Lower values cost requests to the store and
// processor time at all hosts.
constexpr double kUpstreamReadPauseShare = 0.6;
// The placement leader reads the upstream list for all hosts in this period.
constexpr Duration kLeaderUpstreamReadPause = 500ms;
// Time within which a load balancer notices a changed readiness and stops sending new
// callers.
constexpr Duration kBalancerDelay = 2500ms;
// Time before the drain limit that is left for the last responses.
constexpr Duration kDrainEndMargin = 500ms;
// Time between two log lines about memory that had to be given up.
constexpr Duration kShortageLogPause = 10s;
constexpr std::size_t kBytesPerMb = 1024UL * 1024;

class GatewayImpl final : public Gateway
{
public:
  GatewayImpl(Dependencies aDependencies, config::GatewaySettings aSettings)
    : mDependencies(std::move(aDependencies))
    , mSettings(std::move(aSettings))
    , mBudget(mSettings.connectionMemoryMb * kBytesPerMb)
    , mRelieveCall(mDependencies.loop, [this] { relieveMemory(); })
    , mSelector(mSettings.dataCentre, mDependencies.seed)
    , mPool(mDependencies.loop, poolOptions(mSettings))
    , mControlClient(mDependencies.loop, mPool)
    , mQuarantine({ mDependencies.loop,
                    mDependencies.log,
                    mDependencies.metrics,
                    mDependencies.store },
                  mDependencies.seed)
    , mOrganisationMetrics(mDependencies.metrics)
    , mConfirmation(mSettings.keyConfirmationTime)
    , mQuotas({ mDependencies.loop, mDependencies.log, mDependencies.metrics },
              mSettings.host,
              mDependencies.seed)
    , mScheduler({ mDependencies.loop,
                   mDependencies.log,
                   mDependencies.metrics,
                   mDependencies.requestProtocol,
                   mSelector,
                   mQuarantine,
                   mPool,
                   mConfirmation,
                   mOrganisationMetrics },
                 schedulerOptions(mSettings),
                 mDependencies.seed)
  {
    mScheduler.setQuotas(&mQuotas);
  }

  Result<void> start();

  bool ready() const override { return readinessProblem().empty(); }
  void updateSettings(const config::GatewaySettings& aSettings) override
  {
    mSettings.drainLimit = aSettings.drainLimit;
    mScheduler.setOptions(schedulerOptions(aSettings));
  }
  void drain(std::function<void()> aDone) override;

private:
  static link::OutboundPool::Options poolOptions(const config::GatewaySettings& aSettings)
  {
    link::OutboundPool::Options options;
    options.maxConnections = config::maxUpstreamConnectionsOf(aSettings.maxDescriptors);
    return options;
  }

  static RequestScheduler::Options schedulerOptions(
    const config::GatewaySettings& aSettings)
  {
    RequestScheduler::Options options;
    options.retryShare = aSettings.retryShare;
    options.retryReserve = aSettings.retryReserve;
    if (aSettings.scheduling == config::Scheduling::InTimeFirst) {
      options.scheduling = serving::InTimeFirst{};
    }
    return options;
  }

  Result<void> startServers();
  void startFollowers();
  void applyConfigRows(const RowSet& aRows);
  void applyConfig(serving::ServingConfig aConfig, std::uint64_t aRowVersion);
  void recordUnusableConfig(const StoredRow& aRow, const Error& aError);
  void applyUpstreamRows(const RowSet& aRows, bool aAllRows);
  bool recordListed(const std::string& aId, serving::StorePosition aVersion);
  void applyListUpdate(const serving::UpstreamListUpdate& aUpdate, Instant aAsOf);
  void onUpstreamsChanged(const std::vector<serving::DirectoryChange>& aChanges);
  void onUpstreamReadStarted();
  void onConfigReadConfirmed(Instant aStarted);
  void onLeadershipChanged(bool aLeads);
  Duration ownUpstreamReadPause() const;
  void applyChanges(const std::vector<serving::DirectoryChange>& aChanges);
  std::optional<serving::UpstreamEntry> decodeUpstream(const StoredRow& aRow);
  /// Sends waiting requests for which that is possible now, and asks for the permits that
  /// others lack.
  void sendWaiting();
  std::string readinessProblem() const;
  void logReadiness();
  /// True if requests with keys are refused since the configuration may be outdated.
  bool refusesKeys() const;
  void logConfirmation();
  void noteStoreEra();
  void tick();
  void continueDrain();
  std::string renderMetrics();
  void renderConnectionMetrics();
  /// Ends requests until the memory that is held for connections is within its limit.
  void relieveMemory();

  Dependencies mDependencies;
  config::GatewaySettings mSettings;
  link::MemoryBudget mBudget;
  event::DeferredCall mRelieveCall;
  std::uint64_t mEvictionsLogged = 0;
  std::optional<Instant> mShortageLogged;
  UpstreamSelector mSelector;
  link::OutboundPool mPool;
  link::RequestClient mControlClient;
  QuarantineTask mQuarantine;
  OrganisationMetrics mOrganisationMetrics;
  serving::ConfigConfirmation mConfirmation;
  QuotaExchange mQuotas; // requests hold handles of it
  RequestScheduler mScheduler;
  std::unique_ptr<link::Listener> mCallerListener;
  std::unique_ptr<StatusServer> mReadinessServer;
  std::unique_ptr<StatusServer> mMetricsServer;
  std::unique_ptr<TableFollower> mConfigFollower;
  std::unique_ptr<ConfigReadTask> mConfigReadTask;
  std::unique_ptr<TableFollower> mUpstreamFollower;
  std::unique_ptr<LeaderTask> mLeader;
  std::uint64_t mConfigVersion = 0;
  std::uint64_t mUnusableConfigRow = 0; // version of the latest one that was logged
  serving::UpstreamListChanges mUpstreamListChanges;
  bool mLeading = false;
  bool mUpstreamsKnown = false;
  bool mKeysRefused = false; // as logged
  std::string mReadinessLogged = "unknown";
  std::uint64_t mIgnoredRows = 0;
  std::uint64_t mStoreEra = 0;
  event::Watch mTick;
  std::optional<Instant> mDrainStarted;
  std::function<void()> mOnDrained;
  event::Watch mDrainEnd;
};

Result<void>
GatewayImpl::start()
{
  BOOST_OUTCOME_TRY(startServers());
  LeaderTask::Handlers handlers;
  handlers.takeDemand = [this] { return mScheduler.takeDemand(); };
  handlers.onReplicasChanged = [this] { sendWaiting(); };
  handlers.onHostCountReceived = [this](std::uint32_t aHostCount) {
    mScheduler.setHostCount(aHostCount);
  };
  handlers.listVersion = [this] {
    return mUpstreamFollower ? mUpstreamFollower->version() : 0;
  };
  handlers.configVersion = [this] { return mConfigVersion; };
  handlers.onConfigVersionReceived = [this](std::uint64_t aVersion) {
    mConfigReadTask->versionReported(aVersion);
  };
  handlers.onConfigConfirmed = [this](std::uint64_t aVersion, Instant aAsOf) {
    mConfigReadTask->confirmedByLeader(aVersion, aAsOf);
  };
  handlers.onUpstreamListReceived = [this](const serving::UpstreamListUpdate& aUpdate,
                                           Instant aAsOf) {
    applyListUpdate(aUpdate, aAsOf);
  };
  handlers.onLeadershipChanged = [this](bool aLeads) { onLeadershipChanged(aLeads); };
  handlers.onLeaderContactChanged = [this](bool aContact) {
    mQuarantine.setLeaderContact(aContact);
  };
  handlers.promptEvidence = [this] { return mQuarantine.evidence(); };
  handlers.onPromptEvidenceReceived = [this](const QuarantineTask::Evidence& aEvidence) {
    return mQuarantine.merge(aEvidence);
  };
  BOOST_OUTCOME_TRY(leader,
                    LeaderTask::create({ mDependencies.loop,
                                         mDependencies.log,
                                         mDependencies.metrics,
                                         mDependencies.store,
                                         mDependencies.controlProtocol,
                                         mSelector,
                                         mUpstreamListChanges,
                                         mControlClient,
                                         mQuotas },
                                       mSettings,
                                       std::move(handlers),
                                       mDependencies.seed));
  mLeader = std::move(leader);
  mQuarantine.setShare([this](const QuarantineTask::Evidence& aEvidence) {
    mLeader->sharePromptEvidence(aEvidence);
  });
  mQuarantine.start();
  mScheduler.setDemandCallback([this] {
    mLeader->onDemandIncreased();
    mLeader->onPermitRequested();
  });
  mScheduler.setUpstreamLeavingCallback(
    [this](const std::string& aUpstream, std::int64_t aBornMs) {
      std::vector<serving::DirectoryChange> changes;
      mSelector.directory().markLeaving(aUpstream, aBornMs, changes);
      applyChanges(changes);
    });
  startFollowers();
  mTick = mDependencies.loop.every(kTickPeriod, [this] { tick(); });
  return outcome::success();
}

Result<void>
GatewayImpl::startServers()
{
  BOOST_OUTCOME_TRY(callers,
                    link::Listener::create(mDependencies.loop,
                                           mSettings.callerAddress,
                                           mScheduler,
                                           mSettings.maxConnections,
                                           &mBudget));
  mBudget.onShortage([this] { mRelieveCall.request(); });
  mCallerListener = std::move(callers);
  BOOST_OUTCOME_TRY(readiness,
                    StatusServer::create(mDependencies.loop,
                                         mSettings.readinessAddress,
                                         mDependencies.readinessPath,
                                         [this] {
                                           const auto problem = readinessProblem();
                                           return StatusServer::Response{
                                             problem.empty() ? 200 : 503,
                                             problem.empty() ? "ready\n" : problem + "\n"
                                           };
                                         }));
  mReadinessServer = std::move(readiness);
  if (mSettings.metricsAddress) {
    BOOST_OUTCOME_TRY(
      metrics,
      StatusServer::create(
        mDependencies.loop, *mSettings.metricsAddress, "/metrics", [this] {
          return StatusServer::Response{ 200, renderMetrics() };
        }));
    mMetricsServer = std::move(metrics);
  }
  return outcome::success();
}

void
GatewayImpl::startFollowers()
{
  TableFollower::Options config;
  config.table = mDependencies.recordFormat.configTable();
  const auto all_read = [this](const RowSet& aRows) {
    applyConfigRows(aRows);
    mConfigReadTask->readHandled(true);
  };
  const auto changes_read = [this](const RowSet& aRows) {
    applyConfigRows(aRows);
    mConfigReadTask->readHandled(false);
  };
  mConfigFollower = std::make_unique<TableFollower>(
    mDependencies.loop,
    mDependencies.store,
    mDependencies.log,
    mDependencies.metrics,
    config,
    TableFollower::Handlers{
      all_read,
      changes_read,
      [this] { mLeader->onConfigReadStarted(); },
      [this](Instant aStarted) { onConfigReadConfirmed(aStarted); } });
  mConfigReadTask =
    std::make_unique<ConfigReadTask>(ConfigReadTask::Dependencies{ mDependencies.loop,
                                                                   mDependencies.log,
                                                                   mDependencies.metrics,
                                                                   *mConfigFollower,
                                                                   mConfirmation });
  TableFollower::Options upstreams;
  upstreams.table = mDependencies.recordFormat.upstreamTable();
  upstreams.pause = ownUpstreamReadPause();
  mUpstreamFollower = std::make_unique<TableFollower>(
    mDependencies.loop,
    mDependencies.store,
    mDependencies.log,
    mDependencies.metrics,
    upstreams,
    TableFollower::Handlers{
      [this](const RowSet& aRows) { applyUpstreamRows(aRows, true); },
      [this](const RowSet& aRows) { applyUpstreamRows(aRows, false); },
      [this] { onUpstreamReadStarted(); },
      {} });
  // A long-polling read that has hung since an outage would delay changes by its whole
  // wait.
  mUpstreamFollower->setRecoveryCallback(
    [this] { mConfigReadTask->storeRegained(mUpstreamFollower->readStarted()); });
  mConfigFollower->start();
  mUpstreamFollower->start();
}

/// A response with changes may hold many versions. Only the newest usable one is put into
/// force, since a large configuration takes a small host a tenth of a second.
void
GatewayImpl::applyConfigRows(const RowSet& aRows)
{
  const StoredRow* unusable = nullptr; // the newest row, if it cannot be used
  std::optional<Error> error;
  for (auto row = aRows.rows.rbegin(); row != aRows.rows.rend(); ++row) {
    if (row->key != mDependencies.recordFormat.configKey() || row->deleted) {
      continue;
    }
    auto config = mDependencies.recordFormat.readConfig(row->value);
    if (config) {
      mConfigReadTask->setNewestUsable(true);
      applyConfig(std::move(config.value()), row->version);
      break;
    }
    if (unusable == nullptr) {
      unusable = &*row;
      error = config.error();
    }
  }
  if (unusable != nullptr) {
    recordUnusableConfig(*unusable, *error);
  }
}

void
GatewayImpl::applyConfig(serving::ServingConfig aConfig, std::uint64_t aRowVersion)
{
  if (aConfig.version <= mConfigVersion) {
    return; // versions only increase
  }
  mConfigVersion = aConfig.version;
  mDependencies.metrics.set("savoryrill_gateway_config_version",
                            static_cast<double>(mConfigVersion));
  mDependencies.log.write(kConfigInForce,
                          { { "version", mConfigVersion },
                            { "row_version", aRowVersion },
                            { "routes", std::uint64_t{ aConfig.routes.size() } } });
  for (const auto& finding : aConfig.findings) {
    mDependencies.log.write(kConfigFinding,
                            { { "version", mConfigVersion }, { "finding", finding } });
  }
  const auto table = serving::RouteTable::create(std::move(aConfig));
  const auto& organisations = table->config().organisations;
  mQuotas.setQuotas(organisations ? organisations->organisations()
                                  : std::map<std::string, serving::Organisation>{});
  mScheduler.setRoutes(table);
  mLeader->setConfig(table->config());
  mConfirmation.configApplied(mConfigVersion);
  mConfigReadTask->configApplied(table->config());
  logReadiness();
}

void
GatewayImpl::recordUnusableConfig(const StoredRow& aRow, const Error& aError)
{
  mConfigReadTask->setNewestUsable(false);
  if (aRow.version != std::exchange(mUnusableConfigRow, aRow.version)) {
    mDependencies.log.write(
      kConfigUnusable, { { "row_version", aRow.version }, { "reason", aError.message } });
  }
}

void
GatewayImpl::onConfigReadConfirmed(Instant aStarted)
{
  if (mConfigReadTask->readSucceeded(mConfigVersion, aStarted)) {
    mLeader->confirmConfig(mConfigVersion);
  }
}

std::optional<serving::UpstreamEntry>
GatewayImpl::decodeUpstream(const StoredRow& aRow)
{
  auto entry = mDependencies.recordFormat.readUpstream(aRow.key, aRow.value);
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
GatewayImpl::ownUpstreamReadPause() const
{
  return std::chrono::duration_cast<Duration>(mSettings.leaveNotice *
                                              kUpstreamReadPauseShare);
}

void
GatewayImpl::onLeadershipChanged(bool aLeads)
{
  mLeading = aLeads;
  mQuarantine.setLeading(aLeads);
  mUpstreamFollower->setPause(
    aLeads ? std::min(kLeaderUpstreamReadPause, ownUpstreamReadPause())
           : ownUpstreamReadPause());
  if (aLeads) {
    // The known list may come from another leader, without the models that engines hold.
    mUpstreamFollower->readNow();
  }
  mConfigReadTask->setLeading(aLeads);
}

void
GatewayImpl::onUpstreamReadStarted()
{
  if (mLeading) {
    mLeader->onUpstreamListReadStarted();
    return;
  }
  mConfigReadTask->listReadStarted();
}

void
GatewayImpl::applyUpstreamRows(const RowSet& aRows, bool aAllRows)
{
  noteStoreEra();
  const auto now = mDependencies.loop.now();
  std::vector<serving::DirectoryChange> changes;
  auto& directory = mSelector.directory();
  std::vector<serving::UpstreamEntry> entries;
  std::map<std::string, serving::StorePosition> read; // versions by id
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
    read[entry->id] = row.version;
    if (aAllRows) {
      entries.push_back(std::move(*entry));
    } else {
      const std::string id = entry->id;
      directory.update(std::move(*entry), now, changes);
      recordListed(id, row.version);
    }
  }
  if (aAllRows) {
    directory.replaceAll(std::move(entries), now, changes);
    std::set<std::string> listed;
    for (const auto& [id, version] : read) {
      if (recordListed(id, version)) {
        listed.insert(id);
      }
    }
    mUpstreamListChanges.retainOnly(listed, aRows.version);
  }
  // A read of changes may state a higher version than it has shown all changes of.
  mUpstreamListChanges.setVersion(aAllRows ? aRows.version
                                           : mUpstreamFollower->version());
  mSelector.recordListRead(now);
  directory.readSucceeded(now);
  mUpstreamsKnown = true;
  onUpstreamsChanged(changes);
  mLeader->onUpstreamListRead();
}

/// Notes for other hosts what this one has made of an entry with `aVersion`, which a copy
/// of the store may have brought back. Returns false if it is not used.
bool
GatewayImpl::recordListed(const std::string& aId, serving::StorePosition aVersion)
{
  const auto* known = mSelector.directory().find(aId);
  if (known == nullptr) {
    return false;
  }
  auto entry = *known;
  entry.rowVersion = aVersion;
  mUpstreamListChanges.update(entry);
  return true;
}

void
GatewayImpl::applyListUpdate(const serving::UpstreamListUpdate& aUpdate, Instant aAsOf)
{
  noteStoreEra();
  const auto known = mUpstreamFollower->version();
  if (mLeading || known == 0 || aUpdate.base > known) {
    return; // the update may lack changes that this host does not know
  }
  const auto now = mDependencies.loop.now();
  std::vector<serving::DirectoryChange> changes;
  if (aUpdate.version >= known) {
    mSelector.directory().apply(aUpdate, now, changes);
    // This host may be the next leader, which tells the others of later changes.
    mUpstreamListChanges.apply(aUpdate);
  }
  mSelector.directory().readSucceeded(now);
  mUpstreamFollower->confirm(aUpdate.version, aAsOf);
  mDependencies.metrics.add("savoryrill_gateway_list_told_total");
  mConfigReadTask->listTold();
  if (!changes.empty()) {
    onUpstreamsChanged(changes);
  }
}

void
GatewayImpl::onUpstreamsChanged(const std::vector<serving::DirectoryChange>& aChanges)
{
  applyChanges(aChanges);
  sendWaiting();
  logReadiness();
}

void
GatewayImpl::applyChanges(const std::vector<serving::DirectoryChange>& aChanges)
{
  if (aChanges.empty()) {
    return;
  }
  mLeader->onUpstreamsChanged(aChanges);
  for (const auto& change : aChanges) {
    mDependencies.log.write(
      kUpstreamListed, { { "upstream", change.id }, { "change", nameOf(change.kind) } });
    if (change.kind == serving::DirectoryChange::Kind::Vanished) {
      mSelector.removeUpstream(change.id);
    }
  }
}

void
GatewayImpl::sendWaiting()
{
  mScheduler.sendWaiting();
  if (mSelector.limits().hasPermitRequests()) {
    mLeader->onPermitRequested();
  }
}

std::string
GatewayImpl::readinessProblem() const
{
  if (mDrainStarted) {
    return "stopping";
  }
  if (!mScheduler.hasRoutes()) {
    return "no configuration";
  }
  if (refusesKeys()) {
    return "configuration not confirmed";
  }
  return mUpstreamsKnown ? "" : "no list of upstreams";
}

void
GatewayImpl::logReadiness()
{
  const auto problem = readinessProblem();
  if (problem != mReadinessLogged) {
    mReadinessLogged = problem;
    mDependencies.log.write(
      kGatewayReady,
      { { "ready", problem.empty() ? "yes" : "no" }, { "reason", problem } });
  }
}

bool
GatewayImpl::refusesKeys() const
{
  return mScheduler.hasOrganisations() && !mConfirmation.valid(mDependencies.loop.now());
}

void
GatewayImpl::logConfirmation()
{
  const bool refuses = refusesKeys();
  if (refuses == mKeysRefused) {
    return;
  }
  mKeysRefused = refuses;
  if (refuses) {
    const auto age = mConfirmation.age(mDependencies.loop.now());
    mDependencies.metrics.add("savoryrill_gateway_config_unconfirmed_total");
    mDependencies.log.write(kConfigUnconfirmed, { { "age_ms", age ? toMs(*age) : -1 } });
  } else {
    mDependencies.log.write(kConfigConfirmed);
  }
}

/// Notices that the store has come back from a copy.
void
GatewayImpl::noteStoreEra()
{
  const auto era = mDependencies.store.era();
  if (era == mStoreEra) {
    return;
  }
  mDependencies.log.write(kStoreEra, { { "era", era }, { "before", mStoreEra } });
  mDependencies.metrics.set("savoryrill_gateway_store_era", static_cast<double>(era));
  mStoreEra = era;
  if (mUpstreamsKnown) { // else this host has just read the store for the first time
    mSelector.directory().storeRestored(mDependencies.loop.now());
    mQuarantine.storeRestored();
  }
}

void
GatewayImpl::tick()
{
  noteStoreEra();
  logConfirmation();
  logReadiness(); // it may have changed with time alone
  std::vector<serving::DirectoryChange> changes;
  mSelector.directory().expire(mDependencies.loop.now(), changes);
  applyChanges(changes);
  mConfigReadTask->tick();
  sendWaiting();
  if (mDrainStarted) {
    continueDrain();
  }
}

void
GatewayImpl::drain(std::function<void()> aDone)
{
  if (mDrainStarted) {
    return;
  }
  mDrainStarted = mDependencies.loop.now();
  mOnDrained = std::move(aDone);
  mDependencies.log.write(kDrainStarted,
                          { { "active", std::uint64_t{ mScheduler.active() } } });
  logReadiness();
  mScheduler.startDraining();
  mLeader->releaseLeadership();
}

void
GatewayImpl::continueDrain()
{
  const Duration since = mDependencies.loop.now() - *mDrainStarted;
  const bool balancer_delay_passed =
    since >= std::min(kBalancerDelay, mSettings.drainLimit / 2);
  if (balancer_delay_passed) {
    // Requests that arrive from now on might not end before the drain limit, so callers
    // are better served by another host.
    mCallerListener->stop();
    mScheduler.refuseNew();
    mCallerListener->closeIdle();
  }
  if (since >= mSettings.drainLimit - kDrainEndMargin) {
    mScheduler.terminateAll();
  }
  if (balancer_delay_passed && mScheduler.active() == 0 && mOnDrained) {
    // The last responses are written to their sockets by the next tick.
    mDrainEnd = mDependencies.loop.after(kTickPeriod, std::exchange(mOnDrained, nullptr));
  }
}

void
GatewayImpl::relieveMemory()
{
  const auto now = mDependencies.loop.now();
  while (mBudget.exceeded() && mBudget.evictOne(false, now)) {
  }
  if (mBudget.evicted() == mEvictionsLogged ||
      (mShortageLogged && now - *mShortageLogged < kShortageLogPause)) {
    return;
  }
  mDependencies.log.write(
    kMemoryShort,
    { { "given_up", mBudget.evicted() - mEvictionsLogged },
      { "held_bytes", std::uint64_t{ mBudget.bytes() } },
      { "limit_bytes", std::uint64_t{ mBudget.limit() } },
      { "connections", std::uint64_t{ mCallerListener->connections() } } });
  mShortageLogged = now;
  mEvictionsLogged = mBudget.evicted();
}

void
GatewayImpl::renderConnectionMetrics()
{
  auto& metrics = mDependencies.metrics;
  for (const auto& [kind, name] : EnumNames<link::MemoryKind>::kTable) {
    metrics.set("savoryrill_gateway_connection_bytes{kind=\"" + std::string(name) + "\"}",
                static_cast<double>(mBudget.bytes(kind)));
  }
  metrics.set("savoryrill_gateway_connection_bytes_limit",
              static_cast<double>(mBudget.limit()));
  metrics.set("savoryrill_gateway_memory_evictions",
              static_cast<double>(mBudget.evicted()));
  metrics.set("savoryrill_gateway_descriptors{kind=\"callers\"}",
              static_cast<double>(mCallerListener->connections()));
  metrics.set("savoryrill_gateway_descriptors{kind=\"upstreams\"}",
              static_cast<double>(mPool.open()));
  metrics.set("savoryrill_gateway_descriptors{kind=\"status\"}",
              static_cast<double>(mReadinessServer->connections() +
                                  (mMetricsServer ? mMetricsServer->connections() : 0)));
}

std::string
GatewayImpl::renderMetrics()
{
  renderConnectionMetrics();
  auto& metrics = mDependencies.metrics;
  metrics.set("savoryrill_gateway_active_requests",
              static_cast<double>(mScheduler.active()));
  metrics.set("savoryrill_gateway_waiting_requests",
              static_cast<double>(mScheduler.waiting()));
  metrics.set("savoryrill_gateway_caller_connections",
              static_cast<double>(mCallerListener->connections()));
  metrics.set("savoryrill_gateway_upstream_connections_opened",
              static_cast<double>(mPool.opened()));
  metrics.set("savoryrill_gateway_ready", ready() ? 1 : 0);
  if (const auto age = mConfirmation.age(mDependencies.loop.now())) {
    metrics.set("savoryrill_gateway_config_confirmation_age_ms",
                static_cast<double>(toMs(*age)));
  }
  metrics.set("savoryrill_gateway_upstreams",
              static_cast<double>(mSelector.directory().entries().size()));
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
