#include <CppUTest/TestHarness.h>

#include "placement/demandtable.h"
#include "placement/keepalivetracker.h"
#include "placement/loadscheduler.h"
#include "placement/weightstorelimiter.h"

using namespace savoryrill;
using namespace savoryrill::placement;

TEST_GROUP(DemandTest)
{
  Instant now{ 1000s };
  config::Loadable m{ "m", "1" };
  config::Deployment deployment;

  void setup() override
  {
    deployment.maxReplicas = 2;
  }

  LoadCandidate candidate(const std::string& aName, Duration aExpected, Duration aWaited)
  {
    LoadCandidate result;
    result.loadable = { aName, "1" };
    result.expectedDuration = aExpected;
    result.wantedSince = now - aWaited;
    return result;
  }
  std::string firstBy(LoadPolicy aPolicy, std::vector<LoadCandidate> aCandidates)
  {
    return LoadScheduler(aPolicy)
      .sorted(std::move(aCandidates), now)[0]
      .loadable.deployment;
  }
  MergedDemand waiting(std::uint32_t aCount, Duration aSince)
  {
    MergedDemand demand;
    demand.waiting = aCount;
    demand.waitingLocally = aCount;
    demand.waitingSince = now - aSince;
    return demand;
  }
};

// Guards against counting a router twice and against demand of routers that were removed.
TEST(DemandTest, routers_merged_untilRemoved)
{
  DemandTable table("x");
  DemandItem item;
  item.model = { m, "adapter" };
  item.waiting = 2;
  item.earliestDeadline = now + 5s;
  table.update("r1", "x", { item }, now);
  item.earliestDeadline = now + 3s;
  table.update("r2", "y", { item }, now + 1s);
  table.update("r2", "y", { item }, now + 2s);
  const auto& merged = table.merged().at(m);
  LONGS_EQUAL(4, merged.waiting);
  LONGS_EQUAL(2, merged.waitingLocally);
  CHECK(merged.earliestDeadline == now + 3s);
  CHECK(merged.waitingSince == now);
  LONGS_EQUAL(4, merged.adapters.at("adapter"));
  table.remove("r1", now);
  table.remove("r2", now);
  CHECK(table.merged().empty());
}

// Guards against policies that sort by the wrong key, and against starvation of long
// loads.
TEST(DemandTest, loadPolicy_each_sortsByItsKey)
{
  const std::vector<LoadCandidate> both{ candidate("long", 20s, 30s),
                                         candidate("short", 10s, 1s) };
  STRCMP_EQUAL("long", firstBy(FirstInFirstOut{}, both).c_str());
  STRCMP_EQUAL("short", firstBy(ShortestFirst{}, both).c_str());
  STRCMP_EQUAL("long", firstBy(ShortestWithCredit{ 0.5 }, both).c_str());
  auto urgent = both;
  urgent[0].deadline = now + 60s;
  urgent[1].deadline = now + 15s;
  STRCMP_EQUAL("short", firstBy(LeastSlackFirst{}, urgent).c_str());
  auto important = both;
  important[1].priority = 2;
  STRCMP_EQUAL("short", firstBy(FirstInFirstOut{}, important).c_str());
}

// Guards against loading all replicas for a small burst or only one for a large burst.
TEST(DemandTest, selectUpstreams_growWithWaiting)
{
  std::vector<ReplicaCandidate> choices{ { "u1", "x" }, { "u2", "y" } };
  for (auto& choice : choices) {
    choice.available = true;
  }
  LONGS_EQUAL(
    0,
    LoadScheduler::selectUpstreams(choices, waiting(0, 0s), deployment, "x", now).size());
  LONGS_EQUAL(
    1,
    LoadScheduler::selectUpstreams(choices, waiting(16, 0s), deployment, "x", now)
      .size());
  LONGS_EQUAL(
    2,
    LoadScheduler::selectUpstreams(choices, waiting(17, 0s), deployment, "x", now)
      .size());
  choices[0].started = true;
  CHECK(LoadScheduler::selectUpstreams(choices, waiting(16, 0s), deployment, "x", now)
          .empty());
}

