#include <CppUTest/TestHarness.h>

#include "router/internal/attemptresult.h"
#include "router/internal/callertask.h"
#include "router/internal/problems.h"
#include "router/internal/requestreader.h"
#include "router/internal/sseevents.h"
#include "router/internal/text.h"
#include "testing/tests/standinfixture.h"

using namespace savoryrill;
using namespace savoryrill::router;
using routing::Refusal;
using routing::RefusalReason;

TEST_GROUP(RequestReader)
{
  config::Configuration configuration;
  http::Request request;
  Instant now{ 1000s };

  void setup() override
  {
    auto& deployment = configuration.deployments["m"];
    deployment.versions = { "1", "2" };
    deployment.adapters["a"] = {};
    auto& service = configuration.services["book"];
    service.path = "/visits";
    service.methods = { "POST" };
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers["Content-Type"] = "application/json; charset=utf-8";
    request.body = R"({"model":"m+a","prompt":"p"})";
  }

  RequestOrRefusal read()
  {
    return readRequest(request, configuration, now);
  }

  void expectRefused(RefusalReason aReason)
  {
    const auto result = read();
    const auto* refused = std::get_if<Refusal>(&result);
    CHECK_TRUE(refused != nullptr);
    STRCMP_EQUAL(std::string(nameOf(aReason)).c_str(),
                 std::string(nameOf(refused->reason)).c_str());
    CHECK_TRUE(refused->ran == routing::Ran::No);
  }
};

// Guards against forwarding a short model name, which the engine could resolve to another
// version.
TEST(RequestReader, validRequest_isMadeCanonical)
{
  const auto result = read();
  const auto& valid = std::get<CallerRequest>(result);
  STRCMP_EQUAL(R"({"model":"m@2+a","prompt":"p"})", valid.body.c_str());
  CHECK_TRUE(valid.repeatable);
  CHECK(valid.deadline == now + 30s);
}

// Guards against invalid bodies that are forwarded or crash the router.
TEST(RequestReader, badBodies_areRefused)
{
  for (const std::string& body :
       { std::string(),
         std::string("{"),
         std::string("[]"),
         std::string(R"({"prompt":"p"})"),
         std::string(R"({"model":"m"})"),
         std::string(R"({"model":1,"prompt":"p"})"),
         std::string(R"({"model":"m","prompt":"\xff"})"),
         std::string("{\"model\":\"m\",\"prompt\":\"\xc0\"}"),
         std::string(100000, '['),
         std::string(R"({"model":"m","prompt":"p","stream":1})") }) {
    request.body = body;
    expectRefused(RefusalReason::MalformedRequest);
  }
  request.body = R"({"model":"x","prompt":"p"})";
  expectRefused(RefusalReason::UnknownModel);
  request.headers["Content-Type"] = "text/plain";
  expectRefused(RefusalReason::UnsupportedContentType);
  request.method = "GET";
  expectRefused(RefusalReason::MethodNotAllowed);
  request.path = "/v1/other";
  expectRefused(RefusalReason::UnknownPath);
}

// Guards against malformed headers that are ignored instead of refused.
TEST(RequestReader, badHeaders_areRefused)
{
  const std::vector<std::pair<const char*, std::string>> bad{
    { "X-Request-Deadline-Ms", "0" },
    { "X-Request-Deadline-Ms", "1s" },
    { "X-Request-Deadline-Ms", "-1" },
    { "X-Request-Deadline-Ms", "99999999999" },
    { "X-Request-Priority", "urgent" },
    { "Idempotency-Key", "" },
    { "Idempotency-Key", std::string(201, 'k') },
    { "Idempotency-Key", "a b" },
    { "X-Caller-Id", "a/b" },
  };
  const auto good = request.headers;
  for (const auto& [name, value] : bad) {
    request.headers = good;
    request.headers[name] = value;
    expectRefused(RefusalReason::MalformedHeader);
  }
}

// Guards against callers that raise the priority or extend the deadline above what the
// deployment allows.
TEST(RequestReader, priorityAndDeadline_mayOnlyBeLowered)
{
  request.headers["X-Request-Priority"] = "high";
  request.headers["X-Request-Deadline-Ms"] = "60000";
  auto result = read();
  CHECK(std::get<CallerRequest>(result).priority == config::Priority::Normal);
  CHECK(std::get<CallerRequest>(result).deadline == now + 30s);
  request.headers["X-Request-Priority"] = "low";
  request.headers["X-Request-Deadline-Ms"] = "5000";
  result = read();
  CHECK(std::get<CallerRequest>(result).priority == config::Priority::Low);
  CHECK(std::get<CallerRequest>(result).deadline == now + 5s);
}

// Guards against accepting requests without a valid API key where callers are configured.
TEST(RequestReader, configuredCallers_needTheirKey)
{
  configuration.callers["tower"].keySha256 = sha256Hex("abc");
  expectRefused(RefusalReason::NotAuthenticated);
  request.headers["Authorization"] = "Bearer abd";
  expectRefused(RefusalReason::NotAuthenticated);
  request.headers["Authorization"] = "Bearer abc";
  const auto result = read();
  STRCMP_EQUAL("tower", std::get<CallerRequest>(result).callerName.c_str());
}

