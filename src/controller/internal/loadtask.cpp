#include "controller/internal/loadtask.h"

#include <algorithm>

#include "controller/types/controllerevents.h"

namespace savoryrill::controller {

using placement::LoadCandidate;
using placement::MergedDemand;
using placement::ReplicaCandidate;
using upstream::CheckpointLocality;
using upstream::ReplicaState;

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kDemandBatchDelay = 2ms;
constexpr Duration kUsagePeriod = 1s;
constexpr Duration kDay = std::chrono::hours(24);
// A load that no engine report shows within this time after its order may be ordered
// again.
constexpr Duration kMaxReportDelay = 1s;
// Assumed speed of loads from memory and from disk, relative to the weight store.
constexpr int kMemorySpeedup = 10;
constexpr int kDiskSpeedup = 3;

// 0: checkpoint in memory, 1: on disk, 2: only in the weight store.
int
localityRankOf(const std::map<config::Loadable, CheckpointLocality>& aCheckpoints,
               const config::Loadable& aLoadable)
{
  const auto found = aCheckpoints.find(aLoadable);
  if (found == aCheckpoints.end()) {
    return 2;
  }
  return found->second == CheckpointLocality::Memory ? 0 : 1;
}

Duration
expectedLoadTime(const config::Deployment& aDeployment, int aRank, double aSlowdown)
{
  switch (aRank) {
    case 0:
      return aDeployment.loadTime / kMemorySpeedup;
    case 1:
      return aDeployment.loadTime / kDiskSpeedup;
    default:
      return std::chrono::duration_cast<Duration>(aDeployment.loadTime * aSlowdown);
  }
}

bool
isStarted(ReplicaState aState)
{
  return aState == ReplicaState::Loading || aState == ReplicaState::Loaded;
}

} // namespace

LoadTask::LoadTask(TaskContext aContext,
                   placement::LoadPolicy aPolicy,
                   std::function<Duration()> aWallTime)
  : mContext(aContext)
  , mWallTime(std::move(aWallTime))
  , mFleet(aContext.settings.dataCentre)
  , mLoadScheduler(aPolicy)
  , mWeightStoreLimiter(1)
{
}

void
LoadTask::start()
{
  mUsageRecordedAt = mContext.loop.now();
  mTimer = mContext.loop.every(kTick, [this] { tick(); });
}

void
LoadTask::handle(LoadMessage&& aMessage)
{
  std::visit([this](auto& aBody) { on(std::move(aBody)); }, aMessage);
}

void
LoadTask::on(ConfigAdopted&& aMessage)
{
  mConfiguration = aMessage.configuration;
  mView.configuration = mConfiguration.get();
  mWeightStoreLimiter.setLimits(mConfiguration->weightStore,
                                mConfiguration->dataCentres.size());
}

void
LoadTask::on(EntryChanged&& aMessage)
{
  mFleet.apply(aMessage.entry, mContext.loop.now());
  // Demand is handled before the next tick, after a short delay, so that entries that
  // arrive shortly after one another are handled together.
  if (aMessage.entry.kind() == peer::ENTRY_KIND_DEMAND) {
    if (!mDemandBatchTimer) {
      mDemandBatchTimer = mContext.loop.after(kDemandBatchDelay, [this] {
        mDemandBatchTimer.reset();
        tick();
      });
    }
  }
}

void
LoadTask::on(AssignmentsUpdated&& aMessage)
{
  mView.assignments = *aMessage.assignments;
  mView.slots = *aMessage.slots;
}

void
LoadTask::on(EngineReported&& aMessage)
{
  const auto& engine = *aMessage.engine;
  if (engine.capacityMb == 0) {
    mEngines.erase(engine.upstream);
    return;
  }
  for (const auto& [loadable, replica] : engine.replicas) {
    mRecentOrders.erase({ engine.upstream, loadable });
  }
  mEngines[engine.upstream] = aMessage.engine;
}

void
LoadTask::on(LiveHostsChanged&& aMessage)
{
  mLiveHosts = aMessage.allDataCentres;
}

void
LoadTask::on(ReplicaLoaded&& aMessage)
{
  mKeepAlive.recordLoad(aMessage.loadable, mContext.loop.now());
  if (aMessage.ordered) {
    mUsage.addColdLoad(
      aMessage.loadable, aMessage.upstream, aMessage.duration, mWallTime());
    mContext.metrics.observe("savoryrill_controller_load_seconds",
                             toSeconds(aMessage.duration));
  }
}

