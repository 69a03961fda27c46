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

// Guards against an unstreamed response that is wrong, incomplete or without its request
// id.
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

// Guards against stream events that are lost or duplicated, and a missing terminator.
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

// Guards against tokens that are lost or repeated when the connection to the engine
// breaks and the stream is resumed.
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

// Guards against a stream that breaks too often to be resumed and looks complete to the
// caller.
TEST(RouterInference, streamCutTooOften_endsWithErrorEventAndAbort)
{
  const auto engine = fixture.engine(true);
  fixture.upstreams["one"] = engine->port();
  fixture.startConfigured();
  fixture.report("one");
  fixture.injectFault(engine->port(), "/testbed/control", R"({"cut_streams_after":1})");
  const auto answer = fixture.complete("hello", R"(,"stream":true,"max_tokens":20)");
  LONGS_EQUAL(0, answer.status); // the connection was aborted
  CHECK_TRUE(answer.body.find("event: error") != std::string::npos);
  CHECK_TRUE(answer.body.find("urn:savoryrill:problem:stream-cut") != std::string::npos);
  CHECK_TRUE(answer.body.find("[DONE]") == std::string::npos);
}

// Guards against an invalid engine response that is forwarded to the caller.
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

// Guards against requests that are refused instead of waiting for a load, and demand that
// is not published, so that no load starts.
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

// Guards against a refusal when a model has moved to another engine and the router still
// has the outdated state of the first one.
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

// Guards against further requests to an upstream that has refused one because it is
// leaving, although its status update does not say so.
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

// Guards against requests that wait in the queue beyond their deadline.
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

// Guards against a caller that waits until its deadline although the load cannot finish
// before it.
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

// Guards against an engine that goes on with a request after its deadline, and against
// reporting that request as not run.
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

// Guards against an engine that goes on with a request whose caller has disconnected.
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

// Guards against an unbounded queue, and requests that are shed without a response.
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

// Guards against a graceful shutdown that aborts a request in progress.
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

// Guards against requests without a response when a shutdown is ended early.
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
