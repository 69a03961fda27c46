#include <CppUTest/TestHarness.h>

#include <openssl/sha.h>

#include "config/bundle.h"
#include "controller/controller.h"
#include "controller/tests/fakes.h"
#include "placement/rendezvous.h"
#include "placement/types/rows.h"

using namespace savoryrill;
using namespace savoryrill::controller;
using upstream::OrderKind;

namespace {

// Engine c1 checks fencing numbers, engine i1 ignores them.
const char* const kBaseConfiguration = R"({
  "schema_version": 1, "region": "r", "data_centres": ["x"],
  "weight_store": {"loads_per_second": 100, "full_speed_loads": 4,
                   "adapters_in_flight": 32},
  "pools": {"p": {"kind": "engine"}, "q": {"kind": "engine"}, "s": {"kind": "service"}},
  "services": {"bookings": {"pool": "s", "path": "/b", "methods": ["POST"],
                            "repeatable": false}},
  "upstreams": {
    "s1": {"pool": "s", "data_centre": "x", "address": "127.14.0.3:1"},
    "c1": {"pool": "p", "data_centre": "x", "address": "127.14.0.1:1",
           "memory_mb": 1000, "adapter_memory_mb": 100, "checks_fencing": true},
    "i1": {"pool": "q", "data_centre": "x", "address": "127.14.0.2:1",
           "memory_mb": 1000, "adapter_memory_mb": 100, "checks_fencing": false}},
  "deployments": {
    "m": {"pool": "p", "max_replicas": 1, "footprint_mb": 600, "load_ms": 1000,
          "versions": ["1"], "adapters": {"a": {"size_mb": 10}},
          "keep_alive": {"policy": "fixed", "idle_s": 1000}},
    "n": {"pool": "p", "max_replicas": 1, "footprint_mb": 600, "load_ms": 1000,
          "versions": ["1"], "keep_alive": {"policy": "fixed", "idle_s": 1000}},
    "o": {"pool": "q", "max_replicas": 1, "footprint_mb": 600, "load_ms": 1000,
          "versions": ["1"], "keep_alive": {"policy": "fixed", "idle_s": 1000}}}
})";
const std::string kC1Address = "127.14.0.1:1";
const std::string kI1Address = "127.14.0.2:1";

std::string
sha256(const std::string& aBytes)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(), digest);
  std::string text;
  char pair[3];
  for (const unsigned char byte : digest) {
    std::snprintf(pair, sizeof pair, "%02x", byte);
    text += pair;
  }
  return text;
}

struct Process
{
  Process(event::Loop& aLoop,
          FakePlatform& aPlatform,
          FakeEngines& aEngines,
          const std::string& aHost)
    : sync(aLoop)
  {
    settings.host = aHost;
    settings.dataCentre = "x";
    settings.leaseTime = 400ms;
    settings.orderTimeToLive = 200ms;
    settings.clockMargin = 50ms;
    ControllerOptions options;
    options.incarnation = 1;
    options.wallTime = [] { return Duration(3600s); };
    controller = Controller::create(
      aLoop, settings, aPlatform, aEngines, sync, *log, metrics, options);
  }
  config::Settings settings;
  FakeSync sync;
  std::unique_ptr<EventLog> log = EventLog::createInMemory();
  Metrics metrics;
  std::unique_ptr<Controller> controller;
};

} // namespace