const MergedDemand&
LoadTask::demandFor(const config::Loadable& aLoadable) const
{
  static const MergedDemand sNone;
  const auto found = mFleet.demand().find(aLoadable);
  return found == mFleet.demand().end() ? sNone : found->second;
}

void
LoadTask::tick()
{
  if (!mConfiguration) {
    return;
  }
  const Instant now = mContext.loop.now();
  std::erase_if(mRecentOrders, [&](const auto& aOrdered) {
    return now - aOrdered.second > kMaxReportDelay;
  });
  for (const auto& [loadable, demand] : mFleet.demand()) {
    if (demand.busy()) {
      mKeepAlive.recordUse(loadable, now);
    }
  }
  observeWeightStore(now);
  startLoads(now);
  orderAdapters();
  unloadIdle(now);
  if (now - mUsageRecordedAt >= kUsagePeriod) {
    recordUsage(now);
  }
}

void
LoadTask::observeWeightStore(Instant aNow)
{
  const bool isolated =
    mConfiguration->dataCentres.size() > 1 && !mFleet.seesOtherDataCentre();
  std::set<placement::WeightStoreLoad> loads;
  // Gossip entries show the loads at engines of other controllers, engine reports those
  // at own engines.
  for (const auto& [name, status] : mFleet.upstreams()) {
    const auto properties = mConfiguration->upstreams.find(name);
    const bool visible =
      properties != mConfiguration->upstreams.end() &&
      (!isolated || properties->second.dataCentre == mContext.settings.dataCentre);
    if (!visible || mEngines.contains(name)) {
      continue;
    }
    for (const auto& [loadable, state] : status.replicas) {
      if (state == ReplicaState::Loading && !status.checkpoints.contains(loadable)) {
        loads.insert({ name, loadable });
      }
    }
  }
  for (const auto& [name, engine] : mEngines) {
    for (const auto& [loadable, replica] : engine->replicas) {
      if (replica.state == ReplicaState::Loading && replica.fromWeightStore) {
        loads.insert({ name, loadable });
      }
    }
  }
  for (const auto& [load, since] : mRecentOrders) {
    loads.insert(load);
  }
  mContext.metrics.set("savoryrill_controller_store_loads_in_flight",
                       static_cast<double>(loads.size()));
  mWeightStoreLimiter.observe(std::move(loads), isolated, mLiveHosts.size(), aNow);
}

std::vector<ReplicaCandidate>
LoadTask::replicaCandidates(const config::Loadable& aLoadable) const
{
  std::vector<ReplicaCandidate> result;
  const auto row = mView.assignments.find(aLoadable);
  if (row == mView.assignments.end()) {
    return result;
  }
  for (const auto& place : row->second.value.places) {
    const auto properties = mConfiguration->upstreams.find(place.upstream);
    if (properties == mConfiguration->upstreams.end()) {
      continue;
    }
    ReplicaCandidate candidate;
    candidate.upstream = place.upstream;
    candidate.dataCentre = properties->second.dataCentre;
    const bool active = place.state == placement::PlaceState::Active;
    const auto status = mFleet.upstreams().find(place.upstream);
    const bool leaving = status != mFleet.upstreams().end() && status->second.leaving;
    if (const auto engine = mEngines.find(place.upstream); engine != mEngines.end()) {
      const auto replica = engine->second->replicas.find(aLoadable);
      const bool present = replica != engine->second->replicas.end();
      candidate.started = present && isStarted(replica->second.state);
      candidate.ready = present && replica->second.state == ReplicaState::Loaded;
      candidate.available =
        active && !present && !leaving && engine->second->ready &&
        placement::AssignmentPlanner::mayLoad(mView, aLoadable, place.upstream);
      candidate.freeMb = engine->second->freeMb;
      candidate.localityRank = localityRankOf(engine->second->checkpoints, aLoadable);
    } else if (status != mFleet.upstreams().end()) {
      const auto replica = status->second.replicas.find(aLoadable);
      const bool present = replica != status->second.replicas.end();
      candidate.started =
        present && isStarted(replica->second) && status->second.reachable;
      candidate.ready = candidate.started && replica->second == ReplicaState::Loaded;
      candidate.available = active && !present && !leaving && status->second.reachable;
      candidate.freeMb = status->second.freeMb;
      candidate.localityRank = localityRankOf(status->second.checkpoints, aLoadable);
    }
    result.push_back(std::move(candidate));
  }
  return result;
}

