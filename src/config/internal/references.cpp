#include <algorithm>
#include <map>

#include "config/internal/configurationreader.h"

namespace savoryrill::config {

namespace {

/// Memory of one upstream, in megabytes.
struct Memory
{
  std::uint32_t models = 0; // what adapters leave
  std::uint32_t adapters = 0;
};

struct PoolSummary
{
  std::vector<Memory> upstreams;
};

class ReferenceChecker
{
public:
  ReferenceChecker(const ReadContext& aContext, const ReadConfiguration& aRead)
    : mContext(aContext)
    , mConfiguration(aRead.configuration)
    , mUpstreamsSound(aRead.upstreamsSound)
  {
    for (const auto& [name, kind] : mConfiguration.pools) {
      mPoolNames.push_back(name);
    }
  }

  void run()
  {
    checkUpstreams();
    for (const auto& [name, deployment] : mConfiguration.deployments) {
      checkDeployment({ "deployments", name }, deployment);
    }
    for (const auto& [name, service] : mConfiguration.services) {
      checkService({ "services", name }, service);
    }
    checkCallers();
    checkOrganisations();
  }

private:
  /// False if the pool is unknown or of the other kind, which is reported. A name that is
  /// empty here has been reported by the reader.
  bool checkPool(const KeyPath& aPath, const std::string& aPool, PoolKind aKind)
  {
    if (aPool.empty()) {
      return false;
    }
    const auto pool = mConfiguration.pools.find(aPool);
    const KeyPath path = memberOf(aPath, "pool");
    if (pool == mConfiguration.pools.end()) {
      mContext.error(path,
                     "unknown pool " + inQuotes(aPool) + suggestion(aPool, mPoolNames));
      return false;
    }
    if (pool->second != aKind) {
      mContext.error(path,
                     "pool " + inQuotes(aPool) + " is of kind " +
                       std::string(nameOf(pool->second)) + ", but must be of kind " +
                       std::string(nameOf(aKind)));
      return false;
    }
    return true;
  }

  void checkUpstreams()
  {
    std::map<std::string, std::string> addresses;
    for (const auto& [name, upstream] : mConfiguration.upstreams) {
      const KeyPath path{ "upstreams", name };
      checkUpstream(path, upstream);
      const auto [first, inserted] = addresses.try_emplace(upstream.address, name);
      if (!inserted && !upstream.address.empty()) {
        mContext.error(memberOf(path, "address"),
                       inQuotes(upstream.address) + " is also the address of " +
                         inQuotes(first->second));
      }
      mPools[upstream.pool].upstreams.push_back(
        { upstream.memoryMb - std::min(upstream.memoryMb, upstream.adapterMemoryMb),
          upstream.adapterMemoryMb });
    }
  }

  void checkUpstream(const KeyPath& aPath, const Upstream& aUpstream)
  {
    const auto& sites = mConfiguration.dataCentres;
    const bool site_known =
      std::find(sites.begin(), sites.end(), aUpstream.dataCentre) != sites.end();
    if (!site_known && !aUpstream.dataCentre.empty()) {
      mContext.error(memberOf(aPath, "data_centre"),
                     "unknown data centre " + inQuotes(aUpstream.dataCentre) +
                       suggestion(aUpstream.dataCentre, { sites.begin(), sites.end() }));
    }
    if (aUpstream.adapterMemoryMb > aUpstream.memoryMb) {
      mContext.error(memberOf(aPath, "adapter_memory_mb"), "is above memory_mb");
    }
    if (aUpstream.pool.empty()) {
      return;
    }
    const auto pool = mConfiguration.pools.find(aUpstream.pool);
    if (pool == mConfiguration.pools.end()) {
      checkPool(aPath, aUpstream.pool, PoolKind::Engine);
    } else if (pool->second == PoolKind::Engine && aUpstream.memoryMb == 0) {
      mContext.error(memberOf(aPath, "memory_mb"),
                     "an upstream of an engine pool needs memory_mb above 0");
    }
  }

