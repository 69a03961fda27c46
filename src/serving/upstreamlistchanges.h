#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "serving/types/upstreamlistupdate.h"

namespace savoryrill::serving {

/// Remembers when each upstream of the list last changed in a way that matters to hosts
/// that send requests, so that one reader of the list can tell the others. Heartbeats and
/// what engines hold change all the time and are left out: hosts hear of copies from the
/// leader of placement. Load pattern: 100 hosts and more, where each would read 150
/// entries of a kilobyte every second or two. Not thread safe; no I/O.
class UpstreamListChanges
{
public:
  /// Removals that are remembered. Above it the oldest are dropped, and hosts that have
  /// not heard of them read the list themselves.
  static constexpr std::size_t kMaxRemovals = 512;

  /// Takes an entry that was read.
  void update(const UpstreamEntry& aEntry);

  /// Takes a removal as of `aVersion`.
  void remove(const std::string& aId, std::uint64_t aVersion);

  /// Takes the ids of a whole list as of `aVersion`; the others are removed.
  void retainOnly(const std::set<std::string>& aIds, std::uint64_t aVersion);

  /// Notes that everything up to `aVersion` has been taken.
  void setVersion(std::uint64_t aVersion);

  /// Changes after `aBase`; nothing if some may have been forgotten, or nothing was read.
  std::optional<UpstreamListUpdate> since(std::uint64_t aBase) const;

private:
  struct Item
  {
    UpstreamEntry entry;
    std::uint64_t changed = 0;
  };

  std::map<std::string, Item> mItems;
  std::map<std::string, std::uint64_t> mRemoved; // version by id
  std::uint64_t mVersion = 0;
  std::uint64_t mOldestBase = 0; // changes up to here may have been forgotten
};

} // namespace savoryrill::serving