void
LoadTask::addCandidates(const config::Loadable& aLoadable,
                        const MergedDemand& aDemand,
                        Instant aNow,
                        std::vector<LoadCandidate>& aResult)
{
  const auto* deployment = placement::deploymentOf(*mConfiguration, aLoadable);
  if (deployment == nullptr) {
    return;
  }
  const auto replicas = replicaCandidates(aLoadable);
  const auto wanted = placement::LoadScheduler::selectUpstreams(
    replicas, aDemand, *deployment, mContext.settings.dataCentre, aNow);
  for (const auto& replica : replicas) {
    const auto engine = mEngines.find(replica.upstream);
    const placement::WeightStoreLoad key{ replica.upstream, aLoadable };
    if (!wanted.contains(replica.upstream) || engine == mEngines.end() ||
        mRecentOrders.contains(key)) {
      continue;
    }
    LoadCandidate candidate;
    candidate.loadable = aLoadable;
    candidate.upstream = replica.upstream;
    candidate.footprintMb = deployment->footprintMb;
    candidate.fromWeightStore = replica.localityRank == 2;
    candidate.expectedDuration = expectedLoadTime(
      *deployment, replica.localityRank, engine->second->weightStoreSlowdown);
    candidate.deadline = aDemand.earliestDeadline;
    candidate.priority = aDemand.priority;
    candidate.waiting = aDemand.waiting;
    candidate.wantedSince = mWantedSince.try_emplace(key, aNow).first->second;
    aResult.push_back(std::move(candidate));
  }
}

std::vector<LoadCandidate>
LoadTask::loadCandidates(Instant aNow)
{
  std::vector<LoadCandidate> result;
  for (const auto& [loadable, demand] : mFleet.demand()) {
    if (demand.waiting > 0) {
      addCandidates(loadable, demand, aNow, result);
    }
  }
  const Duration time_of_day = mWallTime() % kDay;
  for (const auto& [name, deployment] : mConfiguration->deployments) {
    if (deployment.versions.empty() || deployment.prewarm.empty() ||
        !placement::KeepAliveTracker::prewarmDue(deployment, time_of_day)) {
      continue;
    }
    const config::Loadable loadable{ name, deployment.versions.back() };
    if (demandFor(loadable).waiting == 0) {
      // Pre-warming counts as one waiting request.
      MergedDemand prewarm_demand;
      prewarm_demand.waiting = 1;
      prewarm_demand.waitingSince = aNow;
      addCandidates(loadable, prewarm_demand, aNow, result);
    }
  }
  std::erase_if(mWantedSince, [&](const auto& aWanted) {
    return std::none_of(result.begin(), result.end(), [&](const auto& aCandidate) {
      return aCandidate.upstream == aWanted.first.first &&
             aCandidate.loadable == aWanted.first.second;
    });
  });
  return mLoadScheduler.sorted(std::move(result), aNow);
}

void
LoadTask::startLoads(Instant aNow)
{
  mQueuedLoads = 0;
  std::map<std::string, std::uint32_t> reserved_mb;
  for (const auto& [load, since] : mRecentOrders) {
    if (const auto* deployment = placement::deploymentOf(*mConfiguration, load.second)) {
      reserved_mb[load.first] += deployment->footprintMb;
    }
  }
  for (const auto& candidate : loadCandidates(aNow)) {
    if (candidate.fromWeightStore && !mWeightStoreLimiter.mayStart(aNow)) {
      ++mQueuedLoads;
      continue;
    }
    const auto& engine = *mEngines.at(candidate.upstream);
    std::uint32_t& reserved = reserved_mb[candidate.upstream];
    if (engine.freeMb < reserved + candidate.footprintMb) {
      ++mQueuedLoads;
      // Evicts for one load at a time at each engine, because reports show the freed
      // memory only later.
      if (reserved == 0) {
        evictFor(engine, candidate, aNow);
      }
      reserved += candidate.footprintMb;
      continue;
    }
    reserved += candidate.footprintMb;
    const placement::WeightStoreLoad key{ candidate.upstream, candidate.loadable };
    mRecentOrders[key] = aNow;
    if (candidate.fromWeightStore) {
      mWeightStoreLimiter.started(key, aNow);
    }
    mContext.outbox.engine(OrderLoad{ candidate.upstream,
                                      candidate.loadable,
                                      candidate.fromWeightStore,
                                      candidate.expectedDuration });
  }
  mContext.metrics.set("savoryrill_controller_loads_queued",
                       static_cast<double>(mQueuedLoads));
}