  void checkDeployment(const KeyPath& aPath, const Deployment& aDeployment)
  {
    const bool pool_known = checkPool(aPath, aDeployment.pool, PoolKind::Engine);
    if (!pool_known || !mUpstreamsSound) {
      return;
    }
    const auto& upstreams = mPools[aDeployment.pool].upstreams;
    std::size_t fitting = 0;
    std::uint32_t largest = 0;
    std::uint32_t adapter_memory = 0;
    for (const auto& memory : upstreams) {
      largest = std::max(largest, memory.models);
      if (memory.models >= aDeployment.footprintMb) {
        ++fitting;
        adapter_memory = std::max(adapter_memory, memory.adapters);
      }
    }
    if (fitting == 0) {
      mContext.error(memberOf(aPath, "footprint_mb"),
                     upstreams.empty()
                       ? "pool " + inQuotes(aDeployment.pool) + " has no upstream"
                       : "fits no upstream of pool " + inQuotes(aDeployment.pool) +
                           "; the largest has " + std::to_string(largest) +
                           " MB for models");
      return;
    }
    if (aDeployment.maxReplicas > fitting) {
      mContext.warning(memberOf(aPath, "max_replicas"),
                       "only " + std::to_string(fitting) + " upstreams of pool " +
                         inQuotes(aDeployment.pool) + " can hold the model");
    }
    checkAdapters(aPath, aDeployment, adapter_memory);
  }

  void checkAdapters(const KeyPath& aPath,
                     const Deployment& aDeployment,
                     std::uint32_t aAdapterMemory)
  {
    for (const auto& [name, adapter] : aDeployment.adapters) {
      if (adapter.sizeMb > aAdapterMemory) {
        mContext.error(memberOf(memberOf(memberOf(aPath, "adapters"), name), "size_mb"),
                       "fits no upstream that can hold the model; the most adapter "
                       "memory there is " +
                         std::to_string(aAdapterMemory) + " MB");
      }
    }
  }

  void checkService(const KeyPath& aPath, const Service& aService)
  {
    const bool pool_known = checkPool(aPath, aService.pool, PoolKind::Service);
    if (pool_known && mPools[aService.pool].upstreams.empty()) {
      mContext.error(memberOf(aPath, "pool"),
                     "pool " + inQuotes(aService.pool) + " has no upstream");
    }
  }

  void checkCallers()
  {
    std::map<std::string, std::string> hashes;
    for (const auto& [name, caller] : mConfiguration.callers) {
      const auto [first, inserted] = hashes.try_emplace(caller.keySha256, name);
      if (!inserted && !caller.keySha256.empty()) {
        mContext.error({ "callers", name, "key_sha256" },
                       "is also the hash of " + inQuotes(first->second));
      }
    }
  }

  void checkOrganisations()
  {
    std::map<std::string, std::string> holders; // by the hash of the key
    for (const auto& [name, organisation] : mConfiguration.organisations) {
      const KeyPath path{ "organisations", name };
      for (const auto& hash : organisation.keysSha256) {
        const auto [first, inserted] = holders.try_emplace(hash, name);
        if (!inserted) {
          mContext.error(memberOf(path, "keys_sha256"),
                         "contains a key of " + inQuotes(first->second) +
                           ", which would be accepted for neither");
        }
      }
      checkQuota(path, organisation);
    }
    if (!mConfiguration.organisations.empty()) {
      mContext.warning({ "organisations" },
                       "is applied by the gateway only; routers accept callers as stated "
                       "in callers");
    }
  }

  void checkQuota(const KeyPath& aPath, const Organisation& aOrganisation)
  {
    const bool tokens = aOrganisation.unit == QuotaUnit::Tokens;
    const double request = tokens ? std::max(1.0, aOrganisation.defaultTokens) : 1.0;
    if (aOrganisation.ratePerSecond > 0 && aOrganisation.burst < request) {
      mContext.error(memberOf(aPath, "burst"),
                     "is below the cost of one request, which could never be served");
    }
  }

  const ReadContext& mContext;
  const Configuration& mConfiguration;
  bool mUpstreamsSound;
  std::vector<std::string_view> mPoolNames;
  std::map<std::string, PoolSummary> mPools;
};

} // namespace

void
checkReferences(const ReadContext& aContext, const ReadConfiguration& aRead)
{
  ReferenceChecker(aContext, aRead).run();
}

} // namespace savoryrill::config
