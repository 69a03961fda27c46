#include "controller/internal/enginereport.h"

#include "placement/types/fleet.h"

namespace savoryrill::controller {

using upstream::CheckpointLocality;
using upstream::ReplicaState;

EngineReport
reportOf(const placement::OwnedEngine& aEngine)
{
  EngineReport report;
  report.upstream = aEngine.name();
  report.ready = aEngine.ready();
  report.freeMb = aEngine.ledger().freeModelsMb();
  report.freeAdapterMb = aEngine.ledger().freeAdaptersMb();
  report.capacityMb = placement::modelMemoryMb(aEngine.properties());
  if (!aEngine.inventory()) {
    return report;
  }
  for (const auto& model : aEngine.inventory()->models) {
    if (model.locality != CheckpointLocality::Remote) {
      report.checkpoints[model.loadable] = model.locality;
    }
    if (model.state == ReplicaState::Absent) {
      continue;
    }
    report.replicas[model.loadable] = { model.state,
                                        model.footprintMb,
                                        { model.adapters.begin(), model.adapters.end() },
                                        false };
  }
  // Models that are ordered but not in the inventory yet count as loading.
  for (const auto& [loadable, size] : aEngine.ledger().models()) {
    const auto [replica, inserted] = report.replicas.try_emplace(loadable);
    if (inserted) {
      replica->second.state = ReplicaState::Loading;
      replica->second.footprintMb = size;
    }
  }
  for (const auto& [adapter, resident] : aEngine.ledger().adapters()) {
    report.adapters.insert(adapter);
    report.adapterLoads += resident ? 0 : 1;
  }
  return report;
}

peer::UpstreamContent
contentOf(const placement::OwnedEngine& aEngine)
{
  const auto& inventory = *aEngine.inventory();
  const auto report = reportOf(aEngine);
  peer::UpstreamContent content;
  content.set_upstream(aEngine.name());
  content.set_upstream_incarnation(inventory.incarnation);
  content.set_memory_mb(report.capacityMb);
  content.set_reserved_mb(report.capacityMb - std::min(report.capacityMb, report.freeMb));
  content.set_running(inventory.load.running);
  content.set_waiting(inventory.load.waiting);
  for (const auto& [loadable, replica] : report.replicas) {
    auto* item = content.add_replicas();
    item->set_deployment(loadable.deployment);
    item->set_version(loadable.version);
    item->set_footprint_mb(replica.footprintMb);
    switch (replica.state) {
      case ReplicaState::Loaded:
        item->set_state(peer::REPLICA_STATE_LOADED);
        break;
      case ReplicaState::Unloading:
        item->set_state(peer::REPLICA_STATE_UNLOADING);
        break;
      default:
        item->set_state(peer::REPLICA_STATE_LOADING);
        break;
    }
    for (const auto& adapter : replica.adapters) {
      item->add_adapters(adapter);
    }
  }
  for (const auto& [loadable, locality] : report.checkpoints) {
    auto* item = content.add_checkpoints();
    item->set_deployment(loadable.deployment);
    item->set_version(loadable.version);
    item->set_locality(locality == CheckpointLocality::Memory ? peer::LOCALITY_MEMORY
                                                              : peer::LOCALITY_DISK);
  }
  return content;
}

} // namespace savoryrill::controller
