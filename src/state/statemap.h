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

struct EntryKey
{
  peer::EntryKind kind = peer::ENTRY_KIND_UNSPECIFIED;
  std::string key;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const EntryKey&) const = default;
};

/// Replicated map of the versioned entries that controllers and routers exchange. The
/// entry with the higher (epoch, sequence) wins, so entries may arrive in any order, more
/// than once and through any peer. An entry with a time to live is removed when it
/// expires and leaves a tombstone with its version for a while, so that a late copy from
/// another peer does not restore it. `config` and `leaving` entries neither expire nor
/// can be deleted. Entries that exceed the limits are refused. Not thread safe; no I/O.
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

  /// Stores an entry if it is newer than the stored one or the tombstone of its key.
  /// Returns true if the map changed. Malformed entries (unknown kind, empty key, key or
  /// payload above its limit, deletion of a `config` or `leaving` entry) change nothing.
  bool apply(const peer::Entry& aEntry, Instant aNow);

  /// Removes expired entries and returns their keys.
  std::vector<EntryKey> expire(Instant aNow);

  /// Returns the stored entry with its remaining time to live, or nothing if it is absent
  /// or has expired.
  std::optional<peer::Entry> find(const EntryKey& aKey, Instant aNow) const;

  /// Returns all entries of a kind that have not expired, sorted by key.
  std::vector<peer::Entry> entries(peer::EntryKind aKind, Instant aNow) const;

  /// Number of buckets that the keys are hashed to. A summary has one fingerprint per
  /// bucket. 64 buckets keep a summary below 600 bytes, and after a change of one entry
  /// only the versions of a 64th of the map are exchanged.
  static constexpr std::uint32_t kBucketCount = 64;

  /// Keys and versions of all stored entries.
  peer::Digest digest() const;

  /// Keys and versions of the stored entries in some buckets. Precondition: `aBuckets` is
  /// not empty.
  peer::Digest digestOfBuckets(const std::vector<std::uint32_t>& aBuckets) const;

  /// One fingerprint of the keys and versions per bucket. Equal content gives equal
  /// fingerprints.
  peer::Digest summary() const;

  /// Returns the buckets in which a peer's summary differs from this map. A summary with
  /// another number of buckets differs in all of them.
  std::vector<std::uint32_t> differingBuckets(const peer::Digest& aSummary) const;

  /// Returns the entries that are newer than in `aDigest` or missing there, within the
  /// buckets that it covers. Their size is at most `aMaxBytes`, except that the first
  /// entry is always included; otherwise an entry above the limit would never be sent.
  peer::Delta deltaFor(const peer::Digest& aDigest,
                       Instant aNow,
                       std::size_t aMaxBytes) const;

  /// True if `aDigest` has an entry that is missing here or newer than the known version.
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
  /// Keys and drop times, oldest first. Items of tombstones that were replaced stay.
  std::deque<std::pair<EntryKey, Instant>> mTombstoneOrder;
};

} // namespace savoryrill::state
