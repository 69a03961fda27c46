#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/types/time.h"
#include "routing/types/refusal.h"

namespace savoryrill::routing {

/// Smoothed observed durations, by name. An estimate fades with a half-life while nothing
/// is observed, so that a slow period cannot make admission refuse everything for good.
/// Not thread safe; no I/O.
class DurationEstimator
{
public:
  /// Adds an observation.
  void observe(const std::string& aName, Duration aTime, Instant aNow);

  /// The estimate; nothing before the first observation.
  std::optional<Duration> estimate(const std::string& aName, Instant aNow) const;

private:
  struct Estimate
  {
    double microseconds = 0;
    Instant observedAt;
  };
  std::map<std::string, Estimate> mEstimates;
};

/// What admission knows of a request's way to an answer.
struct AdmissionInput
{
  Duration untilDeadline = Duration::zero();
  std::size_t requestsAhead = 0; // in the queue of this router
  std::uint32_t slots = 0;       // concurrent requests at loaded replicas
  /// Time until a place exists, if there is none: the rest of a load in progress, or the
  /// expected time of a load.
  Duration untilLoaded = Duration::zero();
  Duration serviceTime = Duration::zero(); // 0 if never observed
};

struct AdmissionDecision
{
  bool admitted = true;
  Duration estimate = Duration::zero(); // time to the answer
};

/// Estimates queue, load and service time and compares them with the deadline. Thread
/// safe.
AdmissionDecision
admit(const AdmissionInput& aInput);

} // namespace savoryrill::routing
