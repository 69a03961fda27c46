#include "serving/placementplanner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace savoryrill::serving {

namespace {

// Minimum rate, in completed requests per second, with which `backlogTime` calculates, so
// that its result stays bounded.
constexpr double kMinCompletionRate = 0.1;

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
  if (found != mEngines.end() && found->second.bornMs() == aEntry.bornMs) {
    found->second.applyListEntry(aEntry, aNow);
    return;
  }
  mSwaps.erase(aEntry.id);
  mLocations.remove(aEntry.id);
  mWeightStoreLoadLimit.ended(aEntry.id, false, aNow);
  auto& engine =
    mEngines.insert_or_assign(aEntry.id, EngineLedger(aEntry, mProfile)).first->second;
  engine.applyListEntry(aEntry, aNow);
}

void
PlacementPlanner::removeEngine(const std::string& aId)
{
  mLocations.remove(aId);
  mWeightStoreLoadLimit.ended(aId, false, {});
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
  mHostDemand[aHost] = { aItems, aNow };
  for (const auto& item : aItems) {
    mCompletionRates[item.model.model].completed(item.finished, aNow);
    if (item.arrivals > 0 || item.waiting > 0) {
      mLastRequest[item.model.model] = aNow;
      mLastAdapterRequest[item.model] = aNow;
    }
    if (item.inFlight > 0) {
      mLastInFlight[item.model.model] = aNow;
    }
  }
}

bool
PlacementPlanner::hasServedSince(const std::string& aModel, Instant aSince) const
{
  const auto found = mLastInFlight.find(aModel);
  return found != mLastInFlight.end() && found->second > aSince;
}

void
PlacementPlanner::setEngineLoad(const std::string& aUpstream, std::uint32_t aRequests)
{
  if (aRequests == 0) {
    mEngineLoads.erase(aUpstream);
  } else {
    mEngineLoads[aUpstream] = aRequests;
  }
}

