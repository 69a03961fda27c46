#include "serving/tests/enginesimulation.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

constexpr Duration kStep = 20ms;
constexpr Duration kListPeriod = 1200ms;
constexpr Duration kDemandPeriod = 400ms;
constexpr Duration kOrderDelay = 3s;

} // namespace

EngineSimulation::EngineSimulation()
{
  profile.concurrency = 48;
  profile.memoryMb = 230;
  profile.adapterSlots = 8;
  profile.weightStoreLoadsPerSecond = 4;
  replacePlanner();
}

void
EngineSimulation::replacePlanner()
{
  planner = std::make_unique<PlacementPlanner>(PlacementPlanner::Options{}, now);
  planner->setProfile(profile);
  mNextListRead = now;
}

void
EngineSimulation::addModel(const std::string& aName, double aMb)
{
  ModelProfile model;
  model.footprintMb = aMb;
  model.weightStoreLoadTime = 9s;
  model.diskLoadTime = 2s;
  model.memoryLoadTime = 1s;
  model.adapters = 10;
  model.adapterMb = 0.1;
  profile.models[aName] = model;
  planner->setProfile(profile);
}

EngineSimulation::Engine&
EngineSimulation::addEngine(const std::string& aId, const std::set<std::string>& aModels)
{
  Engine engine;
  engine.entry.id = aId;
  engine.entry.bornMs = 1;
  for (const auto& model : aModels) {
    engine.models[model];
    engine.onDisk.insert(model);
  }
  return engines.insert_or_assign(aId, std::move(engine)).first->second;
}

DemandItem
EngineSimulation::waiting(const std::string& aModel, std::uint32_t aCount)
{
  DemandItem item;
  const auto slash = aModel.find('/');
  item.model.model = aModel.substr(0, slash);
  item.model.adapter = slash == std::string::npos ? "" : aModel.substr(slash + 1);
  item.waiting = aCount;
  item.arrivals = aCount;
  item.firstLeavesIn = 10s;
  return item;
}

DemandItem
EngineSimulation::inFlight(const std::string& aModel, std::uint32_t aCount)
{
  DemandItem item;
  item.model.model = aModel;
  item.inFlight = aCount;
  item.arrivals = aCount;
  return item;
}

void
EngineSimulation::setDemand(const std::string& aHost, std::vector<DemandItem> aItems)
{
  mDemand[aHost] = std::move(aItems);
  planner->reportDemand(aHost, mDemand[aHost], now);
}

int
EngineSimulation::replicasOf(const std::string& aModel) const
{
  return static_cast<int>(std::ranges::count_if(
    engines, [&](const auto& aItem) { return aItem.second.models.contains(aModel); }));
}

std::optional<Duration>
EngineSimulation::timeUntilHeld(const std::string& aModel, Duration aLimit)
{
  const Instant start = now;
  while (now - start < aLimit) {
    if (replicasOf(aModel) > 0) {
      return now - start;
    }
    step();
  }
  return std::nullopt;
}

void
EngineSimulation::run(Duration aTime)
{
  for (const Instant end = now + aTime; now < end;) {
    step();
  }
}

double
EngineSimulation::usedMb(const Engine& aEngine) const
{
  double used = 0;
  for (const auto& [model, adapters] : aEngine.models) {
    const auto& size = profile.models.at(model);
    used += size.footprintMb + static_cast<double>(adapters.size()) * size.adapterMb;
  }
  return used;
}

EngineReport
EngineSimulation::reportOf(const Engine& aEngine) const
{
  EngineReport report;
  report.ordersAccepted = aEngine.orders;
  report.orderInProgress = aEngine.currentOrder.has_value();
  for (const auto& [model, adapters] : aEngine.models) {
    report.models.push_back({ model, 1, adapters });
  }
  report.onDisk = aEngine.onDisk;
  return report;
}

bool
EngineSimulation::loadsFromWeightStore(const Engine& aEngine)
{
  return aEngine.currentOrder && aEngine.currentOrder->kind == OrderKind::Load &&
         !aEngine.onDisk.contains(aEngine.currentOrder->model.model);
}

