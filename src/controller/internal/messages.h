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

/// A configuration has come into force.
struct ConfigAdopted
{
  ConfigurationPtr configuration;
};

/// A read of the `config/head` row has shown that the configuration in force is the
/// latest committed one.
struct HeadConfirmed
{
  std::uint64_t rowVersion = 0;
  std::uint64_t configVersion = 0;
};

/// A gossip entry was added or updated, or has expired (empty payload).
struct EntryChanged
{
  peer::Entry entry;
};

/// Ownership of an upstream began or ended.
struct OwnershipChanged
{
  std::string upstream;
  bool owned = false;
  placement::Ownership ownership; // default values if not owned
};

/// The set of live controllers has changed.
struct LiveHostsChanged
{
  std::set<std::string> ownDataCentre;
  std::set<std::string> allDataCentres;
};

using Assignments =
  std::map<config::Loadable, placement::Versioned<placement::AssignmentRow>>;
using SlotsRows = std::map<std::string, placement::Versioned<placement::SlotsRow>>;

/// The cached assignment and slots rows may have changed.
struct AssignmentsUpdated
{
  std::shared_ptr<const Assignments> assignments;
  std::shared_ptr<const SlotsRows> slots;
  std::optional<Instant> readSentAt; // of the latest successful table read
};

/// A replica that is resident in or ordered at an owned engine.
struct ReplicaReport
{
  upstream::ReplicaState state = upstream::ReplicaState::Absent;
  std::uint32_t footprintMb = 0;
  std::set<std::string> adapters;
  bool fromWeightStore = false;
};

/// The state of an owned engine, sent after each inventory and order.
struct EngineReport
{
  std::string upstream;
  bool ready = false; // orders may be sent
  std::uint32_t freeMb = 0;
  std::uint32_t freeAdapterMb = 0;
  std::uint32_t capacityMb = 0;
  std::map<config::Loadable, ReplicaReport> replicas; // also ordered ones
  std::map<config::Loadable, upstream::CheckpointLocality> checkpoints;
  std::set<config::ModelReference> adapters; // held or ordered
  std::size_t adapterLoads = 0;              // in flight
  double weightStoreSlowdown = 1;            // measured over expected load time
};

struct EngineReported
{
  std::shared_ptr<const EngineReport> engine; // `capacityMb` 0: no longer owned
};

/// Commands to the engine task to send an order to an engine.
struct OrderLoad
{
  std::string upstream;
  config::Loadable loadable;
  bool fromWeightStore = true;
  Duration expectedDuration = 10s;
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

/// The replica of an assignment row's releasing place is confirmed as absent, so that the
/// place can be removed from the assignment row.
struct PlaceFreed
{
  std::string upstream;
  config::Loadable loadable;
  placement::Ownership ownership;
};

/// Command of the session task to stop sending orders to an upstream before its release.
struct QuiesceUpstream
{
  std::string upstream;
};
/// No order to the upstream can still take effect.
struct UpstreamQuiesced
{
  std::string upstream;
};

/// An engine has accepted the fencing number of a newer owner.
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

/// The host list or a drain row requests that this host hands over all its upstreams.
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
  bool ordered = false; // by this owner; otherwise the duration is unknown
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

/// Functions that send a message to a task, which receives it in a later iteration of the
/// loop.
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