// Guards against service paths that lead out of the configured prefix, and against
// forwarding hop-by-hop headers.
TEST(RequestReader, servicePath_isEncodedAndConfined)
{
  request.path = "/v1/services/book/a b/c";
  request.query["q"] = "x&y";
  request.headers["Connection"] = "close, X-Private";
  request.headers["X-Private"] = "1";
  request.headers["X-Kept"] = "2";
  const auto result = read();
  const auto& valid = std::get<CallerRequest>(result);
  STRCMP_EQUAL("/visits/a%20b/c?q=x%26y", valid.path.c_str());
  LONGS_EQUAL(0, valid.headers.count("X-Private") + valid.headers.count("Connection"));
  LONGS_EQUAL(1, valid.headers.count("X-Kept"));
  CHECK_FALSE(valid.repeatable);
  for (const char* path : { "/v1/services/book/../x", "/v1/services/book/a/.." }) {
    request.path = path;
    expectRefused(RefusalReason::MalformedRequest);
  }
  request.path = "/v1/services/nothing";
  expectRefused(RefusalReason::UnknownService);
  request.path = "/v1/services/book";
  request.method = "GET";
  expectRefused(RefusalReason::MethodNotAllowed);
}

// Guards against parsing that depends on how the network splits the stream into chunks.
TEST(RequestReader, sseReader_anyChunking_givesSameEvents)
{
  const std::string text =
    "id: 1\ndata: {\"a\":1}\n\n: comment\n\nid: 2\r\ndata: x\r\ndata: y\r\n\r\nid: 3\nda";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    SseReader reader;
    auto events = *reader.feed(text.substr(0, cut));
    const auto rest = *reader.feed(text.substr(cut));
    events.insert(events.end(), rest.begin(), rest.end());
    LONGS_EQUAL(3, events.size());
    STRCMP_EQUAL("{\"a\":1}", events[0].data.c_str());
    STRCMP_EQUAL("x\ny", events[2].data.c_str());
    STRCMP_EQUAL("2", events[2].id.c_str());
  }
  SseReader reader;
  CHECK_FALSE(reader.feed(std::string(2 * 1024 * 1024, 'x')).has_value());
}

// Guards against treating a request as not run although the upstream's response does not
// say so.
TEST(RequestReader, evaluateAttempt_onlyKnownProblemCodesAreNotRun)
{
  const auto outcome_of = [](int aStatus, const std::string& aBody) {
    return evaluateAttempt({ http::Response{ aStatus, {}, aBody }, true }, true).outcome;
  };
  CHECK(outcome_of(409, R"({"code":"model_not_loaded"})") == AttemptOutcome::NotRun);
  CHECK(outcome_of(503, R"({"type":"urn:engine:leaving"})") == AttemptOutcome::NotRun);
  CHECK(outcome_of(503, "busy") == AttemptOutcome::Failed);
  CHECK(outcome_of(500, R"({"code":"leaving"})") == AttemptOutcome::Failed);
  CHECK(outcome_of(200, "not json") == AttemptOutcome::Failed);
  CHECK(outcome_of(200, R"({"choices":"x"})") == AttemptOutcome::Failed);
  CHECK(outcome_of(200, R"({"choices":[{}]})") == AttemptOutcome::Answered);
  CHECK(outcome_of(400, R"({"detail":"bad"})") == AttemptOutcome::Answered);
  CHECK(evaluateAttempt({ fail(ErrorCode::Unavailable, "x"), false }, true).outcome ==
        AttemptOutcome::NotRun);
  CHECK(evaluateAttempt({ fail(ErrorCode::Unavailable, "x"), true }, true).outcome ==
        AttemptOutcome::Failed);
  CHECK(evaluateAttempt({ http::Response{ 500, {}, "oops" }, true }, false).outcome ==
        AttemptOutcome::Answered);
}

// Guards against unbounded memory use by a caller that reads its response slowly.
TEST(RequestReader, slowCaller_unsentBytesAboveLimit_isDisconnected)
{
  testing::StandInFixture net;
  const auto log = EventLog::createInMemory();
  Metrics metrics;
  std::vector<DispatchMessage> messages;
  event::Mailbox<DispatchMessage> mailbox(
    *net.loop, [&](DispatchMessage&& aMessage) { messages.push_back(aMessage); });
  CallerTaskOptions options;
  options.maxUnsentBytes = 1000;
  const auto task =
    std::move(CallerTask::create(*net.loop, options, mailbox, *log, metrics).value());
  task->handle(
    ConfigurationAdopted{ std::make_shared<config::Configuration>(configuration) });
  const auto running = net.start("POST",
                                 task->port(),
                                 "/v1/completions",
                                 R"({"model":"m","prompt":"p","stream":true})",
                                 { { "Content-Type", "application/json" } });
  while (messages.empty()) {
    net.loop->runOnce(true);
  }
  const auto number = std::get<RequestArrived>(messages.at(0)).request.number;
  task->handle(StartResponseStream{ number, {} });
  task->handle(SendStreamData{ number, std::string(900, 'x') });
  task->handle(SendStreamData{ number, std::string(900, 'x') });
  while (messages.size() < 2) {
    net.loop->runOnce(true);
  }
  CHECK_TRUE(std::get<CallerDisconnected>(messages.at(1)).tooSlow);
  LONGS_EQUAL(0, net.wait(running).status);
}
