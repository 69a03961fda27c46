#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "base/result.h"
#include "base/types/time.h"
#include "event/loop.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::transport {

/// Key pair files for CURVE (z85 text), the same pair in the whole fleet; empty paths
/// mean that traffic is not encrypted. Only peers that hold the secret key are let in.
struct CurveKeys
{
  std::string secretKeyFile;
  std::string publicKeyFile;
};

/// Identity of the local process towards its peers.
struct LocalPeer
{
  peer::Role role = peer::ROLE_CONTROLLER;
  std::string host;
  std::string dataCentre;
  std::uint64_t incarnation = 0;
  std::string bindEndpoint; // numeric address and port; empty: only connects (router);
                            // port 0 takes a free one
  Duration heartbeatPeriod = 1s;
  Duration peerTimeout = 3s; // of silence, after which a peer is lost
};

/// A peer that is connected now, from its `Hello`.
struct RemotePeer
{
  std::uint64_t id = 0; // of this connection
  peer::Role role = peer::ROLE_UNSPECIFIED;
  std::string host;
  std::string dataCentre;
  std::uint64_t incarnation = 0;
  bool outgoing = false; // this side connected
  std::string endpoint;  // that this side connected to, if `outgoing`
};

/// Receives what peers send. Calls come from the loop, or from inside `disconnect`; they
/// may use the network but must not destroy it.
class IPeerListener
{
public:
  virtual ~IPeerListener() = default;
  /// A peer has introduced itself. Both sides send `Hello` first.
  virtual void peerJoined(const RemotePeer& aPeer) = 0;
  /// A peer has said goodbye or has been silent for the peer timeout.
  virtual void peerLost(const RemotePeer& aPeer) = 0;
  virtual void digestReceived(const RemotePeer& aPeer, const peer::Digest& aDigest) = 0;
  virtual void deltaReceived(const RemotePeer& aPeer, const peer::Delta& aDelta) = 0;
};

/// Message exchange between the system's own processes: ZeroMQ ROUTER and DEALER sockets
/// on a loop, protobuf envelopes, CURVE where keys are set. Malformed frames are counted,
/// logged and dropped. Messages may be lost; digests repair that. Send queues are
/// bounded, and no call waits for a peer. A host has at most one connection in each
/// direction; one with a higher incarnation replaces those with a lower one. Not thread
/// safe.
class PeerNetwork
{
public:
  /// Fails with Unavailable if the endpoint cannot be bound, with InvalidArgument if a
  /// key file cannot be used. Preconditions: all references outlive the result.
  static Result<std::unique_ptr<PeerNetwork>> create(event::Loop& aLoop,
                                                     LocalPeer aLocal,
                                                     CurveKeys aKeys,
                                                     EventLog& aLog,
                                                     Metrics& aMetrics,
                                                     IPeerListener& aListener);
  virtual ~PeerNetwork() = default;

  /// The bound numeric address and port, empty without `bindEndpoint`.
  virtual std::string endpoint() const = 0;

  /// Connects to a controller, and keeps connecting; does nothing if it is known already
  /// or the own endpoint. An endpoint that is no numeric address and port is logged and
  /// ignored.
  virtual void connect(const std::string& aEndpoint) = 0;

  /// Stops connecting to an endpoint; a peer behind it is told and reported as lost.
  virtual void disconnect(const std::string& aEndpoint) = 0;

  /// Peers that are connected now.
  virtual std::vector<RemotePeer> peers() const = 0;

  /// Sends to one peer; silently lost if it is not connected.
  virtual void send(std::uint64_t aPeerId, const peer::Digest& aDigest) = 0;
  virtual void send(std::uint64_t aPeerId, const peer::Delta& aDelta) = 0;

  /// Sends one message to several peers, encoded once. Returns those for which it could
  /// not be queued: they are not connected, or their queues are full.
  virtual std::vector<std::uint64_t> send(const std::vector<std::uint64_t>& aPeerIds,
                                          const peer::Delta& aDelta) = 0;

  /// Sends `Bye` to all peers; afterwards nothing is sent or reported.
  virtual void leave() = 0;
};

} // namespace savoryrill::transport
