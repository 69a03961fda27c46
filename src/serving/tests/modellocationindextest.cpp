#include <CppUTest/TestHarness.h>

#include "serving/modellocationindex.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(ModelLocationIndex)
{
  Instant now{ 100s };
  EngineProfile profile;
  ModelLocationIndex index;

  void setup() override
  {
    profile.memoryMb = 230;
    for (const char* name : { "a", "b", "c" }) {
      profile.models[name].footprintMb = 70;
    }
  }

  EngineLedger engineWith(const std::string& aId, bool aLeaving = false)
  {
    UpstreamEntry entry;
    entry.id = aId;
    entry.leaving = aLeaving;
    EngineLedger engine(entry, profile);
    EngineReport report;
    report.orderInProgress = false;
    report.models = { { "a", 1, {} } };
    report.onDisk = { "a", "b" };
    engine.applyReport(report, now, now);
    return engine;
  }

  static void order(EngineLedger & aEngine,
                    OrderKind aKind,
                    const std::string& aModel,
                    OrderOutcome aOutcome,
                    Instant aNow)
  {
    aEngine.orderSent(aEngine.makeOrder(aKind, { aModel, "" }), aNow);
    aEngine.orderDone(aOutcome, aNow);
  }
};

// Guards against counts that aren't updated when an order changes a ledger.
TEST(ModelLocationIndex, OrdersAreSent_CountsFollowTheLedger)
{
  auto engine = engineWith("u1");
  index.update(engine);
  LONGS_EQUAL(1, index.readyReplicas("a"));
  LONGS_EQUAL(0, index.heldReplicas("b"));
  LONGS_EQUAL(1, index.enginesWith("b").size());
  CHECK_TRUE(index.enginesWith("c").empty());

  order(engine, OrderKind::Load, "c", OrderOutcome::Accepted, now);
  index.update(engine);
  LONGS_EQUAL(1, index.heldReplicas("c"));
  LONGS_EQUAL(0, index.readyReplicas("c"));
  LONGS_EQUAL(1, index.weightStoreLoads());

  engine.orderSent(engine.makeOrder(OrderKind::Unload, { "a", "" }), now);
  index.update(engine);
  LONGS_EQUAL(0, index.readyReplicas("a"));
  LONGS_EQUAL(1, index.enginesWith("a").size()); // its checkpoint copy is on disk
}

TEST(ModelLocationIndex, EngineIsLeavingOrRemoved_ItsModelsDoNotCount)
{
  auto stays = engineWith("u1");
  auto leaves = engineWith("u2", true);
  index.update(stays);
  index.update(leaves);
  LONGS_EQUAL(1, index.readyReplicas("a"));
  LONGS_EQUAL(1, index.enginesWith("a").size());
  index.remove("u1");
  LONGS_EQUAL(0, index.readyReplicas("a"));
  CHECK_TRUE(index.enginesWith("a").empty());
}

// Guards against a new incarnation whose ledger has the memory address of the previous
// one and is therefore not indexed.
TEST(ModelLocationIndex, LedgerIsReplacedInPlace_IndexedAgainAfterRemoval)
{
  auto engine = engineWith("u1");
  index.update(engine);
  index.remove("u1");
  UpstreamEntry entry;
  entry.id = "u1";
  entry.bornMs = 2;
  engine = EngineLedger(entry, profile);
  index.update(engine);
  LONGS_EQUAL(0, index.readyReplicas("a"));
  CHECK_TRUE(index.enginesWith("a").empty());
}
