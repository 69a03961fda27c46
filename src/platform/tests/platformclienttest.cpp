#include <CppUTest/TestHarness.h>

#include <json/json.h>

#include "base/jsontext.h"
#include "http/server.h"
#include "platform/platformclient.h"

using namespace savoryrill;
using namespace savoryrill::platform;

TEST_GROUP(PlatformClient)
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<http::Client> client;
  std::unique_ptr<http::Server> server;
  std::unique_ptr<IPlatform> platform;
  http::Request received;
  int requests = 0;

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    client = std::move(http::Client::create(*loop).value());
  }

  void teardown() override
  {
    platform.reset();
    server.reset();
    client.reset();
    loop.reset();
  }

  void serve(http::Handler aHandler)
  {
    auto record = [this, handler = std::move(aHandler)](
                    const std::shared_ptr<http::Exchange>& aExchange) {
      received = aExchange->request();
      ++requests;
      handler(aExchange);
    };
    server = std::move(http::Server::create(*loop, {}, std::move(record)).value());
    useEndpoints({ "127.0.0.1:" + std::to_string(server->port()) });
  }

  void respondWith(int aStatus, const std::string& aBody)
  {
    serve([=](const std::shared_ptr<http::Exchange>& aExchange) {
      aExchange->respond({ aStatus, {}, aBody });
    });
  }

  void cutConnection()
  {
    serve([](const std::shared_ptr<http::Exchange>& aExchange) {
      aExchange->startStream(200, {});
      aExchange->abort();
    });
  }

  void useEndpoints(std::vector<std::string> aEndpoints, Duration aTimeout = 2s)
  {
    platform = std::move(
      PlatformClient::create(*client, { std::move(aEndpoints), aTimeout }).value());
  }

  template<typename T>
  Result<T> wait(std::function<void(Completion<T>)> aStart)
  {
    std::optional<Result<T>> result;
    aStart([&](Result<T> aResult) { result = std::move(aResult); });
    while (!result) {
      loop->runOnce(true);
    }
    return std::move(*result);
  }

  Result<TransactionOutcome> transact(const Transaction& aTransaction = sample())
  {
    return wait<TransactionOutcome>(
      [&](auto aDone) { platform->transact(aTransaction, aDone); });
  }

  Result<std::optional<Row>> readRow(const std::string& aKey)
  {
    return wait<std::optional<Row>>([&](auto aDone) { platform->readRow(aKey, aDone); });
  }

  static Transaction sample()
  {
    Transaction transaction;
    transaction.checks = { { "a", 7 }, { "b", 0 } };
    transaction.writes = { { "a", "new \"value\" \xc3\xa9", 1500ms },
                           { "b", std::nullopt } };
    return transaction;
  }

  template<typename T>
  void checkError(ErrorCode aExpected, const Result<T>& aResult)
  {
    CHECK_FALSE(aResult.has_value());
    STRCMP_EQUAL(std::string(nameOf(aExpected)).c_str(),
                 std::string(nameOf(aResult.error().code)).c_str());
  }
};

// Guards against creating a client without endpoints.
TEST(PlatformClient, noEndpoints_create_fails)
{
  checkError(ErrorCode::InvalidArgument, PlatformClient::create(*client, {}));
}

// Guards against changes of the wire format of transactions.
TEST(PlatformClient, transaction_committed_encodedAndDecoded)
{
  respondWith(200, R"({"committed":true,"versions":{"a":8}})");
  const auto outcome = transact();
  CHECK(outcome.value().committed);
  LONGS_EQUAL(8, outcome.value().versions.at("a"));
  STRCMP_EQUAL("POST", received.method.c_str());
  STRCMP_EQUAL("/table/transact", received.path.c_str());
  const auto body = parseJson(received.body).value();
  LONGS_EQUAL(7, body["checks"][0]["version"].asInt());
  STRCMP_EQUAL("new \"value\" \xc3\xa9", body["writes"][0]["value"].asCString());
  DOUBLES_EQUAL(1.5, body["writes"][0]["ttl_s"].asDouble(), 0);
  CHECK(body["writes"][1]["delete"].asBool());
  CHECK_FALSE(body["writes"][1].isMember("ttl_s"));
}

