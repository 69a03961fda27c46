#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/types/time.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::state {

/// Identifies an entry.
struct EntryKey
{
  peer::EntryKind kind = peer::ENTRY_KIND_UNSPECIFIED;
  std::string key;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const EntryKey&) const = default;
};

/// Versioned entries that controllers and routers exchange. The higher (epoch, sequence)
/// wins, so entries may arrive in any order, repeatedly and by any way. Expiring entries
/// vanish at their time, and the versions of vanished ones are remembered for a while, so
/// that a relayed older copy does not come back. `config` and `leaving` entries neither
/// expire nor can be deleted. Bounded: entries above the limits are refused. Not thread
/// safe; no I/O.
class StateMap
{
public:
  struct Limits
  {
    std::size_t maxEntries = 50000;
    std::size_t maxPayloadBytes = 16 * 1024 * 1024;
    std::size_t maxKeyBytes = 512;
  };

  StateMap();
  explicit StateMap(Limits aLimits);

  /// Takes an entry if it is newer than the held one. Returns true if the map changed.
  /// Malformed entries (unknown kind, empty or long key, long payload, deletion of a
  /// `config` or `leaving` entry) change nothing.
  bool apply(const peer::Entry& aEntry, Instant aNow);

  /// Removes expired entries; returns their keys.
  std::vector<EntryKey> expire(Instant aNow);

  /// The held entry, with its remaining time to live, or nothing.
  std::optional<peer::Entry> find(const EntryKey& aKey, Instant aNow) const;

  /// All entries of a kind, sorted by key.
  std::vector<peer::Entry> entries(peer::EntryKind aKind, Instant aNow) const;

  /// Buckets of keys of which a summary has one fingerprint each. 64 of them keep a
  /// summary below 600 bytes, and one change costs the items of a 64th of the map.
  static constexpr std::uint32_t kBucketCount = 64;

  /// Keys and versions of everything held.
  peer::Digest digest() const;

  /// Keys and versions of what is held in some buckets. Precondition: not empty.
  peer::Digest digestOfBuckets(const std::vector<std::uint32_t>& aBuckets) const;

  /// One fingerprint per bucket; equal content gives equal fingerprints.
  peer::Digest summary() const;

  /// Buckets in which a summary differs from what is held. A summary with another number
  /// of buckets differs in all of them.
  std::vector<std::uint32_t> differingBuckets(const peer::Digest& aSummary) const;

  /// Entries that are newer here than in `aDigest` or missing there (within the buckets
  /// that it covers), up to `aMaxBytes`; the first one is included in any case, so that a
  /// large one is not held back forever.
  peer::Delta deltaFor(const peer::Digest& aDigest,
                       Instant aNow,
                       std::size_t aMaxBytes) const;

  /// True if `aDigest` names something that is newer than here, or missing here.
  bool isBehind(const peer::Digest& aDigest) const;

  std::size_t size() const { return mEntries.size(); }

private:
  struct StoredEntry
  {
    peer::Entry entry;
    std::optional<Instant> expiresAt;
  };
  using Version = std::pair<std::uint64_t, std::uint64_t>;
  struct Tombstone
  {
    Version version;
    Instant dropAt;
  };
  bool isWellFormed(const peer::Entry& aEntry) const;
  std::optional<Version> knownVersion(const EntryKey& aKey) const;
  void addTombstone(const EntryKey& aKey, Version aVersion, Instant aNow);
  void dropOldestTombstone();
  static peer::Entry withRemainingTtl(const StoredEntry& aStored, Instant aNow);

  Limits mLimits;
  std::map<EntryKey, StoredEntry> mEntries;
  std::map<EntryKey, Tombstone> mTombstones;
  std::deque<std::pair<EntryKey, Instant>> mTombstoneOrder; // may hold outdated items
};

} // namespace savoryrill::state
