#include <CppUTest/TestHarness.h>

#include <map>
#include <random>
#include <zmq.hpp>

#include "gossip/statesync.h"

using namespace savoryrill;
using gossip::StateSync;
using gossip::SyncOptions;

namespace {

/// One process that synchronizes its state with the others.
struct Node
{
  std::string host;
  std::string dataCentre;
  std::unique_ptr<EventLog> log = EventLog::createInMemory();
  Metrics metrics;
  std::unique_ptr<StateSync> sync;
  std::vector<peer::Entry> changes;

  std::string payload(peer::EntryKind aKind, const std::string& aKey, Instant aNow) const
  {
    const auto entry = sync->entries().find({ aKind, aKey }, aNow);
    return entry ? entry->payload() : "absent";
  }

  std::vector<peer::Entry> changesOf(peer::EntryKind aKind) const
  {
    std::vector<peer::Entry> found;
    for (const auto& change : changes) {
      if (change.kind() == aKind) {
        found.push_back(change);
      }
    }
    return found;
  }

  bool isConnectedTo(const std::string& aHost) const
  {
    for (const auto& peer : sync->peers()) {
      if (peer.host == aHost) {
        return true;
      }
    }
    return false;
  }
};

std::string
memberPayload(const Node& aNode, const std::string& aEndpoint, bool aLeaving = false)
{
  peer::MemberContent content;
  content.set_role(peer::ROLE_CONTROLLER);
  content.set_host(aNode.host);
  content.set_data_centre(aNode.dataCentre);
  content.set_endpoint(aEndpoint);
  content.set_leaving(aLeaving);
  return content.SerializeAsString();
}

} // namespace

TEST_GROUP(StateSync)
{
  std::unique_ptr<event::Loop> loop;
  std::map<std::string, std::unique_ptr<Node>> nodes; // by host
  Duration digestPeriod = 3600s; // so that updates come only by pushes and on connecting
  std::size_t maxDeltaBytes = 1024 * 1024;

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
  }

  void teardown() override
  {
    nodes.clear();
    loop.reset();
  }

  Node& start(const std::string& aHost,
              const std::string& aDataCentre,
              const std::vector<std::string>& aSeeds,
              peer::Role aRole = peer::ROLE_CONTROLLER,
              const std::string& aBind = "127.0.0.1:0",
              std::uint64_t aIncarnation = 1)
  {
    auto node = std::make_unique<Node>();
    node->host = aHost;
    node->dataCentre = aDataCentre;
    SyncOptions options;
    options.local.role = aRole;
    // A router has the name of its host, as the controller on the same host does.
    options.local.host = aRole == peer::ROLE_ROUTER ? aHost.substr(2) : aHost;
    options.local.dataCentre = aDataCentre;
    options.local.incarnation = aIncarnation;
    options.local.bindEndpoint = aRole == peer::ROLE_ROUTER ? "" : aBind;
    options.digestPeriod = digestPeriod;
    options.maxDeltaBytes = maxDeltaBytes;
    options.randomSeed = nodes.size() + 1;
    for (const auto& seed : aSeeds) {
      const Node& other = *nodes.at(seed);
      options.seeds.push_back({ other.sync->endpoint(), other.host, other.dataCentre });
    }
    node->sync =
      std::move(StateSync::create(*loop, options, *node->log, node->metrics).value());
    Node* result = node.get();
    node->sync->onChange(
      [result](const peer::Entry& aEntry) { result->changes.push_back(aEntry); });
    nodes[aHost] = std::move(node);
    return *result;
  }

  Node& startRouter(const std::string& aHost, const std::vector<std::string>& aSeeds)
  {
    return start("r-" + aHost, "xela", aSeeds, peer::ROLE_ROUTER);
  }

  void runUntil(const std::function<bool()>& aDone)
  {
    while (!aDone()) {
      loop->runOnce(true);
    }
  }

  /// Publishes the endpoint of a controller.
  void publishMember(Node & aNode)
  {
    const std::string payload = memberPayload(aNode, aNode.sync->endpoint());
    aNode.sync->publish(peer::ENTRY_KIND_MEMBER, aNode.host, 1, 1, payload);
  }

  bool isConnectedToDataCentre(const Node& aNode, const std::string& aDataCentre) const
  {
    for (const auto& peer : aNode.sync->peers()) {
      if (peer.dataCentre == aDataCentre) {
        return true;
      }
    }
    return false;
  }

  /// Starts two controllers in each of two data centres and waits until they are
  /// connected.
  void startTwoDataCentres()
  {
    start("x1", "xela", {});
    start("x2", "xela", { "x1" });
    start("t1", "toto", { "x1", "x2" });
    start("t2", "toto", { "t1", "x1", "x2" });
    runUntil([&] {
      return nodes["x1"]->isConnectedTo("x2") && nodes["x2"]->isConnectedTo("x1") &&
             nodes["t1"]->isConnectedTo("t2") && nodes["t2"]->isConnectedTo("t1") &&
             isConnectedToDataCentre(*nodes["t1"], "xela") &&
             isConnectedToDataCentre(*nodes["t2"], "xela");
    });
    // The controllers of xela learn the endpoints of those of toto from member entries.
    publishMember(*nodes["t1"]);
    publishMember(*nodes["t2"]);
    runUntil([&] {
      return isConnectedToDataCentre(*nodes["x1"], "toto") &&
             isConnectedToDataCentre(*nodes["x2"], "toto");
    });
  }

  /// Stops a process once all others have lost the connection to it.
  void stop(const std::string& aHost)
  {
    nodes.at(aHost)->sync->leave();
    runUntil([&] {
      for (const auto& [host, node] : nodes) {
        if (host != aHost && node->isConnectedTo(aHost)) {
          return false;
        }
      }
      return true;
    });
    nodes.erase(aHost);
  }

  bool allHave(
    peer::EntryKind aKind, const std::string& aKey, const std::string& aPayload)
  {
    for (const auto& [host, node] : nodes) {
      if (node->payload(aKind, aKey, loop->now()) != aPayload) {
        return false;
      }
    }
    return true;
  }
};