// Guards against a conflict with another writer that is reported as an error.
TEST(PlatformClient, transaction_conflict_isOutcome)
{
  respondWith(409, R"({"committed":false,"conflicts":{"a":9,"b":0}})");
  const auto outcome = transact();
  CHECK_FALSE(outcome.value().committed);
  LONGS_EQUAL(9, outcome.value().conflicts.at("a"));
}

// Guards against a write whose outcome is unknown but is reported as known.
TEST(PlatformClient, transaction_invalidResponse_outcomeUnknown)
{
  const std::vector<std::pair<int, std::string>> responses{
    { 200, "" },
    { 200, "[1]" },
    { 200, R"({"committed":false,"versions":{"a":8}})" },
    { 200, R"({"committed":true,"versions":{}})" },
    { 200, R"({"committed":true,"versions":{"a":-1}})" },
    { 200, R"({"committed":true,"versions":{"a":8}} trailing)" },
    { 409, R"({"committed":true,"versions":{"a":8}})" },
    { 409, R"({"committed":false})" },
    { 404, "" },
    { 500, "" },
    { 503, "" },
  };
  for (const auto& [status, body] : responses) {
    respondWith(status, body);
    checkError(ErrorCode::OutcomeUnknown, transact());
  }
}

// Guards against a refused write that is reported as one of unknown outcome, which
// callers would have to read back.
TEST(PlatformClient, transaction_refused_unavailable)
{
  respondWith(429, "");
  checkError(ErrorCode::Unavailable, transact());
}

// Guards against a lost response that is reported as a failed write, and against sending
// the write again to another endpoint.
TEST(PlatformClient, transaction_responseCut_outcomeUnknownAndSentOnce)
{
  cutConnection();
  const std::string endpoint = "127.0.0.1:" + std::to_string(server->port());
  useEndpoints({ endpoint, endpoint });
  checkError(ErrorCode::OutcomeUnknown, transact());
  LONGS_EQUAL(1, requests);
}

// Guards against a write that is reported as failed because the platform does not respond
// in time.
TEST(PlatformClient, transaction_noResponseInTime_outcomeUnknown)
{
  std::vector<std::shared_ptr<http::Exchange>> kept;
  serve([&](const auto& aExchange) { kept.push_back(aExchange); });
  useEndpoints({ "127.0.0.1:" + std::to_string(server->port()) }, 50ms);
  checkError(ErrorCode::OutcomeUnknown, transact());
  checkError(ErrorCode::Timeout, readRow("a"));
  platform.reset();
  server.reset();
}

// Guards against an outage of one endpoint that makes all requests fail.
TEST(PlatformClient, firstEndpointDown_request_usesNextAndKeepsIt)
{
  respondWith(200, R"({"committed":true,"versions":{"a":8}})");
  useEndpoints({ "127.0.0.1:1", "127.0.0.1:" + std::to_string(server->port()) });
  CHECK(transact().has_value());
  CHECK(transact().has_value());
  LONGS_EQUAL(2, requests);
}

// Guards against requests that never end while no endpoint is reachable.
TEST(PlatformClient, allEndpointsDown_request_unavailable)
{
  useEndpoints({ "127.0.0.1:1", "127.0.0.1:2" });
  checkError(ErrorCode::Unavailable, transact());
  checkError(ErrorCode::Unavailable, readRow("a"));
}

// Guards against keys with special characters that are not percent-encoded.
TEST(PlatformClient, row_keyWithSpecialCharacters_found)
{
  respondWith(200, R"({"key":"claim/a&b=?%/é","version":3,"value":"v"})");
  const auto row = readRow("claim/a&b=?%/é");
  LONGS_EQUAL(3, row.value()->version);
  STRCMP_EQUAL("v", row.value()->value.c_str());
  STRCMP_EQUAL("claim/a&b=?%/é", received.query.at("key").c_str());
}

