#include "testing/internal/prefixcache.h"

#include <algorithm>

#include "testing/internal/json.h"

namespace savoryrill::testing {

namespace {

constexpr std::size_t kMaxEvents = 4096;

} // namespace

PrefixCache::PrefixCache(PrefixCacheOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
{
}

bool
PrefixCache::use(const std::string& aLoadable, std::uint64_t aPrefix, Instant aNow)
{
  const Entry entry{ aLoadable, aPrefix };
  const auto found = std::find(mEntries.begin(), mEntries.end(), entry);
  if (found != mEntries.end()) {
    mEntries.splice(mEntries.begin(), mEntries, found);
    return true;
  }
  mEntries.push_front(entry);
  log(true, entry, aNow);
  if (mEntries.size() > mOptions.entries) {
    log(false, mEntries.back(), aNow);
    mEntries.pop_back();
  }
  return false;
}

void
PrefixCache::evictModel(const std::string& aLoadable, Instant aNow)
{
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    if (entry->loadable != aLoadable) {
      ++entry;
      continue;
    }
    log(false, *entry, aNow);
    entry = mEntries.erase(entry);
  }
}

void
PrefixCache::log(bool aStored, const Entry& aEntry, Instant aNow)
{
  ++mSequence;
  const double draw = std::generate_canonical<double, 53>(mRandom);
  if (draw < mOptions.eventDropShare) {
    return;
  }
  mEvents.push_back({ mSequence, aStored, aEntry, aNow + mOptions.eventDelay });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

Json::Value
PrefixCache::eventsAfter(std::uint64_t aAfter, Instant aNow) const
{
  Json::Value answer;
  answer["events"] = Json::arrayValue;
  for (const auto& event : mEvents) {
    if (event.sequence <= aAfter || aNow < event.visible) {
      continue;
    }
    const auto at = event.entry.loadable.find('@');
    answer["events"].append(
      fields({ { "sequence", Json::UInt64(event.sequence) },
               { "kind", event.stored ? "stored" : "evicted" },
               { "model", event.entry.loadable.substr(0, at) },
               { "version", event.entry.loadable.substr(at + 1) },
               { "prefix_hash", std::to_string(event.entry.prefix) } }));
  }
  return answer;
}

} // namespace savoryrill::testing
