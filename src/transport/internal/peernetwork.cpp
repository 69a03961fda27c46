#include "transport/peernetwork.h"

#include <algorithm>
#include <google/protobuf/stubs/logging.h>
#include <map>
#include <optional>
#include <utility>

#include "transport/internal/peerframe.h"
#include "transport/internal/peerlink.h"
#include "transport/internal/zapauthenticator.h"
#include "transport/types/transportevents.h"
#include "transport/types/transportmetrics.h"

namespace savoryrill::transport {

namespace {

// These limits are far above the number of peers of one process; only a fault can reach
// them.
constexpr std::size_t kMaxPeers = 2000;
constexpr std::size_t kMaxOutgoingLinks = 500;
constexpr int kMaxSockets = 1000;
constexpr Duration kMalformedLogPeriod = 1s;

class PeerNetworkImpl final
  : public PeerNetwork
  , private IPeerLinkHandler
{
public:
  PeerNetworkImpl(event::Loop& aLoop,
                  LocalPeer aLocal,
                  EventLog& aLog,
                  Metrics& aMetrics,
                  IPeerListener& aListener)
    : mLoop(aLoop)
    , mLocal(std::move(aLocal))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mListener(aListener)
    , mLastHeartbeat(aLoop.now())
  {
  }
  ~PeerNetworkImpl() override;

  Result<void> start(const CurveKeys& aKeys);

  std::string endpoint() const override
  {
    return mBoundLink ? mBoundLink->endpoint() : "";
  }
  void connect(const std::string& aEndpoint) override;
  void disconnect(const std::string& aEndpoint) override;
  std::vector<RemotePeer> peers() const override;
  void send(std::uint64_t aPeerId, const peer::Digest& aDigest) override;
  void send(std::uint64_t aPeerId, const peer::Delta& aDelta) override;
  std::vector<std::uint64_t> send(const std::vector<std::uint64_t>& aPeerIds,
                                  const peer::Delta& aDelta) override;
  void leave() override;

private:
  /// Identifies a connection: its link and, on a bound link, the ZeroMQ routing id.
  struct Route
  {
    PeerLink* link = nullptr;
    std::string id;
    // clang-tidy 14 takes the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Route&) const = default;
  };
  struct PeerConnection
  {
    RemotePeer peer;
    Route route;
    Instant lastSeen;
  };

  void frameReceived(PeerLink& aLink,
                     const std::string& aRoute,
                     std::string_view aFrame) override;
  void messageMalformed(PeerLink& aLink) override;
  void linkWritable(PeerLink& aLink) override;

  void handleHello(const Route& aRoute, const peer::Hello& aHello);
  bool replaceOlderConnections(const RemotePeer& aPeer);
  void logRefusal(const RemotePeer& aPeer, const char* aReason);
  void handleBody(std::uint64_t aId, const peer::Envelope& aEnvelope);
  void countMalformed(const std::string& aReason);
  void handleHeartbeat();
  void removeSilentPeers(Instant aNow);
  void removePeer(std::uint64_t aId, const char* aReason);
  PeerConnection* findConnection(const Route& aRoute);
  peer::Envelope envelope() const;
  void sendHello(const Route& aRoute);
  void sendTo(std::uint64_t aPeerId, const peer::Envelope& aEnvelope);
  bool sendFrame(const Route& aRoute, const peer::Envelope& aEnvelope);
  bool sendBytes(const Route& aRoute, const std::string& aFrame, bool aCountUnsent);

  event::Loop& mLoop;
  LocalPeer mLocal;
  EventLog& mLog;
  Metrics& mMetrics;
  IPeerListener& mListener;
  PeerLinkOptions mLinkOptions;
  zmq::context_t mContext;
  std::optional<ZapAuthenticator> mAuthenticator;
  std::shared_ptr<PeerLink> mBoundLink;
  std::map<std::string, std::shared_ptr<PeerLink>> mOutgoingLinks; // by endpoint
  std::map<std::uint64_t, PeerConnection> mPeers;
  std::map<Route, std::uint64_t> mPeerByRoute;
  std::uint64_t mNextId = 0;
  Instant mLastHeartbeat;
  std::optional<Instant> mLastMalformedLog;
  bool mLeaving = false;
  event::Watch mHeartbeatTimer;
};

PeerNetworkImpl::~PeerNetworkImpl()
{
  for (const auto& [endpoint, link] : mOutgoingLinks) {
    link->close();
  }
  if (mBoundLink) {
    mBoundLink->close();
  }
}

Result<void>
PeerNetworkImpl::start(const CurveKeys& aKeys)
{
  // Malformed frames are counted and logged here; protobuf would write to standard error.
  google::protobuf::SetLogHandler(nullptr);
  mContext.set(zmq::ctxopt::max_sockets, kMaxSockets);
  mLinkOptions = { {}, mLocal.heartbeatPeriod, mLocal.peerTimeout };
  if (!aKeys.secretKeyFile.empty() || !aKeys.publicKeyFile.empty()) {
    BOOST_OUTCOME_TRY(keys, readCurveKeys(aKeys));
    mLinkOptions.keys = keys;
    mAuthenticator.emplace(mContext, mLoop, keys);
  }
  if (!mLocal.bindEndpoint.empty()) {
    BOOST_OUTCOME_TRY(
      bound, PeerLink::bind(mContext, mLoop, mLocal.bindEndpoint, mLinkOptions, *this));
    mBoundLink = bound;
  }
  mHeartbeatTimer = mLoop.every(mLocal.heartbeatPeriod, [this] { handleHeartbeat(); });
  return outcome::success();
}

void
PeerNetworkImpl::connect(const std::string& aEndpoint)
{
  if (mLeaving || aEndpoint == endpoint() || mOutgoingLinks.count(aEndpoint) > 0) {
    return;
  }
  Result<std::shared_ptr<PeerLink>> link =
    fail(ErrorCode::LimitExceeded, "maximum number of endpoints reached");
  if (mOutgoingLinks.size() < kMaxOutgoingLinks) {
    link = PeerLink::connect(mContext, mLoop, aEndpoint, mLinkOptions, *this);
  }
  if (!link) {
    mLog.write(kPeerEndpointInvalid,
               { { "endpoint", aEndpoint }, { "reason", link.error().message } });
    return;
  }
  mOutgoingLinks[aEndpoint] = std::move(link).value();
}

void
PeerNetworkImpl::disconnect(const std::string& aEndpoint)
{
  const auto found = mOutgoingLinks.find(aEndpoint);
  if (found == mOutgoingLinks.end()) {
    return;
  }
  const auto link = found->second;
  mOutgoingLinks.erase(found);
  if (const auto* connection = findConnection({ link.get(), "" })) {
    peer::Envelope bye = envelope();
    bye.mutable_bye();
    sendFrame(connection->route, bye);
    removePeer(connection->peer.id, "disconnected");
  }
  link->close();
}

std::vector<RemotePeer>
PeerNetworkImpl::peers() const
{
  std::vector<RemotePeer> result;
  for (const auto& [id, connection] : mPeers) {
    result.push_back(connection.peer);
  }
  return result;
}

PeerNetworkImpl::PeerConnection*
PeerNetworkImpl::findConnection(const Route& aRoute)
{
  const auto found = mPeerByRoute.find(aRoute);
  return found == mPeerByRoute.end() ? nullptr : &mPeers.at(found->second);
}

peer::Envelope
PeerNetworkImpl::envelope() const
{
  peer::Envelope result;
  result.set_sender(mLocal.host);
  result.set_incarnation(mLocal.incarnation);
  return result;
}

bool
PeerNetworkImpl::sendFrame(const Route& aRoute, const peer::Envelope& aEnvelope)
{
  // An unsent `Hello` is not counted: the next heartbeat sends another.
  return sendBytes(aRoute, aEnvelope.SerializeAsString(), !aEnvelope.has_hello());
}

bool
PeerNetworkImpl::sendBytes(const Route& aRoute,
                           const std::string& aFrame,
                           bool aCountUnsent)
{
  const bool sent =
    aFrame.size() <= kMaxFrameBytes && aRoute.link->send(aRoute.id, aFrame);
  if (sent || aCountUnsent) {
    mMetrics.add(sent ? kSentSeries : kUnsentSeries);
  }
  if (sent) {
    mMetrics.add(kSentBytesSeries, aFrame.size());
  }
  return sent;
}

void
PeerNetworkImpl::sendTo(std::uint64_t aPeerId, const peer::Envelope& aEnvelope)
{
  if (const auto found = mPeers.find(aPeerId); found != mPeers.end() && !mLeaving) {
    sendFrame(found->second.route, aEnvelope);
  }
}

void
PeerNetworkImpl::send(std::uint64_t aPeerId, const peer::Digest& aDigest)
{
  peer::Envelope message = envelope();
  *message.mutable_digest() = aDigest;
  sendTo(aPeerId, message);
}

void
PeerNetworkImpl::send(std::uint64_t aPeerId, const peer::Delta& aDelta)
{
  peer::Envelope message = envelope();
  *message.mutable_delta() = aDelta;
  sendTo(aPeerId, message);
}

std::vector<std::uint64_t>
PeerNetworkImpl::send(const std::vector<std::uint64_t>& aPeerIds,
                      const peer::Delta& aDelta)
{
  peer::Envelope message = envelope();
  *message.mutable_delta() = aDelta;
  const std::string frame = message.SerializeAsString();
  std::vector<std::uint64_t> unsent;
  for (const auto id : aPeerIds) {
    const auto found = mPeers.find(id);
    if (found == mPeers.end() || mLeaving ||
        !sendBytes(found->second.route, frame, true)) {
      unsent.push_back(id);
    }
  }
  return unsent;
}

void
PeerNetworkImpl::sendHello(const Route& aRoute)
{
  if (mLeaving) {
    return;
  }
  peer::Envelope message = envelope();
  auto* hello = message.mutable_hello();
  hello->set_role(mLocal.role);
  hello->set_host(mLocal.host);
  hello->set_data_centre(mLocal.dataCentre);
  hello->set_incarnation(mLocal.incarnation);
  hello->set_endpoint(endpoint());
  sendFrame(aRoute, message);
}

void
PeerNetworkImpl::leave()
{
  peer::Envelope bye = envelope();
  bye.mutable_bye();
  for (const auto& [id, connection] : mPeers) {
    sendTo(id, bye);
  }
  mLeaving = true;
}

void
PeerNetworkImpl::linkWritable(PeerLink& aLink)
{
  if (!aLink.isBound()) {
    sendHello({ &aLink, "" });
  }
}

void
PeerNetworkImpl::messageMalformed(PeerLink&)
{
  countMalformed("message with a wrong number of frames");
}

/// Logs at most once per period, so that a faulty peer cannot flood the log.
void
PeerNetworkImpl::countMalformed(const std::string& aReason)
{
  mMetrics.add(kMalformedSeries);
  const Instant now = mLoop.now();
  if (mLastMalformedLog && now - *mLastMalformedLog < kMalformedLogPeriod) {
    return;
  }
  mLastMalformedLog = now;
  mLog.write(
    kPeerFrameMalformed,
    { { "reason", aReason }, { "dropped", mMetrics.counter(kMalformedSeries) } });
}

void
PeerNetworkImpl::frameReceived(PeerLink& aLink,
                               const std::string& aRoute,
                               std::string_view aFrame)
{
  if (mLeaving) {
    return;
  }
  mMetrics.add(kReceivedSeries);
  mMetrics.add(kReceivedBytesSeries, aFrame.size());
  const auto decoded = decodePeerFrame(aFrame);
  if (!decoded) {
    countMalformed(decoded.error().message);
    return;
  }
  const peer::Envelope& message = decoded.value();
  const Route route{ &aLink, aRoute };
  if (message.has_hello()) {
    handleHello(route, message.hello());
    return;
  }
  PeerConnection* connection = findConnection(route);
  const bool known = connection != nullptr && connection->peer.host == message.sender() &&
                     connection->peer.incarnation == message.incarnation();
  if (!known) {
    // Sent before its `Hello`, or by a process that has been replaced.
    mMetrics.add(kStraySeries);
    return;
  }
  connection->lastSeen = mLoop.now();
  handleBody(connection->peer.id, message);
}

void
PeerNetworkImpl::handleBody(std::uint64_t aId, const peer::Envelope& aEnvelope)
{
  const RemotePeer peer = mPeers.at(aId).peer;
  switch (aEnvelope.body_case()) {
    case peer::Envelope::kDigest:
      mListener.digestReceived(peer, aEnvelope.digest());
      break;
    case peer::Envelope::kDelta:
      mListener.deltaReceived(peer, aEnvelope.delta());
      break;
    case peer::Envelope::kBye:
      removePeer(aId, "the peer sent Bye");
      break;
    default:
      break;
  }
}

void
PeerNetworkImpl::handleHello(const Route& aRoute, const peer::Hello& aHello)
{
  RemotePeer peer;
  peer.role = aHello.role();
  peer.host = aHello.host();
  peer.dataCentre = aHello.data_centre();
  peer.incarnation = aHello.incarnation();
  peer.outgoing = !aRoute.link->isBound();
  peer.endpoint = peer.outgoing ? aRoute.link->endpoint() : "";
  peer.listensAt = aHello.endpoint();
  if (PeerConnection* known = findConnection(aRoute)) {
    const bool same = known->peer.role == peer.role && known->peer.host == peer.host &&
                      known->peer.dataCentre == peer.dataCentre &&
                      known->peer.incarnation == peer.incarnation;
    if (same) {
      known->lastSeen = mLoop.now();
      return;
    }
    removePeer(known->peer.id, "another process uses the connection");
  }
  // The listener may have closed the link when it was notified of replaced peers.
  if (!replaceOlderConnections(peer) || aRoute.link->isClosed()) {
    return;
  }
  peer.id = ++mNextId;
  mPeers[peer.id] = PeerConnection{ peer, aRoute, mLoop.now() };
  mPeerByRoute[aRoute] = peer.id;
  mLog.write(kPeerJoined,
             { { "host", peer.host },
               { "data_centre", peer.dataCentre },
               { "incarnation", peer.incarnation } });
  if (!peer.outgoing) {
    sendHello(aRoute);
  }
  mListener.peerJoined(peer);
}

/// Removes the connections that a new one of `aPeer` replaces. Returns false if the new
/// connection is refused.
bool
PeerNetworkImpl::replaceOlderConnections(const RemotePeer& aPeer)
{
  if (aPeer.host == mLocal.host && aPeer.role == mLocal.role) {
    logRefusal(aPeer, "the peer has the host name and role of this process");
    return false;
  }
  std::vector<std::uint64_t> replaced;
  for (const auto& [id, connection] : mPeers) {
    const RemotePeer& other = connection.peer;
    if (other.host != aPeer.host || other.role != aPeer.role) {
      continue;
    }
    if (other.incarnation > aPeer.incarnation) {
      logRefusal(aPeer, "a later incarnation is connected");
      return false;
    }
    if (other.incarnation < aPeer.incarnation || other.outgoing == aPeer.outgoing) {
      replaced.push_back(id);
    }
  }
  for (const std::uint64_t id : replaced) {
    removePeer(id, "replaced by a newer connection");
  }
  if (mPeers.size() >= kMaxPeers) {
    logRefusal(aPeer, "maximum number of peers reached");
    return false;
  }
  return true;
}

void
PeerNetworkImpl::logRefusal(const RemotePeer& aPeer, const char* aReason)
{
  mLog.write(kPeerRefused,
             { { "host", aPeer.host },
               { "incarnation", aPeer.incarnation },
               { "reason", aReason } });
}

void
PeerNetworkImpl::removePeer(std::uint64_t aId, const char* aReason)
{
  const auto found = mPeers.find(aId);
  if (found == mPeers.end()) {
    return;
  }
  const RemotePeer peer = found->second.peer;
  mPeerByRoute.erase(found->second.route);
  mPeers.erase(found);
  mLog.write(kPeerLost,
             { { "host", peer.host },
               { "incarnation", peer.incarnation },
               { "reason", aReason } });
  mListener.peerLost(peer);
}

void
PeerNetworkImpl::handleHeartbeat()
{
  if (mLeaving) {
    return;
  }
  const Instant now = mLoop.now();
  // If this process was paused, its peers may have sent messages that are not read yet;
  // the pause must not count as their silence.
  const Duration pause = now - mLastHeartbeat - mLocal.heartbeatPeriod;
  mLastHeartbeat = now;
  if (pause > mLocal.heartbeatPeriod) {
    for (auto& [id, connection] : mPeers) {
      connection.lastSeen += pause;
    }
  }
  removeSilentPeers(now);
  for (const auto& [id, connection] : mPeers) {
    sendHello(connection.route);
  }
  for (const auto& [endpoint, link] : mOutgoingLinks) {
    const Route route{ link.get(), "" };
    if (findConnection(route) == nullptr) {
      sendHello(route);
    }
  }
}

void
PeerNetworkImpl::removeSilentPeers(Instant aNow)
{
  std::vector<std::uint64_t> silent;
  for (const auto& [id, connection] : mPeers) {
    if (aNow - connection.lastSeen >= mLocal.peerTimeout) {
      silent.push_back(id);
    }
  }
  for (const std::uint64_t id : silent) {
    removePeer(id, "nothing received for the peer timeout");
  }
}

} // namespace

Result<std::unique_ptr<PeerNetwork>>
PeerNetwork::create(event::Loop& aLoop,
                    LocalPeer aLocal,
                    CurveKeys aKeys,
                    EventLog& aLog,
                    Metrics& aMetrics,
                    IPeerListener& aListener)
{
  auto network = std::make_unique<PeerNetworkImpl>(
    aLoop, std::move(aLocal), aLog, aMetrics, aListener);
  BOOST_OUTCOME_TRYV(network->start(aKeys));
  return std::unique_ptr<PeerNetwork>(std::move(network));
}

} // namespace savoryrill::transport
