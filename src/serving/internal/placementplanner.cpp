#include "serving/placementplanner.h"

#include <algorithm>
#include <set>

namespace savoryrill::serving {

PlacementPlanner::PlacementPlanner(Options aOptions, Instant aNow)
  : mOptions(aOptions)
  , mStarted(aNow)
{
}

void
PlacementPlanner::setProfile(const EngineProfile& aProfile)
{
  mProfile = aProfile;
}

void
PlacementPlanner::updateEngine(const UpstreamEntry& aEntry, Instant aNow)
{
  const auto found = mEngines.find(aEntry.id);
  if (found != mEngines.end() && found->second.born() == aEntry.bornMs) {
    found->second.listed(aEntry, aNow);
    return;
  }
  mSwaps.erase(aEntry.id);
  auto& engine =
    mEngines.insert_or_assign(aEntry.id, EngineLedger(aEntry, mProfile)).first->second;
  engine.listed(aEntry, aNow);
}

void
PlacementPlanner::removeEngine(const std::string& aId)
{
  mEngines.erase(aId);
  mSwaps.erase(aId);
}

std::vector<std::string>
PlacementPlanner::engineIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, engine] : mEngines) {
    ids.push_back(id);
  }
  return ids;
}

void
PlacementPlanner::reportDemand(const std::string& aHost,
                               const std::vector<DemandItem>& aItems,
                               Instant aNow)
{
  mHosts[aHost] = { aItems, aNow };
  for (const auto& item : aItems) {
    if (item.arrivals > 0 || item.waiting > 0) {
      mLastRequest[item.model.model] = aNow;
      mLastAdapterRequest[item.model] = aNow;
    }
  }
}

void
PlacementPlanner::collectDemand(Instant aNow)
{
  mDemand.clear();
  std::erase_if(mHosts, [&](const auto& aHost) {
    return aNow - aHost.second.at > mOptions.demandLife;
  });
  const auto add = [&](const ModelKey& aKey, const DemandItem& aItem, Instant aAt) {
    auto& demand = mDemand[aKey];
    if (aItem.waiting > 0) {
      demand.priority =
        demand.waiting == 0 ? aItem.priority : std::min(demand.priority, aItem.priority);
      const Instant in_time = aAt + aItem.inTime;
      demand.inTimeUntil =
        demand.inTimeUntil ? std::max(*demand.inTimeUntil, in_time) : in_time;
      if (aItem.deadline) {
        const Instant deadline = aAt + *aItem.deadline;
        demand.deadline =
          demand.deadline ? std::min(*demand.deadline, deadline) : deadline;
      }
    }
    demand.waiting += aItem.waiting;
    demand.inFlight += aItem.inFlight;
  };
  for (const auto& [host, demand] : mHosts) {
    for (const auto& item : demand.items) {
      add({ item.model.model, "" }, item, demand.at);
      if (!item.model.adapter.empty()) {
        add(item.model, item, demand.at);
      }
    }
  }
}

PlacementPlanner::Demand
PlacementPlanner::demandOf(const ModelKey& aKey) const
{
  const auto found = mDemand.find(aKey);
  return found == mDemand.end() ? Demand{} : found->second;
}

void
PlacementPlanner::countCopies()
{
  mReadyCopies.clear();
  mHeldCopies.clear();
  mCopied.clear();
  for (const auto& [id, engine] : mEngines) {
    if (engine.leaving()) {
      continue;
    }
    for (const auto& model : engine.readyModels()) {
      ++mReadyCopies[model];
    }
    for (const auto& model : engine.heldModels()) {
      ++mHeldCopies[model];
      mCopied.insert(model);
    }
    mCopied.merge(engine.copies());
  }
  for (const auto& [id, model] : mSwaps) {
    const auto engine = mEngines.find(id);
    if (engine != mEngines.end() && !engine->second.holds(model)) {
      ++mHeldCopies[model];
    }
  }
}

std::uint32_t
PlacementPlanner::readyCopies(const std::string& aModel) const
{
  const auto found = mReadyCopies.find(aModel);
  return found == mReadyCopies.end() ? 0 : found->second;
}

std::uint32_t
PlacementPlanner::heldCopies(const std::string& aModel) const
{
  const auto found = mHeldCopies.find(aModel);
  return found == mHeldCopies.end() ? 0 : found->second;
}

bool
PlacementPlanner::copyAnywhere(const std::string& aModel) const
{
  return mCopied.contains(aModel);
}

