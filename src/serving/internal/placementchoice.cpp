#include <algorithm>
#include <functional>

#include "serving/placementplanner.h"

// Which engine gives which place to which model, and what makes way for it.

namespace savoryrill::serving {

namespace {

// Cost, as a time, of removing the only ready copy of a model; above that of a surplus
// copy, so that surplus copies go first.
constexpr double kLastCopyCost = 1.0;
// Cost of the second copy of a model in use, for a model that waits without any copy;
// above that of all idle models.
constexpr double kSecondCopyCost = 3.0;
// Cost of a surplus copy for each request in progress that the other copies take over.
constexpr double kSurplusRequestCost = 0.02;
// Pause between two copies for later, whose choice looks at all engines.
constexpr Duration kStoreCopyPause = 500ms;
// One place in this many goes to the earliest deadline.
constexpr std::uint64_t kPlacesPerLateOne = 2;
// Cost, in seconds, of removing a model that was asked for just now; falls to zero with
// the time since.
constexpr double kRecentCost = 1.0;

} // namespace

std::optional<double>
PlacementPlanner::costOfRemoving(const EngineLedger& aEngine,
                                 const std::string& aModel,
                                 bool aForFirstCopy,
                                 Instant aNow) const
{
  const auto& demand = modelDemand(aModel);
  const std::uint32_t copies = mCopies.readyCount(aModel);
  const auto since = aEngine.readySince(aModel);
  if (since && aNow - *since < mOptions.leastStay) {
    return std::nullopt;
  }
  const auto last = mLastRequest.find(aModel);
  const Duration idle = aNow - (last == mLastRequest.end() ? mStarted : last->second);
  const bool recent = idle < mOptions.idleAfter;
  if (copies <= 1) {
    if (demand.waiting > 0 || demand.inFlight > 0) {
      return std::nullopt;
    }
    const double share =
      1.0 - std::min(1.0, toSeconds(idle) / toSeconds(mOptions.idleAfter));
    return kLastCopyCost + kRecentCost * share;
  }
  const bool spare = recent && copies <= mOptions.copiesOfBusy;
  if (spare && !aForFirstCopy) {
    return std::nullopt;
  }
  const double load_after = static_cast<double>(demand.inFlight + demand.waiting) /
                            static_cast<double>(copies - 1);
  if (load_after > std::min(mOptions.requestsWithoutCopy, mProfile.concurrency / 3.0)) {
    return std::nullopt;
  }
  return (spare ? kSecondCopyCost : 0.0) +
         kSurplusRequestCost * static_cast<double>(demand.inFlight);
}

std::optional<PlacementPlanner::Place>
PlacementPlanner::placeAt(EngineLedger& aEngine,
                          const std::string& aModel,
                          Instant aNow) const
{
  if (aEngine.leaving() || !aEngine.mayOrderModel(aNow) || aEngine.holds(aModel) ||
      mSwaps.contains(aEngine.id())) {
    return std::nullopt;
  }
  Place place{ &aEngine, "", aEngine.loadTime(aModel), 0.0 };
  if (aEngine.fits(aModel)) {
    place.cost = toSeconds(place.readyIn);
    return place;
  }
  std::optional<double> least;
  const bool first_copy = heldCopies(aModel) == 0 && modelDemand(aModel).waiting > 0;
  for (const auto& model : aEngine.readyModels()) {
    const auto cost = costOfRemoving(aEngine, model, first_copy, aNow);
    if (cost && (!least || *cost < *least)) {
      least = cost;
      place.victim = model;
    }
  }
  if (!least) {
    return std::nullopt;
  }
  if (modelDemand(place.victim).inFlight > 0) {
    place.readyIn += mOptions.runningRequestsTime;
  }
  place.cost = toSeconds(place.readyIn) + *least;
  return place;
}

std::optional<PlacementPlanner::Place>
PlacementPlanner::bestPlace(const std::string& aModel, bool aFromStore, Instant aNow)
{
  std::optional<Place> best;
  const auto consider = [&](EngineLedger& aEngine) {
    const auto place = placeAt(aEngine, aModel, aNow);
    // Equal costs are decided by name, so that the choice does not depend on the index.
    if (place && (!best || place->cost < best->cost ||
                  (place->cost == best->cost && aEngine.id() < best->engine->id()))) {
      best = place;
    }
  };
  if (aFromStore) {
    for (auto& [id, engine] : mEngines) {
      consider(engine);
    }
    return best;
  }
  for (auto* engine : mCopies.enginesWith(aModel)) {
    if (engine->sourceOf(aModel) != CheckpointSource::Store) {
      consider(*engine);
    }
  }
  return best;
}

void
PlacementPlanner::send(EngineLedger& aEngine,
                       OrderKind aKind,
                       const ModelKey& aModel,
                       Instant aNow,
                       std::vector<PlacementOrder>& aOrders)
{
  const bool from_store = aKind == OrderKind::Load && aModel.adapter.empty() &&
                          aEngine.sourceOf(aModel.model) == CheckpointSource::Store;
  if (from_store) {
    mStoreLoadStarts.push_back(aNow);
  }
  if (aKind == OrderKind::Unload && aModel.adapter.empty()) {
    aEngine.expectRuns(modelDemand(aModel.model).inFlight > 0);
  }
  aOrders.push_back(aEngine.makeOrder(aKind, aModel));
  aEngine.orderSent(aOrders.back(), aNow);
  mCopies.update(aEngine);
}

void
PlacementPlanner::occupy(const Place& aPlace,
                         const std::string& aModel,
                         Instant aNow,
                         std::vector<PlacementOrder>& aOrders)
{
  if (aPlace.victim.empty()) {
    send(*aPlace.engine, OrderKind::Load, { aModel, "" }, aNow, aOrders);
    return;
  }
  mSwaps[aPlace.engine->id()] = aModel;
  ++mSwapCopies[aModel];
  mStoreSwaps += aPlace.engine->sourceOf(aModel) == CheckpointSource::Store ? 1 : 0;
  send(*aPlace.engine, OrderKind::Unload, { aPlace.victim, "" }, aNow, aOrders);
}

void
PlacementPlanner::repeatUnknown(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  for (auto& [id, engine] : mEngines) {
    if (const auto* order = engine.orderToRepeat(aNow)) {
      aOrders.push_back(*order);
      engine.orderSent(aOrders.back(), aNow);
      mCopies.update(engine);
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
        // The unload has had no effect, and the place is chosen anew.
        swap = mSwaps.erase(swap);
        continue;
      }
      // Kept until the load is accepted, so that a refused one is ordered again.
      send(engine, OrderKind::Load, { swap->second, "" }, aNow, aOrders);
      --mSwapCopies[swap->second];
      mStoreSwaps -= engine.sourceOf(swap->second) == CheckpointSource::Store ? 1 : 0;
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
    const auto& engines = mCopies.enginesWith(key.model);
    const bool held = std::ranges::any_of(engines, [&](const auto* aEngine) {
      return aEngine->ready(key.model) && aEngine->adapterHeld(key);
    });
    if (held) {
      continue;
    }
    // The copy with the fewest adapters; where all are full, the one whose least recently
    // used adapter has been idle longest.
    EngineLedger* target = nullptr;
    std::optional<ModelKey> victim;
    std::pair<std::size_t, Instant> best{ mProfile.adapterPlaces + 1UL, Instant::max() };
    for (auto* engine : engines) {
      if (!engine->ready(key.model) || !engine->mayOrder()) {
        continue;
      }
      if (engine->adapterCount() < mProfile.adapterPlaces) {
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
        const std::pair candidate{ std::size_t{ mProfile.adapterPlaces }, used };
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
      send(*target, OrderKind::Unload, *victim, aNow, aOrders);
    } else if (const auto profile = mProfile.models.find(key.model);
               profile != mProfile.models.end() &&
               target->memoryUsedMb() + profile->second.adapterMb <= mProfile.memoryMb) {
      send(*target, OrderKind::Load, key, aNow, aOrders);
    }
  }
}

void
PlacementPlanner::placeWanted(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  struct Wanted
  {
    std::string model;
    Demand demand;
    bool copied = false;
    bool inTime = false; // a load that starts now can still meet an objective
  };
  std::vector<Wanted> wanted;
  for (const auto& [model, demand] : mModelDemand) {
    if (demand.waiting > 0 && heldCopies(model) == 0 && mProfile.models.contains(model)) {
      const bool copied = copyAnywhere(model);
      const auto& profile = mProfile.models.at(model);
      const Duration load = copied ? profile.fromDisk : profile.fromStore;
      const bool in_time = demand.inTimeUntil && *demand.inTimeUntil - aNow > load;
      wanted.push_back({ model, demand, copied, in_time });
    }
  }
  // Quick loads first; among them those that still meet an objective, then models with
  // more waiting callers, then the earliest deadline.
  // Now and then the earliest deadline alone decides, so that callers who can only be
  // served late are not passed over for as long as others arrive.
  const bool oldest_first = mPlaced % kPlacesPerLateOne == kPlacesPerLateOne - 1;
  std::ranges::sort(wanted, [&](const Wanted& aLeft, const Wanted& aRight) {
    if (aLeft.copied != aRight.copied) {
      return aLeft.copied;
    }
    if (!oldest_first && aLeft.inTime != aRight.inTime) {
      return aLeft.inTime;
    }
    if (!oldest_first && aLeft.demand.waiting != aRight.demand.waiting) {
      return aLeft.demand.waiting > aRight.demand.waiting;
    }
    return aLeft.demand.deadline.value_or(Instant::max()) <
           aRight.demand.deadline.value_or(Instant::max());
  });
  for (const auto& item : wanted) {
    if (const auto place = bestPlace(item.model, false, aNow)) {
      occupy(*place, item.model, aNow, aOrders);
      ++mPlaced;
    }
  }
}

void
PlacementPlanner::addCopies(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  for (const auto& [model, demand] : mModelDemand) {
    if (!mProfile.models.contains(model)) {
      continue;
    }
    const std::uint32_t copies = heldCopies(model);
    const auto load = static_cast<double>(demand.inFlight + demand.waiting);
    if (copies == 0 || load / copies <= requestsForCopy()) {
      continue;
    }
    if (const auto place = bestPlace(model, false, aNow)) {
      occupy(*place, model, aNow, aOrders);
    }
  }
}

void
PlacementPlanner::placeFromStore(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  // Models without any copy, and those whose copies are too few and all in use. Each load
  // keeps the store busy for long, so the model with the most waiting callers goes first.
  std::vector<std::pair<std::uint32_t, std::string>> wanted;
  for (const auto& [model, demand] : mModelDemand) {
    if (demand.waiting == 0 || !mProfile.models.contains(model)) {
      continue;
    }
    const std::uint32_t copies = heldCopies(model);
    const auto load = static_cast<double>(demand.inFlight + demand.waiting);
    if (copies == 0 ? !copyAnywhere(model) : load / copies > requestsForCopy()) {
      wanted.emplace_back(demand.waiting, model);
    }
  }
  std::ranges::sort(wanted, std::greater{});
  for (const auto& [waiting, model] : wanted) {
    if (!storeLoadAllowed(aNow)) {
      return;
    }
    if (const auto place = bestPlace(model, true, aNow)) {
      occupy(*place, model, aNow, aOrders);
      ++mPlaced;
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
    for (const auto& model : engine.copies()) {
      if (!mProfile.models.contains(model) || !engine.fits(model) ||
          heldCopies(model) > 0) {
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
      send(engine, OrderKind::Load, { latest->second, "" }, aNow, aOrders);
    }
  }
}

void
PlacementPlanner::copyFromStore(Instant aNow, std::vector<PlacementOrder>& aOrders)
{
  if (aNow < mNextStoreCopy || !storeLoadAllowed(aNow)) {
    return;
  }
  mNextStoreCopy = aNow + kStoreCopyPause;
  const auto missing = std::ranges::find_if(mProfile.models, [&](const auto& aModel) {
    return !copyAnywhere(aModel.first) && heldCopies(aModel.first) == 0;
  });
  if (missing == mProfile.models.end()) {
    return;
  }
  const auto place = bestPlace(missing->first, true, aNow);
  // A copy for later is not worth the only ready copy of another model.
  if (place && place->cost - toSeconds(place->readyIn) < kLastCopyCost) {
    occupy(*place, missing->first, aNow, aOrders);
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
  countCopies();
  followStoreLoads(aNow);
  repeatUnknown(aNow, orders);
  continueSwaps(aNow, orders);
  placeAdapters(aNow, orders);
  placeWanted(aNow, orders);
  addCopies(aNow, orders);
  placeFromStore(aNow, orders);
  restoreFromDisk(aNow, orders);
  copyFromStore(aNow, orders);
  return orders;
}

} // namespace savoryrill::serving
