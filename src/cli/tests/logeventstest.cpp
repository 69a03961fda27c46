#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "cli/internal/explanation.h"
#include "cli/internal/logevents.h"
#include "cli/internal/requestsummary.h"

using namespace savoryrill;
using namespace savoryrill::cli;

TEST_GROUP(LogEvents)
{
  std::string path = "/tmp/savoryrill-logevents-test.log";

  void teardown() override
  {
    std::remove(path.c_str());
  }

  LogEvents read(const std::string& aText)
  {
    std::ofstream(path) << aText;
    return readLogs({ path }).value();
  }

  static std::string line(const std::string& aProcess,
                          int aSequence,
                          int aTime,
                          const std::string& aName,
                          const std::string& aFields)
  {
    return R"({"time_ms":)" + std::to_string(aTime) + R"(,"process":")" + aProcess +
           R"(","sequence":)" + std::to_string(aSequence) + R"(,"event":1,"name":")" +
           aName + "\"" + (aFields.empty() ? "" : "," + aFields) + "}\n";
  }

  static std::string names(const std::vector<Json::Value>& aEvents)
  {
    std::string result;
    for (const auto& event : aEvents) {
      result += (result.empty() ? "" : " ") + event["name"].asString();
    }
    return result;
  }
};

// Guards against a jump of a host's clock that puts its later events first.
TEST(LogEvents, ClockJumpsBack_OrderOfAProcessIsKept)
{
  const auto logs =
    read(line("g@a", 1, 1000, "call-waits", "") + line("g@b", 1, 1500, "order-sent", "") +
         line("g@a", 2, 400, "call-refused", ""));
  STRCMP_EQUAL("call-waits call-refused order-sent", names(logs.events).c_str());
}

TEST(LogEvents, LinesWithPrefixAndForeignLines_EventsAreRead)
{
  const auto logs = read("  3.5 edge-1 " + line("g@a", 1, 1, "gateway-ready", "") +
                         "no event\n{broken\n");
  LONGS_EQUAL(1, logs.events.size());
  LONGS_EQUAL(2, logs.unreadableLines);
  CHECK_FALSE(readLogs({ "/nonexistent" }).has_value());
}

// A refused request: what the leader did for its model meanwhile belongs to it, other
// requests and models do not.
TEST(LogEvents, RefusedRequest_OrdersForItsModelAreShownAndConcluded)
{
  const auto logs =
    read(line("g@lead", 1, 900, "order-sent", R"("model":"m","upstream":"u9")") +
         line("g@a",
              5,
              1000,
              "call-waits",
              R"("call":"r1","model":"m/a1","ready_in_ms":"2100")") +
         line("g@lead", 2, 1010, "order-sent", R"("model":"m","upstream":"u1")") +
         line("g@lead", 3, 1020, "order-sent", R"("model":"n","upstream":"u2")") +
         line("g@a", 6, 1030, "call-finished", R"("call":"r2","model":"m")") +
         line("g@a", 7, 1040, "store-lost", "") + line("g@b", 7, 1040, "store-lost", "") +
         line("g@a",
              8,
              4000,
              "call-refused",
              R"("call":"r1","model":"m/a1","reason":"model-not-in-time","ran":"no")"));
  const auto events = eventsAround(logs.events, "r1");
  STRCMP_EQUAL("call-waits order-sent store-lost call-refused", names(events).c_str());
  STRCMP_EQUAL("request r1 was refused by g@a: model-not-in-time; it did not run after "
               "waiting: its model was expected in 2100 ms",
               concludeRequest(events, "r1").c_str());
}

