#pragma once

#include <cstdint>
#include <json/json.h>
#include <map>
#include <string>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "routing/types/refusal.h"

namespace savoryrill::router {

/// Counts of good and bad requests per deployment and minute, from which reports compute
/// how much of each objective's error budget is used. Minutes are those of the wall clock
/// and serve reports only. Not thread safe; no I/O.
class ObjectiveStatistics
{
public:
  /// Minutes kept per deployment; the oldest is dropped first.
  static constexpr std::size_t kMaxMinutes = 180;

  /// Counts a request that got a response other than a refusal.
  void addResponse(const std::string& aDeployment, std::int64_t aMinute);

  /// Counts a refusal. It lowers the availability unless the caller caused it by using an
  /// idempotency key for a different request or for one that is still in progress.
  void addRefusal(const std::string& aDeployment,
                  routing::RefusalReason aReason,
                  std::int64_t aMinute);

  /// Counts the time to the first token at a loaded replica.
  void addFirstToken(const std::string& aDeployment,
                     Duration aTime,
                     const config::Objectives& aObjectives,
                     std::int64_t aMinute);

  /// Counts the time to the first token of a request that waited for a load.
  void addColdStart(const std::string& aDeployment,
                    Duration aTime,
                    const config::Objectives& aObjectives,
                    std::int64_t aMinute);

  /// All kept minutes, by deployment.
  Json::Value toJson() const;

private:
  struct Count
  {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
  };
  struct Minute
  {
    Count availability;
    Count firstToken;
    Count coldStart;
    std::map<routing::RefusalReason, std::uint64_t> refusals;
    std::int64_t maxColdStartMs = 0;
  };

  Minute& minuteOf(const std::string& aDeployment, std::int64_t aMinute);
  static Json::Value toJson(const Count& aCount);

  std::map<std::string, std::map<std::int64_t, Minute>> mDeployments;
};

} // namespace savoryrill::router
