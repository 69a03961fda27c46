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
constexpr Duration kBurstDelay = 2ms;
constexpr Duration kUsagePeriod = 1s;
constexpr Duration kDay = std::chrono::hours(24);
// An order that no engine report shows after this time is decided again.
constexpr Duration kOrderVisible = 1s;
// Expected load time from memory and disk as parts of the one from the remote store,
// until the engines are measured.
constexpr int kMemoryDivisor = 10;
constexpr int kDiskDivisor = 3;

int
rankOf(const std::map<config::Loadable, CheckpointLocality>& aCheckpoints,
       const config::Loadable& aLoadable)
{
  const auto found = aCheckpoints.find(aLoadable);
  if (found == aCheckpoints.end()) {
    return 2;
  }
  return found->second == CheckpointLocality::Memory ? 0 : 1;
}

Duration
expectedLoad(const config::Deployment& aDeployment, int aRank, double aSlowdown)
{
  switch (aRank) {
    case 0:
      return aDeployment.loadTime / kMemoryDivisor;
    case 1:
      return aDeployment.loadTime / kDiskDivisor;
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
                   placement::LoadPolicy aOrder,
                   std::function<Duration()> aWallTime)
  : mContext(aContext)
  , mWallTime(std::move(aWallTime))
  , mFleet(aContext.settings.dataCentre)
  , mLoadScheduler(aOrder)
  , mStoreLimiter(1)
{
}

void
LoadTask::start()
{
  mLastUsage = mContext.loop.now();
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
  mStoreLimiter.setLimits(mConfiguration->weightStore,
                          mConfiguration->dataCentres.size());
}

void
LoadTask::on(EntryChanged&& aMessage)
{
  mFleet.apply(aMessage.entry, mContext.loop.now());
  // A burst is answered before the next tick; entries that arrive together share the
  // work.
  if (aMessage.entry.kind() == peer::ENTRY_KIND_DEMAND) {
    if (!mSoon) {
      mSoon = mContext.loop.after(kBurstDelay, [this] {
        mSoon.reset();
        tick();
      });
    }
  }
}

void
LoadTask::on(AssignmentsKnown&& aMessage)
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
    mJustOrdered.erase({ engine.upstream, loadable });
  }
  mEngines[engine.upstream] = aMessage.engine;
}

void
LoadTask::on(HostsLive&& aMessage)
{
  mLiveHosts = aMessage.everywhere;
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
  std::erase_if(mJustOrdered, [&](const auto& aOrdered) {
    return now - aOrdered.second > kOrderVisible;
  });
  for (const auto& [loadable, demand] : mFleet.demand()) {
    if (demand.busy()) {
      mKeepAlive.recordUse(loadable, now);
    }
  }
  observeStore(now);
  startLoads(now);
  orderAdapters();
  unloadIdle(now);
  if (now - mLastUsage >= kUsagePeriod) {
    recordUsage(now);
  }
}

void
LoadTask::observeStore(Instant aNow)
{
  const bool cut_off =
    mConfiguration->dataCentres.size() > 1 && !mFleet.seesOtherDataCentre();
  std::set<placement::WeightStoreLoad> loads;
  for (const auto& [name, facts] : mFleet.upstreams()) {
    const auto properties = mConfiguration->upstreams.find(name);
    const bool visible =
      properties != mConfiguration->upstreams.end() &&
      (!cut_off || properties->second.dataCentre == mContext.settings.dataCentre);
    if (!visible || mEngines.contains(name)) {
      continue;
    }
    for (const auto& [loadable, state] : facts.replicas) {
      if (state == ReplicaState::Loading && !facts.checkpoints.contains(loadable)) {
        loads.insert({ name, loadable });
      }
    }
  }
  for (const auto& [name, engine] : mEngines) {
    for (const auto& [loadable, replica] : engine->replicas) {
      if (replica.state == ReplicaState::Loading && replica.fromStore) {
        loads.insert({ name, loadable });
      }
    }
  }
  for (const auto& [load, since] : mJustOrdered) {
    loads.insert(load);
  }
  mContext.metrics.set("savoryrill_controller_store_loads_in_flight",
                       static_cast<double>(loads.size()));
  mStoreLimiter.observe(std::move(loads), cut_off, mLiveHosts.size(), aNow);
}

std::vector<ReplicaCandidate>
LoadTask::choices(const config::Loadable& aLoadable) const
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
    ReplicaCandidate choice;
    choice.upstream = place.upstream;
    choice.dataCentre = properties->second.dataCentre;
    const bool active = place.state == placement::PlaceState::Active;
    const auto facts = mFleet.upstreams().find(place.upstream);
    const bool leaving = facts != mFleet.upstreams().end() && facts->second.leaving;
    if (const auto own = mEngines.find(place.upstream); own != mEngines.end()) {
      const auto replica = own->second->replicas.find(aLoadable);
      const bool present = replica != own->second->replicas.end();
      choice.started = present && isStarted(replica->second.state);
      choice.ready = present && replica->second.state == ReplicaState::Loaded;
      choice.available =
        active && !present && !leaving && own->second->ready &&
        placement::AssignmentPlanner::mayLoad(mView, aLoadable, place.upstream);
      choice.freeMb = own->second->freeMb;
      choice.localityRank = rankOf(own->second->checkpoints, aLoadable);
    } else if (facts != mFleet.upstreams().end()) {
      const auto replica = facts->second.replicas.find(aLoadable);
      const bool present = replica != facts->second.replicas.end();
      choice.started = present && isStarted(replica->second) && facts->second.reachable;
      choice.ready = choice.started && replica->second == ReplicaState::Loaded;
      choice.available = active && !present && !leaving && facts->second.reachable;
      choice.freeMb = facts->second.freeMb;
      choice.localityRank = rankOf(facts->second.checkpoints, aLoadable);
    }
    result.push_back(std::move(choice));
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
  const auto open = choices(aLoadable);
  const auto wanted = placement::LoadScheduler::selectUpstreams(
    open, aDemand, *deployment, mContext.settings.dataCentre, aNow);
  for (const auto& choice : open) {
    const auto own = mEngines.find(choice.upstream);
    const placement::WeightStoreLoad key{ choice.upstream, aLoadable };
    if (!wanted.contains(choice.upstream) || own == mEngines.end() ||
        mJustOrdered.contains(key)) {
      continue;
    }
    LoadCandidate candidate;
    candidate.loadable = aLoadable;
    candidate.upstream = choice.upstream;
    candidate.footprintMb = deployment->footprintMb;
    candidate.fromWeightStore = choice.localityRank == 2;
    candidate.expectedDuration =
      expectedLoad(*deployment, choice.localityRank, own->second->storeSlowdown);
    candidate.deadline = aDemand.earliestDeadline;
    candidate.priority = aDemand.priority;
    candidate.waiting = aDemand.waiting;
    candidate.wantedSince = mWantedSince.try_emplace(key, aNow).first->second;
    aResult.push_back(std::move(candidate));
  }
}

