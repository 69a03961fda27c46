#include "placement/assignmentplanner.h"

#include <algorithm>
#include <tuple>

#include "placement/rendezvous.h"

namespace savoryrill::placement {

using config::Loadable;

namespace {

Versioned<AssignmentRow>
rowOf(const PlanView& aView, const Loadable& aLoadable)
{
  const auto found = aView.assignments.find(aLoadable);
  return found == aView.assignments.end() ? Versioned<AssignmentRow>{} : found->second;
}

Versioned<SlotsRow>
slotsOf(const PlanView& aView, const std::string& aUpstream)
{
  const auto found = aView.slots.find(aUpstream);
  return found == aView.slots.end() ? Versioned<SlotsRow>{} : found->second;
}

const config::Upstream*
upstreamOf(const PlanView& aView, const std::string& aUpstream)
{
  const auto& upstreams = aView.configuration->upstreams;
  const auto found = upstreams.find(aUpstream);
  return found == upstreams.end() ? nullptr : &found->second;
}

bool
ignoresFencing(const PlanView& aView, const std::string& aUpstream)
{
  const auto* upstream = upstreamOf(aView, aUpstream);
  return upstream != nullptr && !upstream->checksFencing;
}

bool
resident(const PlanView& aView, const Loadable& aLoadable, const std::string& aUpstream)
{
  const auto status = aView.upstreams.find(aUpstream);
  return status != aView.upstreams.end() && status->second.replicas.contains(aLoadable);
}

bool
hasDemand(const PlanView& aView, const Loadable& aLoadable)
{
  const auto found = aView.demand.find(aLoadable);
  return found != aView.demand.end() &&
         (found->second.waiting > 0 || found->second.inFlight > 0);
}

// True if the footprint that is recorded in the slots row is at least `aFootprintMb`. At
// an engine that ignores fencing numbers it must be; after a change of the configuration
// it may be smaller.
bool
slotCovers(const PlanView& aView,
           const Loadable& aLoadable,
           const std::string& aUpstream,
           std::uint32_t aFootprintMb)
{
  const auto slots = slotsOf(aView, aUpstream);
  const auto found = slots.value.footprintsMb.find(config::toString(aLoadable));
  return found != slots.value.footprintsMb.end() && found->second >= aFootprintMb;
}

AssignmentChange
makeChange(const PlanView& aView,
           ChangeKind aKind,
           const Loadable& aLoadable,
           const std::string& aUpstream,
           std::string aReason,
           AssignmentRow aRow)
{
  AssignmentChange result;
  result.kind = aKind;
  result.loadable = aLoadable;
  result.upstream = aUpstream;
  result.reason = std::move(aReason);
  const std::string key = assignmentKey(aLoadable);
  result.transaction.checks.push_back({ key, rowOf(aView, aLoadable).version });
  result.transaction.checks.push_back({ std::string(kHeadKey), aView.headRowVersion });
  if (aRow.places.empty()) {
    result.transaction.writes.push_back({ key, std::nullopt });
  } else {
    result.transaction.writes.push_back({ key, toJson(aRow) });
  }
  result.row = std::move(aRow);
  return result;
}

void
writeSlots(const PlanView& aView,
           const std::string& aUpstream,
           const SlotsRow& aSlots,
           platform::Transaction& aTransaction)
{
  const std::string key = slotsKey(aUpstream);
  aTransaction.checks.push_back({ key, slotsOf(aView, aUpstream).version });
  aTransaction.writes.push_back({ key, toJson(aSlots) });
}

AssignmentChange
releasePlace(const PlanView& aView,
             const Loadable& aLoadable,
             const std::string& aUpstream,
             std::string aReason)
{
  auto row = rowOf(aView, aLoadable).value;
  for (auto& place : row.places) {
    if (place.upstream == aUpstream) {
      place.state = PlaceState::Releasing;
    }
  }
  return makeChange(
    aView, ChangeKind::Release, aLoadable, aUpstream, std::move(aReason), std::move(row));
}

AssignmentChange
removePlace(const PlanView& aView,
            const Loadable& aLoadable,
            const std::string& aUpstream,
            std::string aReason)
{
  auto row = rowOf(aView, aLoadable).value;
  std::erase_if(row.places,
                [&](const Place& aPlace) { return aPlace.upstream == aUpstream; });
  auto result = makeChange(
    aView, ChangeKind::Remove, aLoadable, aUpstream, std::move(aReason), std::move(row));
  auto slots = slotsOf(aView, aUpstream);
  if (slots.value.footprintsMb.erase(config::toString(aLoadable)) > 0) {
    writeSlots(aView, aUpstream, slots.value, result.transaction);
  }
  return result;
}

// The reason for which a place must be released, or nothing.
std::optional<std::string>
releaseReason(const PlanView& aView,
              const Loadable& aLoadable,
              const std::string& aUpstream)
{
  const auto* deployment = deploymentOf(*aView.configuration, aLoadable);
  const auto* upstream = upstreamOf(aView, aUpstream);
  if (deployment == nullptr) {
    return "model is not in the configuration";
  }
  if (upstream == nullptr || upstream->pool != deployment->pool) {
    return "upstream is not in the model's pool";
  }
  const auto status = aView.upstreams.find(aUpstream);
  if (status != aView.upstreams.end() && status->second.leaving) {
    return "upstream is leaving";
  }
  if (deployment->footprintMb > modelMemoryMb(*upstream)) {
    return "model's footprint exceeds the upstream's memory";
  }
  if (!upstream->checksFencing &&
      !slotCovers(aView, aLoadable, aUpstream, deployment->footprintMb)) {
    return "assigned memory is below the model's footprint";
  }
  return std::nullopt;
}

// Sum of the footprints that are assigned to an upstream, as a fraction of its memory.
double
assignedFraction(const PlanView& aView,
                 const std::string& aUpstream,
                 const config::Upstream& aProperties)
{
  double sum = 0;
  for (const auto& [loadable, row] : aView.assignments) {
    const auto* deployment = deploymentOf(*aView.configuration, loadable);
    if (deployment != nullptr && row.value.find(aUpstream) != nullptr) {
      sum += deployment->footprintMb;
    }
  }
  return sum / std::max<std::uint32_t>(1, modelMemoryMb(aProperties));
}

int
localityRank(const UpstreamStatus& aStatus, const Loadable& aLoadable)
{
  const auto found = aStatus.checkpoints.find(aLoadable);
  if (found == aStatus.checkpoints.end()) {
    return 2;
  }
  return found->second == upstream::CheckpointLocality::Memory ? 0 : 1;
}

} // namespace

std::optional<AssignmentChange>
AssignmentPlanner::plan(const PlanView& aView, const Loadable& aLoadable) const
{
  if (aView.configuration == nullptr || aView.headRowVersion == 0) {
    return std::nullopt;
  }
  if (auto release = planRelease(aView, aLoadable)) {
    return release;
  }
  if (auto assign = planAssign(aView, aLoadable)) {
    return assign;
  }
  return planIdleRelease(aView, aLoadable);
}

std::optional<AssignmentChange>
AssignmentPlanner::planRelease(const PlanView& aView, const Loadable& aLoadable) const
{
  const auto row = rowOf(aView, aLoadable);
  std::vector<std::string> active;
  for (const auto& place : row.value.places) {
    if (place.state != PlaceState::Active) {
      continue;
    }
    if (auto reason = releaseReason(aView, aLoadable, place.upstream)) {
      return releasePlace(aView, aLoadable, place.upstream, *reason);
    }
    active.push_back(place.upstream);
  }
  const auto* deployment = deploymentOf(*aView.configuration, aLoadable);
  if (deployment == nullptr || active.size() <= deployment->maxReplicas) {
    return std::nullopt;
  }
  // Releases places without a replica first, then the place that was added last.
  const auto empty = std::find_if(active.rbegin(), active.rend(), [&](const auto& aName) {
    return !resident(aView, aLoadable, aName);
  });
  const std::string chosen = empty == active.rend() ? active.back() : *empty;
  return releasePlace(aView, aLoadable, chosen, "max_replicas was lowered");
}

std::optional<AssignmentChange>
AssignmentPlanner::planAssign(const PlanView& aView, const Loadable& aLoadable) const
{
  const auto* deployment = deploymentOf(*aView.configuration, aLoadable);
  const auto row = rowOf(aView, aLoadable);
  if (deployment == nullptr || row.value.places.size() >= deployment->maxReplicas) {
    return std::nullopt;
  }
  std::map<std::string, int> used;
  for (const auto& place : row.value.places) {
    if (const auto* upstream = upstreamOf(aView, place.upstream)) {
      ++used[upstream->dataCentre];
    }
  }
  // Spreads over data centres first: during a partition a second replica in the same data
  // centre does not help the others. Then prefers checkpoint locality, then the upstream
  // with the smallest assigned fraction of its memory.
  using Score = std::tuple<int, int, double, std::uint64_t>;
  std::optional<std::pair<Score, std::string>> best;
  for (const auto& [name, status] : aView.upstreams) {
    const auto* upstream = upstreamOf(aView, name);
    if (upstream == nullptr || upstream->pool != deployment->pool || status.leaving ||
        !status.reachable || row.value.find(name) != nullptr ||
        deployment->footprintMb > modelMemoryMb(*upstream)) {
      continue;
    }
    if (!upstream->checksFencing &&
        slotsOf(aView, name).value.totalMb() + deployment->footprintMb >
          modelMemoryMb(*upstream)) {
      continue;
    }
    const Score score{ used[upstream->dataCentre],
                       localityRank(status, aLoadable),
                       assignedFraction(aView, name, *upstream),
                       ~rendezvousWeight(name, config::toString(aLoadable)) };
    if (!best || score < best->first) {
      best = { score, name };
    }
  }
  if (!best) {
    return std::nullopt;
  }
  auto next = row.value;
  next.places.push_back({ best->second, PlaceState::Active });
  auto result = makeChange(aView,
                           ChangeKind::Assign,
                           aLoadable,
                           best->second,
                           "below max_replicas",
                           std::move(next));
  if (ignoresFencing(aView, best->second)) {
    auto slots = slotsOf(aView, best->second).value;
    slots.footprintsMb[config::toString(aLoadable)] = deployment->footprintMb;
    writeSlots(aView, best->second, slots, result.transaction);
  }
  return result;
}

std::optional<AssignmentChange>
AssignmentPlanner::planIdleRelease(const PlanView& aView, const Loadable& aLoadable) const
{
  const auto* deployment = deploymentOf(*aView.configuration, aLoadable);
  if (deployment == nullptr || deployment->maxReplicas == 0 ||
      !rowOf(aView, aLoadable).value.places.empty() || !hasDemand(aView, aLoadable)) {
    return std::nullopt;
  }
  // If a place at an engine of the pool is being released already, memory becomes free
  // without another release.
  using Score = std::tuple<bool, std::size_t, std::uint64_t>;
  std::optional<std::pair<Score, std::pair<Loadable, std::string>>> best;
  for (const auto& [other, row] : aView.assignments) {
    for (const auto& place : row.value.places) {
      const auto* upstream = upstreamOf(aView, place.upstream);
      const auto status = aView.upstreams.find(place.upstream);
      if (upstream == nullptr || upstream->checksFencing ||
          upstream->pool != deployment->pool || status == aView.upstreams.end() ||
          !status->second.reachable || status->second.leaving ||
          deployment->footprintMb > modelMemoryMb(*upstream)) {
        continue;
      }
      if (place.state == PlaceState::Releasing) {
        return std::nullopt;
      }
      if (hasDemand(aView, other)) {
        continue;
      }
      // Prefers places without a replica, then rows with the most places.
      const Score score{ resident(aView, other, place.upstream),
                         SIZE_MAX - row.value.places.size(),
                         rendezvousWeight(place.upstream, config::toString(other)) };
      if (!best || score < best->first) {
        best = { score, { other, place.upstream } };
      }
    }
  }
  if (!best) {
    return std::nullopt;
  }
  const auto& [other, upstream] = best->second;
  return releasePlace(
    aView, other, upstream, "frees memory for " + config::toString(aLoadable));
}

std::optional<AssignmentChange>
AssignmentPlanner::planRemoval(const PlanView& aView,
                               const Loadable& aLoadable,
                               const std::string& aUpstream,
                               const Ownership& aOwnership) const
{
  const auto row = rowOf(aView, aLoadable);
  const auto* place = row.value.find(aUpstream);
  if (place == nullptr || place->state != PlaceState::Releasing ||
      aView.headRowVersion == 0) {
    return std::nullopt;
  }
  auto result = removePlace(aView, aLoadable, aUpstream, "unload confirmed");
  // Only the current owner can know that no order can load the model any more.
  result.transaction.checks.push_back({ ownerKey(aUpstream), aOwnership.rowVersion });
  return result;
}

std::optional<AssignmentChange>
AssignmentPlanner::planOrphanRemoval(const PlanView& aView,
                                     const Loadable& aLoadable) const
{
  if (aView.configuration == nullptr || aView.headRowVersion == 0) {
    return std::nullopt;
  }
  for (const auto& place : rowOf(aView, aLoadable).value.places) {
    if (upstreamOf(aView, place.upstream) == nullptr) {
      return removePlace(
        aView, aLoadable, place.upstream, "upstream is not in the configuration");
    }
  }
  return std::nullopt;
}

bool
AssignmentPlanner::mayLoad(const PlanView& aView,
                           const Loadable& aLoadable,
                           const std::string& aUpstream)
{
  const auto* deployment = aView.configuration == nullptr
                             ? nullptr
                             : deploymentOf(*aView.configuration, aLoadable);
  const auto found = aView.assignments.find(aLoadable);
  if (deployment == nullptr || found == aView.assignments.end()) {
    return false;
  }
  const auto& row = found->second.value;
  const auto* place = row.find(aUpstream);
  return place != nullptr && place->state == PlaceState::Active &&
         row.places.size() <= deployment->maxReplicas &&
         (!ignoresFencing(aView, aUpstream) ||
          slotCovers(aView, aLoadable, aUpstream, deployment->footprintMb));
}

} // namespace savoryrill::placement
