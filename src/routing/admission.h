#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/types/time.h"
#include "routing/types/refusal.h"

namespace savoryrill::routing {

/// Exponentially weighted moving averages of observed durations, by name. Without new
/// observations an estimate decays with a fixed half-life. Otherwise admission could
/// refuse all requests after a slow period and would never observe a faster one. Not
/// thread safe; no I/O.
class DurationEstimator
{
public:
  /// Adds an observation.
  void observe(const std::string& aName, Duration aTime, Instant aNow);

  /// Returns the estimate, or nothing before the first observation.
  std::optional<Duration> estimate(const std::string& aName, Instant aNow) const;

private:
  struct Estimate
  {
    double microseconds = 0;
    Instant observedAt;
  };
  std::map<std::string, Estimate> mEstimates;
};

/// What is known about the time that a request needs until its response is complete.
struct AdmissionInput
{
  Duration untilDeadline = Duration::zero();
  std::size_t requestsAhead = 0; // served earlier from this router's queue
  std::uint32_t slots = 0;       // concurrent requests at loaded replicas
  /// Time until a slot exists, used while there is none: the remaining time of a load in
  /// progress, or the expected duration of a load.
  Duration untilLoaded = Duration::zero();
  /// Expected time from dispatch to the complete response; 0 if never observed.
  Duration serviceTime = Duration::zero();
};

struct AdmissionDecision
{
  bool admitted = true;
  Duration estimate = Duration::zero(); // time until the response is complete
};

/// Estimates the time for waiting in the queue, for loading a replica if none is loaded
/// and for the service, and admits the request if the sum does not exceed the time until
/// its deadline. Thread safe.
AdmissionDecision
admit(const AdmissionInput& aInput);

} // namespace savoryrill::routing
