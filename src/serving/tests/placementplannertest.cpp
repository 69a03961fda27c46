#include <CppUTest/TestHarness.h>

#include "serving/tests/enginesimulation.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(PlacementPlanner)
{
  EngineSimulation simulation;

  void setup() override
  {
    for (const char* name : { "a", "b", "c", "d", "e", "f", "g" }) {
      simulation.addModel(name);
    }
  }
};

// Load pattern: one request for a rare model whose checkpoint copy is on an engine's
// disk. Guards against a load that ends too late or uses the weight store.
TEST(PlacementPlanner, RareModelOnDisk_LoadedInPlaceOfIdleModelWithinObjective)
{
  auto& engine = simulation.addEngine("u1", { "a", "b", "c" });
  engine.onDisk.insert("d");
  simulation.run(3s);
  simulation.setDemand("h", { EngineSimulation::waiting("d") });
  const auto time = simulation.timeUntilHeld("d", 10s);
  CHECK_TRUE(time.has_value());
  CHECK_TRUE(*time < 2500ms);
  LONGS_EQUAL(0, simulation.overcommits);
  LONGS_EQUAL(0, simulation.weightStoreLoads);
}

// Load pattern: one request for a rare model while all models at the only engine with its
// checkpoint copy are in use. Guards against unloading a model with requests in progress.
TEST(PlacementPlanner, AllModelsInUse_ModelsWithRequestsAreNotUnloaded)
{
  auto& engine = simulation.addEngine("u1", { "a", "b", "c" });
  engine.onDisk.insert("d");
  simulation.setDemand("h",
                       { EngineSimulation::inFlight("a", 1),
                         EngineSimulation::inFlight("b", 1),
                         EngineSimulation::inFlight("c", 1),
                         EngineSimulation::waiting("d") });
  simulation.run(5s);
  LONGS_EQUAL(1, simulation.replicasOf("a"));
  LONGS_EQUAL(1, simulation.replicasOf("b"));
  LONGS_EQUAL(1, simulation.replicasOf("c"));
}

// Load pattern: requests for a rare model while busy models have more replicas than they
// need. Guards against unloading the only replica of another model.
TEST(PlacementPlanner, SurplusReplicaExists_UnloadedBeforeAnOnlyReplica)
{
  for (const char* id : { "u1", "u2", "u3", "u4" }) {
    simulation.addEngine(id, { "a" }).models["b"];
    simulation.engines[id].onDisk = { "a", "b", "d" };
  }
  simulation.engines["u1"].models["c"];
  simulation.engines["u2"].models["e"];
  simulation.engines["u3"].models["f"];
  simulation.engines["u4"].models["g"];
  simulation.setDemand(
    "h", { EngineSimulation::inFlight("a", 4), EngineSimulation::inFlight("b", 4) });
  simulation.run(3s);
  simulation.setDemand("h",
                       { EngineSimulation::inFlight("a", 4),
                         EngineSimulation::inFlight("b", 4),
                         EngineSimulation::waiting("d") });
  CHECK_TRUE(simulation.timeUntilHeld("d", 6s).has_value());
  for (const char* name : { "c", "e", "f", "g" }) {
    LONGS_EQUAL(1, simulation.replicasOf(name));
  }
}

// Load pattern: all loaded models are in use, some with a second replica, and requests
// wait for a model without a replica. Guards against not loading this model while others
// have a second replica (soak seed 1002: its requests were refused for 16 s).
TEST(PlacementPlanner, AllModelsInUse_SecondReplicaIsUnloadedForAModelWithoutAny)
{
  for (const char* id : { "u1", "u2" }) {
    simulation.addEngine(id, { "a", "b" }).onDisk = { "a", "b", "c", "d", "e" };
  }
  simulation.engines["u1"].models["c"];
  simulation.engines["u2"].models["d"];
  std::vector<DemandItem> items;
  for (const char* name : { "a", "b", "c", "d" }) {
    items.push_back(EngineSimulation::inFlight(name, 2));
  }
  simulation.setDemand("h", items);
  simulation.run(3s);
  items.push_back(EngineSimulation::waiting("e"));
  simulation.setDemand("h", items);
  CHECK_TRUE(simulation.timeUntilHeld("e", 5s).has_value());
  for (const char* name : { "a", "b", "c", "d" }) {
    CHECK_TRUE(simulation.replicasOf(name) >= 1);
  }
  LONGS_EQUAL(3, simulation.replicasOf("a") + simulation.replicasOf("b"));
}

