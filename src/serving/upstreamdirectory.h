#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/types/upstreamlistupdate.h"

namespace savoryrill::serving {

/// Change of an upstream's entry.
struct DirectoryChange
{
  enum class Kind
  {
    Added,    // new, or a new incarnation under a known id
    Leaving,  // receives no new requests from now on
    Vanished, // removed from the list
    Returned  // in the list again after it was missing due to an outage
  };
  Kind kind = Kind::Added;
  std::string id;
};

/// The upstreams known to this host. The upstream list is updated with a delay. At times
/// it cannot be read, and entries of running upstreams may expire during that time. An
/// incarnation that was leaving stays so, whatever later entries say. An entry that is
/// missing right after the list was unreadable is kept for `kReturnTime`, since its
/// upstream may only have been unable to renew it. After the store has come back from a
/// copy, the list may hold upstreams again that were removed: a removed incarnation is
/// used again once its heartbeats go on. Not thread safe; no I/O.
class UpstreamDirectory
{
public:
  /// Time after an outage of the list within which running upstreams are listed again.
  static constexpr Duration kReturnTime = 2s;
  /// Time without a successful read above which the list counts as unreadable.
  static constexpr Duration kOutageGap = 2500ms;
  /// Maximum number of removed incarnations kept; above it the oldest are dropped.
  static constexpr std::size_t kMaxRemoved = 512;

  /// Applies a changed entry of the list.
  void update(UpstreamEntry aEntry, Instant aNow, std::vector<DirectoryChange>& aChanges);

  /// Applies the removal of an entry.
  void remove(const std::string& aId,
              Instant aNow,
              std::vector<DirectoryChange>& aChanges);

  /// Applies the whole list: entries that it lacks are removed.
  void replaceAll(std::vector<UpstreamEntry> aEntries,
                  Instant aNow,
                  std::vector<DirectoryChange>& aChanges);

  /// Applies changes that another host has read. Known engines keep their last report.
  void apply(const UpstreamListUpdate& aUpdate,
             Instant aNow,
             std::vector<DirectoryChange>& aChanges);

  /// The store has come back from a copy: lists that are read from now on may lack
  /// upstreams and hold removed ones.
  void storeRestored(Instant aNow);

  /// Call after the changes of a successful read were applied.
  void readSucceeded(Instant aNow);

  /// Removes entries that have been missing for `kReturnTime` since an outage.
  void expire(Instant aNow, std::vector<DirectoryChange>& aChanges);

  /// Marks an incarnation of an upstream as leaving on information from elsewhere, such
  /// as its response.
  void markLeaving(const std::string& aId,
                   std::int64_t aBornMs,
                   std::vector<DirectoryChange>& aChanges);

  /// The entry, which may be leaving or missing since an outage, or null.
  const UpstreamEntry* find(const std::string& aId) const;
  const std::map<std::string, UpstreamEntry>& entries() const { return mEntries; }

private:
  /// An incarnation that the list no longer held.
  struct Removed
  {
    std::int64_t bornMs = 0;
    std::uint64_t order = 0; // of its removal
    bool restored = false;   // the store has come back from a copy since
    /// Highest one in the lists read since then; 0 if it was in none.
    std::uint64_t heartbeat = 0;
  };

  bool afterOutage(Instant aNow) const;
  bool isOutdated(const UpstreamEntry& aEntry);
  void erase(const std::string& aId, std::vector<DirectoryChange>& aChanges);
  void add(UpstreamEntry aEntry, std::vector<DirectoryChange>& aChanges);

  std::map<std::string, UpstreamEntry> mEntries;
  std::map<std::string, Instant> mMissingUntil; // when a missing entry is removed, by id
  std::map<std::string, Removed> mRemoved;      // by id
  std::uint64_t mRemovals = 0;
  std::optional<Instant> mLastRead;
  std::optional<Instant> mOutageEnded;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::DirectoryChange::Kind>
{
  using Kind = serving::DirectoryChange::Kind;
  static constexpr EnumTable<Kind, 4> kTable{ {
    { Kind::Added, "added" },
    { Kind::Leaving, "leaving" },
    { Kind::Vanished, "vanished" },
    { Kind::Returned, "returned" },
  } };
};

} // namespace savoryrill
