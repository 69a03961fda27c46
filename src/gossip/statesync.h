#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "base/result.h"
#include "event/loop.h"
#include "state/statemap.h"
#include "transport/peernetwork.h"

namespace savoryrill::gossip {

struct SyncOptions
{
  transport::LocalPeer local;
  transport::CurveKeys keys;
  /// A controller named in the settings. A router lists those of its own data centre; the
  /// one on its own host is preferred.
  struct Seed
  {
    std::string endpoint;
    std::string host;
    std::string dataCentre;
  };
  std::vector<Seed> seeds;
  Duration pushDelay = 5ms;     // changes within this time are sent together
  Duration digestPeriod = 1s;   // repairs lost messages
  std::uint64_t randomSeed = 1; // for the choice of peers
  std::size_t maxDeltaBytes = 1024 * 1024;
};

/// Synchronizes a `StateMap` with peers. A controller pushes each change, after
/// `SyncOptions::pushDelay`, to all controllers of its data centre, to the routers
/// connected to it and to one controller of each other data centre, which forwards it
/// there. Periodic digests repair lost messages. A router connects to one controller at a
/// time. It prefers the one on its own host, and connects to another one when the
/// connection is lost. New controllers become known by `member` entries. The controllers
/// chosen in other data centres are replaced periodically, which limits the effect of a
/// faulty one. Not thread safe.
class StateSync
{
public:
  using ChangeCallback = std::function<void(const peer::Entry&)>;

  /// Errors: those of `PeerNetwork::create`. Precondition: all references outlive the
  /// result.
  static Result<std::unique_ptr<StateSync>> create(event::Loop& aLoop,
                                                   SyncOptions aOptions,
                                                   EventLog& aLog,
                                                   Metrics& aMetrics);
  virtual ~StateSync() = default;

  /// Adds or replaces an entry of this process and sends it to peers. With `aTimeToLive`
  /// 0 it does not expire. Ignored unless it is newer than the stored entry.
  virtual void publish(peer::EntryKind aKind,
                       const std::string& aKey,
                       std::uint64_t aEpoch,
                       std::uint64_t aSequence,
                       std::string aPayload,
                       Duration aTimeToLive = Duration::zero()) = 0;

  /// The numeric address and port to which a controller is bound, for its `member` entry.
  virtual std::string endpoint() const { return {}; }

  /// The stored entries.
  virtual const state::StateMap& entries() const = 0;

  /// Sets the callback for each entry that is new or newer than the stored one, including
  /// entries published by this process. An expired entry is reported with an empty
  /// payload. There is one callback; a later call replaces it.
  virtual void onChange(ChangeCallback aCallback) = 0;

  /// The connected peers.
  virtual std::vector<transport::RemotePeer> peers() const = 0;

  /// Sends pending changes and notifies all peers that this process stops.
  virtual void leave() = 0;
};

} // namespace savoryrill::gossip
