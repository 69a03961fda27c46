#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

#include "routing/waitqueue.h"

using namespace savoryrill;
using namespace savoryrill::routing;
using config::Priority;

TEST_GROUP(WaitQueue)
{
  Instant now{ 1000s };
  WaitQueue queue{ { .maxCount = 3, .maxBytes = 100, .agingPeriod = 5s } };

  WaitingRequest waiting(std::uint64_t aRequest, Priority aPriority, Duration aDeadline)
  {
    return { aRequest, aPriority, now, now + aDeadline, now, 10, {} };
  }

  std::uint64_t takeAny(Instant aNow)
  {
    const auto taken = queue.take(aNow, [](const WaitingRequest&) { return true; });
    return taken ? taken->request : 0;
  }
};

// Guards against serving lower priorities or later deadlines first.
TEST(WaitQueue, take_mixedPriorities_ordersByPriorityThenDeadline)
{
  queue.offer(waiting(1, Priority::Low, 1s));
  queue.offer(waiting(2, Priority::High, 9s));
  queue.offer(waiting(3, Priority::High, 3s));
  LONGS_EQUAL(3, takeAny(now));
  LONGS_EQUAL(2, takeAny(now));
  LONGS_EQUAL(1, takeAny(now));
  LONGS_EQUAL(0, takeAny(now));
}

// Guards against starvation of low-priority requests under a steady load of higher ones.
TEST(WaitQueue, take_agedLowPriority_isServedBeforeNewHighOne)
{
  queue.offer(waiting(1, Priority::Low, 20s));
  now += 10s;
  queue.offer(waiting(2, Priority::High, 20s));
  LONGS_EQUAL(1, takeAny(now));
}

// Guards against a queue full of low-priority requests that rejects one of high priority.
TEST(WaitQueue, offer_full_shedsLowestPriorityOnly)
{
  queue.offer(waiting(1, Priority::Normal, 1s));
  queue.offer(waiting(2, Priority::Low, 1s));
  queue.offer(waiting(3, Priority::Normal, 1s));
  const auto offer = queue.offer(waiting(4, Priority::High, 1s));
  CHECK_TRUE(offer.accepted);
  LONGS_EQUAL(1, offer.shed.size());
  LONGS_EQUAL(2, offer.shed.front());
  CHECK_FALSE(queue.offer(waiting(5, Priority::Normal, 1s)).accepted);
  LONGS_EQUAL(3, queue.count());
}

// Guards against shedding requests in favour of one that is too large for the queue.
TEST(WaitQueue, offer_largerThanAllBytes_shedsNothing)
{
  queue.offer(waiting(1, Priority::Low, 1s));
  auto large = waiting(2, Priority::High, 1s);
  large.bytes = 101;
  const auto offer = queue.offer(large);
  CHECK_FALSE(offer.accepted);
  LONGS_EQUAL(0, offer.shed.size());
  LONGS_EQUAL(1, queue.count());
}

// Guards against a request whose model is not loaded blocking the others, and against a
// retry before its back-off is over.
TEST(WaitQueue, take_headCannotBeServed_takesNext)
{
  queue.offer(waiting(1, Priority::High, 1s));
  auto backing_off = waiting(2, Priority::High, 2s);
  backing_off.notBefore = now + 100ms;
  queue.putBack(backing_off);
  queue.offer(waiting(3, Priority::Low, 1s));
  const auto taken =
    queue.take(now, [](const WaitingRequest& aWaiting) { return aWaiting.request != 1; });
  LONGS_EQUAL(3, taken->request);
  CHECK(queue.nextBackOffEnd(now) == now + 100ms);
}

// Guards against requests that are lost and limits that are exceeded under random
// operations.
TEST(WaitQueue, randomOperations_everyRequestAccountedFor)
{
  std::mt19937_64 random(7);
  std::map<std::uint64_t, bool> held;
  for (std::uint64_t id = 1; id <= 5000; ++id) {
    now += Duration(random() % 1000000);
    if (random() % 3 != 0) {
      auto item = waiting(id, Priority(random() % 3), Duration(random() % 9000000));
      item.bytes = random() % 60;
      const auto offer = queue.offer(item);
      for (const auto shed : offer.shed) {
        LONGS_EQUAL(1, held.erase(shed));
      }
      if (offer.accepted) {
        held[id] = true;
      }
    } else if (const auto taken = takeAny(now)) {
      LONGS_EQUAL(1, held.erase(taken));
    }
    LONGS_EQUAL(held.size(), queue.count());
    CHECK_TRUE(queue.count() <= 3);
    CHECK_TRUE(queue.bytes() <= 100);
  }
}
