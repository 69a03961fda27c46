#include "serving/listchanges.h"

#include <algorithm>
#include <vector>

namespace savoryrill::serving {

namespace {

/// The entry without heartbeats and without what an engine holds.
UpstreamEntry
listingOf(const UpstreamEntry& aEntry)
{
  UpstreamEntry listing;
  listing.id = aEntry.id;
  listing.bornMs = aEntry.bornMs;
  listing.group = aEntry.group;
  listing.dataCentre = aEntry.dataCentre;
  listing.endpoint = aEntry.endpoint;
  listing.concurrency = aEntry.concurrency;
  listing.leaving = aEntry.leaving;
  listing.leavesIn = aEntry.leavesIn;
  return listing;
}

bool
sameListing(const UpstreamEntry& aOne, const UpstreamEntry& aOther)
{
  // The time until an upstream leaves counts down with each entry.
  return aOne.bornMs == aOther.bornMs && aOne.group == aOther.group &&
         aOne.dataCentre == aOther.dataCentre && aOne.endpoint == aOther.endpoint &&
         aOne.concurrency == aOther.concurrency && aOne.leaving == aOther.leaving;
}

} // namespace

void
ListChanges::listed(const UpstreamEntry& aEntry)
{
  mRemoved.erase(aEntry.id);
  const auto found = mItems.find(aEntry.id);
  if (found != mItems.end() && sameListing(found->second.entry, aEntry)) {
    return;
  }
  mItems[aEntry.id] = { listingOf(aEntry), aEntry.rowVersion };
}

void
ListChanges::removed(const std::string& aId, std::uint64_t aVersion)
{
  mItems.erase(aId);
  mRemoved[aId] = aVersion;
  if (mRemoved.size() > kMostRemoved) {
    const auto oldest = std::ranges::min_element(
      mRemoved, {}, [](const auto& aItem) { return aItem.second; });
    mHorizon = std::max(mHorizon, oldest->second);
    mRemoved.erase(oldest);
  }
}

void
ListChanges::keepOnly(const std::set<std::string>& aIds, std::uint64_t aVersion)
{
  std::vector<std::string> missing;
  for (const auto& [id, item] : mItems) {
    if (!aIds.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    removed(id, aVersion);
  }
}

void
ListChanges::readUpTo(std::uint64_t aVersion)
{
  if (mVersion == 0) {
    mHorizon = aVersion; // what was removed before the first read is not known
  }
  mVersion = std::max(mVersion, aVersion);
}

std::optional<ListUpdate>
ListChanges::since(std::uint64_t aBase) const
{
  if (mVersion == 0 || aBase < mHorizon) {
    return std::nullopt;
  }
  ListUpdate update;
  update.base = aBase;
  update.version = mVersion;
  for (const auto& [id, item] : mItems) {
    if (item.changed > aBase) {
      update.entries.push_back(item.entry);
    }
  }
  for (const auto& [id, version] : mRemoved) {
    if (version > aBase) {
      update.removed.push_back(id);
    }
  }
  return update;
}

} // namespace savoryrill::serving