TEST_GROUP(ControllerTest)
{
  std::unique_ptr<event::Loop> loop = std::move(event::Loop::create().value());
  FakePlatform platform{ *loop };
  FakeEngines engines{ *loop };
  std::unique_ptr<Process> first;
  std::unique_ptr<Process> second;
  std::string bundle;
  std::uint64_t demandSequence = 0;

  void setup() override
  {
    for (const auto& [address, checks_fencing] :
         { std::pair(kC1Address, true), std::pair(kI1Address, false) }) {
      auto& engine = engines.engines[address];
      engine.checksFencing = checks_fencing;
      engine.inventory.incarnation = 1;
      engine.inventory.memoryMb = 1000;
    }
    commit(1, kBaseConfiguration);
  }
  void teardown() override
  {
    first.reset();
    second.reset();
  }
  void commit(std::uint64_t aVersion, const std::string& aBase)
  {
    bundle = config::serialise({ { "base", aBase }, { { "x", { "x", "{}" } } } });
    const std::string key = "config/" + std::to_string(aVersion);
    platform.objects[key] = bundle;
    platform.table.put(
      "config/head",
      placement::toJson(placement::HeadRow{ aVersion, "change", key, sha256(bundle) }));
  }
  void startFirst()
  {
    first = std::make_unique<Process>(*loop, platform, engines, "a");
  }
  void startSecond()
  {
    second = std::make_unique<Process>(*loop, platform, engines, "b");
    first->sync.linkedPeers = { &second->sync };
    second->sync.linkedPeers = { &first->sync };
  }
  template<typename F>
  void runUntil(F aCondition)
  {
    while (!aCondition()) {
      loop->runOnce(true);
    }
  }
  // Runs the loop for a fixed time, for checks that something does not happen.
  void runFor(Duration aTime)
  {
    bool passed = false;
    const auto timer = loop->after(aTime, [&] { passed = true; });
    runUntil([&] { return passed; });
  }
  Json::Value ownedUpstreams(const Process& aProcess)
  {
    return aProcess.controller->status()["owned_upstreams"];
  }
  bool ready(const Process& aProcess)
  {
    const auto upstreams = ownedUpstreams(aProcess);
    return upstreams.size() == 2 && upstreams["c1"]["ready"].asBool() &&
           upstreams["i1"]["ready"].asBool() &&
           aProcess.controller->status()["assignments"].asInt() == 3;
  }
  void demand(const std::string& aModel,
              std::uint32_t aWaiting,
              std::uint32_t aPriority = 1,
              const std::string& aAdapter = "")
  {
    peer::DemandContent content;
    if (aWaiting > 0) {
      auto* item = content.add_items();
      item->set_deployment(aModel);
      item->set_version("1");
      item->set_adapter(aAdapter);
      item->set_waiting(aWaiting);
      item->set_priority(aPriority);
    }
    first->sync.publish(peer::ENTRY_KIND_DEMAND,
                        "router/" + aModel,
                        1,
                        ++demandSequence,
                        content.SerializeAsString());
  }
  bool loaded(const std::string& aAddress, const std::string& aModel)
  {
    const auto& models = engines.engines[aAddress].inventory.models;
    return std::any_of(models.begin(), models.end(), [&](const auto& aResident) {
      return aResident.loadable.deployment == aModel &&
             aResident.state == upstream::ReplicaState::Loaded;
    });
  }
  bool logged(const Process& aProcess, const std::string& aKey, const std::string& aValue)
  {
    return !aProcess.log->eventsWith(aKey, aValue).empty();
  }
  peer::UpstreamContent published(const Process& aProcess, const std::string& aUpstream)
  {
    peer::UpstreamContent content;
    const auto entry =
      aProcess.sync.entries().find({ peer::ENTRY_KIND_UPSTREAM, aUpstream }, loop->now());
    if (entry) {
      content.ParseFromString(entry->payload());
    }
    return content;
  }
};

// Guards against demand that causes no load order, and against a loaded replica that is
// not published with its cached prefixes or is missing in the report.
TEST(ControllerTest, demand_atOwnedUpstream_loadsAndPublishes)
{
  startFirst();
  CHECK_FALSE(first->controller->ready());
  runUntil([&] { return ready(*first); });
  CHECK(first->controller->ready());
  engines.engines[kC1Address].cacheEvents.push_back({ 1, true, { "m", "1" }, 77 });
  demand("m", 5);
  runUntil([&] {
    const auto content = published(*first, "c1");
    return content.replicas_size() == 1 &&
           content.replicas(0).state() == peer::REPLICA_STATE_LOADED &&
           content.cached_prefixes_size() == 1;
  });
  CHECK(engines.engines[kC1Address].orders[0].kind == OrderKind::Adopt);
  LONGS_EQUAL(2, engines.engines[kC1Address].orders.size());
  CHECK(logged(*first, "model", "m@1"));
  runUntil([&] {
    const auto report = first->controller->report();
    return report["models"]["m@1"]["cold_loads"].asInt() == 1 &&
           report["models"]["m@1"]["loaded_s"].asDouble() > 0;
  });
}

// Guards against an adapter that has demand and is not loaded into the model's replica.
TEST(ControllerTest, adapterDemand_atLoadedReplica_loadsAdapter)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  demand("m", 1, 1, "a");
  runUntil([&] {
    const auto content = published(*first, "c1");
    return content.replicas_size() == 1 && content.replicas(0).adapters_size() == 1;
  });
}