void
PlacementPlanner::addDemand(Demand& aDemand, const DemandItem& aItem, Instant aReceivedAt)
{
  if (aItem.waiting > 0) {
    const Instant objective = aReceivedAt + aItem.timeToObjective;
    aDemand.latestObjective =
      aDemand.latestObjective ? std::max(*aDemand.latestObjective, objective) : objective;
    if (aItem.firstLeavesIn) {
      const Instant leaves = aReceivedAt + *aItem.firstLeavesIn;
      aDemand.firstLeaves =
        aDemand.firstLeaves ? std::min(*aDemand.firstLeaves, leaves) : leaves;
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
  std::erase_if(mHostDemand, [&](const auto& aHost) {
    return aNow - aHost.second.receivedAt > mOptions.demandTimeToLive;
  });
  for (const auto& [host, demand] : mHostDemand) {
    for (const auto& item : demand.items) {
      addDemand(mModelDemand[item.model.model], item, demand.receivedAt);
      if (!item.model.adapter.empty()) {
        addDemand(mAdapterDemand[item.model], item, demand.receivedAt);
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
PlacementPlanner::updateReplicaCounts()
{
  for (auto& [id, engine] : mEngines) {
    mLocations.update(engine);
  }
  mSwapReplicas.clear();
  mWeightStoreSwaps = 0;
  for (const auto& [id, model] : mSwaps) {
    const auto engine = mEngines.find(id);
    if (engine != mEngines.end() && !engine->second.holds(model)) {
      ++mSwapReplicas[model];
      mWeightStoreSwaps +=
        engine->second.sourceOf(model) == CheckpointSource::WeightStore ? 1 : 0;
    }
  }
}

std::uint32_t
PlacementPlanner::heldReplicas(const std::string& aModel) const
{
  const auto swaps = mSwapReplicas.find(aModel);
  return mLocations.heldReplicas(aModel) +
         (swaps == mSwapReplicas.end() ? 0 : swaps->second);
}

bool
PlacementPlanner::anyEngineHas(const std::string& aModel) const
{
  return !mLocations.enginesWith(aModel).empty();
}

void
PlacementPlanner::trackWeightStoreLoads(Instant aNow)
{
  for (const auto& [id, engine] : mEngines) {
    const auto& pending = engine.pending();
    if (pending && pending->order.kind == OrderKind::Load &&
        pending->source == CheckpointSource::WeightStore) {
      const auto profile = mProfile.models.find(pending->order.model.model);
      if (profile != mProfile.models.end()) {
        mWeightStoreLoadLimit.started(
          id, profile->second.weightStoreLoadTime, pending->sent);
      }
    } else {
      mWeightStoreLoadLimit.ended(id, !engine.leaving(), aNow);
    }
  }
  mWeightStoreLoadLimit.checkOverdue(aNow);
}

bool
PlacementPlanner::weightStoreLoadAllowed(Instant aNow)
{
  while (!mWeightStoreLoadStarts.empty() &&
         aNow - mWeightStoreLoadStarts.front() > mOptions.rateWindow) {
    mWeightStoreLoadStarts.pop_front();
  }
  const double max_starts =
    std::max(1.0, mProfile.weightStoreLoadsPerSecond * toSeconds(mOptions.rateWindow));
  return static_cast<double>(mWeightStoreLoadStarts.size()) + 1 <= max_starts &&
         weightStoreLoads() < mWeightStoreLoadLimit.maxLoads();
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
PlacementPlanner::enginesWithReportDue(Instant aNow)
{
  std::vector<std::string> ids;
  for (auto& [id, engine] : mEngines) {
    if (engine.reportDue(aNow)) {
      engine.reportRequested(aNow);
      ids.push_back(id);
    }
  }
  return ids;
}

void
PlacementPlanner::reportReceived(const std::string& aUpstream,
                                 const EngineReport& aReport,
                                 Instant aSent,
                                 Instant aNow)
{
  if (const auto found = mEngines.find(aUpstream); found != mEngines.end()) {
    found->second.applyReport(aReport, aSent, aNow);
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
PlacementPlanner::replicas(const std::string& aUpstream, Instant aNow) const
{
  const auto found = mEngines.find(aUpstream);
  return found == mEngines.end() ? std::vector<ReplicaView>{}
                                 : found->second.replicas(aNow);
}

std::vector<BlockedModel>
PlacementPlanner::takeBlockedModels()
{
  return std::exchange(mNewlyBlocked, {});
}

std::optional<Instant>
PlacementPlanner::nextPlanTime() const
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
  const auto found = mCompletionRates.find(aModel);
  const auto waiting = modelDemand(aModel).waiting;
  if (waiting == 0 || found == mCompletionRates.end() ||
      mLocations.readyReplicas(aModel) == 0) {
    return std::nullopt;
  }
  const auto rate = found->second.perSecond(aNow);
  if (!rate) {
    return std::nullopt;
  }
  const double seconds = waiting / std::max(*rate, kMinCompletionRate);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<std::string>
PlacementPlanner::modelsWithWaitingRequests() const
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
  std::optional<Duration> shortest;
  for (const auto* engine : mLocations.enginesWith(aModel)) {
    if (engine->ready(aModel)) {
      return Duration::zero();
    }
    const auto& pending = engine->pending();
    if (pending && pending->order.kind == OrderKind::Load &&
        pending->order.model.model == aModel) {
      const Duration rest = std::max(Duration(100ms), pending->expectedEnd - aNow);
      shortest = shortest ? std::min(*shortest, rest) : rest;
    }
    if (engine->hasCheckpointCopy(aModel)) {
      const Duration load = engine->loadTime(aModel) + mOptions.busyUnloadTime;
      shortest = shortest ? std::min(*shortest, load) : load;
    }
  }
  if (shortest) {
    return shortest;
  }
  // The model is loaded from the weight store after the models with waiting requests that
  // no engine has.
  std::uint32_t ahead = 0;
  for (const auto& [model, demand] : mModelDemand) {
    if (demand.waiting > 0 && model != aModel && !anyEngineHas(model)) {
      ++ahead;
    }
  }
  const auto rounds = 1 + (ahead + weightStoreLoads()) / mWeightStoreLoadLimit.maxLoads();
  return profile->second.weightStoreLoadTime * rounds;
}

} // namespace savoryrill::serving
