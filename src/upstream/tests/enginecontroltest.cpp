#include <CppUTest/TestHarness.h>

#include "base/jsontext.h"
#include "http/server.h"
#include "upstream/enginecontrol.h"
#include "upstream/internal/enginejson.h"

using namespace savoryrill;
using namespace savoryrill::upstream;

namespace {

const char* const kInventory = R"({
  "incarnation": 18446744073709551615, "fencing_number": 12, "memory_mb": 40000,
  "leaving": true, "role": "mixed",
  "models": [
    {"model": "m", "version": "3", "state": "loaded", "footprint_mb": 14000,
     "locality": "memory", "adapters": ["x", "y"]},
    {"model": "m", "version": "4", "state": "absent", "footprint_mb": 0,
     "locality": "disk", "adapters": []}],
  "load": {"running": 2, "waiting": 1, "kv_cache_used": 0.25}})";

/// Returns the sample inventory with a part of its text replaced.
std::string
inventoryWith(const std::string& aOld, const std::string& aNew)
{
  std::string text = kInventory;
  const auto position = text.find(aOld);
  CHECK(position != std::string::npos);
  return text.replace(position, aOld.size(), aNew);
}

} // namespace

TEST_GROUP(EngineJson){};

// Guards against members that are lost or decoded into the wrong field.
TEST(EngineJson, inventory_complete_decoded)
{
  const Inventory inventory = decodeInventory(kInventory).value();
  CHECK(inventory.incarnation == 18446744073709551615U);
  LONGS_EQUAL(12, inventory.fencingNumber);
  LONGS_EQUAL(40000, inventory.memoryMb);
  CHECK(inventory.leaving);
  STRCMP_EQUAL("mixed", inventory.role.c_str());
  LONGS_EQUAL(2, inventory.models.size());
  CHECK((inventory.models[0].loadable == config::Loadable{ "m", "3" }));
  CHECK(inventory.models[0].state == ReplicaState::Loaded);
  LONGS_EQUAL(14000, inventory.models[0].footprintMb);
  LONGS_EQUAL(2, inventory.models[0].adapters.size());
  CHECK(inventory.models[1].locality == CheckpointLocality::Disk);
  LONGS_EQUAL(2, inventory.load.running);
  DOUBLES_EQUAL(0.25, inventory.load.kvCacheUsed, 0);
}

// Guards against memory accounting that uses an invalid or contradictory inventory.
TEST(EngineJson, inventory_contradictory_malformed)
{
  const std::vector<std::pair<std::string, std::string>> faults{
    { R"("version": "4")", R"("version": "3")" },
    { "14000", "-14000" },
    { "14000", "4294967296" },
    { "14000", "1.5" },
    { "40000", "-1" },
    { R"("loaded")", R"("resident")" },
    { R"("loaded")", R"("loading")" },
    { R"("loaded")", "1" },
    { R"("disk")", R"("tape")" },
    { R"("y")", R"("x")" },
    { R"("y")", R"("")" },
    { R"("model": "m")", R"("model": "")" },
    { "0.25", "1.25" },
    { "0.25", "-0.25" },
    { R"("running": 2)", R"("running": -2)" },
    { "true", "1" },
    { R"("incarnation")", R"("other")" },
    { R"("models": [)", R"("models": [7, )" },
    { R"("adapters": [])", R"("adapters": {})" },
    { R"("role": "mixed")", R"("role": null)" },
  };
  for (const auto& [old, fault] : faults) {
    const auto result = decodeInventory(inventoryWith(old, fault));
    CHECK_FALSE_TEXT(result.has_value(), fault.c_str());
    CHECK(result.error().code == ErrorCode::Malformed);
  }
}

// Guards against deeply nested JSON that exhausts the stack.
TEST(EngineJson, inventory_deeplyNested_malformed)
{
  CHECK_FALSE(decodeInventory(std::string(100000, '[')).has_value());
}

