#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <zmq.hpp>

#include "base/result.h"
#include "event/loop.h"
#include "transport/curvekeyfiles.h"

namespace savoryrill::transport {

class PeerLink;

/// Receives the events of a link, on the loop. Its methods may close the link.
class IPeerLinkHandler
{
public:
  virtual ~IPeerLinkHandler() = default;
  /// `aRoute` identifies the connection on a bound link; it is empty on a connecting
  /// link.
  virtual void frameReceived(PeerLink& aLink,
                             const std::string& aRoute,
                             std::string_view aFrame) = 0;
  /// A message had the wrong number of frames.
  virtual void messageMalformed(PeerLink& aLink) = 0;
  /// The link has become writable; a connecting link is now connected to its peer.
  virtual void linkWritable(PeerLink& aLink) = 0;
};

struct PeerLinkOptions
{
  std::optional<CurveKeyPair> keys;
  Duration heartbeatPeriod = 1s;
  Duration peerTimeout = 3s;
};

/// One ZeroMQ socket on the loop: a bound ROUTER or a connecting DEALER. No method
/// blocks. Must be destroyed before its context and loop. Not thread safe.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /// Binds to a numeric address and port. Fails with Unavailable.
  static Result<std::shared_ptr<PeerLink>> bind(zmq::context_t& aContext,
                                                event::Loop& aLoop,
                                                const std::string& aEndpoint,
                                                const PeerLinkOptions& aOptions,
                                                IPeerLinkHandler& aHandler);

  /// Connects to a numeric address and port, and reconnects when the connection is lost.
  /// Fails with InvalidArgument if the endpoint is not numeric, with Unavailable if the
  /// socket cannot be created (such as at the context's socket limit).
  static Result<std::shared_ptr<PeerLink>> connect(zmq::context_t& aContext,
                                                   event::Loop& aLoop,
                                                   const std::string& aEndpoint,
                                                   const PeerLinkOptions& aOptions,
                                                   IPeerLinkHandler& aHandler);

  /// Queues a frame. Returns false if the connection is gone or its queue is full.
  bool send(const std::string& aRoute, const std::string& aFrame);

  /// Closes the socket; the handler is not called afterwards.
  void close();

  bool isBound() const { return mBound; }
  bool isClosed() const { return mClosed; }

  /// The numeric address and port that the link is bound or connects to.
  const std::string& endpoint() const { return mEndpoint; }

private:
  PeerLink(zmq::socket_t aSocket,
           event::Loop& aLoop,
           IPeerLinkHandler& aHandler,
           bool aBound,
           std::string aEndpoint);
  static void configure(zmq::socket_t& aSocket, const PeerLinkOptions& aOptions);
  static void configureCurve(zmq::socket_t& aSocket,
                             const CurveKeyPair& aKeys,
                             bool aServer);
  void startWatching();
  void scheduleProcessing();
  void process();
  void receiveMessage();
  bool sendFrame(const std::string& aBytes, zmq::send_flags aFlags);
  int pendingEvents();

  zmq::socket_t mSocket;
  event::Loop& mLoop;
  IPeerLinkHandler& mHandler;
  bool mBound;
  std::string mEndpoint;
  event::Watch mWatch;
  bool mScheduled = false;
  bool mWritable = false;
  bool mClosed = false;
};

} // namespace savoryrill::transport
