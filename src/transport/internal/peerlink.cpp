#include "transport/internal/peerlink.h"

#include <utility>
#include <vector>

#include "transport/internal/peerframe.h"

namespace savoryrill::transport {

namespace {

// Per queue of a connection. Enough for a burst of changes; messages that do not fit are
// dropped, and the exchange of digests makes up for them.
constexpr int kMaxQueuedMessages = 256;
// Messages that are handled in a row before the loop handles other events.
constexpr int kMaxBatchMessages = 64;
constexpr std::size_t kMaxMessageFrames = 3;
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 2000;
constexpr int kConnectTimeoutMs = 2000;
constexpr int kHandshakeTimeoutMs = 3000;
// Time to send a final `Bye` after the socket is closed.
constexpr int kLingerMs = 100;
constexpr const char* kZapDomain = "savoryrill";

} // namespace

PeerLink::PeerLink(zmq::socket_t aSocket,
                   event::Loop& aLoop,
                   IPeerLinkHandler& aHandler,
                   bool aBound,
                   std::string aEndpoint)
  : mSocket(std::move(aSocket))
  , mLoop(aLoop)
  , mHandler(aHandler)
  , mBound(aBound)
  , mEndpoint(std::move(aEndpoint))
{
}

void
PeerLink::configure(zmq::socket_t& aSocket, const PeerLinkOptions& aOptions)
{
  aSocket.set(zmq::sockopt::linger, kLingerMs);
  aSocket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  aSocket.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
  aSocket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(kMaxFrameBytes));
  aSocket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
  // Closes connections to hosts that disappeared without closing them; TCP alone would
  // keep such connections for minutes.
  aSocket.set(zmq::sockopt::heartbeat_ivl,
              static_cast<int>(toMs(aOptions.heartbeatPeriod)));
  aSocket.set(zmq::sockopt::heartbeat_timeout,
              static_cast<int>(toMs(aOptions.peerTimeout)));
}

void
PeerLink::configureCurve(zmq::socket_t& aSocket, const CurveKeyPair& aKeys, bool aServer)
{
  aSocket.set(zmq::sockopt::curve_publickey, aKeys.publicKey);
  aSocket.set(zmq::sockopt::curve_secretkey, aKeys.secretKey);
  if (aServer) {
    aSocket.set(zmq::sockopt::curve_server, true);
    aSocket.set(zmq::sockopt::zap_domain, kZapDomain);
  } else {
    aSocket.set(zmq::sockopt::curve_serverkey, aKeys.publicKey);
  }
}

Result<std::shared_ptr<PeerLink>>
PeerLink::bind(zmq::context_t& aContext,
               event::Loop& aLoop,
               const std::string& aEndpoint,
               const PeerLinkOptions& aOptions,
               IPeerLinkHandler& aHandler)
{
  try {
    zmq::socket_t socket(aContext, zmq::socket_type::router);
    configure(socket, aOptions);
    // Makes a send fail if the peer is gone or its queue is full; by default a ROUTER
    // drops the message silently.
    socket.set(zmq::sockopt::router_mandatory, true);
    if (aOptions.keys) {
      configureCurve(socket, *aOptions.keys, true);
    }
    socket.bind("tcp://" + aEndpoint);
    const std::string bound = socket.get(zmq::sockopt::last_endpoint);
    std::string endpoint = bound.substr(bound.rfind('/') + 1);
    std::shared_ptr<PeerLink> link(
      new PeerLink(std::move(socket), aLoop, aHandler, true, std::move(endpoint)));
    link->startWatching();
    return link;
  } catch (const zmq::error_t& error) {
    return fail(ErrorCode::Unavailable,
                "cannot bind peer endpoint " + aEndpoint + ": " + error.what());
  }
}

