#include <CppUTest/TestHarness.h>

#include "placement/assignmentplanner.h"
#include "placement/tests/faketable.h"

using namespace savoryrill;
using namespace savoryrill::placement;

TEST_GROUP(PlannerTest)
{
  config::Configuration configuration;
  PlanView view;
  AssignmentPlanner planner;
  config::Loadable m{ "m", "1" };
  config::Loadable n{ "n", "1" };

  void setup() override
  {
    configuration.pools["p"] = config::PoolKind::Engine;
    addUpstream("x1", "x", true);
    addUpstream("x2", "x", true);
    addUpstream("y1", "y", true);
    addDeployment("m", 2, 60);
    addDeployment("n", 1, 60);
    view.configuration = &configuration;
    view.headRowVersion = 7;
  }
  void addUpstream(
    const std::string& aName, const std::string& aDataCentre, bool aChecksFencing)
  {
    config::Upstream upstream;
    upstream.pool = "p";
    upstream.dataCentre = aDataCentre;
    upstream.memoryMb = 100;
    upstream.checksFencing = aChecksFencing;
    configuration.upstreams[aName] = upstream;
    view.upstreams[aName].reachable = true;
  }
  void addDeployment(const std::string& aName, std::uint32_t aLimit, std::uint32_t aMb)
  {
    config::Deployment deployment;
    deployment.pool = "p";
    deployment.maxReplicas = aLimit;
    deployment.footprintMb = aMb;
    deployment.versions = { "1" };
    configuration.deployments[aName] = deployment;
  }
  void assign(const config::Loadable& aLoadable, std::vector<Place> aPlaces)
  {
    view.assignments[aLoadable] = { 3, { std::move(aPlaces) } };
  }
  void onlyIgnoringEngine()
  {
    view.upstreams.clear();
    configuration.upstreams.clear();
    addUpstream("i", "x", false);
  }
};

// Guards against placing two replicas of a model in one data centre while another one is
// available.
TEST(PlannerTest, secondPlace_otherDataCentre_preferred)
{
  assign(m, { { "y1", PlaceState::Active } });
  const auto change = planner.plan(view, m);
  CHECK(change->kind == ChangeKind::Assign);
  CHECK(change->upstream != "y1");
  assign(m, { { "x1", PlaceState::Active } });
  STRCMP_EQUAL("y1", planner.plan(view, m)->upstream.c_str());
}

// Guards against ignoring a checkpoint that is in an engine's memory.
TEST(PlannerTest, place_checkpointInMemory_preferred)
{
  view.upstreams["x1"].checkpoints[n] = upstream::CheckpointLocality::Disk;
  view.upstreams["y1"].checkpoints[n] = upstream::CheckpointLocality::Memory;
  STRCMP_EQUAL("y1", planner.plan(view, n)->upstream.c_str());
}

// Guards against exceeding the limit while a place is still being released.
TEST(PlannerTest, releasingPlace_countsTowardsLimit)
{
  assign(n, { { "x1", PlaceState::Releasing } });
  CHECK_FALSE(planner.plan(view, n).has_value());
}

// Guards against committing a change that was planned for another configuration or row
// version.
TEST(PlannerTest, transaction_checksRowAndHead)
{
  assign(m, { { "x1", PlaceState::Active } });
  const auto change = planner.plan(view, m);
  STRCMP_EQUAL("assignment/m@1", change->transaction.checks[0].key.c_str());
  LONGS_EQUAL(3, change->transaction.checks[0].version);
  STRCMP_EQUAL("config/head", change->transaction.checks[1].key.c_str());
  LONGS_EQUAL(7, change->transaction.checks[1].version);
}

// Guards against releasing the loaded replica instead of an empty place when the limit is
// lowered.
TEST(PlannerTest, loweredLimit_emptyPlace_releasedFirst)
{
  configuration.deployments["m"].maxReplicas = 1;
  assign(m, { { "x1", PlaceState::Active }, { "y1", PlaceState::Active } });
  view.upstreams["y1"].replicas[m] = upstream::ReplicaState::Loaded;
  const auto change = planner.plan(view, m);
  CHECK(change->kind == ChangeKind::Release);
  STRCMP_EQUAL("x1", change->upstream.c_str());
}

// Guards against a load while the replicas in excess of a lowered limit have not been
// removed.
TEST(PlannerTest, loweredLimit_tooManyPlaces_allowsNoLoad)
{
  assign(m, { { "x1", PlaceState::Active }, { "y1", PlaceState::Active } });
  CHECK(AssignmentPlanner::mayLoad(view, m, "x1"));
  configuration.deployments["m"].maxReplicas = 1;
  CHECK_FALSE(AssignmentPlanner::mayLoad(view, m, "x1"));
}

// Guards against keeping places at an upstream that is leaving.
TEST(PlannerTest, leavingUpstream_losesItsPlaces)
{
  view.upstreams["x1"].leaving = true;
  assign(m, { { "x1", PlaceState::Active }, { "y1", PlaceState::Active } });
  const auto change = planner.plan(view, m);
  CHECK(change->kind == ChangeKind::Release);
  STRCMP_EQUAL("x1", change->upstream.c_str());
}

// Guards against assigning more than the memory of an engine that ignores fencing
// numbers.
TEST(PlannerTest, ignoringEngine_slotsFull_notAssigned)
{
  onlyIgnoringEngine();
  const auto first = planner.plan(view, n);
  LONGS_EQUAL(3, first->transaction.checks.size());
  view.slots["i"] = { 1, { { { "n@1", 60 } } } };
  assign(n, { { "i", PlaceState::Active } });
  CHECK_FALSE(planner.plan(view, m).has_value());
}

// Guards against a model that never gets a place because idle models occupy all memory.
TEST(PlannerTest, ignoringEngine_demandWithoutPlace_idlePlaceReleased)
{
  onlyIgnoringEngine();
  view.slots["i"] = { 1, { { { "n@1", 60 } } } };
  assign(n, { { "i", PlaceState::Active } });
  view.demand[m] = { 1, 0 };
  const auto change = planner.plan(view, m);
  CHECK(change->kind == ChangeKind::Release);
  CHECK(change->loadable == n);
  view.demand[n] = { 0, 1 };
  CHECK_FALSE(planner.plan(view, m).has_value());
}

// Guards against a removal by a controller that no longer owns the upstream.
TEST(PlannerTest, removal_checksOwnerRowAndFreesSlot)
{
  onlyIgnoringEngine();
  view.slots["i"] = { 5, { { { "n@1", 60 } } } };
  assign(n, { { "i", PlaceState::Releasing } });
  const auto change = planner.planRemoval(view, n, "i", { 4, 9, {} });
  CHECK_FALSE(change->transaction.writes[0].value.has_value());
  STRCMP_EQUAL("slots/i", change->transaction.checks[2].key.c_str());
  STRCMP_EQUAL("owner/i", change->transaction.checks[3].key.c_str());
  LONGS_EQUAL(9, change->transaction.checks[3].version);
  assign(n, { { "i", PlaceState::Active } });
  CHECK_FALSE(planner.planRemoval(view, n, "i", { 4, 9, {} }).has_value());
}
