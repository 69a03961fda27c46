#include <algorithm>
#include <functional>

#include "serving/placementplanner.h"
#include "serving/waitingmodels.h"

// Choice of the engines where models are loaded, and of the models unloaded for them.

namespace savoryrill::serving {

namespace {

// Cost, in seconds, of unloading the only ready replica of a model. Higher than that of a
// surplus replica, so that surplus replicas are unloaded first.
constexpr double kLastReplicaCost = 1.0;
// Cost, in seconds, of unloading the second replica of a model in use to make room for a
// model with waiting requests and no replica. Higher than the cost of any idle model.
constexpr double kSecondReplicaCost = 3.0;
// Cost, in seconds, of unloading a surplus replica, for each of the model's requests in
// progress, which the other replicas take over.
constexpr double kSurplusRequestCost = 0.02;
// Minimum time between two attempts to prefetch, which examine all engines.
constexpr Duration kPrefetchPeriod = 500ms;
// Cost, in seconds, of unloading a model that was requested just now; falls to zero with
// the time since.
constexpr double kRecentlyUsedCost = 1.0;
// Cost, in seconds, of loading a model at an engine whose batch, which all its models
// share, is full; lower in proportion if fewer requests are in progress. As high as the
// cost of a second replica in use, so that such a replica at a quiet engine is unloaded
// rather than an idle model at a full one.
constexpr double kFullBatchCost = kSecondReplicaCost;

} // namespace

std::optional<double>
PlacementPlanner::costOfRemoving(const EngineLedger& aEngine,
                                 const std::string& aModel,
                                 bool aForFirstReplica,
                                 Instant aNow) const
{
  const auto& demand = modelDemand(aModel);
  const std::uint32_t replicas = mLocations.readyReplicas(aModel);
  const auto since = aEngine.readySince(aModel);
  if (since && aNow - *since < mOptions.minTimeLoaded &&
      !hasServedSince(aModel, *since)) {
    return std::nullopt;
  }
  const auto last = mLastRequest.find(aModel);
  const Duration idle = aNow - (last == mLastRequest.end() ? mStarted : last->second);
  const bool recent = idle < mOptions.idleAfter;
  if (replicas <= 1) {
    if (demand.waiting > 0 || demand.inFlight > 0) {
      return std::nullopt;
    }
    const double share =
      1.0 - std::min(1.0, toSeconds(idle) / toSeconds(mOptions.idleAfter));
    return kLastReplicaCost + kRecentlyUsedCost * share;
  }
  const bool second_replica = recent && replicas <= mOptions.minReplicasOfRecent;
  if (second_replica && !aForFirstReplica) {
    return std::nullopt;
  }
  const double load_after = static_cast<double>(demand.inFlight + demand.waiting) /
                            static_cast<double>(replicas - 1);
  if (load_after >
      std::min(mOptions.maxRequestsAfterRemoval, mProfile.concurrency / 3.0)) {
    return std::nullopt;
  }
  return (second_replica ? kSecondReplicaCost : 0.0) +
         kSurplusRequestCost * static_cast<double>(demand.inFlight);
}

double
PlacementPlanner::batchShare(const EngineLedger& aEngine) const
{
  const auto load = mEngineLoads.find(aEngine.id());
  return load == mEngineLoads.end()
           ? 0.0
           : static_cast<double>(load->second) / std::max(1U, mProfile.concurrency);
}

std::optional<PlacementPlanner::Candidate>
PlacementPlanner::candidateAt(EngineLedger& aEngine,
                              const std::string& aModel,
                              Instant aNow) const
{
  if (aEngine.leaving() || !aEngine.mayOrderModel(aNow) || aEngine.holds(aModel) ||
      mSwaps.contains(aEngine.id())) {
    return std::nullopt;
  }
  Candidate candidate{ &aEngine, "", aEngine.loadTime(aModel), 0.0, 0.0 };
  const double load_cost = kFullBatchCost * batchShare(aEngine);
  if (aEngine.fits(aModel)) {
    candidate.cost = toSeconds(candidate.readyIn) + load_cost;
    return candidate;
  }
  std::optional<double> lowest_cost;
  const bool first_replica = heldReplicas(aModel) == 0 && modelDemand(aModel).waiting > 0;
  for (const auto& model : aEngine.readyModels()) {
    const auto cost = costOfRemoving(aEngine, model, first_replica, aNow);
    if (cost && (!lowest_cost || *cost < *lowest_cost)) {
      lowest_cost = cost;
      candidate.victim = model;
    }
  }
  if (!lowest_cost) {
    return std::nullopt;
  }
  if (modelDemand(candidate.victim).inFlight > 0) {
    candidate.readyIn += mOptions.busyUnloadTime;
  }
  candidate.victimCost = *lowest_cost;
  candidate.cost = toSeconds(candidate.readyIn) + *lowest_cost + load_cost;
  return candidate;
}

std::optional<PlacementPlanner::Candidate>
PlacementPlanner::bestCandidate(const std::string& aModel, bool aAnySource, Instant aNow)
{
  std::optional<Candidate> best;
  const auto consider = [&](EngineLedger& aEngine) {
    const auto candidate = candidateAt(aEngine, aModel, aNow);
    // Equal costs are decided by engine id, so that the order of the index has no effect.
    if (candidate &&
        (!best || candidate->cost < best->cost ||
         (candidate->cost == best->cost && aEngine.id() < best->engine->id()))) {
      best = candidate;
    }
  };
  if (aAnySource) {
    for (auto& [id, engine] : mEngines) {
      consider(engine);
    }
    return best;
  }
  for (auto* engine : mLocations.enginesWith(aModel)) {
    if (engine->sourceOf(aModel) != CheckpointSource::WeightStore) {
      consider(*engine);
    }
  }
  return best;
}

PlacementObstacle
PlacementPlanner::obstacleAt(const EngineLedger& aEngine, Instant aNow) const
{
  if (!aEngine.mayOrderModel(aNow) || mSwaps.contains(aEngine.id())) {
    return PlacementObstacle::OrderInProgress;
  }
  bool in_use = false;
  for (const auto& model : aEngine.readyModels()) {
    const auto since = aEngine.readySince(model);
    if (since && aNow - *since < mOptions.minTimeLoaded &&
        !hasServedSince(model, *since)) {
      return PlacementObstacle::ReplicaUnused;
    }
    in_use = in_use || mLocations.readyReplicas(model) <= 1;
  }
  return in_use ? PlacementObstacle::ModelsInUse : PlacementObstacle::ReplicasNeeded;
}

void
PlacementPlanner::recordBlocked(const std::string& aModel, Instant aNow)
{
  const auto known = mBlocked.find(aModel);
  if (known != mBlocked.end() && aNow - known->second.reportedAt < kBlockedReportPeriod) {
    return;
  }
  BlockedModel blocked{ aModel, PlacementObstacle::NoCopy, modelDemand(aModel).waiting };
  for (const auto* engine : mLocations.enginesWith(aModel)) {
    if (engine->leaving()) {
      continue;
    }
    blocked.obstacle = std::min(blocked.obstacle, obstacleAt(*engine, aNow));
    ++blocked.engines;
  }
  if (known == mBlocked.end() || known->second.obstacle != blocked.obstacle) {
    mNewlyBlocked.push_back(blocked);
  }
  mBlocked[aModel] = { blocked.obstacle, aNow };
}

void
PlacementPlanner::sendOrder(EngineLedger& aEngine,
                            OrderKind aKind,
                            const ModelKey& aModel,
                            Instant aNow,
                            std::vector<PlacementOrder>& aOrders)
{
  const bool from_weight_store =
    aKind == OrderKind::Load && aModel.adapter.empty() &&
    aEngine.sourceOf(aModel.model) == CheckpointSource::WeightStore;
  if (from_weight_store) {
    mWeightStoreLoadStarts.push_back(aNow);
  }
  if (aKind == OrderKind::Unload && aModel.adapter.empty()) {
    aEngine.expectRunningRequests(modelDemand(aModel.model).inFlight > 0);
  }
  aOrders.push_back(aEngine.makeOrder(aKind, aModel));
  aEngine.orderSent(aOrders.back(), aNow);
  mLocations.update(aEngine);
}

void
PlacementPlanner::loadAt(const Candidate& aCandidate,
                         const std::string& aModel,
                         Instant aNow,
                         std::vector<PlacementOrder>& aOrders)
{
  if (aCandidate.victim.empty()) {
    sendOrder(*aCandidate.engine, OrderKind::Load, { aModel, "" }, aNow, aOrders);
    return;
  }
  mSwaps[aCandidate.engine->id()] = aModel;
  ++mSwapReplicas[aModel];
  mWeightStoreSwaps +=
    aCandidate.engine->sourceOf(aModel) == CheckpointSource::WeightStore ? 1 : 0;
  sendOrder(
    *aCandidate.engine, OrderKind::Unload, { aCandidate.victim, "" }, aNow, aOrders);
}

void
PlacementPlanner::retryUnknownOrders(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  for (auto& [id, engine] : mEngines) {
    if (const auto* order = engine.orderToRetry(aNow)) {
      aOrders.push_back(*order);
      engine.orderSent(aOrders.back(), aNow);
      mLocations.update(engine);
    }
  }
}

void
PlacementPlanner::continueSwaps(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  for (auto swap = mSwaps.begin(); swap != mSwaps.end();) {
    const auto found = mEngines.find(swap->first);
    if (found == mEngines.end() || found->second.leaving() ||
        found->second.holds(swap->second)) {
      swap = mSwaps.erase(swap);
      continue;
    }
    auto& engine = found->second;
    if (engine.mayOrderModel(aNow)) {
      if (!engine.fits(swap->second)) {
        // The unload had no effect; the next plan chooses an engine again.
        swap = mSwaps.erase(swap);
        continue;
      }
      // The swap is kept until the load is accepted, so that a refused load is retried.
      sendOrder(engine, OrderKind::Load, { swap->second, "" }, aNow, aOrders);
      --mSwapReplicas[swap->second];
      mWeightStoreSwaps -=
        engine.sourceOf(swap->second) == CheckpointSource::WeightStore ? 1 : 0;
    }
    ++swap;
  }
}

void
PlacementPlanner::placeAdapters(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  for (const auto& item : mAdapterDemand) {
    const ModelKey& key = item.first;
    if (item.second.waiting == 0) {
      continue;
    }
    const auto& engines = mLocations.enginesWith(key.model);
    const bool held = std::ranges::any_of(engines, [&](const auto* aEngine) {
      return aEngine->ready(key.model) && aEngine->adapterHeld(key);
    });
    if (held) {
      continue;
    }
    // Chooses the replica with the fewest adapters; if none has a free adapter slot, the
    // one whose adapter has been unused longest.
    EngineLedger* target = nullptr;
    std::optional<ModelKey> victim;
    std::pair<std::size_t, Instant> best{ mProfile.adapterSlots + 1UL, Instant::max() };
    for (auto* engine : engines) {
      if (!engine->ready(key.model) || !engine->mayOrder()) {
        continue;
      }
      if (engine->adapterCount() < mProfile.adapterSlots) {
        const std::pair candidate{ engine->adapterCount(), Instant::min() };
        if (candidate < best) {
          best = candidate;
          target = engine;
          victim.reset();
        }
        continue;
      }
      for (const auto& adapter : engine->adapters()) {
        const auto& use = adapterDemand(adapter);
        const auto last = mLastAdapterRequest.find(adapter);
        const Instant used = last == mLastAdapterRequest.end() ? mStarted : last->second;
        const std::pair candidate{ std::size_t{ mProfile.adapterSlots }, used };
        if (use.waiting == 0 && use.inFlight == 0 && candidate < best) {
          best = candidate;
          target = engine;
          victim = adapter;
        }
      }
    }
    if (target == nullptr) {
      continue;
    }
    if (victim) {
      sendOrder(*target, OrderKind::Unload, *victim, aNow, aOrders);
    } else if (const auto profile = mProfile.models.find(key.model);
               profile != mProfile.models.end() &&
               target->memoryUsedMb() + profile->second.adapterMb <= mProfile.memoryMb) {
      sendOrder(*target, OrderKind::Load, key, aNow, aOrders);
    }
  }
}

void
PlacementPlanner::placeWaitingModels(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  std::vector<WaitingModel> waiting_models;
  for (const auto& [model, demand] : mModelDemand) {
    const auto profile = mProfile.models.find(model);
    if (demand.waiting == 0 || heldReplicas(model) > 0 ||
        profile == mProfile.models.end()) {
      continue;
    }
    const bool has_copy = anyEngineHas(model);
    waiting_models.push_back(
      { model,
        demand.waiting,
        has_copy,
        has_copy ? profile->second.diskLoadTime : profile->second.weightStoreLoadTime,
        demand.latestObjective,
        demand.firstLeaves });
  }
  sortByPlacementOrder(waiting_models, aNow);
  for (const auto& item : waiting_models) {
    if (const auto candidate = bestCandidate(item.model, false, aNow)) {
      loadAt(*candidate, item.model, aNow, aOrders);
      mBlocked.erase(item.model);
    } else if (item.hasCopy) {
      recordBlocked(item.model, aNow);
    }
  }
  std::erase_if(mBlocked, [&](const auto& aBlocked) {
    return modelDemand(aBlocked.first).waiting == 0 || heldReplicas(aBlocked.first) > 0;
  });
}

void
PlacementPlanner::addReplicas(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  for (const auto& [model, demand] : mModelDemand) {
    if (!mProfile.models.contains(model)) {
      continue;
    }
    const std::uint32_t replicas = heldReplicas(model);
    const auto load = static_cast<double>(demand.inFlight + demand.waiting);
    if (replicas == 0 || load / replicas <= addReplicaThreshold()) {
      continue;
    }
    if (const auto candidate = bestCandidate(model, false, aNow)) {
      loadAt(*candidate, model, aNow, aOrders);
    }
  }
}

void
PlacementPlanner::placeFromWeightStore(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  // Models that no engine has, and those whose replicas are too few and all in use. Each
  // load keeps the weight store busy for long, so the model with the most waiting
  // requests comes first.
  std::vector<std::pair<std::uint32_t, std::string>> waiting_models;
  for (const auto& [model, demand] : mModelDemand) {
    if (demand.waiting == 0 || !mProfile.models.contains(model)) {
      continue;
    }
    const std::uint32_t replicas = heldReplicas(model);
    const auto load = static_cast<double>(demand.inFlight + demand.waiting);
    if (replicas == 0 ? !anyEngineHas(model) : load / replicas > addReplicaThreshold()) {
      waiting_models.emplace_back(demand.waiting, model);
    }
  }
  std::ranges::sort(waiting_models, std::greater{});
  for (const auto& [waiting, model] : waiting_models) {
    const auto candidate = weightStoreLoadAllowed(aNow) ? bestCandidate(model, true, aNow)
                                                        : std::optional<Candidate>{};
    if (candidate) {
      loadAt(*candidate, model, aNow, aOrders);
    } else if (heldReplicas(model) == 0) {
      recordBlocked(model, aNow);
    }
  }
}

void
PlacementPlanner::restoreFromDisk(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  for (auto& [id, engine] : mEngines) {
    if (!engine.mayOrderModel(aNow) || engine.pending() || mSwaps.contains(id) ||
        engine.memoryUsedMb() + mSmallestModelMb > mProfile.memoryMb) {
      continue;
    }
    std::optional<std::pair<Instant, std::string>> latest;
    for (const auto& model : engine.checkpointCopies()) {
      if (!mProfile.models.contains(model) || !engine.fits(model) ||
          heldReplicas(model) > 0) {
        continue;
      }
      const auto last = mLastRequest.find(model);
      const std::pair candidate{ last == mLastRequest.end() ? Instant{} : last->second,
                                 model };
      if (!latest || candidate > *latest) {
        latest = candidate;
      }
    }
    if (latest) {
      sendOrder(engine, OrderKind::Load, { latest->second, "" }, aNow, aOrders);
    }
  }
}

void
PlacementPlanner::prefetchFromWeightStore(Instant aNow,
                                          std::vector<PlacementOrder>& aOrders)
{
  if (aNow < mNextPrefetch || !weightStoreLoadAllowed(aNow)) {
    return;
  }
  mNextPrefetch = aNow + kPrefetchPeriod;
  const auto missing = std::ranges::find_if(mProfile.models, [&](const auto& aModel) {
    return !anyEngineHas(aModel.first) && heldReplicas(aModel.first) == 0;
  });
  if (missing == mProfile.models.end()) {
    return;
  }
  const auto candidate = bestCandidate(missing->first, true, aNow);
  // Prefetching is not worth unloading the only ready replica of another model.
  if (candidate && candidate->victimCost < kLastReplicaCost) {
    loadAt(*candidate, missing->first, aNow, aOrders);
  }
}

std::vector<PlacementOrder>
PlacementPlanner::plan(Instant aNow)
{
  std::vector<PlacementOrder> orders;
  collectDemand(aNow);
  for (auto& [id, engine] : mEngines) {
    engine.assumeLoaded(aNow);
  }
  updateReplicaCounts();
  trackWeightStoreLoads(aNow);
  retryUnknownOrders(aNow, orders);
  continueSwaps(aNow, orders);
  placeAdapters(aNow, orders);
  placeWaitingModels(aNow, orders);
  addReplicas(aNow, orders);
  placeFromWeightStore(aNow, orders);
  restoreFromDisk(aNow, orders);
  prefetchFromWeightStore(aNow, orders);
  return orders;
}

} // namespace savoryrill::serving
