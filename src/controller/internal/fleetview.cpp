#include "controller/internal/fleetview.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryrill::controller {

namespace {

upstream::ReplicaState
stateOf(peer::ReplicaState aState)
{
  switch (aState) {
    case peer::REPLICA_STATE_LOADED:
      return upstream::ReplicaState::Loaded;
    case peer::REPLICA_STATE_UNLOADING:
      return upstream::ReplicaState::Unloading;
    default:
      return upstream::ReplicaState::Loading;
  }
}

} // namespace

FleetView::FleetView(std::string aDataCentre)
  : mDataCentre(aDataCentre)
  , mDemand(std::move(aDataCentre))
{
}

void
FleetView::apply(const peer::Entry& aEntry, Instant aNow)
{
  switch (aEntry.kind()) {
    case peer::ENTRY_KIND_UPSTREAM:
      applyUpstream(aEntry);
      break;
    case peer::ENTRY_KIND_LEAVING:
      applyLeaving(aEntry);
      break;
    case peer::ENTRY_KIND_DEMAND:
      applyDemand(aEntry, aNow);
      break;
    case peer::ENTRY_KIND_MEMBER:
      applyMember(aEntry);
      break;
    default:
      break;
  }
}

void
FleetView::applyUpstream(const peer::Entry& aEntry)
{
  peer::UpstreamContent content;
  if (aEntry.payload().empty()) {
    mUpstreams.erase(aEntry.key());
    return;
  }
  if (!content.ParseFromString(aEntry.payload())) {
    return;
  }
  placement::UpstreamStatus status;
  status.owner = content.owner();
  status.incarnation = content.upstream_incarnation();
  status.reachable = content.reachable();
  status.freeMb =
    content.memory_mb() - std::min(content.memory_mb(), content.reserved_mb());
  for (const auto& replica : content.replicas()) {
    status.replicas[{ replica.deployment(), replica.version() }] =
      stateOf(replica.state());
  }
  for (const auto& checkpoint : content.checkpoints()) {
    status.checkpoints[{ checkpoint.deployment(), checkpoint.version() }] =
      checkpoint.locality() == peer::LOCALITY_MEMORY
        ? upstream::CheckpointLocality::Memory
        : upstream::CheckpointLocality::Disk;
  }
  mUpstreams[aEntry.key()] = std::move(status);
  markLeaving(aEntry.key());
}

void
FleetView::applyLeaving(const peer::Entry& aEntry)
{
  peer::LeavingContent content;
  if (!aEntry.payload().empty() && content.ParseFromString(aEntry.payload())) {
    mLeaving[content.upstream()].insert(content.upstream_incarnation());
    markLeaving(content.upstream());
  }
}

void
FleetView::markLeaving(const std::string& aUpstream)
{
  const auto status = mUpstreams.find(aUpstream);
  const auto leaving = mLeaving.find(aUpstream);
  if (status != mUpstreams.end()) {
    status->second.leaving =
      leaving != mLeaving.end() && leaving->second.contains(status->second.incarnation);
  }
}

void
FleetView::applyDemand(const peer::Entry& aEntry, Instant aNow)
{
  peer::DemandContent content;
  if (aEntry.payload().empty() || !content.ParseFromString(aEntry.payload())) {
    mDemand.remove(aEntry.key(), aNow);
    return;
  }
  std::vector<placement::DemandItem> items;
  for (const auto& item : content.items()) {
    placement::DemandItem demand;
    demand.model = { { item.deployment(), item.version() }, item.adapter() };
    demand.waiting = item.waiting();
    demand.inFlight = item.in_flight();
    if (item.waiting() > 0 && item.earliest_deadline_ms() > 0) {
      demand.earliestDeadline =
        aNow + std::chrono::milliseconds(item.earliest_deadline_ms());
    }
    demand.priority = item.priority();
    demand.arrivals = item.arrivals();
    items.push_back(std::move(demand));
  }
  // A router whose member entry is not known counts as one of the own data centre:
  // routers connect to a controller of their own data centre, which receives their
  // entries before other data centres do.
  std::string data_centre = mDataCentre;
  for (const auto& [key, member] : mMembers) {
    if (member.role == peer::ROLE_ROUTER && member.host == aEntry.origin()) {
      data_centre = member.dataCentre;
    }
  }
  mDemand.update(aEntry.key(), data_centre, std::move(items), aNow);
}

void
FleetView::applyMember(const peer::Entry& aEntry)
{
  peer::MemberContent content;
  if (aEntry.payload().empty() || !content.ParseFromString(aEntry.payload()) ||
      content.leaving()) {
    mMembers.erase(aEntry.key());
    return;
  }
  mMembers[aEntry.key()] = { content.role(), content.host(), content.data_centre() };
}

bool
FleetView::seesOtherDataCentre() const
{
  return std::any_of(mMembers.begin(), mMembers.end(), [this](const auto& aMember) {
    return aMember.second.role == peer::ROLE_CONTROLLER &&
           aMember.second.dataCentre != mDataCentre;
  });
}

} // namespace savoryrill::controller
