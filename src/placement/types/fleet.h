#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "config/types/configuration.h"
#include "placement/types/rows.h"
#include "upstream/types/inventory.h"

namespace savoryrill::placement {

/// State of an engine as its owner last published it.
struct UpstreamStatus
{
  std::string owner;
  std::uint64_t incarnation = 0;
  bool reachable = false;
  bool leaving = false;
  std::uint32_t freeMb = 0;
  std::map<config::Loadable, upstream::ReplicaState> replicas;
  /// Checkpoint copies in memory or on disk.
  std::map<config::Loadable, upstream::CheckpointLocality> checkpoints;
};

/// Waiting and running requests for a loadable, summed over all routers.
struct LoadableDemand
{
  std::uint32_t waiting = 0;
  std::uint32_t inFlight = 0;
};

/// Input of the assignment planner.
struct PlanView
{
  const config::Configuration* configuration = nullptr;
  /// Table version of the `config/head` row that names this configuration; 0: not known,
  /// so that nothing is planned.
  std::uint64_t headRowVersion = 0;
  std::map<config::Loadable, Versioned<AssignmentRow>> assignments;
  std::map<std::string, Versioned<SlotsRow>> slots;
  std::map<std::string, UpstreamStatus> upstreams;
  std::map<config::Loadable, LoadableDemand> demand;
};

/// Model memory of an upstream, in MB.
std::uint32_t
modelMemoryMb(const config::Upstream& aUpstream);

/// Names of all engines of a data centre, or of all data centres if `aDataCentre` is
/// empty. Thread safe.
std::set<std::string>
enginesOf(const config::Configuration& aConfiguration, const std::string& aDataCentre);

/// The deployment of a loadable, or null if the configuration does not contain the
/// loadable. Thread safe.
const config::Deployment*
deploymentOf(const config::Configuration& aConfiguration,
             const config::Loadable& aLoadable);

} // namespace savoryrill::placement
