#include "serving/tests/engineworld.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

constexpr Duration kStep = 20ms;
constexpr Duration kListPeriod = 1200ms;
constexpr Duration kDemandPeriod = 400ms;
constexpr Duration kLateOrder = 3s;

} // namespace

EngineWorld::EngineWorld()
{
  profile.concurrency = 48;
  profile.memoryMb = 230;
  profile.adapterPlaces = 8;
  profile.storeLoadsPerSecond = 4;
  replacePlanner();
}

void
EngineWorld::replacePlanner()
{
  planner = std::make_unique<PlacementPlanner>(PlacementPlanner::Options{}, now);
  planner->setProfile(profile);
  mNextList = now;
}

void
EngineWorld::addModel(const std::string& aName, double aMb)
{
  ModelProfile model;
  model.footprintMb = aMb;
  model.fromStore = 9s;
  model.fromDisk = 2s;
  model.fromMemory = 1s;
  model.adapters = 10;
  model.adapterMb = 0.1;
  profile.models[aName] = model;
  planner->setProfile(profile);
}

EngineWorld::Engine&
EngineWorld::addEngine(const std::string& aId, const std::set<std::string>& aModels)
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
EngineWorld::waiting(const std::string& aModel, std::uint32_t aCount)
{
  DemandItem item;
  const auto slash = aModel.find('/');
  item.model.model = aModel.substr(0, slash);
  item.model.adapter = slash == std::string::npos ? "" : aModel.substr(slash + 1);
  item.waiting = aCount;
  item.arrivals = aCount;
  item.deadline = 10s;
  return item;
}

DemandItem
EngineWorld::inFlight(const std::string& aModel, std::uint32_t aCount)
{
  DemandItem item;
  item.model.model = aModel;
  item.inFlight = aCount;
  item.arrivals = aCount;
  return item;
}

void
EngineWorld::setDemand(const std::string& aHost, std::vector<DemandItem> aItems)
{
  mDemand[aHost] = std::move(aItems);
  planner->reportDemand(aHost, mDemand[aHost], now);
}

int
EngineWorld::copiesOf(const std::string& aModel) const
{
  return static_cast<int>(std::ranges::count_if(
    engines, [&](const auto& aItem) { return aItem.second.models.contains(aModel); }));
}

std::optional<Duration>
EngineWorld::timeUntilHeld(const std::string& aModel, Duration aLimit)
{
  const Instant start = now;
  while (now - start < aLimit) {
    if (copiesOf(aModel) > 0) {
      return now - start;
    }
    step();
  }
  return std::nullopt;
}

void
EngineWorld::run(Duration aTime)
{
  for (const Instant end = now + aTime; now < end;) {
    step();
  }
}

double
EngineWorld::usedMb(const Engine& aEngine) const
{
  double used = 0;
  for (const auto& [model, adapters] : aEngine.models) {
    const auto& size = profile.models.at(model);
    used += size.footprintMb + static_cast<double>(adapters.size()) * size.adapterMb;
  }
  return used;
}

EngineReport
EngineWorld::reportOf(const Engine& aEngine) const
{
  EngineReport report;
  report.ordersAccepted = aEngine.orders;
  report.ordering = aEngine.busyWith.has_value();
  for (const auto& [model, adapters] : aEngine.models) {
    report.models.push_back({ model, 1, adapters });
  }
  report.onDisk = aEngine.onDisk;
  return report;
}

bool
EngineWorld::loadsFromStore(const Engine& aEngine)
{
  return aEngine.busyWith && aEngine.busyWith->kind == OrderKind::Load &&
         !aEngine.onDisk.contains(aEngine.busyWith->model.model);
}

void
EngineWorld::finishOrders()
{
  const auto loading = static_cast<int>(std::ranges::count_if(
    engines, [](const auto& aItem) { return loadsFromStore(aItem.second); }));
  mostStoreLoadsAtOnce = std::max(mostStoreLoadsAtOnce, loading);
  const double progress =
    toSeconds(kStep) *
    std::min(1.0, static_cast<double>(fullSpeedLoads) / std::max(1, loading));
  for (auto& [id, engine] : engines) {
    const bool from_store = loadsFromStore(engine);
    engine.loadRest -= from_store ? progress : 0;
    if (!engine.busyWith || (from_store ? engine.loadRest > 0 : now < engine.busyUntil)) {
      continue;
    }
    const auto& order = *engine.busyWith;
    if (order.kind == OrderKind::Load) {
      engine.models[order.model.model];
      engine.onDisk.insert(order.model.model);
    } else {
      engine.models.erase(order.model.model);
    }
    engine.busyWith.reset();
  }
}

OrderOutcome
EngineWorld::apply(Engine& aEngine, const PlacementOrder& aOrder)
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
    overcommits += count > profile.adapterPlaces ? 1 : 0;
    return OrderOutcome::Accepted;
  }
  if (aEngine.busyWith) {
    return OrderOutcome::Conflict;
  }
  ++aEngine.orders;
  aEngine.busyWith = aOrder;
  if (aOrder.kind == OrderKind::Unload) {
    aEngine.busyUntil = now + aEngine.unloadTime;
    return OrderOutcome::Accepted;
  }
  const auto& model = profile.models.at(key.model);
  overcommits += usedMb(aEngine) + model.footprintMb > profile.memoryMb ? 1 : 0;
  const bool on_disk = aEngine.onDisk.contains(key.model);
  storeLoads += on_disk ? 0 : 1;
  aEngine.busyUntil = now + (on_disk ? model.fromDisk : model.fromStore);
  aEngine.loadRest = toSeconds(model.fromStore);
  return OrderOutcome::Accepted;
}

void
EngineWorld::deliver(const PlacementOrder& aOrder)
{
  ++ordersSent;
  auto& engine = engines.at(aOrder.upstream);
  if (engine.lateOrders) {
    mLate.emplace_back(now + kLateOrder, aOrder);
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
    aOrder.upstream, engine.losesAnswers ? OrderOutcome::Unknown : outcome, now);
}

void
EngineWorld::step()
{
  now += kStep;
  finishOrders();
  while (!mLate.empty() && mLate.front().first <= now) {
    apply(engines.at(mLate.front().second.upstream), mLate.front().second);
    mLate.pop_front();
  }
  if (now >= mNextList) {
    mNextList = now + kListPeriod;
    for (auto& [id, engine] : engines) {
      auto entry = engine.entry;
      entry.engine = reportOf(engine);
      entry.engine.ordersAccepted = 0;
      entry.engine.ordering.reset();
      planner->updateEngine(entry, now);
    }
  }
  if (now >= mNextDemand) {
    mNextDemand = now + kDemandPeriod;
    for (const auto& [host, items] : mDemand) {
      planner->reportDemand(host, items, now);
    }
  }
  for (const auto& order : planner->plan(now)) {
    deliver(order);
  }
  for (const auto& id : planner->reportsWanted(now)) {
    if (engines.at(id).unreachable) {
      planner->reportFailed(id, now);
    } else {
      planner->reportRead(id, reportOf(engines.at(id)), now, now);
    }
  }
}

} // namespace savoryrill::serving
