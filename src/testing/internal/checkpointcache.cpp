#include "testing/internal/checkpointcache.h"

#include <algorithm>

namespace savoryrill::testing {

using upstream::CheckpointLocality;

void
CheckpointCache::put(const std::string& aName,
                     std::uint32_t aSizeMb,
                     CheckpointLocality aTier)
{
  mEntries.remove_if([&](const Entry& aEntry) { return aEntry.name == aName; });
  if (aTier == CheckpointLocality::Remote) {
    return;
  }
  mEntries.push_front({ aName, aSizeMb, aTier });
  shrink(CheckpointLocality::Memory, mMemoryMb);
  shrink(CheckpointLocality::Disk, mDiskMb);
}

CheckpointLocality
CheckpointCache::locality(const std::string& aName) const
{
  const auto found =
    std::find_if(mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
      return aEntry.name == aName;
    });
  return found == mEntries.end() ? CheckpointLocality::Remote : found->locality;
}

/// Keeps the most recent entries of a tier that fit, and moves the others down.
void
CheckpointCache::shrink(CheckpointLocality aTier, std::uint64_t aLimitMb)
{
  std::uint64_t used_mb = 0;
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    const auto current = entry++;
    if (current->locality != aTier) {
      continue;
    }
    used_mb += current->sizeMb;
    if (used_mb <= aLimitMb) {
      continue;
    }
    used_mb -= current->sizeMb;
    if (aTier == CheckpointLocality::Memory) {
      current->locality = CheckpointLocality::Disk;
    } else {
      mEntries.erase(current);
    }
  }
}

} // namespace savoryrill::testing
