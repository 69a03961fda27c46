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
/// `expectedOrders` orders since its start, so that a duplicate that arrives late has
/// no effect.
struct PlacementOrder
{
  std::string upstream;
  OrderKind kind = OrderKind::Load;
  ModelKey model;
  std::uint64_t expectedOrders = 0;
};

/// Outcome of sending an order.
enum class OrderOutcome
{
  Accepted,      // the engine is carrying it out
  Done,          // the engine carried it out at once
  AlreadyHolds,  // the engine was already in the ordered state
  Conflict,      // another order is in progress, or `expectedOrders` differs
  Rejected,      // the engine does not support the order
  WrongUpstream, // the address belongs to another incarnation
  Unknown        // no response: the engine may carry it out, even later
};

/// Why a model with waiting requests is not loaded yet: of the engines with a checkpoint
/// copy, the obstacle at the one that will probably be free first.
enum class PlacementObstacle
{
  OrderInProgress, // the engine carries out another order
  ReplicaUnused,   // a replica loaded just now has not served a request yet
  ModelsInUse,     // the only replicas of models with requests in progress
  ReplicasNeeded,  // the other replicas of a model could not take over its requests
  NoCopy           // no engine has a copy; the weight store is busy or all engines are
};

/// A model with waiting requests that no engine could load at the last plan.
struct BlockedModel
{
  std::string model;
  PlacementObstacle obstacle = PlacementObstacle::NoCopy;
  std::uint32_t waiting = 0;
  std::uint32_t engines = 0; // with a checkpoint copy
};

/// Demand of one host for a model or adapter.
struct DemandItem
{
  ModelKey model;
  std::uint32_t waiting = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t arrivals = 0; // since the host's previous report
  std::uint32_t finished = 0; // likewise, with a complete response
  /// Time until the first caller of a waiting request gives up.
  std::optional<Duration> firstLeavesIn;
  /// Longest time left to a waiting request to meet its objective.
  Duration timeToObjective = Duration::zero();
};

enum class ReplicaPhase
{
  Loading,
  Ready,
  Unloading
};

/// A replica at an engine, as known to the leader.
struct ReplicaView
{
  std::string model;
  ReplicaPhase phase = ReplicaPhase::Ready;
  Duration readyIn = Duration::zero(); // expected time, while `Loading`
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
struct EnumNames<serving::PlacementObstacle>
{
  static constexpr EnumTable<serving::PlacementObstacle, 5> kTable{ {
    { serving::PlacementObstacle::OrderInProgress, "order-in-progress" },
    { serving::PlacementObstacle::ReplicaUnused, "replica-unused" },
    { serving::PlacementObstacle::ModelsInUse, "models-in-use" },
    { serving::PlacementObstacle::ReplicasNeeded, "replicas-needed" },
    { serving::PlacementObstacle::NoCopy, "no-copy" },
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
