#include "bench/fleetmodel.h"

#include <algorithm>
#include <tuple>

#include "placement/rendezvous.h"
#include "placement/types/fleet.h"

namespace savoryrill::bench {

namespace {

constexpr Duration kBurstDelay = 2ms;
constexpr Duration kTick = 50ms;
// Delay until loads of other data centres are in view.
constexpr Duration kViewLag = 5ms;
// Requests of the regular hour come within this time.
constexpr Duration kRegularTime = 900s;
constexpr Duration kDay = std::chrono::hours(24);

} // namespace

FleetModel::FleetModel(config::Configuration aConfiguration, FleetOptions aOptions)
  : mConfiguration(std::move(aConfiguration))
  , mOptions(aOptions)
  , mStore(mEvents, mConfiguration.weightStore, aOptions.storeSlowdown)
  , mLoadScheduler(aOptions.order)
{
  const std::size_t count = mConfiguration.dataCentres.size();
  for (std::size_t i = 0; i < count; ++i) {
    mStoreLimiters.emplace_back(count);
    mStoreLimiters.back().setLimits(mConfiguration.weightStore, count);
  }
  for (const auto& name : placement::enginesOf(mConfiguration, "")) {
    const auto& properties = mConfiguration.upstreams.at(name);
    const auto found = std::find(mConfiguration.dataCentres.begin(),
                                 mConfiguration.dataCentres.end(),
                                 properties.dataCentre);
    auto& engine = mEngines[name];
    engine.dataCentre =
      static_cast<std::size_t>(found - mConfiguration.dataCentres.begin());
    engine.memoryMb = placement::modelMemoryMb(properties);
  }
  for (const auto& loadable : loadablesOf(mConfiguration)) {
    mModels[loadable].deployment = &mConfiguration.deployments.at(loadable.deployment);
  }
  assignPlaces();
}

// Spreads the assigned places over engines and data centres, ahead of demand.
void
FleetModel::assignPlaces()
{
  std::map<std::string, std::uint64_t> assigned_mb;
  for (auto& [loadable, model] : mModels) {
    std::set<std::size_t> data_centres;
    while (model.places.size() < model.deployment->maxReplicas) {
      std::string best;
      auto best_key = std::tuple(true, std::uint64_t{ 0 }, std::uint64_t{ 0 });
      for (const auto& [name, engine] : mEngines) {
        const bool taken =
          std::find(model.places.begin(), model.places.end(), name) != model.places.end();
        if (taken || engine.memoryMb < model.deployment->footprintMb) {
          continue;
        }
        const auto key =
          std::tuple(data_centres.contains(engine.dataCentre),
                     assigned_mb[name],
                     placement::rendezvousWeight(name, config::toString(loadable)));
        if (best.empty() || key < best_key) {
          best = name;
          best_key = key;
        }
      }
      if (best.empty()) {
        break;
      }
      model.places.push_back(best);
      data_centres.insert(mEngines.at(best).dataCentre);
      assigned_mb[best] += model.deployment->footprintMb;
    }
  }
}

FleetResult
FleetModel::run(const std::vector<Arrival>& aTrace, Duration aRest)
{
  for (const auto& arrival : aTrace) {
    mEvents.at(arrival.at, [this, &arrival] { arrive(arrival); });
  }
  mEvents.at(Instant(), [this] { minute(); });
  const Instant end = (aTrace.empty() ? Instant() : aTrace.back().at) + aRest;
  mEvents.runUntil(end);
  for (auto& [loadable, model] : mModels) {
    account(model);
    // Requests that still wait count with their time so far.
    for (const auto& waiting : model.waiting) {
      mResult.coldStart.add(toSeconds(end - waiting.arrival));
      mResult.wait.add(toSeconds(end - waiting.arrival));
      mResult.late += end - waiting.arrival > model.deployment->deadline ? 1 : 0;
    }
  }
  return mResult;
}

Duration
FleetModel::timeOfDay() const
{
  return mEvents.now().time_since_epoch() % kDay;
}

bool
FleetModel::atDawn(const Model& aModel, Instant aAt) const
{
  const Duration dawn = std::chrono::minutes(mOptions.dawnMinute);
  const Duration since = aAt.time_since_epoch() % kDay - dawn;
  return aModel.deployment->priority == config::Priority::High &&
         since >= Duration::zero() && since < kRegularTime;
}

bool
FleetModel::inReach(std::size_t aFrom, std::size_t aTo) const
{
  return !mOptions.firstDataCentreCutOff || aFrom == aTo || (aFrom != 0 && aTo != 0);
}

void
FleetModel::arrive(const Arrival& aArrival)
{
  auto& model = mModels.at(aArrival.loadable);
  ++mResult.requests;
  const bool reachable =
    std::any_of(model.places.begin(), model.places.end(), [&](const auto& aPlace) {
      return inReach(aArrival.dataCentre, mEngines.at(aPlace).dataCentre);
    });
  if (!reachable) {
    ++mResult.unreachable;
    return;
  }
  account(model);
  model.waiting.push_back({ mEvents.now(), aArrival.dataCentre, aArrival.service });
  mBusy.insert(aArrival.loadable);
  mKeepAlive.recordUse(aArrival.loadable, mEvents.now());
  serve(aArrival.loadable, model);
  tickSoon(kBurstDelay);
}

void
FleetModel::serve(const config::Loadable& aLoadable, Model& aModel)
{
  std::set<std::size_t> loaded_in;
  for (const auto& place : aModel.places) {
    const auto& engine = mEngines.at(place);
    const auto replica = engine.replicas.find(aLoadable);
    if (replica != engine.replicas.end() && replica->second.state == State::Loaded) {
      loaded_in.insert(engine.dataCentre);
    }
  }
  std::erase_if(aModel.waiting, [&](const Waiting& aWaiting) {
    const bool served =
      std::any_of(loaded_in.begin(), loaded_in.end(), [&](std::size_t aDataCentre) {
        return inReach(aWaiting.dataCentre, aDataCentre);
      });
    if (served) {
      const Duration waited = mEvents.now() - aWaiting.arrival;
      mResult.wait.add(toSeconds(waited));
      const bool dawn = atDawn(aModel, aWaiting.arrival);
      mResult.dawnRequests += dawn ? 1 : 0;
      mResult.dawnCold += dawn && waited > Duration::zero() ? 1 : 0;
      if (waited > Duration::zero()) {
        mResult.coldStart.add(toSeconds(waited));
        mResult.late += waited > aModel.deployment->deadline ? 1 : 0;
      }
      ++aModel.running;
      mEvents.after(aWaiting.service, [this, aLoadable] { finish(aLoadable); });
    }
    return served;
  });
}

void
FleetModel::finish(const config::Loadable& aLoadable)
{
  auto& model = mModels.at(aLoadable);
  account(model);
  --model.running;
  mKeepAlive.recordUse(aLoadable, mEvents.now());
  if (!model.busy()) {
    mBusy.erase(aLoadable);
    scheduleIdleCheck(aLoadable, mKeepAlive.keepAliveTime(aLoadable, *model.deployment));
  }
}

void
FleetModel::account(Model& aModel)
{
  if (!aModel.busy()) {
    mResult.idleHours +=
      aModel.loaded * toSeconds(mEvents.now() - aModel.accounted) / 3600.0;
  }
  aModel.accounted = mEvents.now();
}

void
FleetModel::tickSoon(Duration aDelay)
{
  const Instant at = mEvents.now() + aDelay;
  if (mNextTick && *mNextTick <= at) {
    return;
  }
  mNextTick = at;
  mEvents.at(at, [this, at] {
    if (mNextTick == at) {
      mNextTick.reset();
      tick();
    }
  });
}

void
FleetModel::tick()
{
  for (const auto& loadable : mBusy) {
    mKeepAlive.recordUse(loadable, mEvents.now());
  }
  for (std::size_t i = 0; i < mStoreLimiters.size(); ++i) {
    tickDataCentre(i);
  }
  if (!mBusy.empty() || !mPrewarm.empty()) {
    const bool waiting =
      std::any_of(mBusy.begin(), mBusy.end(), [&](const auto& aLoadable) {
        return !mModels.at(aLoadable).waiting.empty();
      });
    tickSoon(waiting ? kTick : 1s);
  }
}

void
FleetModel::observeStore(std::size_t aDataCentre)
{
  std::set<placement::WeightStoreLoad> loads;
  for (const auto& [load, since] : mInFlight) {
    const std::size_t origin = mEngines.at(load.first).dataCentre;
    const bool own = origin == aDataCentre;
    const bool seen = mOptions.share == ShareMode::Published &&
                      inReach(aDataCentre, origin) && mEvents.now() - since >= kViewLag;
    if (own || seen) {
      loads.insert(load);
    }
  }
  // A fixed share is what a cut-off data centre uses. Only a data centre that sees no
  // other one counts as cut off.
  const bool cut_off = mOptions.share == ShareMode::Fixed ||
                       (mOptions.firstDataCentreCutOff && aDataCentre == 0);
  mStoreLimiters[aDataCentre].observe(
    std::move(loads), cut_off, mStoreLimiters.size(), mEvents.now());
}

placement::MergedDemand
FleetModel::demandAt(std::size_t aDataCentre,
                     const config::Loadable& aLoadable,
                     const Model& aModel) const
{
  placement::MergedDemand demand;
  demand.inFlight = aModel.running;
  demand.priority = static_cast<std::uint32_t>(aModel.deployment->priority);
  for (const auto& waiting : aModel.waiting) {
    if (!inReach(aDataCentre, waiting.dataCentre)) {
      continue;
    }
    // A caller repeats a request whose deadline has passed, with a new deadline.
    const auto tries = (mEvents.now() - waiting.arrival) / aModel.deployment->deadline;
    const Instant deadline = waiting.arrival + aModel.deployment->deadline * (tries + 1);
    demand.earliestDeadline =
      demand.earliestDeadline ? std::min(*demand.earliestDeadline, deadline) : deadline;
    demand.waitingSince = demand.waiting == 0
                            ? waiting.arrival
                            : std::min(demand.waitingSince, waiting.arrival);
    ++demand.waiting;
    demand.waitingLocally += waiting.dataCentre == aDataCentre ? 1 : 0;
  }
  if (demand.waiting == 0 && mPrewarm.contains(aLoadable)) {
    demand.waiting = 1;
    demand.priority = 0;
    demand.waitingSince = mEvents.now();
  }
  return demand;
}

void
FleetModel::addCandidates(std::size_t aDataCentre,
                          const config::Loadable& aLoadable,
                          const placement::MergedDemand& aDemand,
                          std::vector<placement::LoadCandidate>& aResult)
{
  const auto& model = mModels.at(aLoadable);
  std::vector<placement::ReplicaCandidate> choices;
  for (const auto& place : model.places) {
    const auto& engine = mEngines.at(place);
    if (!inReach(aDataCentre, engine.dataCentre)) {
      continue;
    }
    const auto replica = engine.replicas.find(aLoadable);
    const bool present = replica != engine.replicas.end();
    placement::ReplicaCandidate choice;
    choice.upstream = place;
    choice.dataCentre = mConfiguration.dataCentres[engine.dataCentre];
    choice.started = present;
    choice.ready = present && replica->second.state == State::Loaded;
    choice.available = !present;
    choice.freeMb = freeMb(engine);
    choices.push_back(std::move(choice));
  }
  const auto& data_centre = mConfiguration.dataCentres[aDataCentre];
  const auto wanted = placement::LoadScheduler::selectUpstreams(
    choices, aDemand, *model.deployment, data_centre, mEvents.now());
  for (const auto& upstream : wanted) {
    if (mEngines.at(upstream).dataCentre != aDataCentre) {
      continue;
    }
    placement::LoadCandidate candidate;
    candidate.loadable = aLoadable;
    candidate.upstream = upstream;
    candidate.footprintMb = model.deployment->footprintMb;
    candidate.expectedDuration = Duration(static_cast<std::int64_t>(
      static_cast<double>(model.deployment->loadTime.count()) * mOptions.storeSlowdown));
    candidate.deadline = aDemand.earliestDeadline;
    candidate.priority = aDemand.priority;
    candidate.waiting = aDemand.waiting;
    candidate.wantedSince =
      mWantedSince.try_emplace({ upstream, aLoadable }, mEvents.now()).first->second;
    aResult.push_back(std::move(candidate));
  }
}

void
FleetModel::tickDataCentre(std::size_t aDataCentre)
{
  observeStore(aDataCentre);
  std::vector<placement::LoadCandidate> candidates;
  auto considered = mBusy;
  considered.insert(mPrewarm.begin(), mPrewarm.end());
  for (const auto& loadable : considered) {
    const auto demand = demandAt(aDataCentre, loadable, mModels.at(loadable));
    if (demand.waiting > 0) {
      addCandidates(aDataCentre, loadable, demand, candidates);
    }
  }
  std::erase_if(mWantedSince, [&](const auto& aWanted) {
    const placement::WeightStoreLoad& load = aWanted.first;
    return mEngines.at(load.first).dataCentre == aDataCentre &&
           std::none_of(
             candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
               return aCandidate.upstream == load.first &&
                      aCandidate.loadable == load.second;
             });
  });
  for (const auto& candidate :
       mLoadScheduler.sorted(std::move(candidates), mEvents.now())) {
    start(aDataCentre, candidate);
  }
}

