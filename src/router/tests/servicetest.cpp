#include <CppUTest/TestHarness.h>

#include "router/tests/routerfixture.h"

using namespace savoryrill;
using namespace savoryrill::router;

TEST_GROUP(RouterService)
{
  RouterFixture fixture;
  std::unique_ptr<testing::ServiceStandIn> desk;

  void setup() override
  {
    desk = std::move(testing::ServiceStandIn::create(*fixture.net.loop, {}).value());
    fixture.upstreams["desk-1"] = desk->port();
    fixture.startConfigured();
  }

  std::size_t runs() const
  {
    return desk->recorder().kept("call_begin").size();
  }

  void injectFaults(const std::string& aBody)
  {
    fixture.injectFault(desk->port(), "/testbed/faults", aBody);
  }

  void injectPlatformFaults(const std::string& aBody)
  {
    fixture.injectFault(fixture.platformStandIn->port(), "/testbed/faults", aBody);
  }

  /// Waits until the outcome of the claim is recorded in the table store.
  void waitRecorded()
  {
    fixture.runUntil([&] {
      for (const auto& event : fixture.log->eventsWith("reason", "recorded")) {
        if (event.name == "claim-step") {
          return true;
        }
      }
      return false;
    });
  }
};

// Guards against a booking that runs twice, and a duplicate that does not get the
// response of the first request.
TEST(RouterService, duplicateKey_getsRecordedOutcomeWithoutRun)
{
  const auto first = fixture.book("tower", "key-1");
  LONGS_EQUAL(200, first.status);
  waitRecorded();
  const auto second = fixture.book("tower", "key-1");
  LONGS_EQUAL(200, second.status);
  STRCMP_EQUAL(first.body.c_str(), second.body.c_str());
  LONGS_EQUAL(1, runs());
  STRCMP_EQUAL("/visits/new", desk->recorder().kept("call_begin")[0]["path"].asCString());
}

// Guards against replaying the outcome of one booking for another one with the same key.
TEST(RouterService, keyWithOtherBody_isRefused)
{
  fixture.book("tower", "key-1");
  const auto answer = fixture.book("belfry", "key-1");
  LONGS_EQUAL(422, answer.status);
  STRCMP_EQUAL("idempotency-key-reused/no", RouterFixture::problem(answer).c_str());
  LONGS_EQUAL(1, runs());
}

// Guards against two runs when a duplicate arrives while the first request is running.
TEST(RouterService, duplicateInProgress_getsRetryAfter)
{
  injectFaults(R"({"delay_ms":300})");
  const auto first = fixture.startBooking("tower", "key-1");
  fixture.runUntil([&] { return runs() == 1; });
  const auto second = fixture.book("tower", "key-1");
  LONGS_EQUAL(409, second.status);
  STRCMP_EQUAL("request-in-progress/unknown", RouterFixture::problem(second).c_str());
  STRCMP_EQUAL("1", second.headers.at("Retry-After").c_str());
  LONGS_EQUAL(200, fixture.net.wait(first).status);
  LONGS_EQUAL(1, runs());
}

// Guards against two runs when two requests with the same key arrive together.
TEST(RouterService, sameKeyTwiceAtOnce_runsOnce)
{
  const auto one = fixture.startBooking("tower", "key-1");
  const auto other = fixture.startBooking("tower", "key-1");
  const auto first = fixture.net.wait(one);
  const auto second = fixture.net.wait(other);
  CHECK_TRUE(first.status == 200 || second.status == 200);
  LONGS_EQUAL(1, runs());
}

// Guards against a retry after the service's response is lost, with and without a key.
TEST(RouterService, responseLost_outcomeUnknownAndNotRetried)
{
  injectFaults(R"({"lose_answers":2})");
  const auto keyed = fixture.book("tower", "key-1");
  LONGS_EQUAL(504, keyed.status);
  STRCMP_EQUAL("outcome-unknown/unknown", RouterFixture::problem(keyed).c_str());
  waitRecorded();
  const auto duplicate = fixture.book("tower", "key-1");
  STRCMP_EQUAL("outcome-unknown/unknown", RouterFixture::problem(duplicate).c_str());
  LONGS_EQUAL(1, runs());
  const auto unkeyed = fixture.book("belfry", "");
  STRCMP_EQUAL("outcome-unknown/unknown", RouterFixture::problem(unkeyed).c_str());
  LONGS_EQUAL(2, runs());
}

