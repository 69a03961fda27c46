#include <CppUTest/TestHarness.h>

#include "routing/admission.h"
#include "routing/attemptregistry.h"
#include "routing/circuitbreaker.h"
#include "routing/prefixhash.h"
#include "routing/retrybudget.h"
#include "routing/types/refusal.h"
#include "routing/upstreamchoice.h"

#include <json/json.h>

using namespace savoryrill;
using namespace savoryrill::routing;

TEST_GROUP(RoutingPolicy)
{
  std::mt19937_64 random{ 42 };
  Instant now{ 1000s };
};

// Guards against sending all requests to the upstream whose outdated report shows the
// lowest load.
TEST(RoutingPolicy, powerOfTwo_equalReports_spreadsByOwnCounts)
{
  ChoicePolicy policy = PowerOfTwoChoices{};
  std::vector<Candidate> candidates(4);
  for (int i = 0; i < 400; ++i) {
    ++candidates[*choose(policy, candidates, random)].ownInFlight;
  }
  for (const auto& candidate : candidates) {
    CHECK_TRUE(candidate.ownInFlight > 90 && candidate.ownInFlight < 110);
  }
}

// Guards against overloading the only upstream that has the prefix cached.
TEST(RoutingPolicy, powerOfTwo_cachedPrefix_preferredWithinSlack)
{
  ChoicePolicy policy = PowerOfTwoChoices{ 4 };
  std::vector<Candidate> candidates(3);
  candidates[2].cachedPrefixBlocks = 2;
  candidates[2].reportedLoad = 4;
  LONGS_EQUAL(2, *choose(policy, candidates, random));
  candidates[2].reportedLoad = 5;
  CHECK_TRUE(*choose(policy, candidates, random) != 2);
}

// Guards against routers that all choose the same one of several engines that have the
// prefix cached.
TEST(RoutingPolicy, powerOfTwo_equalPrefixes_spreadsOverThem)
{
  ChoicePolicy policy = PowerOfTwoChoices{ 4 };
  std::vector<Candidate> candidates(4);
  for (std::size_t index = 1; index < candidates.size(); ++index) {
    candidates[index].cachedPrefixBlocks = 2;
    candidates[index].reportedLoad = index == 1 ? 0 : 1;
  }
  std::vector<int> chosen(candidates.size());
  for (int round = 0; round < 300; ++round) {
    ++chosen[*choose(policy, candidates, random)];
  }
  LONGS_EQUAL(0, chosen[0]);
  CHECK_TRUE(chosen[1] > 0);
  CHECK_TRUE(chosen[2] > 0);
  CHECK_TRUE(chosen[3] > 0);
}

// Guards against baselines that fail without candidates or do not follow their policy.
TEST(RoutingPolicy, baselines_followTheirPolicy)
{
  ChoicePolicy round_robin = RoundRobin{};
  std::vector<Candidate> candidates(2);
  candidates[0].reportedLoad = 1;
  LONGS_EQUAL(0, *choose(round_robin, candidates, random));
  LONGS_EQUAL(1, *choose(round_robin, candidates, random));
  ChoicePolicy least = LeastReportedLoad{};
  LONGS_EQUAL(1, *choose(least, candidates, random));
  CHECK_FALSE(choose(least, {}, random).has_value());
}

// Guards against a circuit breaker that never opens, allows several probes at a time or
// never closes.
TEST(RoutingPolicy, circuit_opensProbesAndCloses)
{
  CircuitBreaker breaker(
    { .failuresToOpen = 2, .initialOpenTime = 1s, .maxOpenTime = 3s });
  breaker.failed(now);
  CHECK_TRUE(breaker.allows(now));
  breaker.failed(now);
  CHECK_FALSE(breaker.allows(now));
  now += 1s;
  CHECK(breaker.state(now) == CircuitState::HalfOpen);
  breaker.dispatched(now);
  CHECK_FALSE(breaker.allows(now));
  breaker.failed(now);
  CHECK_FALSE(breaker.allows(now + 1s));
  CHECK_TRUE(breaker.allows(now + 2s));
  breaker.dispatched(now + 2s);
  breaker.abandoned();
  CHECK_TRUE(breaker.allows(now + 2s));
  breaker.succeeded();
  CHECK(breaker.state(now) == CircuitState::Closed);
}