// Load pattern: the requests for a busy model exceed the capacity of its replicas. Guards
// against a busy model that gets no further replicas from checkpoint copies on disk.
TEST(PlacementPlanner, RequestsExceedReplicas_ReplicasAreAddedFromDisk)
{
  simulation.addEngine("u1", { "a", "b", "c" });
  simulation.addEngine("u2", { "d", "e", "f" }).onDisk.insert("a");
  simulation.addEngine("u3", { "g" }).onDisk.insert("a");
  simulation.setDemand("h", { EngineSimulation::inFlight("a", 15) });
  simulation.run(5s);
  CHECK_TRUE(simulation.replicasOf("a") >= 3);
  LONGS_EQUAL(0, simulation.overcommits);
}

// Guards against replicas that are loaded and unloaded in turn under constant demand.
TEST(PlacementPlanner, SteadyDemand_NoMoreOrders)
{
  for (int at = 0; at < 6; ++at) {
    simulation.addEngine("u" + std::to_string(at), { "a", "b", "c" }).onDisk = {
      "a", "b", "c", "d", "e", "f", "g"
    };
  }
  simulation.setDemand(
    "h", { EngineSimulation::inFlight("a", 20), EngineSimulation::inFlight("b", 9) });
  simulation.run(20s);
  const int before = simulation.ordersSent;
  simulation.run(20s);
  LONGS_EQUAL(before, simulation.ordersSent);
}

// Load pattern: requests for many models without any checkpoint copy at once. Guards
// against more concurrent loads than run at full speed, which only slow each other down.
TEST(PlacementPlanner, ManyModelsOnlyInWeightStore_LoadsStayNearFullSpeedNumber)
{
  for (int at = 0; at < 12; ++at) {
    simulation.addModel("rare" + std::to_string(at));
    simulation.addEngine("u" + std::to_string(at), { "a", "b", "c" });
  }
  std::vector<DemandItem> items;
  for (int at = 0; at < 12; ++at) {
    items.push_back(EngineSimulation::waiting("rare" + std::to_string(at)));
  }
  simulation.setDemand("h", items);
  simulation.run(30s);
  CHECK_TRUE(simulation.weightStoreLoads >= 8);
  simulation.run(60s);
  // The planner learns how many loads run at full speed by trying one more.
  CHECK_TRUE(simulation.maxConcurrentWeightStoreLoads >= 4);
  CHECK_TRUE(simulation.maxConcurrentWeightStoreLoads <= 5);
  LONGS_EQUAL(0, simulation.overcommits);
}

// Load pattern: requests for many models without any checkpoint copy at once, while the
// weight store runs only one load at full speed. Guards against concurrent loads that all
// take longer than callers wait.
TEST(PlacementPlanner, WeightStoreRunsOneLoadAtFullSpeed_LoadsEndOneByOne)
{
  simulation.fullSpeedWeightStoreLoads = 1;
  std::vector<DemandItem> items;
  for (int at = 0; at < 12; ++at) {
    simulation.addModel("rare" + std::to_string(at));
    simulation.addEngine("u" + std::to_string(at), { "a", "b", "c" });
    items.push_back(EngineSimulation::waiting("rare" + std::to_string(at)));
  }
  simulation.setDemand("h", items);
  simulation.run(32s);
  int held = 0;
  for (int at = 0; at < 12; ++at) {
    held += simulation.replicasOf("rare" + std::to_string(at));
  }
  CHECK_TRUE(held >= 3);
  CHECK_TRUE(simulation.maxConcurrentWeightStoreLoads <= 2);
}

// Load pattern: the weight store runs one load at full speed, all replicas of a busy
// model are in use, and a rare model has none. Guards against loading the rare model
// first, although another replica of the busy model serves more requests.
TEST(PlacementPlanner, BusyModelExceedsItsReplicas_WeightStoreLoadServesMostRequests)
{
  simulation.fullSpeedWeightStoreLoads = 1;
  simulation.profile.concurrency = 8;
  simulation.replacePlanner();
  simulation.addModel("rare");
  simulation.addEngine("u1", { "a", "b", "c" });
  simulation.addEngine("u2", { "d", "e", "f" });
  simulation.run(1s);
  auto busy = EngineSimulation::inFlight("a", 8);
  busy.waiting = 20;
  busy.firstLeavesIn = 4s;
  simulation.setDemand("h", { busy, EngineSimulation::waiting("rare") });
  simulation.run(11s);
  LONGS_EQUAL(2, simulation.replicasOf("a"));
}

