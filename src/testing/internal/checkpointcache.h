#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "upstream/types/inventory.h"

namespace savoryrill::testing {

/// Two tiers of least-recently-used checkpoints at an engine's host: memory, then disk;
/// what fits in neither is only in the remote store. Free of I/O; not thread safe.
class CheckpointCache
{
public:
  struct Entry
  {
    std::string name;
    std::uint32_t sizeMb = 0;
    upstream::CheckpointLocality locality = upstream::CheckpointLocality::Disk;
  };

  CheckpointCache(std::uint64_t aMemoryMb, std::uint64_t aDiskMb)
    : mMemoryMb(aMemoryMb)
    , mDiskMb(aDiskMb)
  {
  }

  /// Places a checkpoint in a tier as the most recently used and demotes others.
  void put(const std::string& aName,
           std::uint32_t aSizeMb,
           upstream::CheckpointLocality aTier);

  /// Where the checkpoint is.
  upstream::CheckpointLocality locality(const std::string& aName) const;

  /// All checkpoints in memory or on disk.
  const std::list<Entry>& entries() const { return mEntries; }

private:
  void shrink(upstream::CheckpointLocality aTier, std::uint64_t aLimitMb);

  std::uint64_t mMemoryMb;
  std::uint64_t mDiskMb;
  std::list<Entry> mEntries; // most recent first
};

} // namespace savoryrill::testing