// Guards against hashes that lose digits as JSON numbers, and against events that are
// processed twice.
TEST(EngineJson, cacheEvents_lateAndUnordered_sortedAboveGivenNumber)
{
  const auto events = decodeCacheEvents(R"({"events":[
    {"sequence":9,"kind":"evicted","model":"m","version":"3","prefix_hash":"18446744073709551615"},
    {"sequence":7,"kind":"stored","model":"m","version":"3","prefix_hash":"1"},
    {"sequence":5,"kind":"stored","model":"m","version":"3","prefix_hash":"1"}]})",
                                        5)
                        .value();
  LONGS_EQUAL(2, events.size());
  LONGS_EQUAL(7, events[0].sequence);
  CHECK(events[0].stored);
  CHECK_FALSE(events[1].stored);
  CHECK(events[1].prefixHash == 18446744073709551615U);
}

// Guards against accepting cache events with an invalid hash or an unknown kind.
TEST(EngineJson, cacheEvents_invalid_malformed)
{
  for (const char* hash : { "18446744073709551616", "-1", "0x1", "", " 1" }) {
    const std::string event =
      R"({"events":[{"sequence":1,"kind":"stored","model":"m","version":"3","prefix_hash":")";
    CHECK_FALSE(decodeCacheEvents(event + hash + R"("}]})", 0).has_value());
  }
  CHECK_FALSE(
    decodeCacheEvents(
      R"({"events":[{"sequence":1,"kind":"odd","model":"m","version":"3","prefix_hash":"1"}]})",
      0)
      .has_value());
  CHECK_FALSE(decodeCacheEvents("{}", 0).has_value());
}

// Guards against an order with an unclear response that counts as refused, so that its
// memory reservation is freed.
TEST(EngineJson, orderResponses_byStatusAndCode_areDistinguished)
{
  auto check = [](OrderOutcome aExpected, int aStatus, const char* aBody) {
    STRCMP_EQUAL(std::string(nameOf(aExpected)).c_str(),
                 std::string(nameOf(decodeOrderResponse(aStatus, aBody))).c_str());
  };
  check(OrderOutcome::Accepted, 202, "{}");
  check(OrderOutcome::StaleFencing, 409, R"({"code":"stale_fencing"})");
  check(OrderOutcome::Expired, 410, R"({"code":"order_expired"})");
  check(OrderOutcome::OutOfMemory, 507, R"({"code":"out_of_memory"})");
  check(OrderOutcome::Rejected, 409, R"({"code":"other"})");
  check(OrderOutcome::Rejected, 400, "");
  check(OrderOutcome::Unknown, 200, "{}");
  check(OrderOutcome::Unknown, 500, "");
  check(OrderOutcome::Unknown, 507, "<html>");
}

TEST_GROUP(EngineControl)
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<http::Client> client;
  std::unique_ptr<http::Server> server;
  std::unique_ptr<IEngineControl> control;
  std::vector<http::Request> received;
  std::string address = "127.0.0.1:1";

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    client = std::move(http::Client::create(*loop).value());
    control = EngineControl::create(*client, 2s);
  }

  void teardown() override
  {
    control.reset();
    server.reset();
    client.reset();
    loop.reset();
  }

  void serve(http::Handler aHandler)
  {
    auto record = [this, handler = std::move(aHandler)](const auto& aExchange) {
      received.push_back(aExchange->request());
      handler(aExchange);
    };
    server = std::move(http::Server::create(*loop, {}, std::move(record)).value());
    address = "127.0.0.1:" + std::to_string(server->port());
  }

  void respondWith(int aStatus, const std::string& aBody)
  {
    serve([=](const std::shared_ptr<http::Exchange>& aExchange) {
      aExchange->respond({ aStatus, {}, aBody });
    });
  }

  OrderOutcome order(bool aMaySend = true)
  {
    Order order;
    order.orderId = "o1";
    order.kind = OrderKind::LoadAdapter;
    order.loadable = { "m", "3" };
    order.adapter = "x";
    order.footprintMb = 40;
    order.fencingNumber = 18446744073709551615U;
    std::optional<OrderOutcome> outcome;
    control->order(
      address,
      order,
      [=] { return aMaySend; },
      [&](OrderOutcome aOutcome) { outcome = aOutcome; });
    while (!outcome) {
      loop->runOnce(true);
    }
    return *outcome;
  }

  Result<Inventory> inventory()
  {
    std::optional<Result<Inventory>> result;
    control->readInventory(
      address, [&](Result<Inventory> aResult) { result = std::move(aResult); });
    while (!result) {
      loop->runOnce(true);
    }
    return std::move(*result);
  }
};