// Guards against changes that reach the own data centre only with the next digest.
TEST(StateSync, controllerPublishes_ownDataCentre_pushedToControllersAndRouters)
{
  start("x1", "xela", {});
  start("x2", "xela", { "x1" });
  auto& router = startRouter("x2", { "x1", "x2" });
  runUntil([&] {
    return nodes["x1"]->isConnectedTo("x2") && nodes["x2"]->isConnectedTo("x1") &&
           router.isConnectedTo("x2");
  });
  nodes["x1"]->sync->publish(peer::ENTRY_KIND_UPSTREAM, "u", 1, 1, "first");
  runUntil([&] { return allHave(peer::ENTRY_KIND_UPSTREAM, "u", "first"); });
  nodes["x1"]->sync->publish(peer::ENTRY_KIND_UPSTREAM, "u", 1, 1, "ignored");
  nodes["x1"]->sync->publish(peer::ENTRY_KIND_UPSTREAM, "u", 1, 2, "second");
  runUntil([&] { return allHave(peer::ENTRY_KIND_UPSTREAM, "u", "second"); });
  for (const auto& [host, node] : nodes) {
    LONGS_EQUAL(2, node->changes.size());
  }
}

// Guards against demand and configurations that reach other data centres only with the
// next digest.
TEST(StateSync, demandAndConfig_twoDataCentres_pushedToAll)
{
  startTwoDataCentres();
  auto& router = startRouter("x2", { "x2", "x1" });
  runUntil([&] { return router.isConnectedTo("x2"); });
  router.sync->publish(peer::ENTRY_KIND_DEMAND, "r", 1, 1, "demand", 3600s);
  runUntil([&] { return allHave(peer::ENTRY_KIND_DEMAND, "r", "demand"); });
  nodes["t1"]->sync->publish(peer::ENTRY_KIND_CONFIG, "bundle", 0, 7, "config");
  runUntil([&] { return allHave(peer::ENTRY_KIND_CONFIG, "bundle", "config"); });
  for (const auto& [host, node] : nodes) {
    LONGS_EQUAL(1, node->changesOf(peer::ENTRY_KIND_DEMAND).size());
    LONGS_EQUAL(1, node->changesOf(peer::ENTRY_KIND_CONFIG).size());
  }
}

