#pragma once

#include <cstdint>
#include <deque>
#include <json/value.h>
#include <list>
#include <random>
#include <string>

#include "base/types/time.h"
#include "testing/types/engineoptions.h"

namespace savoryrill::testing {

/// Least-recently-used cache of prompt prefixes with an event log that is late and has
/// gaps: a dropped event uses up its sequence number. Free of I/O; not thread safe.
class PrefixCache
{
public:
  explicit PrefixCache(PrefixCacheOptions aOptions);

  /// True if the prefix was cached; it is cached afterwards in any case.
  bool use(const std::string& aLoadable, std::uint64_t aPrefix, Instant aNow);

  /// Evicts all prefixes of a model that is unloaded.
  void evictModel(const std::string& aLoadable, Instant aNow);

  /// Visible events above `aAfter`, oldest first, as in `GET /control/cache-events`.
  Json::Value eventsAfter(std::uint64_t aAfter, Instant aNow) const;

private:
  struct Entry
  {
    std::string loadable;
    std::uint64_t prefix = 0;
    bool operator==(const Entry&) const = default;
  };
  struct Event
  {
    std::uint64_t sequence = 0;
    bool stored = true;
    Entry entry;
    Instant visible;
  };

  void log(bool aStored, const Entry& aEntry, Instant aNow);

  PrefixCacheOptions mOptions;
  std::list<Entry> mEntries; // most recent first
  std::deque<Event> mEvents;
  std::uint64_t mSequence = 0;
  std::mt19937_64 mRandom;
};

} // namespace savoryrill::testing
