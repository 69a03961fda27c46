#include <CppUTest/TestHarness.h>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include "event/deferredcall.h"
#include "event/loop.h"

using namespace savoryrill;
using event::Loop;

TEST_GROUP(Loop)
{
  std::unique_ptr<Loop> loop;

  void setup() override
  {
    loop = std::move(Loop::create().value());
  }

  void runUntil(const std::function<bool()>& aDone)
  {
    while (!aDone()) {
      loop->runOnce(true);
    }
  }
};

// Guards against timers that fire out of order, early, or after they were stopped.
TEST(Loop, timers_ofDifferentDelay_fireInOrder)
{
  std::vector<int> fired;
  const Instant begin = loop->now();
  const auto late = loop->after(30ms, [&] {
    fired.push_back(2);
    CHECK(loop->now() - begin >= 29ms);
  });
  const auto early = loop->after(1ms, [&] { fired.push_back(1); });
  auto stopped = loop->after(2ms, [&] { fired.push_back(3); });
  stopped.reset();
  runUntil([&] { return fired.size() == 2; });
  CHECK((fired == std::vector<int>{ 1, 2 }));
}

// Guards against a callback that uses its own watch after destroying it.
TEST(Loop, periodicTimer_resetInCallback_stops)
{
  int count = 0;
  event::Watch periodic;
  periodic = loop->every(1ms, [&] {
    if (++count == 3) {
      periodic.reset();
    }
  });
  bool over = false;
  runUntil([&] { return count == 3; });
  const auto end = loop->after(10ms, [&] { over = true; });
  runUntil([&] { return over; });
  LONGS_EQUAL(3, count);
}

// Guards against readiness of a descriptor that is not reported.
TEST(Loop, descriptor_becomesReadable_reported)
{
  int ends[2];
  LONGS_EQUAL(0, ::pipe(ends));
  bool readable = false;
  {
    const auto watch =
      loop->watch(ends[0], { .readable = true }, [&](event::Interest aReady) {
        readable = aReady.readable;
      });
    loop->runOnce(false);
    CHECK_FALSE(readable);
    LONGS_EQUAL(1, ::write(ends[1], "x", 1));
    runUntil([&] { return readable; });
  }
  ::close(ends[0]);
  ::close(ends[1]);
}

// Guards against a signal that ends the process instead of reaching its callback, such as
// a stop signal that should start a drain.
TEST(Loop, signal_raised_reported)
{
  bool seen = false;
  const auto watch = loop->onSignal(SIGUSR1, [&] { seen = true; });
  ::raise(SIGUSR1);
  runUntil([&] { return seen; });
}

// Guards against callbacks posted by other threads that are lost or do not wake the loop.
TEST(Loop, post_fromOtherThread_wakesLoop)
{
  int count = 0;
  std::thread other([&] {
    for (int index = 0; index < 100; ++index) {
      loop->post([&] {
        if (++count == 100) {
          loop->stop();
        }
      });
    }
  });
  loop->run();
  other.join();
  LONGS_EQUAL(100, count);
}

// Guards against messages that are handled inside `send`, out of order, or after their
// mailbox was destroyed.
TEST(Loop, mailbox_messages_handledLaterAndInOrder)
{
  std::vector<std::string> handled;
  auto mailbox = std::make_unique<event::Mailbox<std::string>>(
    *loop, [&](std::string&& aMessage) { handled.push_back(std::move(aMessage)); });
  mailbox->send("a");
  mailbox->send("b");
  CHECK(handled.empty());
  runUntil([&] { return handled.size() == 2; });
  CHECK((handled == std::vector<std::string>{ "a", "b" }));
  mailbox->send("c");
  mailbox.reset();
  bool over = false;
  loop->post([&] { over = true; });
  runUntil([&] { return over; });
  LONGS_EQUAL(2, handled.size());
}

// Guards against a deferred call that is made inside `request`, more than once, or not
// again after it was made.
TEST(Loop, deferredCall_requestedTwice_madeOnceAndLater)
{
  int calls = 0;
  event::DeferredCall call(*loop, [&] { ++calls; });
  call.request();
  call.request();
  LONGS_EQUAL(0, calls);
  runUntil([&] { return calls > 0; });
  bool over = false;
  loop->post([&] { over = true; });
  runUntil([&] { return over; });
  LONGS_EQUAL(1, calls);
  call.request();
  runUntil([&] { return calls == 2; });
}

// Guards against a call into an object that was destroyed after it had requested one.
TEST(Loop, deferredCall_destroyedBeforeCall_dropped)
{
  int calls = 0;
  auto call = std::make_unique<event::DeferredCall>(*loop, [&] { ++calls; });
  call->request();
  call.reset();
  bool over = false;
  loop->post([&] { over = true; });
  runUntil([&] { return over; });
  LONGS_EQUAL(0, calls);
}

// Guards against a callback that destroys its own call and goes on.
TEST(Loop, deferredCall_destroyedByItsCallback_callbackGoesOn)
{
  std::unique_ptr<event::DeferredCall> call;
  std::string captured = "kept";
  bool called = false;
  call = std::make_unique<event::DeferredCall>(*loop, [&, captured] {
    call.reset();
    called = captured == "kept";
  });
  call->request();
  runUntil([&] { return call == nullptr; });
  CHECK_TRUE(called);
}
