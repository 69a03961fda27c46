#include "state/statemap.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace savoryrill::state {

namespace {

// Longer than any time to live in use, so that no peer can still hold an older copy of an
// expired entry when its tombstone is dropped.
constexpr Duration kTombstoneRetention = 600s;

// Estimated encoded size of an entry without its strings, for the size limit of deltas.
constexpr std::size_t kEntryOverheadBytes = 40;

/// True for kinds whose entries neither expire nor can be deleted, only replaced by newer
/// ones.
bool
isPersistent(peer::EntryKind aKind)
{
  return aKind == peer::ENTRY_KIND_CONFIG || aKind == peer::ENTRY_KIND_LEAVING;
}

EntryKey
keyOf(const peer::Entry& aEntry)
{
  return { aEntry.kind(), aEntry.key() };
}

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

/// 64-bit FNV-1a that continues from `aHash`. Unlike `std::hash`, it gives the same
/// result in all processes.
std::uint64_t
hashBytes(std::string_view aBytes, std::uint64_t aHash = kFnvOffset)
{
  for (const char byte : aBytes) {
    aHash = (aHash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return aHash;
}

std::uint64_t
hashNumber(std::uint64_t aNumber, std::uint64_t aHash)
{
  for (int shift = 0; shift < 64; shift += 8) {
    aHash = (aHash ^ ((aNumber >> shift) & 0xff)) * kFnvPrime;
  }
  return aHash;
}

std::uint64_t
hashOf(const EntryKey& aKey)
{
  return hashNumber(static_cast<std::uint64_t>(aKey.kind), hashBytes(aKey.key));
}

std::uint32_t
bucketOf(std::uint64_t aKeyHash)
{
  // Uses the upper half, because FNV-1a mixes the lower bits less well.
  return static_cast<std::uint32_t>((aKeyHash >> 32) % StateMap::kBucketCount);
}

void
addItem(peer::Digest& aDigest, const EntryKey& aKey, const peer::Entry& aEntry)
{
  auto* item = aDigest.add_items();
  item->set_kind(aKey.kind);
  item->set_key(aKey.key);
  item->set_epoch(aEntry.epoch());
  item->set_sequence(aEntry.sequence());
}

std::size_t
sizeOf(const peer::Entry& aEntry)
{
  return aEntry.key().size() + aEntry.origin().size() + aEntry.payload().size() +
         kEntryOverheadBytes;
}

} // namespace

StateMap::StateMap()
  : StateMap(Limits{})
{
}

StateMap::StateMap(Limits aLimits)
  : mLimits(aLimits)
{
}

bool
StateMap::isWellFormed(const peer::Entry& aEntry) const
{
  const bool known_kind = aEntry.kind() != peer::ENTRY_KIND_UNSPECIFIED &&
                          peer::EntryKind_IsValid(aEntry.kind());
  return known_kind && !aEntry.key().empty() &&
         aEntry.key().size() <= mLimits.maxKeyBytes &&
         aEntry.origin().size() <= mLimits.maxKeyBytes &&
         aEntry.payload().size() <= mLimits.maxPayloadBytes &&
         !(isPersistent(aEntry.kind()) && aEntry.payload().empty());
}

std::optional<StateMap::Version>
StateMap::knownVersion(const EntryKey& aKey) const
{
  if (const auto stored = mEntries.find(aKey); stored != mEntries.end()) {
    return Version(stored->second.entry.epoch(), stored->second.entry.sequence());
  }
  if (const auto tombstone = mTombstones.find(aKey); tombstone != mTombstones.end()) {
    return tombstone->second.version;
  }
  return std::nullopt;
}

bool
StateMap::apply(const peer::Entry& aEntry, Instant aNow)
{
  if (!isWellFormed(aEntry)) {
    return false;
  }
  const EntryKey key = keyOf(aEntry);
  const auto known = knownVersion(key);
  if (known && Version(aEntry.epoch(), aEntry.sequence()) <= *known) {
    return false;
  }
  if (mEntries.count(key) == 0 && mEntries.size() >= mLimits.maxEntries) {
    return false;
  }
  StoredEntry stored{ aEntry, std::nullopt };
  if (isPersistent(aEntry.kind())) {
    stored.entry.set_ttl_ms(0);
  } else if (aEntry.ttl_ms() > 0) {
    stored.expiresAt = aNow + std::chrono::milliseconds(aEntry.ttl_ms());
  }
  mEntries[key] = std::move(stored);
  mTombstones.erase(key);
  return true;
}

void
StateMap::addTombstone(const EntryKey& aKey, Version aVersion, Instant aNow)
{
  const Instant drop_at = aNow + kTombstoneRetention;
  mTombstones[aKey] = { aVersion, drop_at };
  mTombstoneOrder.emplace_back(aKey, drop_at);
  while (mTombstoneOrder.size() > mLimits.maxEntries) {
    dropOldestTombstone();
  }
}

void
StateMap::dropOldestTombstone()
{
  const auto& [key, drop_at] = mTombstoneOrder.front();
  const auto found = mTombstones.find(key);
  // If the key has a newer tombstone or an entry again, this item of the order is
  // outdated.
  if (found != mTombstones.end() && found->second.dropAt == drop_at) {
    mTombstones.erase(found);
  }
  mTombstoneOrder.pop_front();
}

std::vector<EntryKey>
StateMap::expire(Instant aNow)
{
  while (!mTombstoneOrder.empty() && mTombstoneOrder.front().second <= aNow) {
    dropOldestTombstone();
  }
  std::vector<EntryKey> expired;
  for (auto next = mEntries.begin(); next != mEntries.end();) {
    const StoredEntry& stored = next->second;
    if (stored.expiresAt && *stored.expiresAt <= aNow) {
      expired.push_back(next->first);
      addTombstone(next->first, { stored.entry.epoch(), stored.entry.sequence() }, aNow);
      next = mEntries.erase(next);
    } else {
      ++next;
    }
  }
  return expired;
}

peer::Entry
StateMap::withRemainingTtl(const StoredEntry& aStored, Instant aNow)
{
  peer::Entry entry = aStored.entry;
  if (aStored.expiresAt) {
    // At least 1 ms, because 0 would mean that the entry does not expire.
    const auto remaining = std::max<std::int64_t>(1, toMs(*aStored.expiresAt - aNow));
    entry.set_ttl_ms(static_cast<std::uint32_t>(remaining));
  }
  return entry;
}

std::optional<peer::Entry>
StateMap::find(const EntryKey& aKey, Instant aNow) const
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return std::nullopt;
  }
  if (found->second.expiresAt && *found->second.expiresAt <= aNow) {
    return std::nullopt;
  }
  return withRemainingTtl(found->second, aNow);
}

