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

/// Files of the CURVE key pair (z85 text), which all processes of the fleet share; with
/// empty paths, traffic is not encrypted. Only peers that hold the secret key are
/// accepted.
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
  std::string bindEndpoint; // numeric address and port; empty: does not listen (router);
                            // port 0: the system chooses a free port
  Duration heartbeatPeriod = 1s;
  Duration peerTimeout = 3s; // a peer that sends nothing for so long is lost
};

/// A connected peer, as described by its `Hello`.
struct RemotePeer
{
  std::uint64_t id = 0; // identifies this connection
  peer::Role role = peer::ROLE_UNSPECIFIED;
  std::string host;
  std::string dataCentre;
  std::uint64_t incarnation = 0;
  bool outgoing = false; // the local process opened the connection
  std::string endpoint;  // the endpoint connected to; empty if not `outgoing`
  std::string listensAt; // where the peer accepts connections, as it says; may be empty
};

/// Receives the messages of peers and changes of their connections. The methods are
/// called on the loop, or from within `disconnect`; they may use the network but must not
/// destroy it.
class IPeerListener
{
public:
  virtual ~IPeerListener() = default;
  /// The first `Hello` of a peer was accepted. `Hello` is the first message of each side.
  virtual void peerJoined(const RemotePeer& aPeer) = 0;
  /// A connection to a peer has ended: the peer sent `Bye` or nothing for the peer
  /// timeout, the connection was replaced, or `disconnect` was called.
  virtual void peerLost(const RemotePeer& aPeer) = 0;
  virtual void digestReceived(const RemotePeer& aPeer, const peer::Digest& aDigest) = 0;
  virtual void deltaReceived(const RemotePeer& aPeer, const peer::Delta& aDelta) = 0;
};

/// Message exchange between the system's own processes: ZeroMQ ROUTER and DEALER sockets
/// on a loop, protobuf envelopes, and CURVE encryption if keys are set. Malformed frames
/// are counted, logged and dropped. Messages may be lost; the periodic exchange of
/// digests detects this, and the missing entries are sent again. Send queues are bounded,
/// and no method blocks on a peer. There is at most one connection to a peer in each
/// direction; a connection with a higher incarnation replaces those with a lower one. Not
/// thread safe.
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

  /// The bound numeric address and port; empty if `bindEndpoint` is empty.
  virtual std::string endpoint() const = 0;

  /// Connects to a controller, and reconnects whenever the connection is lost. Does
  /// nothing if this process already connects to the endpoint or is bound to it. An
  /// endpoint that is not a numeric address and port, or for which no socket is
  /// available, is logged and ignored.
  virtual void connect(const std::string& aEndpoint) = 0;

  /// Closes the connection to an endpoint and stops reconnecting. A peer that is
  /// connected there is sent `Bye` and reported as lost.
  virtual void disconnect(const std::string& aEndpoint) = 0;

  /// The connected peers.
  virtual std::vector<RemotePeer> peers() const = 0;

  /// Sends to one peer. The message is dropped without an error if the peer is not
  /// connected or its queue is full.
  virtual void send(std::uint64_t aPeerId, const peer::Digest& aDigest) = 0;
  virtual void send(std::uint64_t aPeerId, const peer::Delta& aDelta) = 0;

  /// Sends one message, encoded once, to several peers. Returns the ids of the peers for
  /// which it could not be queued: they are not connected, or their queues are full.
  virtual std::vector<std::uint64_t> send(const std::vector<std::uint64_t>& aPeerIds,
                                          const peer::Delta& aDelta) = 0;

  /// Sends `Bye` to all peers. Afterwards no message is sent, and the listener is not
  /// called for messages or timeouts.
  virtual void leave() = 0;
};

} // namespace savoryrill::transport