std::uint32_t
FleetModel::freeMb(const Engine& aEngine) const
{
  std::uint32_t free = aEngine.memoryMb;
  for (const auto& [loadable, replica] : aEngine.replicas) {
    free -= mModels.at(loadable).deployment->footprintMb;
  }
  return free;
}

bool
FleetModel::start(std::size_t aDataCentre, const placement::LoadCandidate& aCandidate)
{
  auto& share = mStoreLimiters[aDataCentre];
  if (mOptions.share != ShareMode::Unlimited && !share.mayStart(mEvents.now())) {
    return false;
  }
  auto& engine = mEngines.at(aCandidate.upstream);
  if (freeMb(engine) < aCandidate.footprintMb && !makeRoom(engine, aCandidate)) {
    return false;
  }
  const placement::WeightStoreLoad load{ aCandidate.upstream, aCandidate.loadable };
  engine.replicas[aCandidate.loadable] = { State::Loading, mEvents.now() };
  mInFlight[load] = mEvents.now();
  share.started(load, mEvents.now());
  ++mResult.loads;
  mStore.fetch(FetchClass::Checkpoint,
               mModels.at(aCandidate.loadable).deployment->loadTime,
               [this, load] { loaded(load.first, load.second); });
  return true;
}

bool
FleetModel::makeRoom(Engine& aEngine, const placement::LoadCandidate& aCandidate)
{
  std::vector<placement::EvictionCandidate> replicas;
  for (const auto& [loadable, replica] : aEngine.replicas) {
    const auto& model = mModels.at(loadable);
    // Running requests are not cut off.
    if (replica.state != State::Loaded || model.busy()) {
      continue;
    }
    replicas.push_back(
      { loadable,
        model.deployment->footprintMb,
        false,
        static_cast<std::uint32_t>(model.deployment->priority),
        mKeepAlive.retentionValue(loadable, *model.deployment, mEvents.now()) });
  }
  const auto chosen = placement::LoadScheduler::selectEvictions(
    std::move(replicas), freeMb(aEngine), aCandidate.footprintMb, aCandidate.priority);
  if (!chosen) {
    return false;
  }
  for (const auto& loadable : *chosen) {
    unload(aEngine, loadable);
  }
  return true;
}

