#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

#include "link/memorybudget.h"

using namespace savoryrill;
using link::MemoryAccount;
using link::MemoryBudget;
using link::MemoryCharge;
using link::MemoryKind;

namespace {

constexpr std::size_t kKb = 1024;
constexpr std::size_t kMb = 1024 * kKb;
constexpr Instant kStart{ 100s };

/// A connection that releases its memory when it is asked to.
struct Holder : link::IMemoryHolder
{
  explicit Holder(MemoryBudget& aBudget)
    : account(std::make_shared<MemoryAccount>(aBudget, *this))
    , body(account, MemoryKind::Body)
  {
  }
  void giveUpMemory() override
  {
    gaveUp = true;
    body.set(0);
  }

  /// Receives `aBytes` of a request of `aExpected` bytes at `aAt`.
  void receive(std::size_t aBytes, std::size_t aExpected, Instant aAt)
  {
    account->startRequest(aExpected, aAt);
    account->recordProgress(aBytes, aAt);
    body.set(aBytes);
  }

  std::shared_ptr<MemoryAccount> account;
  MemoryCharge body;
  bool gaveUp = false;
};

} // namespace

TEST_GROUP(MemoryBudget)
{
  MemoryBudget budget{ 16 * kMb };
  std::vector<std::unique_ptr<Holder>> holders;

  Holder& add()
  {
    holders.push_back(std::make_unique<Holder>(budget));
    return *holders.back();
  }

  void teardown() override
  {
    holders.clear();
  }
};

// Guards against memory that stays counted, which would shrink the budget for ever.
TEST(MemoryBudget, ChargesDestroyedMovedOrChanged_CountIsZero)
{
  auto& holder = add();
  holder.body.set(5 * kMb);
  MemoryCharge head(holder.account, MemoryKind::Head);
  head.set(kKb);
  MemoryCharge moved(std::move(head));
  moved = MemoryCharge(holder.account, MemoryKind::Output);
  LONGS_EQUAL(0, budget.bytes(MemoryKind::Head));
  moved.set(7);
  LONGS_EQUAL(5 * kMb + 7, budget.bytes());
  LONGS_EQUAL(7, budget.bytes(MemoryKind::Output));
  moved.set(0);
  holders.clear();
  moved = {};
  LONGS_EQUAL(0, budget.bytes());
  LONGS_EQUAL(0, budget.accounts());
}

TEST(MemoryBudget, LargeRequestsFillIt_ReserveStaysForSmallOnes)
{
  LONGS_EQUAL(kMb, budget.reserve());
  for (int request = 0; request < 3; ++request) {
    add().receive(5 * kMb, 5 * kMb, kStart);
  }
  for (int request = 0; request < 16; ++request) {
    add().receive(64 * kKb, 64 * kKb, kStart);
  }
  CHECK_FALSE(budget.exceeded());
  holders[0]->body.set(5 * kMb + 1);
  CHECK_TRUE(budget.exceeded());
}

// Guards against giving up ordinary requests while large ones hold the memory.
TEST(MemoryBudget, LargeRequestsHoldReserve_OnlyLargeOneIsGivenUp)
{
  auto& small = add();
  small.receive(1, 60 * kKb, kStart);
  auto& large = add();
  large.receive(15 * kMb + 1, 16 * kMb, kStart);
  CHECK_TRUE(budget.evictOne(true, kStart + 2s));
  CHECK_TRUE(large.gaveUp);
  CHECK_FALSE(small.gaveUp);
  CHECK_FALSE(budget.exceeded());
}

TEST(MemoryBudget, CallersStoppedShortOfEnd_GivenUpBeforeOneThatSends)
{
  auto& stopped = add();
  stopped.receive(4 * kMb - 1, 4 * kMb, kStart);
  auto& sending = add();
  sending.receive(kMb, 4 * kMb, kStart);
  sending.account->recordProgress(kMb, kStart + 1s);
  auto& begun = add();
  begun.receive(100 * kKb, 4 * kMb, kStart + 1s);
  CHECK_TRUE(budget.evictOne(true, kStart + 1s));
  CHECK_TRUE(stopped.gaveUp);
  CHECK_TRUE(budget.evictOne(true, kStart + 1s));
  CHECK_TRUE(sending.gaveUp);
  CHECK_FALSE(begun.gaveUp);
}

TEST(MemoryBudget, CompleteRequests_GivenUpAfterIncompleteAndUnread)
{
  auto& running = add();
  running.receive(2 * kMb, 2 * kMb, kStart);
  running.account->setStage(MemoryAccount::Stage::Running);
  auto& waiting = add();
  waiting.receive(kMb, kMb, kStart);
  waiting.account->setStage(MemoryAccount::Stage::Waiting);
  auto& unread = add();
  unread.receive(kMb, kMb, kStart);
  unread.account->setStage(MemoryAccount::Stage::Running);
  MemoryCharge output(unread.account, MemoryKind::Output);
  output.set(1);
  auto& incomplete = add();
  incomplete.receive(kMb, 2 * kMb, kStart);
  CHECK_TRUE(budget.evictOne(true, kStart));
  CHECK_TRUE(incomplete.gaveUp);
  CHECK_FALSE(budget.evictOne(true, kStart));
  CHECK_TRUE(budget.evictOne(false, kStart));
  CHECK_TRUE(unread.gaveUp);
  CHECK_TRUE(budget.evictOne(false, kStart));
  CHECK_TRUE(waiting.gaveUp);
  CHECK_TRUE(budget.evictOne(false, kStart));
  CHECK_TRUE(running.gaveUp);
  CHECK_FALSE(budget.evictOne(false, kStart));
  LONGS_EQUAL(4, budget.evicted());
}

// Guards against choosing a connection again that has nothing left to give up.
TEST(MemoryBudget, IdleOrDetached_NeverGivenUp)
{
  auto& idle = add();
  idle.body.set(20 * kMb);
  auto& detached = add();
  detached.receive(20 * kMb, 20 * kMb, kStart);
  detached.account->detach();
  CHECK_FALSE(budget.evictOne(false, kStart));
  CHECK_FALSE(idle.gaveUp);
  CHECK_FALSE(detached.gaveUp);
}

TEST(MemoryBudget, GrowthAboveLimit_ShortageIsReported)
{
  int shortages = 0;
  budget.onShortage([&] { ++shortages; });
  auto& holder = add();
  holder.body.set(15 * kMb);
  LONGS_EQUAL(0, shortages);
  holder.body.set(17 * kMb);
  LONGS_EQUAL(1, shortages);
  holder.body.set(16 * kMb);
  LONGS_EQUAL(1, shortages);
}

// Guards against bodies that take twice their announced length.
TEST(MemoryBudget, BufferGrows_NotBeyondWhatIsNeeded)
{
  LONGS_EQUAL(100, link::grownCapacity(100, 50, 1000));
  LONGS_EQUAL(150, link::grownCapacity(100, 101, 1000));
  LONGS_EQUAL(400, link::grownCapacity(100, 400, 1000));
  LONGS_EQUAL(120, link::grownCapacity(100, 101, 120));
  LONGS_EQUAL(200, link::grownCapacity(100, 200, 120));
}
