#include "serving/upstreamdirectory.h"

#include <algorithm>
#include <set>

namespace savoryrill::serving {

using Kind = DirectoryChange::Kind;

std::string
toString(const ModelKey& aKey)
{
  return aKey.adapter.empty() ? aKey.model : aKey.model + "/" + aKey.adapter;
}

void
UpstreamDirectory::update(UpstreamEntry aEntry,
                          Instant /*aNow*/,
                          std::vector<DirectoryChange>& aChanges)
{
  const std::string id = aEntry.id;
  if (mMissingUntil.erase(id) > 0) {
    aChanges.push_back({ Kind::Returned, id });
  }
  const auto found = mEntries.find(id);
  if (found == mEntries.end() && isOutdated(aEntry)) {
    return;
  }
  if (found == mEntries.end() || found->second.bornMs < aEntry.bornMs) {
    add(std::move(aEntry), aChanges);
    return;
  }
  if (found->second.bornMs > aEntry.bornMs) {
    return; // a late entry of an earlier incarnation
  }
  if (aEntry.leaving && !found->second.leaving) {
    aChanges.push_back({ Kind::Leaving, id });
  }
  aEntry.leaving = aEntry.leaving || found->second.leaving;
  if (aEntry.heartbeat < found->second.heartbeat) {
    found->second.leaving = aEntry.leaving;
    return; // a late entry of this incarnation
  }
  found->second = std::move(aEntry);
}

void
UpstreamDirectory::add(UpstreamEntry aEntry, std::vector<DirectoryChange>& aChanges)
{
  const std::string id = aEntry.id;
  const bool leaving = aEntry.leaving;
  mRemoved.erase(id);
  mEntries[id] = std::move(aEntry);
  aChanges.push_back({ Kind::Added, id });
  if (leaving) {
    aChanges.push_back({ Kind::Leaving, id });
  }
}

/// True for an entry of a removed incarnation that a copy of the store has brought back.
/// The first heartbeat that is read after the return may stand in the copy; this host may
/// not have seen the latest one before the removal.
bool
UpstreamDirectory::isOutdated(const UpstreamEntry& aEntry)
{
  const auto found = mRemoved.find(aEntry.id);
  if (found == mRemoved.end() || !found->second.restored ||
      aEntry.bornMs > found->second.bornMs) {
    return false;
  }
  auto& removed = found->second;
  if (aEntry.bornMs == removed.bornMs && removed.heartbeat != 0 &&
      aEntry.heartbeat > removed.heartbeat) {
    return false;
  }
  removed.heartbeat = std::max(removed.heartbeat, aEntry.heartbeat);
  return true;
}

void
UpstreamDirectory::storeRestored(Instant aNow)
{
  mOutageEnded = aNow;
  for (auto& [id, removed] : mRemoved) {
    removed.restored = true;
    removed.heartbeat = 0;
  }
}

void
UpstreamDirectory::erase(const std::string& aId, std::vector<DirectoryChange>& aChanges)
{
  const auto found = mEntries.find(aId);
  mRemoved[aId] = { found->second.bornMs, ++mRemovals };
  if (mRemoved.size() > kMaxRemoved) {
    mRemoved.erase(std::ranges::min_element(
      mRemoved, {}, [](const auto& aItem) { return aItem.second.order; }));
  }
  mEntries.erase(found);
  aChanges.push_back({ Kind::Vanished, aId });
}

bool
UpstreamDirectory::afterOutage(Instant aNow) const
{
  if (mLastRead && aNow - *mLastRead > kOutageGap) {
    return true;
  }
  return mOutageEnded && aNow - *mOutageEnded < kReturnTime;
}

void
UpstreamDirectory::remove(const std::string& aId,
                          Instant aNow,
                          std::vector<DirectoryChange>& aChanges)
{
  const auto found = mEntries.find(aId);
  if (found == mEntries.end()) {
    return;
  }
  if (afterOutage(aNow) && !found->second.leaving) {
    const Instant ended =
      mLastRead && aNow - *mLastRead > kOutageGap ? aNow : *mOutageEnded;
    mMissingUntil.try_emplace(aId, ended + kReturnTime);
    return;
  }
  mMissingUntil.erase(aId);
  erase(aId, aChanges);
}

void
UpstreamDirectory::replaceAll(std::vector<UpstreamEntry> aEntries,
                              Instant aNow,
                              std::vector<DirectoryChange>& aChanges)
{
  std::set<std::string> present;
  for (auto& entry : aEntries) {
    present.insert(entry.id);
    update(std::move(entry), aNow, aChanges);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mEntries) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    remove(id, aNow, aChanges);
  }
}

void
UpstreamDirectory::apply(const UpstreamListUpdate& aUpdate,
                         Instant aNow,
                         std::vector<DirectoryChange>& aChanges)
{
  for (auto entry : aUpdate.entries) {
    mRemoved.erase(entry.id); // the other host has looked at its heartbeats
    const auto found = mEntries.find(entry.id);
    if (found != mEntries.end() && found->second.bornMs == entry.bornMs) {
      // Updates carry neither heartbeats nor reports, so the last ones stay.
      entry.heartbeat = found->second.heartbeat;
      entry.engine = found->second.engine;
    }
    update(std::move(entry), aNow, aChanges);
  }
  for (const auto& id : aUpdate.removed) {
    remove(id, aNow, aChanges);
  }
}

void
UpstreamDirectory::readSucceeded(Instant aNow)
{
  if (mLastRead && aNow - *mLastRead > kOutageGap) {
    mOutageEnded = aNow;
  }
  mLastRead = aNow;
}

void
UpstreamDirectory::expire(Instant aNow, std::vector<DirectoryChange>& aChanges)
{
  for (auto item = mMissingUntil.begin(); item != mMissingUntil.end();) {
    if (aNow < item->second) {
      ++item;
      continue;
    }
    erase(item->first, aChanges);
    item = mMissingUntil.erase(item);
  }
}

void
UpstreamDirectory::markLeaving(const std::string& aId,
                               std::int64_t aBornMs,
                               std::vector<DirectoryChange>& aChanges)
{
  const auto found = mEntries.find(aId);
  if (found != mEntries.end() && found->second.bornMs == aBornMs &&
      !found->second.leaving) {
    found->second.leaving = true;
    aChanges.push_back({ Kind::Leaving, aId });
  }
}

const UpstreamEntry*
UpstreamDirectory::find(const std::string& aId) const
{
  const auto found = mEntries.find(aId);
  return found == mEntries.end() ? nullptr : &found->second;
}

} // namespace savoryrill::serving
