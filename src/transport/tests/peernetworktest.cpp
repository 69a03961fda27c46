#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <thread>
#include <zmq.hpp>

#include "transport/curvekeyfiles.h"
#include "transport/peernetwork.h"
#include "transport/types/transportmetrics.h"

using namespace savoryrill;
using namespace savoryrill::transport;

namespace {

class RecordingListener final : public IPeerListener
{
public:
  void peerJoined(const RemotePeer& aPeer) override { joined.push_back(aPeer); }
  void peerLost(const RemotePeer& aPeer) override { lost.push_back(aPeer); }
  void digestReceived(const RemotePeer&, const peer::Digest& aDigest) override
  {
    digests.push_back(aDigest);
  }
  void deltaReceived(const RemotePeer&, const peer::Delta& aDelta) override
  {
    deltas.push_back(aDelta);
  }

  std::vector<RemotePeer> joined;
  std::vector<RemotePeer> lost;
  std::vector<peer::Digest> digests;
  std::vector<peer::Delta> deltas;
};

peer::Delta
delta(const std::string& aKey, std::size_t aBytes = 1)
{
  peer::Delta result;
  auto* entry = result.add_entries();
  entry->set_kind(peer::ENTRY_KIND_MEMBER);
  entry->set_key(aKey);
  entry->set_payload(std::string(aBytes, 'x'));
  return result;
}

peer::Envelope
envelope(const std::string& aHost, std::uint64_t aIncarnation)
{
  peer::Envelope result;
  result.set_sender(aHost);
  result.set_incarnation(aIncarnation);
  return result;
}

std::string
helloFrame(const std::string& aHost, std::uint64_t aIncarnation)
{
  auto message = envelope(aHost, aIncarnation);
  auto* hello = message.mutable_hello();
  hello->set_role(peer::ROLE_ROUTER);
  hello->set_host(aHost);
  hello->set_data_centre("xela");
  hello->set_incarnation(aIncarnation);
  return message.SerializeAsString();
}

std::string
deltaFrame(const std::string& aHost, std::uint64_t aIncarnation)
{
  auto message = envelope(aHost, aIncarnation);
  *message.mutable_delta() = delta("a");
  return message.SerializeAsString();
}

} // namespace

TEST_GROUP(PeerNetwork)
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<EventLog> log;
  Metrics metrics;
  RecordingListener controllerListener;
  RecordingListener routerListener;
  std::unique_ptr<PeerNetwork> controller;
  std::unique_ptr<PeerNetwork> router;
  zmq::context_t rawContext;
  std::deque<zmq::socket_t> rawSockets; // keeps references valid
  std::string secretFile = std::string(SAVORYRILL_BINARY_DIR) + "/peernetworktest.secret";
  std::string publicFile = std::string(SAVORYRILL_BINARY_DIR) + "/peernetworktest.public";

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    log = EventLog::createInMemory();
  }

  void teardown() override
  {
    router.reset();
    controller.reset();
    rawSockets.clear();
    loop.reset();
    removeKeys();
  }

  void removeKeys() const
  {
    std::remove(secretFile.c_str());
    std::remove(publicFile.c_str());
  }

  static LocalPeer local(peer::Role aRole, const std::string& aHost)
  {
    LocalPeer result;
    result.role = aRole;
    result.host = aHost;
    result.dataCentre = "xela";
    result.incarnation = 5;
    if (aRole == peer::ROLE_CONTROLLER) {
      result.bindEndpoint = "127.0.0.1:0";
    }
    return result;
  }

  Result<std::unique_ptr<PeerNetwork>> create(
    const LocalPeer& aLocal, RecordingListener& aListener, const CurveKeys& aKeys = {})
  {
    return PeerNetwork::create(*loop, aLocal, aKeys, *log, metrics, aListener);
  }

  void startController(const CurveKeys& aKeys = {})
  {
    controller = std::move(
      create(local(peer::ROLE_CONTROLLER, "c1"), controllerListener, aKeys).value());
  }

  void startRouter(const CurveKeys& aKeys = {})
  {
    router =
      std::move(create(local(peer::ROLE_ROUTER, "r1"), routerListener, aKeys).value());
    router->connect(controller->endpoint());
  }

  void connectBoth(const CurveKeys& aKeys = {})
  {
    startController(aKeys);
    startRouter(aKeys);
    runUntil([&] {
      return !controllerListener.joined.empty() && !routerListener.joined.empty();
    });
  }

  void runUntil(const std::function<bool()>& aDone)
  {
    while (!aDone()) {
      loop->runOnce(true);
    }
  }

  /// Opens a socket to the controller that can send arbitrary frames.
  zmq::socket_t& openRawSocket()
  {
    rawSockets.emplace_back(rawContext, zmq::socket_type::dealer);
    rawSockets.back().set(zmq::sockopt::linger, 0);
    rawSockets.back().set(zmq::sockopt::rcvhwm, 1);
    rawSockets.back().connect("tcp://" + controller->endpoint());
    return rawSockets.back();
  }

  static void sendRaw(zmq::socket_t & aSocket, const std::string& aFrame)
  {
    aSocket.send(zmq::buffer(aFrame), zmq::send_flags::none);
  }
};

