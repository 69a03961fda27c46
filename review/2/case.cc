// A runner that was added some time before leaves without reporting so, and right then
// the leader of placement is stopped and started again. The other gateways run on
// undisturbed.
#include <lookup.hpp>

#include <atomic>
#include <csignal>

using namespace review;

namespace {

// Bounds of the small deployments.
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kGraceMs = 8000;
// How long the runner goes on serving after its entry is removed: "at times many
// seconds".
constexpr std::int64_t kAskMs = 12000;
constexpr std::int64_t kPeriodMs = 40;

std::atomic<std::int64_t> gRemoved{ 0 };
std::atomic<int> gRuns{ 0 };
std::atomic<int> gLateRuns{ 0 };
std::atomic<std::int64_t> gLastRun{ 0 };

void
serveLeaving(Connection& aConnection)
{
  Request request;
  while (aConnection.read(request)) {
    ++gRuns;
    if (gRemoved > 0) {
      const auto since = nowMs() - gRemoved;
      gLastRun = since;
      gLateRuns += since > kDrainMs ? 1 : 0;
      record("i-young is reached by %s, %lld ms after its removal",
             request.header("X-Savoryrill-Attempt-Id").c_str(),
             static_cast<long long>(since));
    }
    sleepMs(30);
    if (!aConnection.send(response(200, signature(request, "i-young"), "young"))) {
      return;
    }
  }
}

void
askAll(const std::vector<Gateway*>& aGateways, std::int64_t aForMs)
{
  const auto until = nowMs() + aForMs;
  while (nowMs() < until) {
    for (const auto* gateway : aGateways) {
      ask(*gateway);
    }
    sleepMs(kPeriodMs);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  openRecord(argc > 1 ? argv[1] : "record.txt");
  record("trouble: %s", withTrouble() ? "yes" : "no");
  Store store;
  const Server oldRunner(runner("old"));
  const Server leaving(serveLeaving);
  store.put("servers", "i-old", entry("old", oldRunner.port()));
  store.put("op", "config", config(3, "old"));
  Gateway first("gw-1", store);
  Gateway second("gw-2", store);
  Gateway third("gw-3", store);
  first.start();
  if (!first.waitUntilReady(10000) || !leads(store, "gw-1", 10000)) {
    finish(2);
  }
  second.start();
  third.start();
  if (!second.waitUntilReady(10000) || !third.waitUntilReady(10000)) {
    finish(2);
  }
  sleepMs(5000);
  store.put("servers", "i-young", entry("old", leaving.port()));
  record("a runner is added: i-young");
  const std::vector<Gateway*> others{ &second, &third };
  askAll(others, 3000);
  if (gRuns == 0) {
    record("i-young isn't used");
    finish(2);
  }
  store.remove("servers", "i-young");
  gRemoved = nowMs();
  record("the store acknowledges the removal of i-young, which serves on");
  if (withTrouble()) {
    first.signal(SIGTERM);
  }
  const auto until = nowMs() + kGraceMs;
  bool ended = !withTrouble();
  while (nowMs() < until) {
    askAll(others, 200);
    if (!ended && first.waitForEnd(20)) {
      ended = true;
      first.start(); // the platform starts it again
    }
  }
  if (!ended) {
    finish(2);
  }
  askAll(others, kAskMs - kGraceMs);
  record(
    "i-young was reached %d times later than drain_ms after its removal, the last time "
    "%lld ms after it",
    gLateRuns.load(),
    static_cast<long long>(gLastRun.load()));
  record("DRAIN %s", gLateRuns > 0 ? "broken" : "held");
  finish(gLateRuns > 0 ? 1 : 0);
}
