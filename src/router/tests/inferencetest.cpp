#include <CppUTest/TestHarness.h>

#include "router/tests/routerfixture.h"
#include "testing/tokens.h"

using namespace savoryrill;
using namespace savoryrill::router;
using testing::answerText;

TEST_GROUP(RouterInference)
{
  RouterFixture fixture;

  static std::string streamedText(const std::string& aBody)
  {
    std::string text;
    std::size_t at = 0;
    while ((at = aBody.find("data: {", at)) != std::string::npos) {
      const auto end = aBody.find('\n', at);
      const auto event = parseJson(aBody.substr(at + 6, end - at - 6));
      text += event.value()["choices"][0]["text"].asString();
      at = end;
    }
    return text;
  }
};

// Guards against a wrong, incomplete or unmarked answer on the plain path.
TEST(RouterInference, unstreamedCompletion_loadedEngine_returnsResponse)
{
  const auto engine = fixture.engine(true);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  const auto answer = fixture.complete("hello");
  LONGS_EQUAL(200, answer.status);
  STRCMP_EQUAL(answerText("hello", 16).c_str(),
               answer.json["choices"][0]["text"].asCString());
  const std::string id = answer.headers.at("X-Request-Id");
  STRCMP_EQUAL("entry-1-7-1", id.c_str());
  STRCMP_EQUAL("m@1", answer.json["model"].asCString());
  CHECK_TRUE(fixture.log->eventsWith("request", id).size() >= 3);
  CHECK_TRUE(fixture.logged("request-finished"));
}

// Guards against lost, doubled or unterminated stream events.
TEST(RouterInference, streamedCompletion_isForwardedCompletely)
{
  const auto engine = fixture.engine(true);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  const auto answer = fixture.complete("hello", R"(,"stream":true,"max_tokens":20)");
  LONGS_EQUAL(200, answer.status);
  STRCMP_EQUAL(answerText("hello", 20).c_str(), streamedText(answer.body).c_str());
  CHECK_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
  STRCMP_EQUAL("text/event-stream", answer.headers.at("Content-Type").c_str());
}

// Guards against a cut stream that loses or repeats tokens when it is resumed.
TEST(RouterInference, cutStream_isResumedWithoutLossOrRepetition)
{
  const auto engine = fixture.engine(true);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  fixture.injectFault(engine->port(), "/testbed/control", R"({"cut_streams_after":7})");
  const auto answer = fixture.complete("hello", R"(,"stream":true,"max_tokens":20)");
  LONGS_EQUAL(200, answer.status);
  STRCMP_EQUAL(answerText("hello", 20).c_str(), streamedText(answer.body).c_str());
  CHECK_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
  CHECK_TRUE(fixture.logged("request-resumed"));
}

// Guards against a cut stream that looks complete to the caller.
TEST(RouterInference, streamCutTooOften_endsWithErrorEventAndAbort)
{
  const auto engine = fixture.engine(true);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  fixture.injectFault(engine->port(), "/testbed/control", R"({"cut_streams_after":1})");
  const auto answer = fixture.complete("hello", R"(,"stream":true,"max_tokens":20)");
  LONGS_EQUAL(0, answer.status); // the connection was broken off
  CHECK_TRUE(answer.body.find("event: error") != std::string::npos);
  CHECK_TRUE(answer.body.find("urn:savoryrill:problem:stream-cut") != std::string::npos);
  CHECK_TRUE(answer.body.find("[DONE]") == std::string::npos);
}

// Guards against engine garbage that reaches callers as an answer.
TEST(RouterInference, invalidEngineResponse_isRefusedAfterRetries)
{
  const auto engine = fixture.engine(true);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  fixture.injectFault(engine->port(), "/testbed/control", R"({"nonsense":true})");
  const auto answer = fixture.complete("hello");
  LONGS_EQUAL(502, answer.status);
  CHECK_TRUE(RouterFixture::problem(answer).ends_with("/unknown"));
  LONGS_EQUAL(3, fixture.metrics.counter("savoryrill_router_dispatches_total"));
}

// Guards against requests that do not wait for a load, and demand that nobody hears of.
TEST(RouterInference, modelNotLoaded_waitsAndPublishesDemandAtOnce)
{
  const auto engine = fixture.engine(true);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  const auto running = fixture.startCompletion("hello");
  const auto demanded = [&] {
    for (const auto& entry : fixture.published) {
      peer::DemandContent content;
      if (entry.kind == peer::ENTRY_KIND_DEMAND &&
          content.ParseFromString(entry.payload) && content.items_size() == 1 &&
          content.items(0).waiting() == 1 && content.items(0).arrivals() == 1) {
        return entry.key == "demand/entry-1";
      }
    }
    return false;
  };
  fixture.runUntil(demanded);
  CHECK_FALSE(running->answer.has_value());
  fixture.report("one");
  LONGS_EQUAL(200, fixture.net.wait(running).status);
}

// Guards against a late view that turns a model's move into a refusal.
TEST(RouterInference, engineLacksModel_requestGoesToOther)
{
  const auto empty = fixture.engine(false);
  const auto loaded = fixture.engine(true);
  fixture.upstreams["empty"] = empty->port();
  fixture.upstreams["loaded"] = loaded->port();
  fixture.startConfigured();
  fixture.report("empty");
  const auto running = fixture.startCompletion("hello");
  fixture.runUntil([&] { return fixture.logged("request-retried"); });
  fixture.report("loaded");
  LONGS_EQUAL(200, fixture.net.wait(running).status);
  LONGS_EQUAL(1, empty->recorder().kept("request_refused").size());
}

