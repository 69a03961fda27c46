#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "serving/types/upstreamlistupdate.h"

namespace savoryrill::serving {

/// Records when each upstream of the list last changed in a way that matters to hosts
/// that send requests, so that one host reads the list and publishes its changes to the
/// others. Otherwise 100 hosts and more would each read 150 entries of a kilobyte every
/// second or two. Heartbeats and engine reports change all the time and are left out;
/// hosts learn about replicas from the leader. Not thread safe; no I/O.
class UpstreamListChanges
{
public:
  /// Maximum number of removals kept. Above it the oldest are dropped, and hosts that
  /// have not received them read the list themselves.
  static constexpr std::size_t kMaxRemovals = 512;
  /// Maximum number of gaps kept, see `retainOnly`. Above it the oldest are dropped like
  /// removals.
  static constexpr std::size_t kMaxGaps = 8;

  /// Applies an entry that was read.
  void update(const UpstreamEntry& aEntry);

  /// Applies the removal of an entry at `aVersion`.
  void remove(const std::string& aId, std::uint64_t aVersion);

  /// Applies an update that another host has published, so that this host can publish
  /// later changes in its place. Precondition: all changes up to `aUpdate.base` have been
  /// applied.
  void apply(const UpstreamListUpdate& aUpdate);

  /// Removes all entries whose ids the whole list at `aVersion` lacks. Entries that were
  /// added and removed between the version known before and `aVersion` stay unknown, so
  /// `since` returns nothing for the versions in this gap. Call before `setVersion`.
  void retainOnly(const std::set<std::string>& aIds, std::uint64_t aVersion);

  /// Call when all changes up to `aVersion` have been applied.
  void setVersion(std::uint64_t aVersion);

  /// Changes after version `aBase`; nothing if some may be unknown or have been dropped,
  /// or if the list has not been read yet.
  std::optional<UpstreamListUpdate> since(std::uint64_t aBase) const;

private:
  struct Item
  {
    UpstreamEntry entry;
    std::uint64_t changed = 0;
  };

  std::map<std::string, Item> mItems;
  std::map<std::string, std::uint64_t> mRemoved; // versions of removals, by id
  std::uint64_t mVersion = 0;
  std::uint64_t mOldestBase = 0; // oldest version after which all changes are known
  std::map<std::uint64_t, std::uint64_t> mGaps; // their ends, by their starts
};

} // namespace savoryrill::serving