// Guards against messages that are delivered in one direction only.
TEST(PeerNetwork, routerAndController_connected_exchangeBothWays)
{
  connectBoth();
  STRCMP_EQUAL("r1", controllerListener.joined[0].host.c_str());
  CHECK(controllerListener.joined[0].role == peer::ROLE_ROUTER);
  CHECK_FALSE(controllerListener.joined[0].outgoing);
  STRCMP_EQUAL("c1", routerListener.joined[0].host.c_str());
  CHECK(routerListener.joined[0].outgoing);
  STRCMP_EQUAL(controller->endpoint().c_str(), routerListener.joined[0].endpoint.c_str());
  controller->send(controllerListener.joined[0].id, delta("down"));
  peer::Digest digest;
  digest.set_reply_wanted(true);
  router->send(routerListener.joined[0].id, digest);
  runUntil([&] {
    return !routerListener.deltas.empty() && !controllerListener.digests.empty();
  });
  STRCMP_EQUAL("down", routerListener.deltas[0].entries(0).key().c_str());
  CHECK(controllerListener.digests[0].reply_wanted());
}

// Guards against reading only the first message of a burst: the socket's descriptor is
// edge-triggered and signals a burst once.
TEST(PeerNetwork, burst_sentAtOnce_arrivesWholeAndInOrder)
{
  connectBoth();
  constexpr int kMessages = 200;
  for (int index = 0; index < kMessages; ++index) {
    controller->send(controllerListener.joined[0].id, delta(std::to_string(index)));
    router->send(routerListener.joined[0].id, delta(std::to_string(index)));
  }
  runUntil([&] {
    return routerListener.deltas.size() >= kMessages &&
           controllerListener.deltas.size() >= kMessages;
  });
  for (int index = 0; index < kMessages; ++index) {
    const std::string key = std::to_string(index);
    STRCMP_EQUAL(key.c_str(), routerListener.deltas[index].entries(0).key().c_str());
    STRCMP_EQUAL(key.c_str(), controllerListener.deltas[index].entries(0).key().c_str());
  }
}

// Guards against peers that count as connected after they have sent `Bye`.
TEST(PeerNetwork, peerLeaves_bye_isLost)
{
  connectBoth();
  router->leave();
  runUntil([&] { return !controllerListener.lost.empty(); });
  CHECK(controller->peers().empty());
  LONGS_EQUAL(1, controllerListener.joined.size());
}

// Guards against a router that does not reconnect to a restarted controller.
TEST(PeerNetwork, controllerRestarts_sameEndpoint_routerJoinsNewIncarnation)
{
  connectBoth();
  auto restarted = local(peer::ROLE_CONTROLLER, "c1");
  restarted.bindEndpoint = controller->endpoint();
  restarted.incarnation = 6;
  controller.reset();
  controller = std::move(create(restarted, controllerListener).value());
  runUntil([&] { return routerListener.joined.size() >= 2; });
  LONGS_EQUAL(6, routerListener.joined.back().incarnation);
  LONGS_EQUAL(1, routerListener.lost.size());
  LONGS_EQUAL(5, routerListener.lost[0].incarnation);
  LONGS_EQUAL(1, router->peers().size());
}

