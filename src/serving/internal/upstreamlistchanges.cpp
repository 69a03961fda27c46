#include "serving/upstreamlistchanges.h"

#include <algorithm>
#include <vector>

namespace savoryrill::serving {

namespace {

/// The entry without its heartbeat count and engine report.
UpstreamEntry
withoutEngineState(const UpstreamEntry& aEntry)
{
  UpstreamEntry stripped;
  stripped.id = aEntry.id;
  stripped.bornMs = aEntry.bornMs;
  stripped.group = aEntry.group;
  stripped.dataCentre = aEntry.dataCentre;
  stripped.endpoint = aEntry.endpoint;
  stripped.concurrency = aEntry.concurrency;
  stripped.leaving = aEntry.leaving;
  stripped.leavesIn = aEntry.leavesIn;
  return stripped;
}

/// True if no field that hosts need to send requests differs.
bool
sameForHosts(const UpstreamEntry& aOne, const UpstreamEntry& aOther)
{
  // `leavesIn` counts down with each entry and is left out.
  return aOne.bornMs == aOther.bornMs && aOne.group == aOther.group &&
         aOne.dataCentre == aOther.dataCentre && aOne.endpoint == aOther.endpoint &&
         aOne.concurrency == aOther.concurrency && aOne.leaving == aOther.leaving;
}

} // namespace

void
UpstreamListChanges::update(const UpstreamEntry& aEntry)
{
  mRemoved.erase(aEntry.id);
  const auto found = mItems.find(aEntry.id);
  if (found != mItems.end() && sameForHosts(found->second.entry, aEntry)) {
    return;
  }
  mItems[aEntry.id] = { withoutEngineState(aEntry), aEntry.rowVersion };
}

void
UpstreamListChanges::remove(const std::string& aId, std::uint64_t aVersion)
{
  mItems.erase(aId);
  mRemoved[aId] = aVersion;
  if (mRemoved.size() > kMaxRemovals) {
    const auto oldest = std::ranges::min_element(
      mRemoved, {}, [](const auto& aItem) { return aItem.second; });
    mOldestBase = std::max(mOldestBase, oldest->second);
    mRemoved.erase(oldest);
  }
}

void
UpstreamListChanges::apply(const UpstreamListUpdate& aUpdate)
{
  for (auto entry : aUpdate.entries) {
    // Updates do not tell when within their range an entry has changed.
    entry.rowVersion = aUpdate.version;
    update(entry);
  }
  for (const auto& id : aUpdate.removed) {
    remove(id, aUpdate.version);
  }
  setVersion(aUpdate.version);
}

void
UpstreamListChanges::retainOnly(const std::set<std::string>& aIds, std::uint64_t aVersion)
{
  if (mVersion != 0 && aVersion > mVersion) {
    mGaps[mVersion] = aVersion;
    if (mGaps.size() > kMaxGaps) {
      mOldestBase = std::max(mOldestBase, mGaps.begin()->second);
      mGaps.erase(mGaps.begin());
    }
  }
  std::vector<std::string> missing;
  for (const auto& [id, item] : mItems) {
    if (!aIds.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    remove(id, aVersion);
  }
}

void
UpstreamListChanges::setVersion(std::uint64_t aVersion)
{
  if (mVersion == 0) {
    mOldestBase = aVersion; // removals before the first read are unknown
  }
  mVersion = std::max(mVersion, aVersion);
}

std::optional<UpstreamListUpdate>
UpstreamListChanges::since(std::uint64_t aBase) const
{
  const bool in_gap = std::ranges::any_of(
    mGaps, [&](const auto& aGap) { return aBase > aGap.first && aBase < aGap.second; });
  if (mVersion == 0 || aBase < mOldestBase || in_gap) {
    return std::nullopt;
  }
  UpstreamListUpdate update;
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
