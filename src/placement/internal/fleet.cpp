#include "placement/types/fleet.h"

#include <algorithm>

namespace savoryrill::placement {

std::uint32_t
modelMemoryMb(const config::Upstream& aUpstream)
{
  return aUpstream.memoryMb > aUpstream.adapterMemoryMb
           ? aUpstream.memoryMb - aUpstream.adapterMemoryMb
           : 0;
}

std::set<std::string>
enginesOf(const config::Configuration& aConfiguration, const std::string& aDataCentre)
{
  std::set<std::string> result;
  for (const auto& [name, upstream] : aConfiguration.upstreams) {
    const auto pool = aConfiguration.pools.find(upstream.pool);
    const bool engine =
      pool != aConfiguration.pools.end() && pool->second == config::PoolKind::Engine;
    if (engine && (aDataCentre.empty() || upstream.dataCentre == aDataCentre)) {
      result.insert(name);
    }
  }
  return result;
}

const config::Deployment*
deploymentOf(const config::Configuration& aConfiguration,
             const config::Loadable& aLoadable)
{
  const auto found = aConfiguration.deployments.find(aLoadable.deployment);
  if (found == aConfiguration.deployments.end()) {
    return nullptr;
  }
  const auto& versions = found->second.versions;
  const bool known =
    std::find(versions.begin(), versions.end(), aLoadable.version) != versions.end();
  return known ? &found->second : nullptr;
}

} // namespace savoryrill::placement
