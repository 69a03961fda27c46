#include "serving/placementplanner.h"

#include <algorithm>
#include <set>

namespace savoryrill::serving {

namespace {

// Requests a second below which a model is taken to have stopped; bounds the expected
// times.
constexpr double kLeastEndRate = 0.1;

} // namespace

PlacementPlanner::PlacementPlanner(Options aOptions, Instant aNow)
  : mOptions(aOptions)
  , mStarted(aNow)
{
}

void
PlacementPlanner::setProfile(const EngineProfile& aProfile)
{
  mProfile = aProfile;
  mSmallestModelMb = mProfile.memoryMb;
  for (const auto& [name, model] : mProfile.models) {
    mSmallestModelMb = std::min(mSmallestModelMb, model.footprintMb);
  }
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
  mCopies.remove(aEntry.id);
  mStoreLoadLimit.ended(aEntry.id, false, aNow);
  auto& engine =
    mEngines.insert_or_assign(aEntry.id, EngineLedger(aEntry, mProfile)).first->second;
  engine.listed(aEntry, aNow);
}

void
PlacementPlanner::removeEngine(const std::string& aId)
{
  mCopies.remove(aId);
  mStoreLoadLimit.ended(aId, false, {});
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
    mEndRates[item.model.model].ended(item.finished, aNow);
    if (item.arrivals > 0 || item.waiting > 0) {
      mLastRequest[item.model.model] = aNow;
      mLastAdapterRequest[item.model] = aNow;
    }
  }
}

void
PlacementPlanner::addDemand(Demand& aDemand, const DemandItem& aItem, Instant aAt)
{
  if (aItem.waiting > 0) {
    aDemand.priority =
      aDemand.waiting == 0 ? aItem.priority : std::min(aDemand.priority, aItem.priority);
    const Instant in_time = aAt + aItem.inTime;
    aDemand.inTimeUntil =
      aDemand.inTimeUntil ? std::max(*aDemand.inTimeUntil, in_time) : in_time;
    if (aItem.deadline) {
      const Instant deadline = aAt + *aItem.deadline;
      aDemand.deadline =
        aDemand.deadline ? std::min(*aDemand.deadline, deadline) : deadline;
    }
  }
  aDemand.waiting += aItem.waiting;
  aDemand.inFlight += aItem.inFlight;
}

void
PlacementPlanner::collectDemand(Instant aNow)
{
  mModelDemand.clear();
  mAdapterDemand.clear();
  std::erase_if(mHosts, [&](const auto& aHost) {
    return aNow - aHost.second.at > mOptions.demandLife;
  });
  for (const auto& [host, demand] : mHosts) {
    for (const auto& item : demand.items) {
      addDemand(mModelDemand[item.model.model], item, demand.at);
      if (!item.model.adapter.empty()) {
        addDemand(mAdapterDemand[item.model], item, demand.at);
      }
    }
  }
}

const PlacementPlanner::Demand&
PlacementPlanner::modelDemand(const std::string& aModel) const
{
  static const Demand kNone;
  const auto found = mModelDemand.find(aModel);
  return found == mModelDemand.end() ? kNone : found->second;
}

const PlacementPlanner::Demand&
PlacementPlanner::adapterDemand(const ModelKey& aAdapter) const
{
  static const Demand kNone;
  const auto found = mAdapterDemand.find(aAdapter);
  return found == mAdapterDemand.end() ? kNone : found->second;
}

void
PlacementPlanner::countCopies()
{
  for (auto& [id, engine] : mEngines) {
    mCopies.update(engine);
  }
  mSwapCopies.clear();
  mStoreSwaps = 0;
  for (const auto& [id, model] : mSwaps) {
    const auto engine = mEngines.find(id);
    if (engine != mEngines.end() && !engine->second.holds(model)) {
      ++mSwapCopies[model];
      mStoreSwaps += engine->second.sourceOf(model) == CheckpointSource::Store ? 1 : 0;
    }
  }
}

std::uint32_t
PlacementPlanner::heldCopies(const std::string& aModel) const
{
  const auto swaps = mSwapCopies.find(aModel);
  return mCopies.heldCount(aModel) + (swaps == mSwapCopies.end() ? 0 : swaps->second);
}

bool
PlacementPlanner::copyAnywhere(const std::string& aModel) const
{
  return !mCopies.enginesWith(aModel).empty();
}

void
PlacementPlanner::followStoreLoads(Instant aNow)
{
  for (const auto& [id, engine] : mEngines) {
    const auto& pending = engine.pending();
    if (pending && pending->order.kind == OrderKind::Load &&
        pending->source == CheckpointSource::Store) {
      const auto profile = mProfile.models.find(pending->order.model.model);
      if (profile != mProfile.models.end()) {
        mStoreLoadLimit.started(id, profile->second.fromStore, pending->sent);
      }
    } else {
      mStoreLoadLimit.ended(id, !engine.leaving(), aNow);
    }
  }
  mStoreLoadLimit.check(aNow);
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
         storeLoads() < mStoreLoadLimit.most();
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

std::optional<Duration>
PlacementPlanner::backlogTime(const std::string& aModel, Instant aNow) const
{
  const auto found = mEndRates.find(aModel);
  const auto waiting = modelDemand(aModel).waiting;
  if (waiting == 0 || found == mEndRates.end() || mCopies.readyCount(aModel) == 0) {
    return std::nullopt;
  }
  const auto rate = found->second.perSecond(aNow);
  if (!rate) {
    return std::nullopt;
  }
  const double seconds = waiting / std::max(*rate, kLeastEndRate);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<std::string>
PlacementPlanner::wantedModels() const
{
  std::vector<std::string> models;
  for (const auto& [model, demand] : mModelDemand) {
    if (demand.waiting > 0) {
      models.push_back(model);
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
  for (const auto* engine : mCopies.enginesWith(aModel)) {
    if (engine->ready(aModel)) {
      return Duration::zero();
    }
    const auto& pending = engine->pending();
    if (pending && pending->order.kind == OrderKind::Load &&
        pending->order.model.model == aModel) {
      const Duration rest = std::max(Duration(100ms), pending->expectedEnd - aNow);
      least = least ? std::min(*least, rest) : rest;
    }
    if (engine->hasCopy(aModel)) {
      const Duration load = engine->loadTime(aModel) + mOptions.runningRequestsTime;
      least = least ? std::min(*least, load) : load;
    }
  }
  if (least) {
    return least;
  }
  // Behind the models without any copy for which callers wait.
  std::uint32_t ahead = 0;
  for (const auto& [model, demand] : mModelDemand) {
    if (demand.waiting > 0 && model != aModel && !copyAnywhere(model)) {
      ++ahead;
    }
  }
  const auto rounds = 1 + (ahead + storeLoads()) / mStoreLoadLimit.most();
  return profile->second.fromStore * rounds;
}

} // namespace savoryrill::serving
