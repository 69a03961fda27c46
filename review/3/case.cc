// The leader of placement has been a follower before. The store loses one answer to it,
// the one that tells it of a new configuration. The configuration moves a route to
// another service.
#include <lookup.hpp>

#include <csignal>

using namespace review;

namespace {

// Bounds of the small deployments.
constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kOuterBoundMs = 5000;
constexpr std::int64_t kGraceMs = 8000;
constexpr std::int64_t kAskMs = 14000;
constexpr std::int64_t kPeriodMs = 100;

} // namespace

int
main(int argc, char** argv)
{
  openRecord(argc > 1 ? argv[1] : "record.txt");
  record("trouble: %s", withTrouble() ? "yes" : "no");
  Store store;
  const Server oldRunner(runner("old"));
  const Server newRunner(runner("new"));
  store.put("servers", "i-old", entry("old", oldRunner.port()));
  store.put("servers", "i-new", entry("new", newRunner.port()));
  store.put("op", "config", config(3, "old"));
  Gateway first("gw-1", store);
  Gateway second("gw-2", store);
  first.start();
  if (!first.waitUntilReady(10000) || !leads(store, "gw-1", 10000)) {
    finish(2);
  }
  second.start();
  if (!second.waitUntilReady(10000)) {
    finish(2);
  }
  sleepMs(5000);
  // Planned work: the first gateway is stopped and started again.
  first.signal(SIGTERM);
  if (!first.waitForEnd(kGraceMs) || !leads(store, "gw-2", 10000)) {
    finish(2);
  }
  first.start();
  if (!first.waitUntilReady(10000)) {
    finish(2);
  }
  sleepMs(kGraceMs);

  // A change may come at any time; here just after a read of the leader has begun.
  if (!store.waitForRead("gw-2", "op", 2000, 20000)) {
    finish(2);
  }
  if (withTrouble()) {
    store.loseNextAnswer("gw-2", "op");
  }
  store.put("op", "config", config(7, "new"));
  const auto acknowledged = nowMs();
  record("the store acknowledges version 7, which moves the route to the new service");

  int late = 0;
  int lateOld = 0;
  int inTouchOld = 0;
  int otherOld = 0;
  std::int64_t last = 0;
  while (nowMs() - acknowledged < kAskMs) {
    const auto sent = nowMs() - acknowledged;
    const auto answer = ask(second);
    const bool old = answer.body == "old";
    last = old ? sent : last;
    inTouchOld += old && sent > kContactMs ? 1 : 0;
    // Later than any bound that a disruption of the store stretches.
    const bool judged = sent > kContactMs + kOuterBoundMs + kConfigApplyMs;
    late += judged ? 1 : 0;
    lateOld += judged && old ? 1 : 0;
    otherOld += ask(first).body == "old" && sent > kConfigApplyMs ? 1 : 0;
    sleepMs(kPeriodMs);
  }
  if (withTrouble() && !store.answerLost()) {
    record("no answer was lost");
    finish(2);
  }
  record("gw-2: run by the old service %d of %d requests sent later than 10 s after the "
         "acknowledgement, %d sent later than contact_ms; the last one after %lld ms; "
         "gw-1: %d",
         lateOld,
         late,
         inTouchOld,
         static_cast<long long>(last),
         otherOld);
  record("CONFIG %s", lateOld > 0 ? "broken" : "held");
  finish(lateOld > 0 ? 1 : 0);
}
