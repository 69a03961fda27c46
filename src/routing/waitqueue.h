#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::routing {

struct WaitingRequest
{
  std::uint64_t request = 0;
  config::Priority priority = config::Priority::Normal;
  Instant arrival;
  Instant deadline;
  Instant notBefore; // end of the back-off of a retry
  std::size_t bytes = 0;
  config::ModelReference model; // empty for a plain service
};

/// Result of offering a request to a queue.
struct OfferResult
{
  bool accepted = false;
  std::vector<std::uint64_t> shed; // requests that were removed to make room for it
};

/// Priority queue of the requests that wait for one deployment or service, bounded by
/// count and bytes. The higher priority is served first, and the earlier deadline within
/// a priority. Waiting raises the priority by one step per aging period. Not thread safe;
/// no I/O.
class WaitQueue
{
public:
  struct Limits
  {
    std::size_t maxCount = 64;
    std::size_t maxBytes = 1024 * 1024;
    Duration agingPeriod = 5s; // per step of priority
  };

  explicit WaitQueue(Limits aLimits)
    : mLimits(aLimits)
  {
  }

  /// Changes the limits. Requests that exceed the new limits stay in the queue.
  void setLimits(Limits aLimits) { mLimits = aLimits; }

  /// Adds a request if there is room, or if removing requests of lower priority makes
  /// room; else changes nothing. Compares the original priorities, without aging.
  OfferResult offer(WaitingRequest aWaiting);

  /// Puts a request back into the queue from which it was taken, regardless of the
  /// limits: a request that was admitted once is not refused before its deadline.
  void putBack(WaitingRequest aWaiting) { mWaiting.push_back(std::move(aWaiting)); }

  /// Removes and returns the first request in the order of service that is not backing
  /// off and for which `aCanServe` returns true; nothing if there is none.
  std::optional<WaitingRequest> take(
    Instant aNow,
    const std::function<bool(const WaitingRequest&)>& aCanServe);

  /// Removes a request; returns false if it is not in the queue.
  bool remove(std::uint64_t aRequest);

  /// Number of waiting requests that would be served before a new one of this priority
  /// and deadline.
  std::size_t countAheadOf(config::Priority aPriority,
                           Instant aDeadline,
                           Instant aNow) const;

  /// Earliest end of a back-off after `aNow`; nothing if no request is backing off.
  std::optional<Instant> nextBackOffEnd(Instant aNow) const;

  const std::vector<WaitingRequest>& waiting() const { return mWaiting; }
  std::size_t count() const { return mWaiting.size(); }
  std::size_t bytes() const;

private:
  int agedPriority(config::Priority aPriority, Instant aArrival, Instant aNow) const;

  Limits mLimits;
  std::vector<WaitingRequest> mWaiting;
};

} // namespace savoryrill::routing
