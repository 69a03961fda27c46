#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/types/upstreamentry.h"

namespace savoryrill::serving {

enum class OrderKind
{
  Load,
  Unload
};

/// An order for one engine. It takes effect only if the engine has accepted exactly
/// `expectedOrders` orders since its start, so that a late copy of it has no effect.
struct PlacementOrder
{
  std::string upstream;
  OrderKind kind = OrderKind::Load;
  ModelKey model;
  std::uint64_t expectedOrders = 0;
};

/// What became of an order call.
enum class OrderOutcome
{
  Accepted,      // it is being carried out
  Done,          // it was carried out at once
  AlreadyHolds,  // nothing had to be done
  Conflict,      // another order is in progress, or the count differs
  Rejected,      // the engine does not know the order
  WrongUpstream, // another incarnation has the address
  Unknown        // no response: it may be carried out, also later
};

/// Demand for a model or adapter as one host sees it.
struct DemandItem
{
  ModelKey model;
  std::uint32_t waiting = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t arrivals = 0;       // since the previous report of the host
  std::uint32_t finished = 0;       // likewise, with a complete response
  std::uint32_t priority = 0;       // lowest number, the most urgent, among the waiting
  std::optional<Duration> deadline; // earliest among the waiting, from now
  Duration timeToObjective =
    Duration::zero(); // for which one of the waiting can meet its objective
};

enum class ReplicaPhase
{
  Loading,
  Ready,
  Unloading
};

/// A model at an engine as the leader of placement sees it.
struct ReplicaView
{
  std::string model;
  ReplicaPhase phase = ReplicaPhase::Ready;
  Duration readyIn = Duration::zero(); // estimate, for Loading
  std::vector<std::string> adapters;   // ready ones

  friend bool operator==(const ReplicaView&, const ReplicaView&) = default;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::OrderKind>
{
  static constexpr EnumTable<serving::OrderKind, 2> kTable{ {
    { serving::OrderKind::Load, "load" },
    { serving::OrderKind::Unload, "unload" },
  } };
};

template<>
struct EnumNames<serving::OrderOutcome>
{
  static constexpr EnumTable<serving::OrderOutcome, 7> kTable{ {
    { serving::OrderOutcome::Accepted, "accepted" },
    { serving::OrderOutcome::Done, "done" },
    { serving::OrderOutcome::AlreadyHolds, "already-holds" },
    { serving::OrderOutcome::Conflict, "conflict" },
    { serving::OrderOutcome::Rejected, "rejected" },
    { serving::OrderOutcome::WrongUpstream, "wrong-upstream" },
    { serving::OrderOutcome::Unknown, "unknown" },
  } };
};

} // namespace savoryrill
