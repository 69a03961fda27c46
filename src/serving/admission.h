#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"

namespace savoryrill::serving {

// Admission of requests for models whose replicas are all busy. It handles this load
// pattern: demand moves to a model whose checkpoint only a few engines have, and loading
// further replicas takes longer than callers wait. Without a bound on the backlog all
// waiting requests miss their objective, and those refused in the end have waited for
// nothing.

/// Exponential moving average of the requests completed per second. Not thread safe.
class CompletionRate
{
public:
  /// Adds requests that were completed since the previous call.
  void completed(std::uint32_t aCount, Instant aNow);
  /// Requests per second; nothing within `kMinAge` of the first completed request.
  std::optional<double> perSecond(Instant aNow) const;

private:
  // Follows a change of demand within seconds and averages over a few demand reports.
  static constexpr Duration kTimeConstant = 2s;
  static constexpr Duration kMinAge = 1s;

  double mMean = 0;
  std::optional<Instant> mStart;
  Instant mUpdated{};
};

/// Decides whether a new request joins the queue of a model whose backlog takes
/// `aBacklogTime`, with `aTimeToObjective` left to meet the objective of the request. A
/// request that would start too late also delays all that arrive after it, so it is
/// refused at once, while its caller still has time to retry. Thread safe.
inline bool
shouldQueue(Duration aBacklogTime, Duration aTimeToObjective)
{
  return aBacklogTime <= aTimeToObjective;
}

} // namespace savoryrill::serving