// Guards against reporting an absent row as an error, or an error as an absent row.
TEST(PlatformClient, row_absentOrMalformed_areDistinguished)
{
  respondWith(404, "");
  CHECK_FALSE(readRow("a").value().has_value());
  respondWith(200, R"({"key":"b","version":3,"value":"v"})");
  checkError(ErrorCode::Malformed, readRow("a"));
  respondWith(200, R"({"key":"a","version":0,"value":"v"})");
  checkError(ErrorCode::Malformed, readRow("a"));
  respondWith(503, "");
  checkError(ErrorCode::Unavailable, readRow("a"));
}

// Guards against returning rows that are unsorted, outside the prefix or repeated.
TEST(PlatformClient, rows_listed_sortedAndChecked)
{
  auto rows = [&](const char* aBody) {
    respondWith(200, aBody);
    return wait<std::vector<Row>>([&](auto aDone) { platform->readRows("p/", aDone); });
  };
  const auto good = rows(
    R"({"rows":[{"key":"p/b","version":2,"value":""},{"key":"p/a","version":1,"value":"x"}]})");
  LONGS_EQUAL(2, good.value().size());
  STRCMP_EQUAL("p/a", good.value().front().key.c_str());
  STRCMP_EQUAL("p/", received.query.at("prefix").c_str());
  checkError(ErrorCode::Malformed,
             rows(R"({"rows":[{"key":"q","version":2,"value":""}]})"));
  checkError(ErrorCode::Malformed, rows(R"({"rows":[{"key":"p/a","version":2,"value":""},
                              {"key":"p/a","version":2,"value":""}]})"));
  checkError(ErrorCode::Malformed, rows(R"({"rows":{}})"));
}

// Guards against objects whose bytes are changed by writing or reading them.
TEST(PlatformClient, object_binaryBytes_storedAndRead)
{
  const std::string bytes("a\0b\xff{}", 6);
  std::map<std::string, std::string> objects;
  serve([&](const std::shared_ptr<http::Exchange>& aExchange) {
    const auto& request = aExchange->request();
    if (request.method == "PUT") {
      objects[request.path] = request.body;
      aExchange->respond({ 201, {}, "" });
    } else if (objects.count(request.path) > 0) {
      aExchange->respond({ 200, {}, objects[request.path] });
    } else {
      aExchange->respond({ 404, {}, "" });
    }
  });
  auto read = [&](const std::string& aKey) {
    return wait<std::optional<std::string>>(
      [&](auto aDone) { platform->readObject(aKey, aDone); });
  };
  CHECK(wait<bool>([&](auto aDone) {
          platform->putObject("config/x y", bytes, aDone);
        }).value());
  CHECK(bytes == *read("config/x y").value());
  CHECK_FALSE(read("config/other").value().has_value());
}

// Guards against accepting a host with an unknown state.
TEST(PlatformClient, hosts_listed_statesChecked)
{
  auto hosts = [&](const char* aBody) {
    respondWith(200, aBody);
    return wait<std::vector<HostEntry>>([&](auto aDone) { platform->readHosts(aDone); });
  };
  const auto good = hosts(R"({"hosts":[{"name":"h1","data_centre":"xela","state":"live"},
                                       {"name":"h2","data_centre":"toto","state":"leaving"}]})");
  LONGS_EQUAL(2, good.value().size());
  CHECK(good.value()[1].state == HostState::Leaving);
  checkError(ErrorCode::Malformed,
             hosts(R"({"hosts":[{"name":"h1","data_centre":"xela","state":"odd"}]})"));
}

// Guards against a client that uses its members after the completion has destroyed it.
TEST(PlatformClient, completion_destroysClient_isSafe)
{
  respondWith(200, R"({"hosts":[]})");
  bool done = false;
  platform->readHosts([&](const auto&) {
    platform.reset();
    done = true;
  });
  while (!done) {
    loop->runOnce(true);
  }
  CHECK(platform == nullptr);
}
