#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"

namespace savoryrill::serving {

// Decisions about requests for models whose copies are all full. The load pattern: demand
// moves to a model that only a few engines have a checkpoint of, and further copies take
// longer than callers wait. Without a bound all waiting requests become late, and those
// that are refused in the end have been held for nothing.

/// Requests that end per second, as a moving mean. Not thread safe.
class CompletionRate
{
public:
  /// Requests have ended since the previous call, at any time since then.
  void completed(std::uint32_t aCount, Instant aNow);
  /// Nothing before the mean has seen `kMinAge` of requests.
  std::optional<double> perSecond(Instant aNow) const;

private:
  // Follows a change of demand within seconds and smooths over a few reports.
  static constexpr Duration kTimeConstant = 2s;
  static constexpr Duration kMinAge = 1s;

  double mMean = 0;
  std::optional<Instant> mStart;
  Instant mUpdated{};
};

/// Tells whether a request that has just arrived should wait for a model whose backlog
/// takes `aBacklogTime`, with `aTimeToObjective` left to meet its objective. A later
/// start would also delay all that arrive after it, so it is refused while it can still
/// come back. Thread safe.
inline bool
shouldQueue(Duration aBacklogTime, Duration aTimeToObjective)
{
  return aBacklogTime <= aTimeToObjective;
}

} // namespace savoryrill::serving