std::vector<peer::Entry>
StateMap::entries(peer::EntryKind aKind, Instant aNow) const
{
  std::vector<peer::Entry> found;
  for (auto next = mEntries.lower_bound({ aKind, "" });
       next != mEntries.end() && next->first.kind == aKind;
       ++next) {
    if (!next->second.expiresAt || *next->second.expiresAt > aNow) {
      found.push_back(withRemainingTtl(next->second, aNow));
    }
  }
  return found;
}

peer::Digest
StateMap::digest() const
{
  peer::Digest digest;
  for (const auto& [key, stored] : mEntries) {
    addItem(digest, key, stored.entry);
  }
  return digest;
}

peer::Digest
StateMap::digestOfBuckets(const std::vector<std::uint32_t>& aBuckets) const
{
  peer::Digest digest;
  const std::set<std::uint32_t> wanted(aBuckets.begin(), aBuckets.end());
  for (const std::uint32_t bucket : wanted) {
    digest.add_buckets(bucket);
  }
  for (const auto& [key, stored] : mEntries) {
    if (wanted.count(bucketOf(hashOf(key))) > 0) {
      addItem(digest, key, stored.entry);
    }
  }
  return digest;
}

peer::Digest
StateMap::summary() const
{
  std::array<std::uint64_t, kBucketCount> fingerprints{};
  for (const auto& [key, stored] : mEntries) {
    const std::uint64_t key_hash = hashOf(key);
    const std::uint64_t version =
      hashNumber(stored.entry.sequence(), hashNumber(stored.entry.epoch(), key_hash));
    // A sum, so that the fingerprint does not depend on the order of the entries.
    fingerprints[bucketOf(key_hash)] += version;
  }
  peer::Digest digest;
  for (const std::uint64_t fingerprint : fingerprints) {
    digest.add_fingerprints(fingerprint);
  }
  return digest;
}

std::vector<std::uint32_t>
StateMap::differingBuckets(const peer::Digest& aSummary) const
{
  const peer::Digest local = summary();
  const bool comparable = aSummary.fingerprints_size() == local.fingerprints_size();
  std::vector<std::uint32_t> differing;
  for (std::uint32_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const int index = static_cast<int>(bucket);
    if (!comparable || local.fingerprints(index) != aSummary.fingerprints(index)) {
      differing.push_back(bucket);
    }
  }
  return differing;
}

peer::Delta
StateMap::deltaFor(const peer::Digest& aDigest, Instant aNow, std::size_t aMaxBytes) const
{
  std::map<EntryKey, Version> peer_versions;
  for (const auto& item : aDigest.items()) {
    peer_versions[{ item.kind(), item.key() }] = { item.epoch(), item.sequence() };
  }
  const std::set<std::uint32_t> covered(aDigest.buckets().begin(),
                                        aDigest.buckets().end());
  peer::Delta delta;
  std::size_t bytes = 0;
  for (const auto& [key, stored] : mEntries) {
    if (!covered.empty() && covered.count(bucketOf(hashOf(key))) == 0) {
      continue;
    }
    const bool expired = stored.expiresAt && *stored.expiresAt <= aNow;
    const auto peer_version = peer_versions.find(key);
    const Version local_version(stored.entry.epoch(), stored.entry.sequence());
    if (expired ||
        (peer_version != peer_versions.end() && peer_version->second >= local_version)) {
      continue;
    }
    bytes += sizeOf(stored.entry);
    if (bytes > aMaxBytes && delta.entries_size() > 0) {
      break;
    }
    *delta.add_entries() = withRemainingTtl(stored, aNow);
  }
  return delta;
}

bool
StateMap::isBehind(const peer::Digest& aDigest) const
{
  for (const auto& item : aDigest.items()) {
    const auto known = knownVersion({ item.kind(), item.key() });
    if (!known || *known < Version(item.epoch(), item.sequence())) {
      return true;
    }
  }
  return false;
}

} // namespace savoryrill::state