Result<std::shared_ptr<PeerLink>>
PeerLink::connect(zmq::context_t& aContext,
                  event::Loop& aLoop,
                  const std::string& aEndpoint,
                  const PeerLinkOptions& aOptions,
                  IPeerLinkHandler& aHandler)
{
  if (!isNumericEndpoint(aEndpoint)) {
    return fail(ErrorCode::InvalidArgument, "endpoint is not a numeric address and port");
  }
  try {
    zmq::socket_t socket(aContext, zmq::socket_type::dealer);
    configure(socket, aOptions);
    // Queues nothing while there is no connection: a message for a process must not reach
    // the process that replaces it.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
    socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    if (aOptions.keys) {
      configureCurve(socket, *aOptions.keys, false);
    }
    socket.connect("tcp://" + aEndpoint);
    std::shared_ptr<PeerLink> link(
      new PeerLink(std::move(socket), aLoop, aHandler, false, aEndpoint));
    link->startWatching();
    return link;
  } catch (const zmq::error_t& error) {
    return fail(ErrorCode::Unavailable,
                "cannot connect to peer endpoint " + aEndpoint + ": " + error.what());
  }
}

void
PeerLink::startWatching()
{
  const int fd = mSocket.get(zmq::sockopt::fd);
  mWatch = mLoop.watch(fd, { .readable = true }, [this](auto) { process(); });
  // The descriptor is edge-triggered: it does not signal events from before the watch.
  scheduleProcessing();
}

/// Defers processing to the next iteration of the loop, so that no handler is called from
/// within a send.
void
PeerLink::scheduleProcessing()
{
  if (mScheduled || mClosed) {
    return;
  }
  mScheduled = true;
  mLoop.post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->mScheduled = false;
      self->process();
    }
  });
}

int
PeerLink::pendingEvents()
{
  try {
    return mSocket.get(zmq::sockopt::events);
  } catch (const zmq::error_t&) {
    // Interrupted by a signal. The events stay pending and are read again later.
    scheduleProcessing();
    return 0;
  }
}

/// Handles messages until none is pending or the batch is full; the rest of a full batch
/// is scheduled. The socket's descriptor is edge-triggered and does not signal messages
/// that are left unread.
void
PeerLink::process()
{
  const auto self = shared_from_this();
  for (int count = 0; !mClosed; ++count) {
    const int ready = pendingEvents();
    const bool writable = (ready & ZMQ_POLLOUT) != 0;
    if (writable && !std::exchange(mWritable, writable)) {
      mHandler.linkWritable(*this);
      continue;
    }
    mWritable = writable;
    if ((ready & ZMQ_POLLIN) == 0) {
      return;
    }
    if (count >= kMaxBatchMessages) {
      scheduleProcessing();
      return;
    }
    receiveMessage();
  }
}

void
PeerLink::receiveMessage()
{
  std::vector<zmq::message_t> frames;
  bool more = true;
  while (more) {
    zmq::message_t frame;
    try {
      if (!mSocket.recv(frame, zmq::recv_flags::dontwait)) {
        return;
      }
    } catch (const zmq::error_t&) {
      scheduleProcessing();
      return;
    }
    more = frame.more();
    if (frames.size() < kMaxMessageFrames) {
      frames.push_back(std::move(frame));
    }
  }
  const std::size_t expected = mBound ? 2 : 1;
  if (frames.size() != expected) {
    mHandler.messageMalformed(*this);
    return;
  }
  const std::string route = mBound ? frames.front().to_string() : std::string();
  mHandler.frameReceived(*this, route, frames.back().to_string_view());
}

bool
PeerLink::sendFrame(const std::string& aBytes, zmq::send_flags aFlags)
{
  try {
    return mSocket.send(zmq::buffer(aBytes), aFlags | zmq::send_flags::dontwait)
      .has_value();
  } catch (const zmq::error_t&) {
    return false; // the connection is gone
  }
}

bool
PeerLink::send(const std::string& aRoute, const std::string& aFrame)
{
  if (mClosed) {
    return false;
  }
  const bool routed = !mBound || sendFrame(aRoute, zmq::send_flags::sndmore);
  const bool sent = routed && sendFrame(aFrame, zmq::send_flags::none);
  // Sending may consume the descriptor's signal for a message that has just arrived.
  if ((pendingEvents() & ZMQ_POLLIN) != 0) {
    scheduleProcessing();
  }
  return sent;
}

void
PeerLink::close()
{
  mClosed = true;
  mWatch.reset();
  mSocket.close();
}

} // namespace savoryrill::transport