// Guards against requests that wait forever because an idle replica occupies the memory,
// and against the eviction of a replica with requests.
TEST(ControllerTest, demand_memoryFull_evictsIdleReplica)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  demand("m", 1);
  runUntil([&] { return loaded(kC1Address, "m"); });
  demand("n", 1);
  runFor(500ms);
  CHECK_FALSE(loaded(kC1Address, "n"));
  demand("m", 0);
  runUntil([&] { return loaded(kC1Address, "n"); });
  CHECK_FALSE(loaded(kC1Address, "m"));
  CHECK(logged(*first, "reason", "eviction"));
}

// Guards against loads that stop at all engines, or at none, after the lease has expired
// because the platform is unreachable: engines that check fencing numbers still get load
// orders, the others do not, because they cannot refuse those of a former owner.
TEST(ControllerTest, platformUnreachable_leaseExpired_onlyCheckingEngineIsOrdered)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  platform.unreachable = true;
  runUntil([&] { return !first->controller->status()["session"]["valid"].asBool(); });
  demand("o", 1);
  demand("m", 1);
  runUntil([&] { return loaded(kC1Address, "m"); });
  runUntil([&] { return logged(*first, "reason", "not_sent"); });
  CHECK(engines.engines[kI1Address].orders.empty());
}

// Guards against a controller with an expired lease, possibly a former owner, that adopts
// a restarted engine: the engine has lost its fencing number and cannot refuse the order.
TEST(ControllerTest, platformUnreachable_engineRestartedAfterLeaseExpiry_getsNoOrders)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  platform.unreachable = true;
  runUntil([&] { return !first->controller->status()["session"]["valid"].asBool(); });
  auto& engine = engines.engines[kC1Address];
  engine.orders.clear();
  engine.inventory.incarnation = 2;
  engine.inventory.fencingNumber = 0;
  const auto adoptions = [&] { return first->log->eventsWith("kind", "adopt").size(); };
  runUntil([&] { return adoptions() > 0; });
  demand("m", 1);
  const auto before = adoptions();
  runUntil([&] { return adoptions() > before + 1; });
  CHECK(engine.orders.empty());
}

// Guards against a new host that does not become ready while the platform is unreachable,
// although a peer has the configuration.
TEST(ControllerTest, platformUnreachable_newHost_adoptsConfigurationFromPeer)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  platform.unreachable = true;
  startSecond();
  CHECK_FALSE(second->controller->ready());
  const auto entry =
    first->sync.entries().entries(peer::ENTRY_KIND_CONFIG, loop->now()).at(0);
  second->sync.publish(entry.kind(), entry.key(), 0, entry.sequence(), entry.payload());
  runUntil([&] { return second->controller->ready(); });
  LONGS_EQUAL(1, second->controller->status()["config_version"].asInt());
}

// Guards against a damaged configuration, or one with a lower version, that replaces the
// one in force.
TEST(ControllerTest, configurationFromPeer_damagedOrLower_refused)
{
  commit(2, kBaseConfiguration);
  startFirst();
  runUntil([&] { return first->controller->ready(); });
  peer::ConfigContent content;
  content.set_version(1);
  content.set_bundle(bundle);
  content.set_sha256(sha256(bundle));
  first->sync.publish(peer::ENTRY_KIND_CONFIG, "low", 0, 1, content.SerializeAsString());
  content.set_version(3);
  content.set_sha256("0");
  first->sync.publish(peer::ENTRY_KIND_CONFIG, "bad", 0, 3, content.SerializeAsString());
  runUntil([&] { return logged(*first, "reason", "content hash does not match"); });
  LONGS_EQUAL(2, first->controller->status()["config_version"].asInt());
}

// Guards against upstreams that stay without an owner after their controller has failed.
TEST(ControllerTest, controllerFails_otherTakesOver_withHigherFencingNumber)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  startSecond();
  second->sync.linkedPeers.clear();
  first->controller.reset();
  runUntil([&] { return ownedUpstreams(*second).size() == 2; });
  LONGS_EQUAL(2, ownedUpstreams(*second)["c1"]["fencing_number"].asInt());
  CHECK(logged(*second, "reason", "takeover"));
  runUntil([&] { return engines.engines[kC1Address].inventory.fencingNumber == 2; });
}