// Guards against orders that exceed an engine's memory after the response to an order was
// lost.
TEST(PlacementPlanner, ResponsesLost_MemoryIsNeverOvercommitted)
{
  for (int at = 0; at < 4; ++at) {
    auto& engine = simulation.addEngine("u" + std::to_string(at), { "a", "b", "c" });
    engine.onDisk = { "a", "b", "c", "d", "e", "f", "g" };
    engine.losesResponses = true;
  }
  simulation.setDemand("h",
                       { EngineSimulation::waiting("d"),
                         EngineSimulation::waiting("e"),
                         EngineSimulation::waiting("f") });
  simulation.run(8s);
  LONGS_EQUAL(0, simulation.overcommits);
  CHECK_TRUE(simulation.replicasOf("d") > 0);
  CHECK_TRUE(simulation.replicasOf("e") > 0);
}

// Guards against orders that exceed an engine's memory while an earlier order may still
// be carried out: some engines receive orders seconds late and after newer ones.
TEST(PlacementPlanner, OrdersCarriedOutLate_MemoryIsNeverOvercommitted)
{
  for (int at = 0; at < 4; ++at) {
    auto& engine = simulation.addEngine("u" + std::to_string(at), { "a", "b", "c" });
    engine.onDisk = { "a", "b", "c", "d", "e", "f", "g" };
    engine.delaysOrders = at % 2 == 0;
  }
  simulation.setDemand("h",
                       { EngineSimulation::waiting("d"),
                         EngineSimulation::waiting("e"),
                         EngineSimulation::waiting("f"),
                         EngineSimulation::waiting("g") });
  simulation.run(6s);
  for (auto& [id, engine] : simulation.engines) {
    engine.delaysOrders = false;
  }
  simulation.run(10s);
  LONGS_EQUAL(0, simulation.overcommits);
  for (const char* name : { "d", "e", "f", "g" }) {
    CHECK_TRUE(simulation.replicasOf(name) > 0);
  }
}

// Guards against an order of unknown outcome that is retried without a delay while its
// engine is unreachable: a leader sent it about a hundred times a second and wrote 6,000
// log lines.
TEST(PlacementPlanner, RetriedOrderCannotBeSent_DelayBetweenRetries)
{
  auto& engine = simulation.addEngine("u1", { "a", "b", "c" });
  engine.onDisk.insert("d");
  simulation.run(2s);
  engine.delaysOrders = true;
  simulation.setDemand("h", { EngineSimulation::waiting("d") });
  simulation.run(100ms);
  engine.delaysOrders = false;
  engine.unreachable = true;
  const int before = simulation.ordersSent;
  simulation.run(6s);
  CHECK_TRUE(simulation.ordersSent - before >= 1);
  CHECK_TRUE(simulation.ordersSent - before <= 10); // one in 600 ms
}

// Guards against a new leader that counts memory as free although a load ordered by its
// predecessor needs it: the engine crashed when both models were loaded.
TEST(PlacementPlanner, LoadOfPreviousLeaderInProgress_ItsMemoryCounts)
{
  auto& engine = simulation.addEngine("u1", { "a", "b" });
  engine.onDisk = { "a", "b", "d" };
  engine.orders = 6;
  engine.currentOrder = PlacementOrder{ "u1", OrderKind::Load, { "e", "" }, 5 };
  engine.busyUntil = simulation.now + 9s;
  simulation.replacePlanner();
  simulation.setDemand("h", { EngineSimulation::waiting("d") });
  simulation.run(20s);
  LONGS_EQUAL(0, simulation.overcommits);
  LONGS_EQUAL(1, simulation.replicasOf("d"));
}

// Guards against orders that are refused and retried while an unload waits for running
// requests.
TEST(PlacementPlanner, UnloadWaitsForRequests_FewOrdersAreRefused)
{
  auto& engine = simulation.addEngine("u1", { "a", "b", "c" });
  engine.onDisk.insert("d");
  engine.unloadTime = 4s;
  simulation.run(1s);
  simulation.setDemand("h", { EngineSimulation::waiting("d") });
  simulation.run(10s);
  LONGS_EQUAL(1, simulation.replicasOf("d"));
  CHECK_TRUE(simulation.conflicts <= 2);
}