// Guards against a dead process that still counts as connected.
TEST(PeerNetwork, peerSilent_pastTimeout_isLost)
{
  auto fast = local(peer::ROLE_CONTROLLER, "c1");
  fast.heartbeatPeriod = 20ms;
  fast.peerTimeout = 100ms;
  controller = std::move(create(fast, controllerListener).value());
  sendRaw(openRawSocket(), helloFrame("silent", 1));
  runUntil([&] { return !controllerListener.lost.empty(); });
  STRCMP_EQUAL("silent", controllerListener.lost[0].host.c_str());
}

// Guards against a process that drops all its peers because it was itself paused for
// longer than the peer timeout.
TEST(PeerNetwork, ownPause_aboveTimeout_keepsPeers)
{
  auto fast = local(peer::ROLE_CONTROLLER, "c1");
  fast.heartbeatPeriod = 50ms;
  fast.peerTimeout = 1s;
  controller = std::move(create(fast, controllerListener).value());
  startRouter();
  runUntil(
    [&] { return !controllerListener.joined.empty() && !routerListener.joined.empty(); });
  // ZeroMQ's own threads keep the connection; only the loop is paused.
  std::this_thread::sleep_for(1200ms);
  const auto before = metrics.counter(kReceivedSeries);
  runUntil([&] { return metrics.counter(kReceivedSeries) >= before + 10; });
  LONGS_EQUAL(0, controllerListener.lost.size());
}

// Guards against accepting messages of a replaced process as those of its successor.
TEST(PeerNetwork, incarnations_ofOneHost_latestWins)
{
  startController();
  auto& first = openRawSocket();
  sendRaw(first, helloFrame("r9", 5));
  runUntil([&] { return controllerListener.joined.size() == 1; });
  sendRaw(openRawSocket(), helloFrame("r9", 7));
  runUntil([&] { return controllerListener.joined.size() == 2; });
  LONGS_EQUAL(1, controllerListener.lost.size());
  LONGS_EQUAL(5, controllerListener.lost[0].incarnation);
  sendRaw(rawSockets.front(), deltaFrame("r9", 5));
  sendRaw(openRawSocket(), helloFrame("r9", 6));
  runUntil([&] {
    return metrics.counter(kStraySeries) == 1 &&
           !log->eventsWith("reason", "a later incarnation is connected").empty();
  });
  LONGS_EQUAL(2, controllerListener.joined.size());
  LONGS_EQUAL(0, controllerListener.deltas.size());
  LONGS_EQUAL(1, controller->peers().size());
}

// Guards against faulty or hostile frames that stop the exchange or reach the listener.
TEST(PeerNetwork, malformedFrames_received_countedAndDropped)
{
  startController();
  auto mismatched = envelope("r9", 5);
  mismatched.mutable_hello()->set_host("other");
  auto& socket = openRawSocket();
  sendRaw(socket, "garbage");
  sendRaw(socket, "");
  sendRaw(socket, envelope("r9", 5).SerializeAsString());
  sendRaw(socket, mismatched.SerializeAsString());
  socket.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
  socket.send(zmq::str_buffer("frames"), zmq::send_flags::none);
  sendRaw(socket, deltaFrame("r9", 5)); // before its hello
  sendRaw(socket, helloFrame("r9", 5));
  sendRaw(socket, deltaFrame("r9", 4)); // another incarnation than in its hello
  sendRaw(socket, deltaFrame("r9", 5));
  runUntil([&] { return !controllerListener.deltas.empty(); });
  LONGS_EQUAL(5, metrics.counter(kMalformedSeries));
  LONGS_EQUAL(2, metrics.counter(kStraySeries));
  LONGS_EQUAL(1, controllerListener.deltas.size());
  LONGS_EQUAL(1, log->eventsWith("dropped", "1").size());
}

// Guards against a peer that does not read and thereby blocks the loop or exhausts
// memory.
TEST(PeerNetwork, frozenPeer_fullQueue_othersGoOn)
{
  connectBoth();
  sendRaw(openRawSocket(), helloFrame("frozen", 1));
  runUntil([&] { return controllerListener.joined.size() == 2; });
  const auto frozen = controllerListener.joined[1].id;
  constexpr std::size_t kBytes = 64 * 1024;
  while (metrics.counter(kUnsentSeries) == 0) {
    controller->send(frozen, delta("large", kBytes));
  }
  controller->send(controllerListener.joined[0].id, delta("small"));
  runUntil([&] { return !routerListener.deltas.empty(); });
  STRCMP_EQUAL("small", routerListener.deltas[0].entries(0).key().c_str());
}