void
EngineSimulation::finishOrders()
{
  const auto loading = static_cast<int>(std::ranges::count_if(
    engines, [](const auto& aItem) { return loadsFromWeightStore(aItem.second); }));
  maxConcurrentWeightStoreLoads = std::max(maxConcurrentWeightStoreLoads, loading);
  const double progress =
    toSeconds(kStep) *
    std::min(1.0, static_cast<double>(fullSpeedWeightStoreLoads) / std::max(1, loading));
  for (auto& [id, engine] : engines) {
    const bool from_weight_store = loadsFromWeightStore(engine);
    engine.remainingLoadSeconds -= from_weight_store ? progress : 0;
    if (!engine.currentOrder ||
        (from_weight_store ? engine.remainingLoadSeconds > 0 : now < engine.busyUntil)) {
      continue;
    }
    const auto& order = *engine.currentOrder;
    if (order.kind == OrderKind::Load) {
      engine.models[order.model.model];
      engine.onDisk.insert(order.model.model);
    } else {
      engine.models.erase(order.model.model);
    }
    engine.currentOrder.reset();
  }
}

OrderOutcome
EngineSimulation::apply(Engine& aEngine, const PlacementOrder& aOrder)
{
  const auto& key = aOrder.model;
  if (aOrder.expectedOrders != aEngine.orders) {
    return OrderOutcome::Conflict;
  }
  if (!key.adapter.empty()) {
    if (!aEngine.models.contains(key.model)) {
      return OrderOutcome::WrongUpstream;
    }
    auto& adapters = aEngine.models[key.model];
    ++aEngine.orders;
    if (aOrder.kind == OrderKind::Unload) {
      adapters.erase(key.adapter);
      return OrderOutcome::Done;
    }
    adapters.insert(key.adapter);
    std::size_t count = 0;
    for (const auto& [model, held] : aEngine.models) {
      count += held.size();
    }
    overcommits += count > profile.adapterSlots ? 1 : 0;
    return OrderOutcome::Accepted;
  }
  if (aEngine.currentOrder) {
    return OrderOutcome::Conflict;
  }
  ++aEngine.orders;
  aEngine.currentOrder = aOrder;
  if (aOrder.kind == OrderKind::Unload) {
    aEngine.busyUntil = now + aEngine.unloadTime;
    return OrderOutcome::Accepted;
  }
  const auto& model = profile.models.at(key.model);
  overcommits += usedMb(aEngine) + model.footprintMb > profile.memoryMb ? 1 : 0;
  const bool on_disk = aEngine.onDisk.contains(key.model);
  weightStoreLoads += on_disk ? 0 : 1;
  aEngine.busyUntil = now + (on_disk ? model.diskLoadTime : model.weightStoreLoadTime);
  aEngine.remainingLoadSeconds = toSeconds(model.weightStoreLoadTime);
  return OrderOutcome::Accepted;
}

void
EngineSimulation::deliver(const PlacementOrder& aOrder)
{
  ++ordersSent;
  auto& engine = engines.at(aOrder.upstream);
  if (engine.delaysOrders) {
    mDelayedOrders.emplace_back(now + kOrderDelay, aOrder);
    planner->orderDone(aOrder.upstream, OrderOutcome::Unknown, now);
    return;
  }
  if (engine.unreachable) {
    planner->orderDone(aOrder.upstream, OrderOutcome::Conflict, now);
    return;
  }
  const auto outcome = apply(engine, aOrder);
  conflicts += outcome == OrderOutcome::Conflict ? 1 : 0;
  planner->orderDone(
    aOrder.upstream, engine.losesResponses ? OrderOutcome::Unknown : outcome, now);
}

void
EngineSimulation::step()
{
  now += kStep;
  finishOrders();
  while (!mDelayedOrders.empty() && mDelayedOrders.front().first <= now) {
    apply(engines.at(mDelayedOrders.front().second.upstream),
          mDelayedOrders.front().second);
    mDelayedOrders.pop_front();
  }
  if (now >= mNextListRead) {
    mNextListRead = now + kListPeriod;
    for (auto& [id, engine] : engines) {
      auto entry = engine.entry;
      entry.engine = reportOf(engine);
      entry.engine.ordersAccepted = 0;
      entry.engine.orderInProgress.reset();
      planner->updateEngine(entry, now);
    }
  }
  if (now >= mNextDemandReport) {
    mNextDemandReport = now + kDemandPeriod;
    for (const auto& [host, items] : mDemand) {
      planner->reportDemand(host, items, now);
    }
  }
  for (const auto& order : planner->plan(now)) {
    deliver(order);
  }
  for (const auto& id : planner->enginesWithReportDue(now)) {
    if (engines.at(id).unreachable) {
      planner->reportFailed(id, now);
    } else {
      planner->reportReceived(id, reportOf(engines.at(id)), now, now);
    }
  }
}

} // namespace savoryrill::serving