std::vector<LoadCandidate>
LoadTask::candidates(Instant aNow)
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
      MergedDemand expected;
      expected.waiting = 1;
      expected.waitingSince = aNow;
      addCandidates(loadable, expected, aNow, result);
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
  mQueued = 0;
  std::map<std::string, std::uint32_t> taken;
  for (const auto& [load, since] : mJustOrdered) {
    if (const auto* deployment = placement::deploymentOf(*mConfiguration, load.second)) {
      taken[load.first] += deployment->footprintMb;
    }
  }
  for (const auto& candidate : candidates(aNow)) {
    if (candidate.fromWeightStore && !mStoreLimiter.mayStart(aNow)) {
      ++mQueued;
      continue;
    }
    const auto& engine = *mEngines.at(candidate.upstream);
    std::uint32_t& used = taken[candidate.upstream];
    if (engine.freeMb < used + candidate.footprintMb) {
      ++mQueued;
      // Room for one load at a time: the reports lag behind the unloads.
      if (used == 0) {
        makeRoom(engine, candidate, aNow);
      }
      used += candidate.footprintMb;
      continue;
    }
    used += candidate.footprintMb;
    const placement::WeightStoreLoad key{ candidate.upstream, candidate.loadable };
    mJustOrdered[key] = aNow;
    if (candidate.fromWeightStore) {
      mStoreLimiter.started(key, aNow);
    }
    mContext.outbox.engine(LoadWanted{ candidate.upstream,
                                       candidate.loadable,
                                       candidate.fromWeightStore,
                                       candidate.expectedDuration });
  }
  mContext.metrics.set("savoryrill_controller_loads_queued",
                       static_cast<double>(mQueued));
}

bool
LoadTask::makeRoom(const OwnEngine& aEngine,
                   const LoadCandidate& aCandidate,
                   Instant aNow)
{
  std::vector<placement::EvictionCandidate> replicas;
  std::uint64_t leaving_mb = 0;
  for (const auto& [loadable, replica] : aEngine.replicas) {
    if (replica.state == ReplicaState::Unloading) {
      leaving_mb += replica.footprintMb;
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
    static_cast<std::uint32_t>(aEngine.freeMb + leaving_mb),
    aCandidate.footprintMb,
    aCandidate.priority);
  if (!chosen) {
    return false;
  }
  for (const auto& loadable : *chosen) {
    mContext.outbox.engine(UnloadWanted{ aEngine.upstream, loadable, "eviction" });
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
  const std::size_t places = mStoreLimiter.maxAdapterLoads();
  std::size_t free_places = places > in_flight ? places - in_flight : 0;
  for (const auto& [name, engine] : mEngines) {
    if (!engine->ready) {
      continue;
    }
    for (const auto& [loadable, replica] : engine->replicas) {
      if (replica.state == ReplicaState::Loaded) {
        adaptersOf(*engine, loadable, free_places);
      }
    }
  }
}

void
LoadTask::adaptersOf(const OwnEngine& aEngine,
                     const config::Loadable& aLoadable,
                     std::size_t& aFreePlaces)
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
        aEngine.adapters.contains(reference) || aFreePlaces == 0) {
      continue;
    }
    if (properties->second.sizeMb <= free) {
      free -= properties->second.sizeMb;
      --aFreePlaces;
      mContext.outbox.engine(AdapterWanted{ aEngine.upstream, reference, true });
      continue;
    }
    // Makes room with one adapter that nobody uses; the next report shows it.
    for (const auto& held : aEngine.adapters) {
      if (!demandFor(held.loadable).adapters.contains(held.adapter)) {
        mContext.outbox.engine(AdapterWanted{ aEngine.upstream, held, false });
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
        mContext.outbox.engine(UnloadWanted{ name, loadable, "keep-alive" });
      }
    }
  }
}

void
LoadTask::recordUsage(Instant aNow)
{
  const Duration time = aNow - mLastUsage;
  mLastUsage = aNow;
  for (const auto& [name, engine] : mEngines) {
    for (const auto& [loadable, replica] : engine->replicas) {
      if (replica.state == ReplicaState::Loaded) {
        mUsage.addReplicaTime(loadable, time, !demandFor(loadable).busy(), mWallTime());
      }
    }
  }
}

} // namespace savoryrill::controller