// Guards against further work for an upstream that has said it leaves.
TEST(RouterInference, engineLeaving_isPublishedAndAvoided)
{
  const auto leaving = fixture.engine(true);
  const auto other = fixture.engine(true);
  fixture.upstreams["leaving"] = leaving->port();
  fixture.upstreams["other"] = other->port();
  fixture.startConfigured();
  fixture.report("leaving");
  fixture.injectFault(leaving->port(), "/testbed/control", R"({"leaving":true})");
  const auto running = fixture.startCompletion("hello");
  fixture.runUntil([&] { return fixture.logged("upstream-said-leaving"); });
  fixture.report("leaving");
  fixture.report("other");
  LONGS_EQUAL(200, fixture.net.wait(running).status);
  for (int i = 0; i < 5; ++i) {
    LONGS_EQUAL(200, fixture.complete("again").status);
  }
  LONGS_EQUAL(1, leaving->recorder().kept("request_refused").size());
  bool published_leaving = false;
  for (const auto& entry : fixture.published) {
    published_leaving = published_leaving || (entry.kind == peer::ENTRY_KIND_LEAVING &&
                                              entry.key == "leaving");
  }
  CHECK_TRUE(published_leaving);
}

// Guards against requests that wait beyond their deadline.
TEST(RouterInference, deadlinePassesWhileWaiting_isRefusedAsNotRun)
{
  fixture.upstreams["one"] = 1;
  fixture.startConfigured();
  fixture.report("one", peer::REPLICA_STATE_LOADING, 10);
  const auto answer =
    fixture.complete("hello", "", { { "X-Request-Deadline-Ms", "60" } });
  LONGS_EQUAL(504, answer.status);
  STRCMP_EQUAL("deadline-exceeded/no", RouterFixture::problem(answer).c_str());
}

// Guards against keeping a caller waiting for a deadline that cannot be met.
TEST(RouterInference, loadTakesLongerThanDeadline_isRefusedEarly)
{
  fixture.upstreams["one"] = 1;
  fixture.startConfigured();
  fixture.report("one", peer::REPLICA_STATE_LOADING, 60000);
  const auto answer = fixture.complete("hello");
  LONGS_EQUAL(503, answer.status);
  STRCMP_EQUAL("deadline-unreachable/no", RouterFixture::problem(answer).c_str());
  CHECK_TRUE(answer.headers.count("Retry-After") == 1);
}

// Guards against engine work that goes on after the deadline, and against 'not run'.
TEST(RouterInference, deadlinePassesAtEngine_isCancelledAndUnknown)
{
  const auto engine = fixture.engine(true, 100s);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  const auto answer =
    fixture.complete("hello", "", { { "X-Request-Deadline-Ms", "200" } });
  STRCMP_EQUAL("deadline-exceeded/unknown", RouterFixture::problem(answer).c_str());
  fixture.runUntil([&] { return !engine->recorder().kept("request_cancel").empty(); });
}

// Guards against engine work for callers that have left.
TEST(RouterInference, callerDisconnects_engineRequestIsCancelled)
{
  const auto engine = fixture.engine(true, 100s);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  auto running = fixture.startCompletion("hello", R"(,"stream":true)");
  fixture.runUntil([&] { return !engine->recorder().kept("request_begin").empty(); });
  running->call.reset();
  fixture.runUntil([&] { return !engine->recorder().kept("request_cancel").empty(); });
  CHECK_TRUE(fixture.logged("request-abandoned"));
  LONGS_EQUAL(0, fixture.router->status()["in_flight"].asInt());
}

// Guards against an unbounded queue, and against shedding without an answer.
TEST(RouterInference, queueFull_shedsLowPriorityExplicitly)
{
  fixture.limits = R"("max_queue": 1,)";
  fixture.upstreams["one"] = 1;
  fixture.startConfigured();
  const auto low = fixture.startCompletion("a", "", { { "X-Request-Priority", "low" } });
  fixture.runUntil([&] { return fixture.logged("request-waiting"); });
  const auto normal = fixture.startCompletion("b");
  const auto shed = fixture.net.wait(low);
  LONGS_EQUAL(429, shed.status);
  STRCMP_EQUAL("shed/no", RouterFixture::problem(shed).c_str());
  STRCMP_EQUAL("queue-full/no", RouterFixture::problem(fixture.complete("c")).c_str());
  CHECK_FALSE(normal->answer.has_value());
}

// Guards against a stop that cuts off a request in progress.
TEST(RouterInference, drain_requestInProgress_isFinishedFirst)
{
  const auto engine = fixture.engine(true, 5ms);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  const auto running = fixture.startCompletion("hello");
  fixture.runUntil([&] { return !engine->recorder().kept("request_begin").empty(); });
  bool stopped = false;
  bool clean = false;
  fixture.router->onStopped([&](bool aClean) {
    stopped = true;
    clean = aClean;
  });
  fixture.router->drain();
  CHECK_FALSE(fixture.router->ready());
  LONGS_EQUAL(200, fixture.net.wait(running).status);
  fixture.runUntil([&] { return stopped; });
  CHECK_TRUE(clean);
}

// Guards against requests that vanish when a shutdown is cut short.
TEST(RouterInference, stopNow_refusesRemainingRequests)
{
  const auto engine = fixture.engine(true, 100s);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  const auto running = fixture.startCompletion("hello");
  fixture.runUntil([&] { return !engine->recorder().kept("request_begin").empty(); });
  bool stopped = false;
  bool clean = true;
  fixture.router->onStopped([&](bool aClean) {
    stopped = true;
    clean = aClean;
  });
  fixture.router->drain();
  fixture.router->stopNow();
  const auto answer = fixture.net.wait(running);
  STRCMP_EQUAL("shutting-down/unknown", RouterFixture::problem(answer).c_str());
  fixture.runUntil([&] { return stopped; });
  CHECK_FALSE(clean);
}