TEST(LogEvents, StreamBrokeOff_UpstreamsEndIsShown)
{
  const auto logs = read(
    line("g@a", 1, 1, "send-failed", R"("call":"r1","upstream":"u1","reason":"broken")") +
    line("g@a", 2, 2, "upstream-listed", R"("upstream":"u1","change":"vanished")") +
    line("g@a", 3, 3, "upstream-listed", R"("upstream":"u2","change":"vanished")") +
    line(
      "g@a", 4, 4, "call-cut", R"("call":"r1","upstream":"u1","reason":"not resumed")"));
  const auto events = eventsAround(logs.events, "r1");
  STRCMP_EQUAL("send-failed upstream-listed call-cut", names(events).c_str());
  STRCMP_EQUAL("request r1 was given up: not resumed",
               concludeRequest(events, "r1").c_str());
  LONGS_EQUAL(0, eventsAround(logs.events, "unknown").size());
}

// Guards against an engineer who cannot tell whether requests wait here or at upstreams.
TEST(LogEvents, RequestsOfTwoRoutes_TimesAndReasonsAreSummarised)
{
  std::string text;
  for (int at = 1; at <= 11; ++at) {
    text += line("g@a",
                 at,
                 at,
                 "call-finished",
                 R"("route":"r","sends":")" + std::to_string(at > 9 ? 2 : 1) +
                   R"(","waited_ms":")" + std::to_string(at * 100) + R"(","after_ms":")" +
                   std::to_string(at * 100 + 50) + "\"");
  }
  text += line("g@a", 20, 20, "call-refused", R"("route":"r","reason":"overloaded")");
  text += line("g@a", 21, 21, "call-refused", R"("route":"r","reason":"overloaded")");
  text += line("g@a", 22, 22, "call-cut", R"("route":"s")");
  text += line("g@a", 23, 23, "call-left", R"("route":"s")");
  text += line("g@a", 24, 24, "call-refused", R"("reason":"no-route")");
  const auto routes = summarizeRequests(read(text).events);
  LONGS_EQUAL(3, routes.size());
  STRCMP_EQUAL("-", routes[0].route.c_str());
  LONGS_EQUAL(11, routes[1].answered);
  LONGS_EQUAL(13, routes[1].requests());
  LONGS_EQUAL(2, routes[1].sentAgain);
  LONGS_EQUAL(2, routes[1].refused.at("overloaded"));
  LONGS_EQUAL(2, routes[2].requests());
  std::ostringstream out;
  printSummary(routes, out);
  CHECK_TRUE(out.str().find("600/1000") != std::string::npos);
  CHECK_TRUE(out.str().find("50/50") != std::string::npos);
  const auto json = summaryJson(routes);
  LONGS_EQUAL(600, json["routes"][1]["waited_p50_ms"].asInt());
  LONGS_EQUAL(2, json["routes"][1]["refused"]["overloaded"].asInt());
}

// Guards against an engineer who cannot tell late first events from pauses, which show
// that the batch of an engine is too large.
TEST(LogEvents, Streams_FirstEventsAndPausesAreSummarised)
{
  std::string text;
  for (int at = 1; at <= 11; ++at) {
    text += line(
      "g@a",
      at,
      at,
      "call-finished",
      R"("route":"r","sends":"1","waited_ms":"100","after_ms":"2000","first_event_ms":")" +
        std::to_string(100 + at) + R"(","longest_pause_ms":")" + std::to_string(at * 10) +
        "\"");
  }
  text += line("g@a",
               12,
               12,
               "call-finished",
               R"("route":"r","sends":"2","waited_ms":"900","after_ms":"2000",)"
               R"("first_event_ms":"150","longest_pause_ms":"800")");
  const auto routes = summarizeRequests(read(text).events);
  const auto json = summaryJson(routes);
  LONGS_EQUAL(6, json["routes"][0]["first_event_p50_ms"].asInt());
  LONGS_EQUAL(10, json["routes"][0]["first_event_p90_ms"].asInt());
  LONGS_EQUAL(60, json["routes"][0]["longest_pause_p50_ms"].asInt());
  std::ostringstream out;
  printSummary(routes, out);
  CHECK_TRUE(out.str().find("60/100") != std::string::npos);
}

TEST(LogEvents, NoRequests_SummaryIsEmpty)
{
  LONGS_EQUAL(0,
              summarizeRequests(read(line("g@a", 1, 1, "store-lost", "")).events).size());
}