// Guards against retrying a request without a key that the service has refused, and
// against not retrying a refused request with a key.
TEST(RouterService, refusedByService_withoutKeyNotRetriedWithKeyRetried)
{
  injectFaults(R"({"fail_before":1})");
  const auto unkeyed = fixture.book("tower", "");
  LONGS_EQUAL(503, unkeyed.status);
  STRCMP_EQUAL("upstream-unreachable/no", RouterFixture::problem(unkeyed).c_str());
  LONGS_EQUAL(0, runs());
  injectFaults(R"({"fail_before":1})");
  LONGS_EQUAL(200, fixture.book("tower", "key-1").status);
  LONGS_EQUAL(1, runs());
}

// Guards against a dispatch without a confirmed claim while the table store is down.
TEST(RouterService, platformDown_refusedAsNotRun)
{
  injectPlatformFaults(R"({"table_down":true})");
  const auto answer = fixture.book("tower", "key-1");
  LONGS_EQUAL(503, answer.status);
  STRCMP_EQUAL("platform-unavailable/no", RouterFixture::problem(answer).c_str());
  LONGS_EQUAL(0, runs());
  injectPlatformFaults(R"({"table_down":false})");
  LONGS_EQUAL(200, fixture.book("tower", "key-1").status);
}

// Guards against a claim that is not recognised as committed when the response to its
// commit is lost.
TEST(RouterService, claimCommitResponseLost_isReadBackAndRunsOnce)
{
  injectPlatformFaults(R"({"lose_write_answers":1})");
  LONGS_EQUAL(200, fixture.book("tower", "key-1").status);
  LONGS_EQUAL(1, runs());
}

// Guards against callers that wait beyond the deadline, and an outcome that is not
// recorded because it arrives after the deadline.
TEST(RouterService, deadlinePasses_unknownThenRecordedForDuplicate)
{
  injectFaults(R"({"delay_ms":400})");
  http::Headers headers{ { "Content-Type", "application/json" },
                         { "Idempotency-Key", "key-1" },
                         { "X-Request-Deadline-Ms", "150" } };
  const auto answer = fixture.net.call("POST",
                                       fixture.router->port(),
                                       "/v1/services/book/new",
                                       R"({"booking":"tower"})",
                                       headers);
  STRCMP_EQUAL("outcome-unknown/unknown", RouterFixture::problem(answer).c_str());
  waitRecorded();
  LONGS_EQUAL(200, fixture.book("tower", "key-1").status);
  LONGS_EQUAL(1, runs());
}

// Guards against refusing repeatable requests that a retry would serve.
TEST(RouterService, repeatableRequest_lostResponse_isRetried)
{
  injectFaults(R"({"lose_answers":1})");
  const auto answer = fixture.net.call(
    "GET", fixture.router->port(), "/v1/services/read/tonight?cat=a%20b");
  LONGS_EQUAL(200, answer.status);
  LONGS_EQUAL(2, runs());
}

// Guards against a batch of claims that fails as a whole because one row conflicts.
TEST(RouterService, manyKeysAtOnce_oneTaken_othersRun)
{
  fixture.book("tower", "key-0");
  waitRecorded();
  std::vector<RouterFixture::Running> running;
  for (int i = 0; i < 20; ++i) {
    running.push_back(fixture.startBooking("tower", "key-" + std::to_string(i)));
  }
  for (const auto& call : running) {
    LONGS_EQUAL(200, fixture.net.wait(call).status);
  }
  LONGS_EQUAL(20, runs());
  CHECK_TRUE(fixture.metrics.counter("savoryrill_router_claim_transactions_total") < 30);
}

// Guards against reporting a request to an unreachable service as possibly run.
TEST(RouterService, serviceUnreachable_refusedAsNotRun)
{
  desk.reset();
  const auto answer = fixture.book("tower", "");
  STRCMP_EQUAL("upstream-unreachable/no", RouterFixture::problem(answer).c_str());
}
