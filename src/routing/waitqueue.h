#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::routing {

/// A waiting request.
struct WaitingRequest
{
  std::uint64_t request = 0;
  config::Priority priority = config::Priority::Normal;
  Instant arrival;
  Instant deadline;
  Instant notBefore; // of a retry that backs off
  std::size_t bytes = 0;
  config::ModelReference model; // empty for a plain service
};

/// What happened to a request that was offered to a queue.
struct OfferResult
{
  bool accepted = false;
  std::vector<std::uint64_t> shed; // requests that lost their place to it
};

/// Waiting requests of one deployment or service, bounded by count and bytes. Order: the
/// higher priority first, where waiting raises the priority by one step per aging
/// period; within a priority the earlier deadline. Not thread safe; no I/O.
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

  /// Changes the limits; requests above new limits keep their place.
  void setLimits(Limits aLimits) { mLimits = aLimits; }

  /// Takes a request if there is room, or if dropping requests of strictly lower
  /// (unaged) priority makes room; else changes nothing.
  OfferResult offer(WaitingRequest aWaiting);

  /// Puts a request back that had left the queue, regardless of the limits: it holds its
  /// place until its deadline, as the request was admitted before.
  void putBack(WaitingRequest aWaiting) { mWaiting.push_back(std::move(aWaiting)); }

  /// Removes and returns the first request in order, of those that are not backing off
  /// and for which `aCanServe` is true.
  std::optional<WaitingRequest> take(
    Instant aNow,
    const std::function<bool(const WaitingRequest&)>& aCanServe);

  /// Removes a request; false if it is not here.
  bool remove(std::uint64_t aRequest);

  /// Waiting requests that would be served before one of this priority and deadline.
  std::size_t countAheadOf(config::Priority aPriority,
                           Instant aDeadline,
                           Instant aNow) const;

  /// End of the earliest back-off that is not over; nothing if no request backs off.
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