// Load pattern: requests for more adapters than one engine has slots for. Guards against
// exceeding the adapter slots, and against requested adapters that are not loaded.
TEST(PlacementPlanner, MoreAdaptersThanSlots_SpreadAndReplacedWithinSlots)
{
  simulation.addEngine("u1", { "a" });
  simulation.addEngine("u2", { "a" });
  std::vector<DemandItem> items;
  for (int at = 0; at < 16; ++at) {
    items.push_back(EngineSimulation::waiting("a/a" + std::to_string(at)));
  }
  simulation.setDemand("h", items);
  simulation.run(3s);
  LONGS_EQUAL(8, simulation.engines["u1"].models["a"].size());
  LONGS_EQUAL(8, simulation.engines["u2"].models["a"].size());
  simulation.setDemand("h", { EngineSimulation::waiting("a/a20") });
  simulation.run(1s);
  const bool held = simulation.engines["u1"].models["a"].contains("a20") ||
                    simulation.engines["u2"].models["a"].contains("a20");
  CHECK_TRUE(held);
  LONGS_EQUAL(0, simulation.overcommits);
}

// Load pattern: a request that can no longer meet its objective waits for one model while
// new requests keep arriving for others, more models than fit into the engine. Guards
// against a model that is never loaded because newer requests always come first.
TEST(PlacementPlanner, NewRequestsKeepArriving_LateOnesAreServedToo)
{
  for (int at = 0; at < 10; ++at) {
    simulation.addModel("rare" + std::to_string(at));
  }
  auto& engine = simulation.addEngine("u1", { "a", "b", "c" });
  for (int at = 0; at < 10; ++at) {
    engine.onDisk.insert("rare" + std::to_string(at));
  }
  simulation.run(2s);
  auto late = EngineSimulation::waiting("rare0");
  const Duration caller_timeout = 8s;
  std::optional<Duration> time;
  const Instant start = simulation.now;
  for (int at = 1; at < 8 && !time; ++at) {
    auto fresh = EngineSimulation::waiting("rare" + std::to_string(at));
    fresh.timeToObjective = 4s;
    fresh.firstLeavesIn = 20s;
    late.firstLeavesIn =
      std::max(Duration::zero(), caller_timeout - (simulation.now - start));
    simulation.setDemand("h", { late, fresh });
    simulation.run(2s);
    if (engine.models.contains("rare0")) {
      time = simulation.now - start;
    }
  }
  CHECK_TRUE(time.has_value());
  CHECK_TRUE(*time <= caller_timeout);
}

// Load pattern: a rare model whose checkpoint copies are on a loaded and on a quiet
// engine. Guards against a choice by engine id, after which its streams share the larger
// batch.
TEST(PlacementPlanner, CopiesOnTwoEngines_LoadedWhereFewerRequestsRun)
{
  simulation.addEngine("u1", { "a", "b", "c" }).onDisk.insert("g");
  simulation.addEngine("u2", { "d", "e", "f" }).onDisk.insert("g");
  simulation.run(12s);
  simulation.planner->setEngineLoad("u1", 20);
  simulation.planner->setEngineLoad("u2", 2);
  simulation.setDemand("h", { EngineSimulation::waiting("g") });
  simulation.run(3s);
  CHECK_TRUE(simulation.engines["u2"].models.contains("g"));
  CHECK_FALSE(simulation.engines["u1"].models.contains("g"));
}

// Load pattern: short requests for more rare models than fit, each of which waits for the
// one before it. Guards against models that stay loaded after their requests have ended
// while others wait.
TEST(PlacementPlanner, LoadedModelHasServed_UnloadedForNextWaitingModel)
{
  auto& engine = simulation.addEngine("u1", { "a", "b" });
  engine.onDisk = { "a", "b", "d", "e" };
  simulation.engines["u1"].models["c"];
  simulation.setDemand(
    "h", { EngineSimulation::inFlight("a", 1), EngineSimulation::inFlight("b", 1) });
  simulation.run(2s);
  const auto busy = [&](std::vector<DemandItem> aItems) {
    aItems.push_back(EngineSimulation::inFlight("a", 1));
    aItems.push_back(EngineSimulation::inFlight("b", 1));
    simulation.setDemand("h", aItems);
  };
  busy({ EngineSimulation::waiting("d") });
  CHECK_TRUE(simulation.timeUntilHeld("d", 5s).has_value());
  busy({ EngineSimulation::inFlight("d", 1) });
  simulation.run(200ms);
  busy({ EngineSimulation::waiting("e") });
  const auto time = simulation.timeUntilHeld("e", 10s);
  CHECK_TRUE(time.has_value());
  CHECK_TRUE(*time < 2500ms); // a load takes 2 s
}