std::uint32_t
PlacementPlanner::storeLoads() const
{
  std::uint32_t loads = 0;
  for (const auto& [id, engine] : mEngines) {
    const auto swap = mSwaps.find(id);
    const bool planned =
      swap != mSwaps.end() && engine.sourceOf(swap->second) == CheckpointSource::Store;
    loads += engine.loadsFromStore() || planned ? 1 : 0;
  }
  return loads;
}

bool
PlacementPlanner::storeLoadAllowed(Instant aNow)
{
  while (!mStoreLoadStarts.empty() &&
         aNow - mStoreLoadStarts.front() > mOptions.rateWindow) {
    mStoreLoadStarts.pop_front();
  }
  const double most =
    std::max(1.0, mProfile.storeLoadsPerSecond * toSeconds(mOptions.rateWindow));
  return static_cast<double>(mStoreLoadStarts.size()) + 1 <= most &&
         storeLoads() < mOptions.fullSpeedLoads;
}

void
PlacementPlanner::orderDone(const std::string& aUpstream,
                            OrderOutcome aOutcome,
                            Instant aNow)
{
  if (const auto found = mEngines.find(aUpstream); found != mEngines.end()) {
    found->second.orderDone(aOutcome, aNow);
  }
}

std::vector<std::string>
PlacementPlanner::reportsWanted(Instant aNow)
{
  std::vector<std::string> ids;
  for (auto& [id, engine] : mEngines) {
    if (engine.wantsReport(aNow)) {
      engine.reportRequested(aNow);
      ids.push_back(id);
    }
  }
  return ids;
}

void
PlacementPlanner::reportRead(const std::string& aUpstream,
                             const EngineReport& aReport,
                             Instant aSent,
                             Instant aNow)
{
  if (const auto found = mEngines.find(aUpstream); found != mEngines.end()) {
    found->second.reported(aReport, aSent, aNow);
  }
}

void
PlacementPlanner::reportFailed(const std::string& aUpstream, Instant aNow)
{
  if (const auto found = mEngines.find(aUpstream); found != mEngines.end()) {
    found->second.reportFailed(aNow);
  }
}

std::vector<ReplicaView>
PlacementPlanner::view(const std::string& aUpstream, Instant aNow) const
{
  const auto found = mEngines.find(aUpstream);
  return found == mEngines.end() ? std::vector<ReplicaView>{} : found->second.view(aNow);
}

std::optional<Instant>
PlacementPlanner::nextPlan() const
{
  std::optional<Instant> next;
  for (const auto& [id, engine] : mEngines) {
    const auto& pending = engine.pending();
    if (pending && !engine.leaving() && (!next || pending->expectedEnd < *next)) {
      next = pending->expectedEnd;
    }
  }
  return next;
}

std::vector<std::string>
PlacementPlanner::wantedModels() const
{
  std::vector<std::string> models;
  for (const auto& [key, demand] : mDemand) {
    if (key.adapter.empty() && demand.waiting > 0) {
      models.push_back(key.model);
    }
  }
  return models;
}

std::optional<Duration>
PlacementPlanner::timeUntilReady(const std::string& aModel, Instant aNow) const
{
  const auto profile = mProfile.models.find(aModel);
  if (profile == mProfile.models.end()) {
    return std::nullopt;
  }
  std::optional<Duration> least;
  std::uint32_t ahead = 0;
  for (const auto& [id, engine] : mEngines) {
    if (engine.ready(aModel)) {
      return Duration::zero();
    }
    const auto& pending = engine.pending();
    if (pending && pending->order.kind == OrderKind::Load) {
      const Duration rest = std::max(Duration(100ms), pending->expectedEnd - aNow);
      if (pending->order.model.model == aModel) {
        least = least ? std::min(*least, rest) : rest;
      }
    }
    if (!engine.leaving() && engine.hasCopy(aModel)) {
      const Duration load = engine.loadTime(aModel) + mOptions.runningRequestsTime;
      least = least ? std::min(*least, load) : load;
    }
  }
  if (least) {
    return least;
  }
  // Behind the models without any copy for which callers wait.
  for (const auto& [key, demand] : mDemand) {
    if (key.adapter.empty() && demand.waiting > 0 && key.model != aModel &&
        !copyAnywhere(key.model)) {
      ++ahead;
    }
  }
  const auto rounds = 1 + (ahead + storeLoads()) / std::max(1U, mOptions.fullSpeedLoads);
  return profile->second.fromStore * rounds;
}

} // namespace savoryrill::serving