// Guards against a data centre that is unreachable after its chosen controller has
// stopped.
TEST(StateSync, chosenControllerLost_otherDataCentre_anotherOneChosen)
{
  start("t1", "toto", {});
  start("t2", "toto", { "t1" });
  auto& single = start("x1", "xela", { "t1", "t2" });
  runUntil([&] { return single.isConnectedTo("t1") || single.isConnectedTo("t2"); });
  const std::string first = single.isConnectedTo("t1") ? "t1" : "t2";
  const std::string second = first == "t1" ? "t2" : "t1";
  stop(first);
  runUntil([&] { return single.isConnectedTo(second); });
  single.sync->publish(peer::ENTRY_KIND_CONFIG, "bundle", 0, 1, "config");
  runUntil([&] { return allHave(peer::ENTRY_KIND_CONFIG, "bundle", "config"); });
}

// Guards against a router that stays without a controller after it lost its connection,
// and against one that does not return to the controller on its own host.
TEST(StateSync, routersController_lostAndBack_routerReconnects)
{
  digestPeriod = 20ms;
  start("x1", "xela", {});
  start("x2", "xela", { "x1" });
  auto& router = startRouter("x1", { "x2", "x1" });
  runUntil([&] { return router.isConnectedTo("x1") && !router.isConnectedTo("x2"); });
  const std::string endpoint = nodes["x1"]->sync->endpoint();
  stop("x1");
  runUntil([&] { return router.isConnectedTo("x2"); });
  nodes["x2"]->sync->publish(peer::ENTRY_KIND_UPSTREAM, "u", 1, 1, "first");
  runUntil([&] { return allHave(peer::ENTRY_KIND_UPSTREAM, "u", "first"); });
  start("x1", "xela", { "x2" }, peer::ROLE_CONTROLLER, endpoint, 2);
  runUntil([&] { return router.isConnectedTo("x1") && !router.isConnectedTo("x2"); });
}

// Guards against controllers that connect only to their seeds, and against connections to
// controllers that have left.
TEST(StateSync, memberEntry_addedThenLeaving_controllerConnectedThenDisconnected)
{
  digestPeriod = 20ms;
  start("x1", "xela", {});
  auto& second = start("x2", "xela", { "x1" });
  auto& third = start("x3", "xela", { "x1" });
  const std::string endpoint = second.sync->endpoint();
  second.sync->publish(
    peer::ENTRY_KIND_MEMBER, "x2", 1, 1, memberPayload(second, endpoint));
  runUntil([&] { return third.isConnectedTo("x2"); });
  second.sync->publish(
    peer::ENTRY_KIND_MEMBER, "x2", 1, 2, memberPayload(second, endpoint, true));
  runUntil([&] { return !third.isConnectedTo("x2"); });
  CHECK(third.isConnectedTo("x1"));
}

// Guards against a new process that needs several digest periods to receive all entries.
TEST(StateSync, newController_manyEntries_receivedAfterOneDigest)
{
  maxDeltaBytes = 300;
  auto& first = start("x1", "xela", {});
  for (int index = 0; index < 20; ++index) {
    first.sync->publish(
      peer::ENTRY_KIND_UPSTREAM, std::to_string(index), 1, 1, std::string(100, 'x'));
  }
  auto& second = start("x2", "xela", { "x1" });
  runUntil([&] { return second.sync->entries().size() == 20; });
  LONGS_EQUAL(20, second.changes.size());
}

// Guards against demand of a stopped router whose expiry is not reported.
TEST(StateSync, entryExpires_everywhere_reportedWithoutPayload)
{
  start("x1", "xela", {});
  start("x2", "xela", { "x1" });
  runUntil(
    [&] { return nodes["x1"]->isConnectedTo("x2") && nodes["x2"]->isConnectedTo("x1"); });
  nodes["x1"]->sync->publish(peer::ENTRY_KIND_DEMAND, "r", 1, 1, "demand", 300ms);
  for (const auto& [host, node] : nodes) {
    runUntil([&, &changes = node->changes] {
      return changes.size() >= 2 && changes.back().payload().empty();
    });
    LONGS_EQUAL(0, node->sync->entries().size());
  }
}

