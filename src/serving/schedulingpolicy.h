#pragma once

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/types/waitingrequest.h"

namespace savoryrill::serving {

// Order and admission of requests that wait for capacity. It handles this load pattern:
// several kinds of requests with different objectives wait for the same engines, a burst
// brings more than the engines can serve, and one organisation sends several times its
// usual amount. In order of priority and age, urgent requests are refused on account of a
// backlog of less urgent ones, and requests that are late already delay those that are
// not.

/// By priority, then by age. The order without the setting `scheduling`.
struct PriorityThenAge
{};

// Alternatives that the replays compare with; see docs/design/scarce-capacity.md. Each
// orders by priority first.

/// By the time to the objective less the expected time to the first event.
struct LeastSlack
{};
/// By the expected time in a slot.
struct ShortestWork
{};
/// By the time at which the caller leaves.
struct EarliestDeadline
{};

/// By priority; within it, requests that can meet their objective before those that
/// cannot. The former by least slack; the latter by shortest work, less a credit for the
/// time that they have waited. Among requests for which this differs little,
/// organisations take turns by their counters. Promoted requests go first.
struct InTimeFirst
{};

using SchedulingPolicy =
  std::variant<PriorityThenAge, LeastSlack, ShortestWork, EarliestDeadline, InTimeFirst>;

/// Positions in `aRequests` in the order in which the requests should be sent. Thread
/// safe.
std::vector<std::size_t>
sendingOrder(const SchedulingPolicy& aPolicy,
             std::span<const WaitingRequest> aRequests,
             Instant aNow);

/// What happens to a request that has just arrived and cannot be sent at once.
enum class ArrivalDecision
{
  Wait,
  RefuseLate,    // it would miss its objective and delay others
  RefuseHopeless // its caller would leave before it is served
};

struct ArrivalAssessment
{
  ArrivalDecision decision = ArrivalDecision::Wait;
  Duration ahead = Duration::zero(); // expected time until it is sent
};

/// Decides about an arriving request. `aWaiting` are the requests that wait for the same
/// upstreams at this host, and `aBacklog` is the time until all that wait anywhere are
/// served. The part of it that passes before the new request is sent is estimated from
/// the order of the requests of this host. Thread safe.
ArrivalAssessment
assessArrival(const SchedulingPolicy& aPolicy,
              const WaitingRequest& aArriving,
              std::span<const WaitingRequest> aWaiting,
              Duration aBacklog,
              Instant aNow);

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::ArrivalDecision>
{
  static constexpr EnumTable<serving::ArrivalDecision, 3> kTable{ {
    { serving::ArrivalDecision::Wait, "wait" },
    { serving::ArrivalDecision::RefuseLate, "refuse-late" },
    { serving::ArrivalDecision::RefuseHopeless, "refuse-hopeless" },
  } };
};

} // namespace savoryrill
