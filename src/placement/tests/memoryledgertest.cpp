#include <CppUTest/TestHarness.h>

#include "placement/memoryledger.h"

using namespace savoryrill;
using placement::MemoryLedger;
using upstream::OrderOutcome;

TEST_GROUP(MemoryLedgerTest)
{
  MemoryLedger ledger{ { 100, 20 }, 3s };
  config::Loadable a{ "a", "1" };
  config::Loadable b{ "b", "1" };
  config::ModelReference adapter{ { "a", "1" }, "x" };
  Instant t0{ 100s };

  void inventory(Instant aSentAt, std::vector<upstream::ResidentModel> aModels = {})
  {
    upstream::Inventory taken;
    taken.memoryMb = 120;
    taken.models = std::move(aModels);
    ledger.inventoryReceived(taken, { { adapter, 8 } }, aSentAt);
  }
  upstream::ResidentModel loaded(const config::Loadable& aLoadable,
                                 std::uint32_t aFootprintMb)
  {
    return { aLoadable, upstream::ReplicaState::Loaded, aFootprintMb };
  }
};

// Guards against loading into an engine whose contents are unknown.
TEST(MemoryLedgerTest, reservation_beforeInventory_refused)
{
  CHECK_FALSE(ledger.reserveModel(a, 10, "1", t0));
  LONGS_EQUAL(0, ledger.freeModelsMb());
}

// Guards against two concurrent loads of which only one fits.
TEST(MemoryLedgerTest, reservation_aboveFreeMemory_refused)
{
  inventory(t0);
  CHECK(ledger.reserveModel(a, 60, "1", t0));
  CHECK_FALSE(ledger.reserveModel(b, 41, "2", t0));
  CHECK(ledger.reserveModel(b, 40, "3", t0));
}

// Guards against freeing the memory of an order because an inventory that was requested
// before the order was sent does not show the model.
TEST(MemoryLedgerTest, inventory_sentBeforeOrder_keepsReservation)
{
  inventory(t0);
  CHECK(ledger.reserveModel(a, 60, "1", t0 + 1s));
  ledger.orderDone("1", OrderOutcome::Accepted, t0 + 2s);
  inventory(t0 + 1500ms);
  LONGS_EQUAL(60, ledger.usedModelsMb());
  inventory(t0 + 2s);
  LONGS_EQUAL(0, ledger.usedModelsMb());
}

// Guards against freeing memory while an order whose response was lost may still arrive.
TEST(MemoryLedgerTest, unknownOutcome_untilTimeToLiveEnds_keepsReservation)
{
  inventory(t0);
  CHECK(ledger.reserveModel(a, 60, "1", t0));
  ledger.orderDone("1", OrderOutcome::Unknown, t0 + 1s);
  inventory(t0 + 2s);
  CHECK(ledger.holds(a));
  CHECK_FALSE(ledger.allOrdersSettled(t0 + 2s));
  inventory(t0 + 3s);
  CHECK_FALSE(ledger.holds(a));
}

// Guards against leaking memory for orders that had no effect.
TEST(MemoryLedgerTest, refusedOrder_withoutEffect_frees)
{
  inventory(t0);
  for (const auto outcome : { OrderOutcome::StaleFencing,
                              OrderOutcome::Expired,
                              OrderOutcome::OutOfMemory,
                              OrderOutcome::Rejected,
                              OrderOutcome::NotSent }) {
    CHECK(ledger.reserveModel(a, 60, "1", t0));
    ledger.orderDone("1", outcome, t0);
    CHECK_FALSE(ledger.holds(a));
  }
}

// Guards against replacing an inventory by one that was requested earlier but arrived
// later.
TEST(MemoryLedgerTest, inventory_olderThanLatest_ignored)
{
  inventory(t0 + 2s, { loaded(a, 70) });
  inventory(t0 + 1s);
  LONGS_EQUAL(30, ledger.freeModelsMb());
}

// Guards against wrap-around of the free memory when replicas use more than the capacity.
TEST(MemoryLedgerTest, replicas_aboveCapacity_leaveNothingFree)
{
  inventory(t0, { loaded(a, 70), loaded(b, 70) });
  LONGS_EQUAL(0, ledger.freeModelsMb());
}

// Guards against adapters that use the models' memory or exceed the adapter memory.
TEST(MemoryLedgerTest, adapters_inTheirOwnMemory_counted)
{
  auto model = loaded(a, 70);
  model.adapters = { "x" };
  inventory(t0, { model });
  LONGS_EQUAL(12, ledger.freeAdaptersMb());
  LONGS_EQUAL(30, ledger.freeModelsMb());
  CHECK_FALSE(ledger.reserveAdapter({ a, "y" }, 13, "1", t0));
  CHECK(ledger.reserveAdapter({ a, "y" }, 12, "2", t0));
}