// Load pattern: a rare model waits while the engine with its copy runs requests of all
// its models. Guards against an operator who cannot tell why it is not loaded, and
// against a report with each plan.
TEST(PlacementPlanner, AllModelsInUse_ObstacleIsReportedOnce)
{
  simulation.addEngine("u1", { "a", "b", "c" }).onDisk.insert("d");
  std::vector<DemandItem> items;
  for (const char* name : { "a", "b", "c" }) {
    items.push_back(EngineSimulation::inFlight(name, 1));
  }
  simulation.setDemand("h", items);
  simulation.run(2s);
  CHECK_TRUE(simulation.planner->takeBlockedModels().empty());
  items.push_back(EngineSimulation::waiting("d", 2));
  simulation.setDemand("h", items);
  simulation.run(5s);
  const auto blocked = simulation.planner->takeBlockedModels();
  LONGS_EQUAL(1, blocked.size());
  STRCMP_EQUAL("d", blocked[0].model.c_str());
  CHECK_TRUE(blocked[0].obstacle == PlacementObstacle::ModelsInUse);
  LONGS_EQUAL(2, blocked[0].waiting);
  LONGS_EQUAL(1, blocked[0].engines);
}

// Load pattern: the largest deployment (140 engines and 750 models), with requests for 60
// models at once. Guards against requested models that are not loaded within 3 s.
TEST(PlacementPlanner, ManyEnginesAndModels_RequestedOnesAreLoaded)
{
  for (int at = 0; at < 750; ++at) {
    simulation.addModel("many" + std::to_string(at));
  }
  for (int at = 0; at < 140; ++at) {
    auto& engine = simulation.addEngine("u" + std::to_string(at),
                                        { "many" + std::to_string(at),
                                          "many" + std::to_string(at + 140),
                                          "many" + std::to_string(at + 280) });
    for (int copy = 0; copy < 15; ++copy) {
      engine.onDisk.insert("many" + std::to_string((at * 7 + copy * 31) % 750));
    }
  }
  std::vector<DemandItem> items;
  for (int at = 0; at < 60; ++at) {
    items.push_back(EngineSimulation::waiting("many" + std::to_string(at * 11)));
  }
  simulation.setDemand("h", items);
  simulation.run(3s);
  int held = 0;
  for (const auto& item : items) {
    held += simulation.replicasOf(item.model.model) > 0 ? 1 : 0;
  }
  CHECK_TRUE(held > 50);
  LONGS_EQUAL(0, simulation.overcommits);
}

// Guards against an engine that stays empty after a restart, and against loading its
// models from the weight store.
TEST(PlacementPlanner, EngineRestartsEmpty_ModelsAreLoadedFromItsDisk)
{
  auto& engine = simulation.addEngine("u1", { "a", "b", "c" });
  simulation.run(2s);
  engine.models.clear();
  engine.orders = 0;
  engine.entry.bornMs = 2;
  simulation.run(10s);
  LONGS_EQUAL(1, simulation.replicasOf("a"));
  LONGS_EQUAL(1, simulation.replicasOf("b"));
  LONGS_EQUAL(1, simulation.replicasOf("c"));
  LONGS_EQUAL(0, simulation.weightStoreLoads);
}

TEST(PlacementPlanner, NoEngineHasModel_TimeUntilReadyIsAtLeastItsLoadTime)
{
  simulation.addEngine("u1", { "a", "b", "c" });
  simulation.run(100ms);
  CHECK_TRUE(*simulation.planner->timeUntilReady("a", simulation.now) ==
             Duration::zero());
  CHECK_TRUE(*simulation.planner->timeUntilReady("d", simulation.now) >= 9s);
  CHECK_FALSE(simulation.planner->timeUntilReady("unknown", simulation.now).has_value());
}