// Guards against lost entries that no digest repairs, in either direction, and against
// repaired entries from another data centre that only one controller receives.
TEST(StateSync, lostEntries_otherDataCentre_repairedByDigests)
{
  digestPeriod = 20ms;
  start("x1", "xela", {});
  start("x2", "xela", { "x1" });
  runUntil(
    [&] { return nodes["x1"]->isConnectedTo("x2") && nodes["x2"]->isConnectedTo("x1"); });
  nodes["x1"]->sync->publish(peer::ENTRY_KIND_UPSTREAM, "u", 1, 1, "first");

  // Simulates a controller of another data centre that has lost all pushes.
  zmq::context_t context;
  zmq::socket_t remote(context, zmq::socket_type::dealer);
  remote.set(zmq::sockopt::linger, 0);
  remote.connect("tcp://" + nodes["x1"]->sync->endpoint());
  auto send = [&](const std::function<void(peer::Envelope&)>& aFill) {
    peer::Envelope message;
    message.set_sender("t1");
    message.set_incarnation(1);
    aFill(message);
    remote.send(zmq::buffer(message.SerializeAsString()), zmq::send_flags::none);
  };
  send([](peer::Envelope& aMessage) {
    aMessage.mutable_hello()->set_role(peer::ROLE_CONTROLLER);
    aMessage.mutable_hello()->set_host("t1");
    aMessage.mutable_hello()->set_data_centre("toto");
    aMessage.mutable_hello()->set_incarnation(1);
  });
  auto receive = [&] {
    zmq::message_t frame;
    peer::Envelope message;
    while (!remote.recv(frame, zmq::recv_flags::dontwait)) {
      loop->runOnce(true);
    }
    CHECK(message.ParseFromArray(frame.data(), static_cast<int>(frame.size())));
    return message;
  };
  auto message = receive();
  while (!message.has_digest()) {
    message = receive();
  }
  // The periodic digest is a summary. A summary with other fingerprints in return gets a
  // digest with the items.
  LONGS_EQUAL(state::StateMap::kBucketCount, message.digest().fingerprints_size());
  LONGS_EQUAL(0, message.digest().items_size());
  send([](peer::Envelope& aMessage) {
    *aMessage.mutable_digest() = state::StateMap().summary();
  });
  while (!message.has_digest() || message.digest().items_size() == 0) {
    message = receive();
  }
  CHECK(message.digest().reply_wanted());
  LONGS_EQUAL(1, message.digest().items_size());
  STRCMP_EQUAL("u", message.digest().items(0).key().c_str());
  LONGS_EQUAL(1, message.digest().buckets_size());
  send([](peer::Envelope& aMessage) { aMessage.mutable_digest(); });
  while (!message.has_delta()) {
    message = receive();
  }
  STRCMP_EQUAL("first", message.delta().entries(0).payload().c_str());
  send([](peer::Envelope& aMessage) {
    auto* entry = aMessage.mutable_delta()->add_entries();
    entry->set_kind(peer::ENTRY_KIND_CONFIG);
    entry->set_key("bundle");
    entry->set_sequence(3);
    entry->set_payload("config");
  });
  runUntil([&] { return allHave(peer::ENTRY_KIND_CONFIG, "bundle", "config"); });
}

// Guards against states that stay different after concurrent changes at all processes.
TEST(StateSync, randomChanges_threeDataCentres_converge)
{
  digestPeriod = 50ms;
  startTwoDataCentres();
  start("s1", "solola", { "t1", "x1" });
  start("s2", "solola", { "s1", "t2", "x2" });
  startRouter("x1", { "x1", "x2" });
  std::mt19937 random(4711);
  std::uint64_t highest = 0;
  for (int step = 0; step < 300; ++step) {
    auto node = nodes.begin();
    std::advance(node, random() % nodes.size());
    const std::uint64_t sequence = random() % 1000;
    highest = std::max(highest, sequence);
    node->second->sync->publish(
      peer::ENTRY_KIND_CONFIG, "bundle", 0, sequence, std::to_string(sequence));
    loop->runOnce(false);
  }
  runUntil(
    [&] { return allHave(peer::ENTRY_KIND_CONFIG, "bundle", std::to_string(highest)); });
  for (const auto& [host, node] : nodes) {
    const auto changes = node->changesOf(peer::ENTRY_KIND_CONFIG);
    for (std::size_t index = 1; index < changes.size(); ++index) {
      CHECK(changes[index - 1].sequence() < changes[index].sequence());
    }
  }
}
