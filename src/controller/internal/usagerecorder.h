#pragma once

#include <cstdint>
#include <deque>
#include <json/json.h>
#include <map>
#include <string>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::controller {

/// Records for `savoryrill report`: loaded and idle accelerator time per model, and cold
/// loads, in total and in buckets of one minute. The numbers of buckets and of listed
/// cold loads are bounded. Not thread safe.
class UsageRecorder
{
public:
  static constexpr std::size_t kMaxMinutes = 24 * 60;
  static constexpr std::size_t kMaxColdLoads = 2000;

  /// Adds time for which a replica was loaded; `aIdle`: without demand. `aWallTime` is
  /// the time since 1970 in UTC.
  void addReplicaTime(const config::Loadable& aLoadable,
                      Duration aTime,
                      bool aIdle,
                      Duration aWallTime);

  /// Adds a load that finished `aDuration` after its order.
  void addColdLoad(const config::Loadable& aLoadable,
                   const std::string& aUpstream,
                   Duration aDuration,
                   Duration aWallTime);

  /// `{"models": {name: {loaded_s, idle_s, cold_loads}}, "cold_loads": [...],
  /// "minutes": [{minute, models: {...}}]}`; minutes are counted from 1970.
  Json::Value toJson() const;

private:
  struct Totals
  {
    Duration loaded{};
    Duration idle{};
    std::uint64_t coldLoads = 0;
  };
  struct ColdLoad
  {
    config::Loadable loadable;
    std::string upstream;
    Duration duration{};
    Duration wallTime{};
  };
  using Models = std::map<config::Loadable, Totals>;
  struct Bucket
  {
    std::int64_t minute = 0;
    Models models;
  };
  static Json::Value modelsJson(const Models& aModels);
  Totals& bucketOf(const config::Loadable& aLoadable, Duration aWallTime);

  Models mTotals;
  std::deque<ColdLoad> mColdLoads;
  std::deque<Bucket> mBuckets;
};

} // namespace savoryrill::controller