bool
LoadTask::evictFor(const EngineReport& aEngine,
                   const LoadCandidate& aCandidate,
                   Instant aNow)
{
  std::vector<placement::EvictionCandidate> replicas;
  std::uint64_t unloading_mb = 0;
  for (const auto& [loadable, replica] : aEngine.replicas) {
    if (replica.state == ReplicaState::Unloading) {
      unloading_mb += replica.footprintMb;
    }
    const auto* deployment = placement::deploymentOf(*mConfiguration, loadable);
    if (replica.state != ReplicaState::Loaded || deployment == nullptr) {
      continue;
    }
    const auto& demand = demandFor(loadable);
    replicas.push_back(
      { loadable,
        replica.footprintMb,
        demand.busy(),
        std::max(demand.priority, static_cast<std::uint32_t>(deployment->priority)),
        mKeepAlive.retentionValue(loadable, *deployment, aNow) });
  }
  const auto chosen = placement::LoadScheduler::selectEvictions(
    std::move(replicas),
    static_cast<std::uint32_t>(aEngine.freeMb + unloading_mb),
    aCandidate.footprintMb,
    aCandidate.priority);
  if (!chosen) {
    return false;
  }
  for (const auto& loadable : *chosen) {
    mContext.outbox.engine(OrderUnload{ aEngine.upstream, loadable, "eviction" });
  }
  return true;
}

void
LoadTask::orderAdapters()
{
  std::size_t in_flight = 0;
  for (const auto& [name, engine] : mEngines) {
    in_flight += engine->adapterLoads;
  }
  const std::size_t max_loads = mWeightStoreLimiter.maxAdapterLoads();
  std::size_t free_loads = max_loads > in_flight ? max_loads - in_flight : 0;
  for (const auto& [name, engine] : mEngines) {
    if (!engine->ready) {
      continue;
    }
    for (const auto& [loadable, replica] : engine->replicas) {
      if (replica.state == ReplicaState::Loaded) {
        orderAdaptersOf(*engine, loadable, free_loads);
      }
    }
  }
}

void
LoadTask::orderAdaptersOf(const EngineReport& aEngine,
                          const config::Loadable& aLoadable,
                          std::size_t& aFreeLoads)
{
  const auto* deployment = placement::deploymentOf(*mConfiguration, aLoadable);
  if (deployment == nullptr) {
    return;
  }
  std::uint32_t free = aEngine.freeAdapterMb;
  for (const auto& [adapter, count] : demandFor(aLoadable).adapters) {
    const config::ModelReference reference{ aLoadable, adapter };
    const auto properties = deployment->adapters.find(adapter);
    if (properties == deployment->adapters.end() ||
        aEngine.adapters.contains(reference) || aFreeLoads == 0) {
      continue;
    }
    if (properties->second.sizeMb <= free) {
      free -= properties->second.sizeMb;
      --aFreeLoads;
      mContext.outbox.engine(OrderAdapter{ aEngine.upstream, reference, true });
      continue;
    }
    // Unloads one adapter without demand to make room; a later report shows the freed
    // memory.
    for (const auto& held : aEngine.adapters) {
      if (!demandFor(held.loadable).adapters.contains(held.adapter)) {
        mContext.outbox.engine(OrderAdapter{ aEngine.upstream, held, false });
        break;
      }
    }
  }
}

void
LoadTask::unloadIdle(Instant aNow)
{
  const Duration time_of_day = mWallTime() % kDay;
  for (const auto& [name, engine] : mEngines) {
    for (const auto& [loadable, replica] : engine->replicas) {
      const auto* deployment = placement::deploymentOf(*mConfiguration, loadable);
      if (replica.state == ReplicaState::Loaded && deployment != nullptr &&
          !demandFor(loadable).busy() &&
          mKeepAlive.expired(loadable, *deployment, aNow, time_of_day)) {
        mContext.outbox.engine(OrderUnload{ name, loadable, "keep-alive" });
      }
    }
  }
}

void
LoadTask::recordUsage(Instant aNow)
{
  const Duration time = aNow - mUsageRecordedAt;
  mUsageRecordedAt = aNow;
  for (const auto& [name, engine] : mEngines) {
    for (const auto& [loadable, replica] : engine->replicas) {
      if (replica.state == ReplicaState::Loaded) {
        mUsage.addReplicaTime(loadable, time, !demandFor(loadable).busy(), mWallTime());
      }
    }
  }
}

} // namespace savoryrill::controller