// Guards against endpoints that need a name service, and against a self-connection.
TEST(PeerNetwork, unusableEndpoints_connect_ignored)
{
  startController();
  for (const char* endpoint : { "localhost:5000",
                                "127.0.0.1",
                                "127.0.0.1:0",
                                "127.0.0.1:x",
                                "127.0.0.1:70000",
                                "" }) {
    controller->connect(endpoint);
    LONGS_EQUAL(1, log->eventsWith("endpoint", endpoint).size());
  }
  controller->connect(controller->endpoint());
  LONGS_EQUAL(6, log->eventsAfter(0).size());
}

// Guards against a connection that stays open, or is reported as lost twice, after
// `disconnect`.
TEST(PeerNetwork, disconnect_connectedPeer_lostOnBothSides)
{
  connectBoth();
  router->disconnect(controller->endpoint());
  LONGS_EQUAL(1, routerListener.lost.size());
  runUntil([&] { return !controllerListener.lost.empty(); });
  CHECK(router->peers().empty());
}

// Guards against two controllers that believe they listen on the same port.
TEST(PeerNetwork, endpointTaken_create_unavailable)
{
  startController();
  auto second = local(peer::ROLE_CONTROLLER, "c2");
  second.bindEndpoint = controller->endpoint();
  CHECK(create(second, routerListener).error().code == ErrorCode::Unavailable);
}

// Guards against generated keys that do not work, and against accepting a client that has
// the fleet's public key but not its secret key.
TEST(PeerNetwork, curve_onlyFleetKeys_accepted)
{
  const CurveKeys keys{ secretFile, publicFile };
  removeKeys();
  CHECK(generateCurveKeys(keys).has_value());
  const auto pair = readCurveKeys(keys).value();
  startController(keys);
  auto stranger_keys =
    std::pair<std::string, std::string>(std::string(41, 0), std::string(41, 0));
  zmq_curve_keypair(stranger_keys.first.data(), stranger_keys.second.data());
  rawSockets.emplace_back(rawContext, zmq::socket_type::dealer);
  auto& stranger = rawSockets.back();
  stranger.set(zmq::sockopt::linger, 0);
  stranger.set(zmq::sockopt::curve_serverkey, pair.publicKey);
  stranger.set(zmq::sockopt::curve_publickey, stranger_keys.first.c_str());
  stranger.set(zmq::sockopt::curve_secretkey, stranger_keys.second.c_str());
  zmq::socket_t monitor(rawContext, zmq::socket_type::pair);
  zmq_socket_monitor(stranger, "inproc://stranger", ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
  monitor.connect("inproc://stranger");
  stranger.connect("tcp://" + controller->endpoint());
  sendRaw(stranger, helloFrame("stranger", 1));
  sendRaw(openRawSocket(), helloFrame("plain", 1));
  zmq::message_t refusal;
  const auto tick = loop->every(5ms, [] {});
  runUntil([&] { return monitor.recv(refusal, zmq::recv_flags::dontwait).has_value(); });
  startRouter(keys);
  runUntil(
    [&] { return !controllerListener.joined.empty() && !routerListener.joined.empty(); });
  LONGS_EQUAL(1, controllerListener.joined.size());
  STRCMP_EQUAL("r1", controllerListener.joined[0].host.c_str());
  zmq_socket_monitor(stranger, nullptr, 0);
}

// Guards against overwriting a key pair, and against a start with unusable keys.
TEST(PeerNetwork, keyFiles_faulty_refused)
{
  const CurveKeys keys{ secretFile, publicFile };
  removeKeys();
  auto code = [&](const CurveKeys& aKeys) {
    return create(local(peer::ROLE_ROUTER, "r1"), routerListener, aKeys).error().code;
  };
  CHECK(code(keys) == ErrorCode::InvalidArgument);
  CHECK(generateCurveKeys(keys).has_value());
  CHECK(generateCurveKeys(keys).error().code == ErrorCode::Conflict);
  CHECK(code({ secretFile, "" }) == ErrorCode::InvalidArgument);
  CHECK(code({ publicFile, secretFile }) == ErrorCode::InvalidArgument);
  std::ofstream(publicFile, std::ios::trunc) << "too short\n";
  CHECK(code(keys) == ErrorCode::InvalidArgument);
}