// Guards against a budget that is refilled when the limits change. They change with each
// host that is added or removed, since the hosts share the retries.
TEST(RoutingPolicy, retryBudgetLimitsChange_takenRetriesStayTaken)
{
  RetryBudget budget({ .share = 0.25, .capacity = 2 });
  CHECK_TRUE(budget.takeRetry());
  CHECK_TRUE(budget.takeRetry());
  budget.setLimits({ .share = 0.25, .capacity = 5 });
  CHECK_FALSE(budget.takeRetry());
  for (int at = 0; at < 16; ++at) {
    budget.requestArrived();
  }
  budget.setLimits({ .share = 0.25, .capacity = 1 });
  CHECK_TRUE(budget.takeRetry());
  CHECK_FALSE(budget.takeRetry());
}

// Guards against retries that amplify an overload.
TEST(RoutingPolicy, retryBudget_limitsRetriesToShare)
{
  RetryBudget budget({ .share = 0.25, .capacity = 2 });
  CHECK_TRUE(budget.takeRetry() && budget.takeRetry());
  CHECK_FALSE(budget.takeRetry());
  for (int i = 0; i < 4; ++i) {
    budget.requestArrived();
  }
  CHECK_TRUE(budget.takeRetry());
  CHECK_FALSE(budget.takeRetry());
}

// Guards against delays above the bound or an overflow at many retries.
TEST(RoutingPolicy, fullJitter_staysBelowGrowingBound)
{
  for (std::uint32_t retry = 0; retry < 100; ++retry) {
    const auto delay = fullJitter(retry, 10ms, 1s, random);
    CHECK_TRUE(delay >= 0us && delay <= 1s);
    CHECK_TRUE(retry > 0 || delay <= 10ms);
  }
}

// Guards against admitting requests that cannot be served before their deadline, and
// against refusing requests that can.
TEST(RoutingPolicy, admission_comparesEstimateWithDeadline)
{
  AdmissionInput input;
  input.untilDeadline = 10s;
  input.untilLoaded = 6s;
  input.serviceTime = 1s;
  input.requestsAhead = 3;
  CHECK_TRUE(admit(input).admitted);
  input.requestsAhead = 4;
  CHECK_FALSE(admit(input).admitted);
  input.slots = 4;
  LONGS_EQUAL(2000, toMs(admit(input).estimate));
}

// Guards against an estimate that stays high after a slow period, so that admission keeps
// refusing all requests.
TEST(RoutingPolicy, durationEstimator_withoutObservation_decays)
{
  DurationEstimator times;
  CHECK_FALSE(times.estimate("m", now).has_value());
  times.observe("m", 8s, now);
  LONGS_EQUAL(8000, toMs(*times.estimate("m", now)));
  LONGS_EQUAL(2000, toMs(*times.estimate("m", now + 60s)));
}

// Guards against a late response of a closed attempt that is taken for that of the
// current one.
TEST(RoutingPolicy, attemptRegistry_lateEvents_discardedAndCounted)
{
  AttemptRegistry registry;
  const auto first = registry.open(1);
  const auto second = registry.open(1);
  registry.close(first);
  CHECK_FALSE(registry.accept(first).has_value());
  LONGS_EQUAL(1, *registry.accept(second));
  LONGS_EQUAL(1, registry.discarded());
}

// Guards against hashes of a prefix that depend on the text after it.
TEST(RoutingPolicy, prefixHashes_samePrefix_sameHashes)
{
  const std::string shared(128, 'a');
  const auto one = prefixHashes(shared + std::string(64, 'b'));
  const auto other = prefixHashes(shared + std::string(64, 'c'));
  LONGS_EQUAL(3, one.size());
  CHECK(one[0] == other[0] && one[1] == other[1] && one[2] != other[2]);
  LONGS_EQUAL(1, prefixHashes("short").size());
  CHECK_TRUE(prefixHashes("").empty());
}

// Guards against reasons without a problem type or status, and problems without `ran`.
TEST(RoutingPolicy, refusals_everyReason_hasStableProblem)
{
  for (const auto& [reason, name] : EnumNames<RefusalReason>::kTable) {
    CHECK_TRUE(traitsOf(reason).status >= 400);
    Json::Value body;
    const auto text = problemJson({ reason, "detail", Ran::Unknown, 1500ms }, "id");
    CHECK_TRUE(Json::Reader().parse(text, body));
    STRCMP_EQUAL(("urn:savoryrill:problem:" + std::string(name)).c_str(),
                 body["type"].asCString());
    STRCMP_EQUAL("unknown", body["ran"].asCString());
  }
  LONGS_EQUAL(2, *retryAfterSeconds({ RefusalReason::Shed, "", Ran::No, 1500ms }));
}
