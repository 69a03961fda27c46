#include "gossip/internal/pushqueue.h"

namespace savoryrill::gossip {

PushTargets
pushTargetsFor(const transport::RemotePeer* aSource, const std::string& aOwnDataCentre)
{
  if (aSource == nullptr || aSource->role == peer::ROLE_ROUTER) {
    return { true, true, true };
  }
  const bool from_other_data_centre = aSource->dataCentre != aOwnDataCentre;
  return { from_other_data_centre, true, false };
}

void
PushQueue::add(const state::EntryKey& aKey, PushTargets aTargets, std::uint64_t aSource)
{
  Pending& pending = mPending[aKey];
  pending.targets.ownControllers |= aTargets.ownControllers;
  pending.targets.routers |= aTargets.routers;
  pending.targets.otherDataCentres |= aTargets.otherDataCentres;
  pending.source = aSource;
}

std::vector<peer::Delta>
PushQueue::deltasFor(std::uint64_t aPeerId,
                     PushTargets aGroups,
                     const state::StateMap& aMap,
                     Instant aNow,
                     std::size_t aMaxBytes) const
{
  std::vector<peer::Delta> deltas;
  std::size_t bytes = 0;
  for (const auto& [key, pending] : mPending) {
    const bool wanted = (aGroups.ownControllers && pending.targets.ownControllers) ||
                        (aGroups.routers && pending.targets.routers) ||
                        (aGroups.otherDataCentres && pending.targets.otherDataCentres);
    if (!wanted || pending.source == aPeerId) {
      continue;
    }
    const auto entry = aMap.find(key, aNow);
    if (!entry) {
      continue; // expired since it was queued; it expires at the peers too
    }
    const std::size_t size = entry->ByteSizeLong();
    if (deltas.empty() || bytes + size > aMaxBytes) {
      deltas.emplace_back();
      bytes = 0;
    }
    bytes += size;
    *deltas.back().add_entries() = *entry;
  }
  return deltas;
}

} // namespace savoryrill::gossip
