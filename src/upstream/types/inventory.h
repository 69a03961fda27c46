#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "config/types/configuration.h"

namespace savoryrill::upstream {

enum class ReplicaState
{
  Absent, // not loaded; listed only to report the locality of its checkpoint copy
  Loading,
  Loaded,
  Unloading
};

/// Where the nearest checkpoint copy is: in the engine's memory, on its disk, or only in
/// the weight store.
enum class CheckpointLocality
{
  Memory,
  Disk,
  Remote
};

struct ResidentModel
{
  config::Loadable loadable;
  ReplicaState state = ReplicaState::Absent;
  std::uint32_t footprintMb = 0;
  CheckpointLocality locality = CheckpointLocality::Remote;
  std::vector<std::string> adapters; // loaded adapters
};

/// Load as last sampled by the engine, so it may be outdated.
struct LoadReport
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double kvCacheUsed = 0; // fraction from 0 to 1
};

/// State of an engine at the time of its response, except that the load report may be
/// older.
struct Inventory
{
  std::uint64_t incarnation = 0;   // changes when the engine restarts
  std::uint64_t fencingNumber = 0; // highest accepted one; 0 if the engine ignores them
  std::uint32_t memoryMb = 0;
  bool leaving = false;
  std::string role;
  std::vector<ResidentModel> models;
  LoadReport load;
};

enum class OrderKind
{
  Load,
  Unload,
  LoadAdapter,
  UnloadAdapter,
  SetRole,
  Adopt // changes nothing but the highest fencing number that the engine has accepted
};

/// An order to an engine. The engine recognises a repeated order by its `orderId` and
/// does not carry it out again.
struct Order
{
  std::string orderId;
  OrderKind kind = OrderKind::Load;
  config::Loadable loadable;
  std::string adapter;
  std::string role;
  std::uint32_t footprintMb = 0;
  std::uint64_t fencingNumber = 0;
  Duration timeToLive = 2s;
};

enum class OrderOutcome
{
  Accepted, // will be carried out; the inventory shows the progress
  StaleFencing,
  Expired,
  OutOfMemory,
  Rejected, // refused for another reason, without effect
  NotSent,  // certainly did not reach the engine
  Unknown   // may or may not take effect
};

/// An event of the engine's prefix cache. Events are reported late and some are lost.
struct CacheEvent
{
  std::uint64_t sequence = 0;
  bool stored = true; // false: evicted
  config::Loadable loadable;
  std::uint64_t prefixHash = 0;
};

} // namespace savoryrill::upstream

namespace savoryrill {

template<>
struct EnumNames<upstream::ReplicaState>
{
  static constexpr EnumTable<upstream::ReplicaState, 4> kTable{ {
    { upstream::ReplicaState::Absent, "absent" },
    { upstream::ReplicaState::Loading, "loading" },
    { upstream::ReplicaState::Loaded, "loaded" },
    { upstream::ReplicaState::Unloading, "unloading" },
  } };
};

template<>
struct EnumNames<upstream::CheckpointLocality>
{
  static constexpr EnumTable<upstream::CheckpointLocality, 3> kTable{ {
    { upstream::CheckpointLocality::Memory, "memory" },
    { upstream::CheckpointLocality::Disk, "disk" },
    { upstream::CheckpointLocality::Remote, "remote" },
  } };
};

template<>
struct EnumNames<upstream::OrderKind>
{
  static constexpr EnumTable<upstream::OrderKind, 6> kTable{ {
    { upstream::OrderKind::Load, "load" },
    { upstream::OrderKind::Unload, "unload" },
    { upstream::OrderKind::LoadAdapter, "load_adapter" },
    { upstream::OrderKind::UnloadAdapter, "unload_adapter" },
    { upstream::OrderKind::SetRole, "set_role" },
    { upstream::OrderKind::Adopt, "adopt" },
  } };
};

template<>
struct EnumNames<upstream::OrderOutcome>
{
  static constexpr EnumTable<upstream::OrderOutcome, 7> kTable{ {
    { upstream::OrderOutcome::Accepted, "accepted" },
    { upstream::OrderOutcome::StaleFencing, "stale_fencing" },
    { upstream::OrderOutcome::Expired, "order_expired" },
    { upstream::OrderOutcome::OutOfMemory, "out_of_memory" },
    { upstream::OrderOutcome::Rejected, "rejected" },
    { upstream::OrderOutcome::NotSent, "not_sent" },
    { upstream::OrderOutcome::Unknown, "unknown" },
  } };
};

} // namespace savoryrill