void
FleetModel::loaded(const std::string& aUpstream, const config::Loadable& aLoadable)
{
  mInFlight.erase({ aUpstream, aLoadable });
  auto& model = mModels.at(aLoadable);
  account(model);
  mEngines.at(aUpstream).replicas[aLoadable] = { State::Loaded, mEvents.now() };
  ++model.loaded;
  mKeepAlive.recordLoad(aLoadable, mEvents.now());
  serve(aLoadable, model);
  if (!model.busy()) {
    scheduleIdleCheck(aLoadable, 1s);
  }
  tickSoon(kBurstDelay);
}

void
FleetModel::unload(Engine& aEngine, const config::Loadable& aLoadable)
{
  auto& model = mModels.at(aLoadable);
  account(model);
  --model.loaded;
  aEngine.replicas.erase(aLoadable);
}

void
FleetModel::scheduleIdleCheck(const config::Loadable& aLoadable, Duration aDelay)
{
  auto& model = mModels.at(aLoadable);
  model.keepCheck = mEvents.now() + aDelay;
  const Instant at = model.keepCheck;
  mEvents.at(at, [this, aLoadable, at] {
    if (mModels.at(aLoadable).keepCheck == at) {
      checkIdle(aLoadable);
    }
  });
}

void
FleetModel::checkIdle(const config::Loadable& aLoadable)
{
  auto& model = mModels.at(aLoadable);
  if (model.busy() || model.loaded == 0) {
    return;
  }
  if (!mKeepAlive.expired(aLoadable, *model.deployment, mEvents.now(), timeOfDay())) {
    scheduleIdleCheck(aLoadable, 15s);
    return;
  }
  for (auto& [name, engine] : mEngines) {
    const auto replica = engine.replicas.find(aLoadable);
    if (replica != engine.replicas.end() && replica->second.state == State::Loaded) {
      unload(engine, aLoadable);
    }
  }
}

// Notes the models that are due to be loaded ahead of regular hours.
void
FleetModel::minute()
{
  mPrewarm.clear();
  for (const auto& [loadable, model] : mModels) {
    if (!model.deployment->prewarm.empty() &&
        placement::KeepAliveTracker::prewarmDue(*model.deployment, timeOfDay())) {
      mPrewarm.insert(loadable);
    }
  }
  if (!mPrewarm.empty()) {
    tickSoon(kBurstDelay);
  }
  mEvents.after(60s, [this] { minute(); });
}

} // namespace savoryrill::bench