// Guards against waiting forever for an owner that does not load or is unreachable.
TEST(DemandTest, selectUpstreams_afterTimeout_nextUpstreamAdded)
{
  std::vector<ReplicaCandidate> choices{ { "u1", "y" }, { "u2", "x" } };
  choices[0].available = true;
  choices[1].available = true;
  LONGS_EQUAL(
    1,
    LoadScheduler::selectUpstreams(choices, waiting(1, 2s), deployment, "x", now).size());
  LONGS_EQUAL(
    2,
    LoadScheduler::selectUpstreams(choices, waiting(1, 3s), deployment, "x", now).size());
  choices[0].started = true;
  CHECK(LoadScheduler::selectUpstreams(choices, waiting(1, 10s), deployment, "x", now)
          .empty());
  CHECK(LoadScheduler::selectUpstreams(choices, waiting(1, 30s), deployment, "x", now)
          .contains("u2"));
}

// Guards against evicting busy replicas for demand of the same or a lower priority.
TEST(DemandTest, evictions_busyReplicas_onlyForHigherPriority)
{
  const std::vector<EvictionCandidate> replicas{ { { "busy", "1" }, 50, true, 1, 0 },
                                                 { { "dear", "1" }, 30, false, 1, 9 },
                                                 { { "cheap", "1" }, 30, false, 1, 1 } };
  const auto one = LoadScheduler::selectEvictions(replicas, 10, 40, 1);
  LONGS_EQUAL(1, one->size());
  STRCMP_EQUAL("cheap", (*one)[0].deployment.c_str());
  CHECK_FALSE(LoadScheduler::selectEvictions(replicas, 10, 90, 1).has_value());
  LONGS_EQUAL(3, LoadScheduler::selectEvictions(replicas, 10, 90, 2)->size());
}

// Guards against more concurrent loads or starts per second than the weight store allows.
TEST(DemandTest, weightStoreLimiter_loadsAndStartRate_limited)
{
  WeightStoreLimiter limiter(3);
  limiter.setLimits({ 4, 4, 32 }, 3);
  for (const auto* name : { "a", "b", "c", "d" }) {
    CHECK(limiter.mayStart(now));
    limiter.started({ name, m }, now);
  }
  CHECK_FALSE(limiter.mayStart(now));
  limiter.observe({}, false, 2, now + 500ms);
  CHECK_FALSE(limiter.mayStart(now + 500ms));
  CHECK(limiter.mayStart(now + 1s));
  LONGS_EQUAL(16, limiter.maxAdapterLoads());
}

// Guards against isolated data centres that together exceed the weight store's limits.
TEST(DemandTest, weightStoreLimiter_isolated_fixedShare)
{
  WeightStoreLimiter limiter(3);
  limiter.setLimits({ 4, 4, 32 }, 3);
  limiter.observe({}, true, 1, now);
  LONGS_EQUAL(1, limiter.maxLoads());
  limiter.started({ "a", m }, now);
  limiter.observe({}, true, 1, now + 100ms);
  CHECK_FALSE(limiter.mayStart(now + 500ms));
  CHECK(limiter.mayStart(now + 1s));
}

// Guards against a keep-alive time outside the policy's bounds or independent of the
// deployment's cold-start weight.
TEST(DemandTest, keepAlive_histogram_quantileWithinBounds)
{
  KeepAliveTracker policy;
  deployment.keepAlive = config::HistogramKeepAlive{ 60s, 600s };
  Instant at = now;
  policy.recordUse(m, at);
  CHECK(policy.keepAliveTime(m, deployment) == Duration(600s));
  for (const auto gap : { 10s, 100s, 200s, 300s, 5000s }) {
    at += gap;
    policy.recordUse(m, at);
  }
  deployment.coldStartWeight = 0.5;
  CHECK(policy.keepAliveTime(m, deployment) == Duration(200s));
  deployment.coldStartWeight = 1;
  CHECK(policy.keepAliveTime(m, deployment) == Duration(600s));
  deployment.coldStartWeight = 0;
  CHECK(policy.keepAliveTime(m, deployment) == Duration(60s));
  CHECK_FALSE(policy.expired(m, deployment, at + 59s, 0s));
  CHECK(policy.expired(m, deployment, at + 60s, 0s));
}

// Guards against unloading a pre-warmed model before its pre-warm time, also across
// midnight.
TEST(DemandTest, keepAlive_aroundPrewarmTime_kept)
{
  deployment.keepAlive = config::HistogramKeepAlive{ 60s, 600s };
  deployment.prewarm = { { 0, 120s } };
  const Duration day = std::chrono::hours(24);
  CHECK_FALSE(KeepAliveTracker::prewarmDue(deployment, day - 121s));
  CHECK(KeepAliveTracker::prewarmDue(deployment, day - 119s));
  CHECK(KeepAliveTracker::prewarmDue(deployment, 59s));
  CHECK_FALSE(KeepAliveTracker::prewarmDue(deployment, 61s));
}