// Guards against a graceful shutdown after which other controllers get the upstreams only
// when the lease has expired.
TEST(ControllerTest, drain_handsOver_withoutTakeover)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  startSecond();
  bool done = false;
  bool handed_over = false;
  first->controller->drain([&](bool aHandedOver) {
    done = true;
    handed_over = aHandedOver;
  });
  CHECK_FALSE(first->controller->ready());
  runUntil([&] { return done; });
  CHECK(handed_over);
  CHECK(first->sync.left);
  LONGS_EQUAL(0, ownedUpstreams(*first).size());
  runUntil([&] { return ownedUpstreams(*second).size() == 2; });
  CHECK_FALSE(logged(*second, "reason", "takeover"));
}

// Guards against a drain that never ends because the platform is unreachable.
TEST(ControllerTest, drain_platformUnreachable_endsAtLimit)
{
  startFirst();
  first->settings.drainLimit = 300ms;
  runUntil([&] { return ready(*first); });
  platform.unreachable = true;
  std::optional<bool> handed_over;
  first->controller->drain([&](bool aHandedOver) { handed_over = aHandedOver; });
  runUntil([&] { return handed_over.has_value(); });
  CHECK_FALSE(*handed_over);
}

// Guards against upstreams that are not handed over to a host that joins.
TEST(ControllerTest, hostJoins_upstreamsRedistributed)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  startSecond();
  const std::string c1 = placement::rendezvousWinner({ "a", "b" }, "c1");
  const std::string i1 = placement::rendezvousWinner({ "a", "b" }, "i1");
  const auto owns = [&](const std::string& aHost, const std::string& aUpstream) {
    return ownedUpstreams(aHost == "a" ? *first : *second).isMember(aUpstream);
  };
  runUntil([&] { return owns(c1, "c1") && owns(i1, "i1"); });
  LONGS_EQUAL(2, ownedUpstreams(*first).size() + ownedUpstreams(*second).size());
}

// Guards against versions that stay loaded or assigned after their removal from the
// configuration.
TEST(ControllerTest, versionRemoved_modelUnloadedAndPlaceRemoved)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  demand("m", 1);
  runUntil([&] { return loaded(kC1Address, "m"); });
  std::string text = kBaseConfiguration;
  const std::string versions = "\"versions\": [\"1\"]";
  text.replace(
    text.find(versions, text.find("\"m\": {")), versions.size(), "\"versions\": [\"2\"]");
  commit(2, text);
  runUntil([&] { return !platform.table.read("assignment/m@1").has_value(); });
  CHECK_FALSE(loaded(kC1Address, "m"));
  runUntil([&] { return platform.table.read("assignment/m@2").has_value(); });
  CHECK(logged(*first, "reason", "model is not in the configuration"));
}

// Guards against an operator's drain that is not published, or after which the model
// stays assigned to the upstream.
TEST(ControllerTest, drainRow_upstreamLeaving_publishedAndPlaceRemoved)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  platform.table.put("drain/i1", "{}");
  runUntil([&] {
    const auto entry =
      first->sync.entries().find({ peer::ENTRY_KIND_LEAVING, "i1" }, loop->now());
    return entry.has_value() && entry->epoch() == 1;
  });
  runUntil([&] { return !platform.table.read("assignment/o@1").has_value(); });
  CHECK(logged(*first, "source", "drain"));
}

// Guards against a drain of a plain service that is not published or cannot be reverted:
// services have no inventory and therefore no incarnation to identify the drain by.
TEST(ControllerTest, drainRow_plainService_publishedAndReverted)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  platform.table.put("drain/s1", "{}");
  std::uint64_t leaving = 0;
  runUntil([&] {
    const auto entry =
      first->sync.entries().find({ peer::ENTRY_KIND_LEAVING, "s1" }, loop->now());
    leaving = entry.has_value() ? entry->epoch() : 0;
    return leaving > 0;
  });
  platform.table.erase("drain/s1");
  runUntil([&] {
    const auto entry =
      first->sync.entries().find({ peer::ENTRY_KIND_UPSTREAM, "s1" }, loop->now());
    peer::UpstreamContent content;
    return entry.has_value() && content.ParseFromString(entry->payload()) &&
           content.reachable() && content.upstream_incarnation() > leaving;
  });
}

// Guards against a drain row of the own host that does not release its upstreams.
TEST(ControllerTest, drainRow_ownHost_upstreamsReleased)
{
  startFirst();
  runUntil([&] { return ready(*first); });
  platform.table.put("drain/a", "{}");
  runUntil([&] { return ownedUpstreams(*first).empty(); });
  const auto row = placement::parseOwner(platform.table.read("owner/c1")->value);
  STRCMP_EQUAL("", row.value().host.c_str());
}