// Guards against changes of the wire format of orders.
TEST(EngineControl, order_accepted_encoded)
{
  respondWith(202, "{}");
  CHECK(order() == OrderOutcome::Accepted);
  LONGS_EQUAL(1, received.size());
  STRCMP_EQUAL("/control/orders", received.front().path.c_str());
  const auto body = parseJson(received.front().body).value();
  STRCMP_EQUAL("load_adapter", body["kind"].asCString());
  STRCMP_EQUAL("o1", body["order_id"].asCString());
  STRCMP_EQUAL("m", body["model"].asCString());
  STRCMP_EQUAL("3", body["version"].asCString());
  STRCMP_EQUAL("x", body["adapter"].asCString());
  LONGS_EQUAL(40, body["footprint_mb"].asInt());
  CHECK(body["fencing_number"].asUInt64() == 18446744073709551615U);
  LONGS_EQUAL(2000, body["ttl_ms"].asInt());
}

// Guards against an order that a former owner sends after the end of its lease.
TEST(EngineControl, order_checkFails_notSent)
{
  respondWith(202, "{}");
  CHECK(order(false) == OrderOutcome::NotSent);
  LONGS_EQUAL(0, received.size());
}

// Guards against a lease check that runs before connecting, which may take long, instead
// of after it.
TEST(EngineControl, order_engineDown_notSentAndCheckNotRun)
{
  bool checked = false;
  std::optional<OrderOutcome> outcome;
  control->order(
    address,
    {},
    [&] { return checked = true; },
    [&](OrderOutcome aOutcome) { outcome = aOutcome; });
  while (!outcome) {
    loop->runOnce(true);
  }
  CHECK(*outcome == OrderOutcome::NotSent);
  CHECK_FALSE(checked);
}

// Guards against an order that is sent twice, or that counts as refused if its response
// is lost.
TEST(EngineControl, order_responseCut_unknownAndSentOnce)
{
  respondWith(202, "{}");
  CHECK(order() == OrderOutcome::Accepted);
  received.clear();
  serve([](const std::shared_ptr<http::Exchange>& aExchange) {
    aExchange->startStream(202, {});
    aExchange->abort();
  });
  CHECK(order() == OrderOutcome::Unknown);
  LONGS_EQUAL(1, received.size());
}

// Guards against failed reads that are reported with the wrong error code.
TEST(EngineControl, inventory_responses_areDistinguished)
{
  CHECK(inventory().error().code == ErrorCode::Unavailable);
  respondWith(200, kInventory);
  LONGS_EQUAL(2, inventory().value().models.size());
  STRCMP_EQUAL("/control/inventory", received.front().path.c_str());
  respondWith(200, "{}");
  CHECK(inventory().error().code == ErrorCode::Malformed);
  respondWith(503, "");
  CHECK(inventory().error().code == ErrorCode::Unavailable);
  std::vector<std::shared_ptr<http::Exchange>> kept;
  control = EngineControl::create(*client, 50ms);
  serve([&](const auto& aExchange) { kept.push_back(aExchange); });
  CHECK(inventory().error().code == ErrorCode::Timeout);
  server.reset();
}

// Guards against reading the cache events from the first one each time.
TEST(EngineControl, cacheEvents_afterNumber_sentInQuery)
{
  respondWith(200, R"({"events":[]})");
  bool done = false;
  control->readCacheEvents(address, 41, [&](const auto& aResult) {
    CHECK(aResult.has_value());
    done = true;
  });
  while (!done) {
    loop->runOnce(true);
  }
  STRCMP_EQUAL("41", received.front().query.at("after").c_str());
}
