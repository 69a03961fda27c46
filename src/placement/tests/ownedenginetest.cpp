#include <CppUTest/TestHarness.h>

#include "placement/ownedengine.h"

using namespace savoryrill;
using namespace savoryrill::placement;
using upstream::OrderKind;
using upstream::OrderOutcome;
using upstream::ReplicaState;

TEST_GROUP(OwnedEngineTest)
{
  config::Loadable m{ "m", "1" };
  Instant t0{ 100s };

  OwnedEngine engine(bool aChecksFencing)
  {
    config::Upstream properties;
    properties.memoryMb = 100;
    properties.checksFencing = aChecksFencing;
    return { "u", properties, { 5, 1, t0 }, {} };
  }
  InventoryChanges inventory(OwnedEngine & aEngine,
                             Instant aSentAt,
                             std::uint64_t aFencing = 0,
                             std::optional<ReplicaState> aState = std::nullopt,
                             std::uint64_t aIncarnation = 1)
  {
    upstream::Inventory taken;
    taken.incarnation = aIncarnation;
    taken.memoryMb = 100;
    taken.fencingNumber = aFencing;
    if (aState) {
      taken.models.push_back({ m, *aState, 60 });
    }
    return aEngine.inventoryReceived(taken, {}, aSentAt, aSentAt + 100ms);
  }
};

// Guards against load orders while the engine still accepts orders of former owners. An
// engine that checks fencing numbers refuses those only once it has adopted the new
// owner.
TEST(OwnedEngineTest, checkingEngine_firstOrder_isAdopt)
{
  auto owned = engine(true);
  inventory(owned, t0 + 1s, 4);
  CHECK_FALSE(owned.load(m, 60, t0 + 1s).has_value());
  const auto adopt = owned.adopt(t0 + 1s);
  CHECK(adopt->kind == OrderKind::Adopt);
  LONGS_EQUAL(5, adopt->fencingNumber);
  CHECK_FALSE(owned.adopt(t0 + 1s).has_value());
  owned.orderDone(*adopt, OrderOutcome::Accepted, t0 + 2s);
  CHECK_FALSE(owned.ready());
  inventory(owned, t0 + 2s, 5);
  CHECK(owned.load(m, 60, t0 + 3s).has_value());
}

// Guards against giving up the adoption after one lost order.
TEST(OwnedEngineTest, adopt_withoutEffect_repeated)
{
  auto owned = engine(true);
  const auto adopt = owned.adopt(t0);
  owned.orderDone(*adopt, OrderOutcome::NotSent, t0 + 1s);
  CHECK_FALSE(owned.adopt(t0 + 1s).has_value());
  CHECK(owned.adopt(t0 + 2s).has_value());
}

// Guards against loading on the basis of an inventory that was requested before the
// ownership was taken.
TEST(OwnedEngineTest, ignoringEngine_ready_afterInventorySinceOwnership)
{
  auto owned = engine(false);
  CHECK_FALSE(owned.adopt(t0).has_value());
  inventory(owned, t0 - 1s);
  CHECK_FALSE(owned.ready());
  inventory(owned, t0);
  CHECK(owned.ready());
}

// Guards against removing a place while an order of a former owner can still load the
// model.
TEST(OwnedEngineTest, confirmedAbsent_onlyAfterOlderOrdersExpired)
{
  auto checking = engine(true);
  inventory(checking, t0 + 20s, 4);
  CHECK_FALSE(checking.confirmedAbsent(m));
  inventory(checking, t0 + 21s, 5);
  CHECK_FALSE(checking.confirmedAbsent(m));
  inventory(checking, t0 + 22s, 5);
  CHECK(checking.confirmedAbsent(m));
  auto ignoring = engine(false);
  inventory(ignoring, t0 + 8s);
  CHECK_FALSE(ignoring.confirmedAbsent(m));
  inventory(ignoring, t0 + 9s);
  CHECK(ignoring.confirmedAbsent(m));
  inventory(ignoring, t0 + 10s, 0, ReplicaState::Unloading);
  CHECK_FALSE(ignoring.confirmedAbsent(m));
}

// Guards against continuing as owner after the engine has accepted a newer one.
TEST(OwnedEngineTest, higherFencingNumber_superseded)
{
  auto owned = engine(true);
  CHECK(inventory(owned, t0, 6).superseded);
  const auto adopt = owned.adopt(t0);
  CHECK(owned.orderDone(*adopt, OrderOutcome::StaleFencing, t0));
}

// Guards against a release while an order may still take effect.
TEST(OwnedEngineTest, allOrdersSettled_afterUnknownOutcome_onlyOnceOrderExpired)
{
  auto owned = engine(false);
  inventory(owned, t0, 0, ReplicaState::Loaded);
  const auto unload = owned.unload(m, t0 + 1s);
  owned.quiesce();
  CHECK_FALSE(owned.allOrdersSettled(t0 + 10s));
  owned.orderDone(*unload, OrderOutcome::Unknown, t0 + 2s);
  CHECK_FALSE(owned.allOrdersSettled(t0 + 3s));
  CHECK(owned.allOrdersSettled(t0 + 4s));
  CHECK_FALSE(owned.unload(m, t0 + 4s).has_value());
}

// Guards against keeping the replicas and the adoption of an engine that has restarted.
TEST(OwnedEngineTest, newIncarnation_resetsReplicasAndAdoption)
{
  auto owned = engine(true);
  inventory(owned, t0, 5);
  inventory(owned, t0 + 1s, 5, ReplicaState::Loaded);
  LONGS_EQUAL(40, owned.ledger().freeModelsMb());
  const auto changes = inventory(owned, t0 + 2s, 0, std::nullopt, 2);
  CHECK(changes.restarted);
  LONGS_EQUAL(1, changes.vanished.size());
  LONGS_EQUAL(100, owned.ledger().freeModelsMb());
  CHECK_FALSE(owned.ready());
  CHECK(owned.adopt(t0 + 3s).has_value());
}
