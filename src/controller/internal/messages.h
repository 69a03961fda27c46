#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "placement/ownershiptracker.h"
#include "placement/types/fleet.h"
#include "placement/types/rows.h"
#include "transport/proto/peer.pb.h"
#include "upstream/types/inventory.h"

namespace savoryrill::controller {

using ConfigurationPtr = std::shared_ptr<const config::Configuration>;

/// A configuration is in force.
struct ConfigAdopted
{
  ConfigurationPtr configuration;
};

/// The table's `config/head` row names the configuration in force.
struct HeadConfirmed
{
  std::uint64_t rowVersion = 0;
  std::uint64_t configVersion = 0;
};

/// A gossip entry is new or newer, or has expired (empty payload).
struct EntryChanged
{
  peer::Entry entry;
};

/// Ownership of an upstream began or ended.
struct OwnershipChanged
{
  std::string upstream;
  bool owned = false;
  placement::Ownership ownership;
};

/// Live controllers of the own and of all data centres.
struct LiveHostsChanged
{
  std::set<std::string> ownDataCentre;
  std::set<std::string> allDataCentres;
};

using Assignments =
  std::map<config::Loadable, placement::Versioned<placement::AssignmentRow>>;
using SlotsRows = std::map<std::string, placement::Versioned<placement::SlotsRow>>;

/// The assignment and slots rows as far as they are known.
struct AssignmentsUpdated
{
  std::shared_ptr<const Assignments> assignments;
  std::shared_ptr<const SlotsRows> slots;
  std::optional<Instant> readSentAt; // of the latest table read
};

/// A replica in an owned engine.
struct ReplicaReport
{
  upstream::ReplicaState state = upstream::ReplicaState::Absent;
  std::uint32_t footprintMb = 0;
  std::set<std::string> adapters;
  bool fromStore = false;
};

/// What the owner of an engine knows after each inventory and order.
struct EngineReport
{
  std::string upstream;
  bool ready = false; // orders may be sent
  std::uint32_t freeMb = 0;
  std::uint32_t freeAdapterMb = 0;
  std::uint32_t capacityMb = 0;
  std::map<config::Loadable, ReplicaReport> replicas; // reserved ones included
  std::map<config::Loadable, upstream::CheckpointLocality> checkpoints;
  std::set<config::ModelReference> adapters; // held or ordered
  std::size_t adapterLoads = 0;              // not settled yet
  double storeSlowdown = 1;                  // measured load time over expected one
};

struct EngineReported
{
  std::shared_ptr<const EngineReport> engine; // `ready` false and empty after ownership
};

/// Orders for the engine task.
struct OrderLoad
{
  std::string upstream;
  config::Loadable loadable;
  bool fromStore = true;
  Duration expected = 10s;
};
struct OrderUnload
{
  std::string upstream;
  config::Loadable loadable;
  std::string reason;
};
struct OrderAdapter
{
  std::string upstream;
  config::ModelReference adapter;
  bool load = true;
};

/// A releasing place whose replica is gone for certain.
struct PlaceFreed
{
  std::string upstream;
  config::Loadable loadable;
  placement::Ownership ownership;
};

/// The session task wants to release an upstream: no further orders.
struct QuiesceUpstream
{
  std::string upstream;
};
/// No order to the upstream can still take effect.
struct UpstreamQuiesced
{
  std::string upstream;
};

/// An engine has accepted a newer owner.
struct OwnerSuperseded
{
  std::string upstream;
};

/// Names in the platform's host list, from a read sent at `sentAt`.
struct HostListRead
{
  std::set<std::string> names;
  Instant sentAt;
};

/// An engine reports itself as leaving.
struct EngineLeaving
{
  std::string upstream;
  std::uint64_t incarnation = 0;
};

/// This host is to be drained: hand over everything.
struct HostDrainRequested
{
  std::string source;
};

/// A replica finished loading.
struct ReplicaLoaded
{
  config::Loadable loadable;
  std::string upstream;
  Duration duration{};
  bool ordered = false; // by this owner, so that the duration is known
};

using ConfigMessage = std::variant<EntryChanged>;
using SessionMessage =
  std::variant<ConfigAdopted, UpstreamQuiesced, OwnerSuperseded, HostDrainRequested>;
using EngineMessage = std::variant<ConfigAdopted,
                                   OwnershipChanged,
                                   AssignmentsUpdated,
                                   OrderLoad,
                                   OrderUnload,
                                   OrderAdapter,
                                   QuiesceUpstream,
                                   HostListRead>;
using AssignmentMessage = std::variant<ConfigAdopted,
                                       HeadConfirmed,
                                       EntryChanged,
                                       LiveHostsChanged,
                                       OwnershipChanged,
                                       PlaceFreed>;
using LoadMessage = std::variant<ConfigAdopted,
                                 EntryChanged,
                                 AssignmentsUpdated,
                                 EngineReported,
                                 LiveHostsChanged,
                                 ReplicaLoaded>;
using LeavingMessage = std::variant<ConfigAdopted, EntryChanged, EngineLeaving>;

/// Ways to send to each task; each call delivers in a later iteration of the loop.
struct Outbox
{
  std::function<void(ConfigMessage)> config;
  std::function<void(SessionMessage)> session;
  std::function<void(EngineMessage)> engine;
  std::function<void(AssignmentMessage)> assignment;
  std::function<void(LoadMessage)> load;
  std::function<void(LeavingMessage)> leaving;
};

} // namespace savoryrill::controller
