#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>

#include "base/eventlog.h"
#include "base/jsontext.h"
#include "base/metrics.h"
#include "base/types/baseevents.h"

using namespace savoryrill;

TEST_GROUP(EventLog){};

// Guards against events that are lost, out of order or not found by their fields.
TEST(EventLog, events_written_foundBySequenceAndField)
{
  const auto log = EventLog::createInMemory();
  log->write(kProcessStarted, { { "host", "a" }, { "count", 3 } });
  log->write(kDrainStarted, { { "host", "b" } });
  LONGS_EQUAL(2, log->eventsAfter(0).size());
  LONGS_EQUAL(2, log->eventsAfter(1).front().sequence);
  LONGS_EQUAL(1, log->eventsWith("count", "3").size());
  LONGS_EQUAL(0, log->eventsWith("host", "c").size());
}

// Guards against log lines that are not JSON, against events missing from the file, and
// against events below the minimum severity in it.
TEST(EventLog, file_eventsOfSeverity_writtenAsJsonLines)
{
  const std::string path = std::string(SAVORYRILL_BINARY_DIR) + "/basetest.log";
  std::remove(path.c_str());
  {
    constexpr std::size_t kCapacity = 1;
    const auto log =
      std::move(EventLog::create("p1", path, Severity::Info, kCapacity).value());
    log->write({ 1, Severity::Debug, "hidden", "" });
    log->write(kProcessStarted, { { "text", "line\n\"quoted\"" } });
    log->write(kDrainStarted);
    LONGS_EQUAL(1, log->eventsAfter(0).size());
  }
  std::ifstream file(path);
  std::string line;
  CHECK(std::getline(file, line).good());
  const auto event = parseJson(line).value();
  STRCMP_EQUAL("p1", event["process"].asCString());
  LONGS_EQUAL(1001, event["event"].asInt());
  STRCMP_EQUAL("line\n\"quoted\"", event["text"].asCString());
  CHECK(std::getline(file, line).good());
  CHECK_FALSE(std::getline(file, line).good());
  std::remove(path.c_str());
}

// Guards against a daemon that starts although its log file cannot be opened.
TEST(EventLog, file_notWritable_createFails)
{
  const auto log = EventLog::create("p1", "/nonexistent/log", Severity::Info);
  CHECK(log.error().code == ErrorCode::InvalidArgument);
}

TEST_GROUP(Metrics){};

// Guards against text that Prometheus cannot parse, with and without labels.
TEST(Metrics, allKinds_rendered_asPrometheusText)
{
  Metrics metrics;
  metrics.add("requests_total{code=\"200\"}", 2);
  metrics.add("requests_total{code=\"200\"}");
  metrics.set("waiting", 1.5);
  for (int sample = 1; sample <= 100; ++sample) {
    metrics.observe("wait_seconds{model=\"m\"}", sample);
  }
  LONGS_EQUAL(3, metrics.counter("requests_total{code=\"200\"}"));
  LONGS_EQUAL(0, metrics.counter("unknown"));
  const std::string text = metrics.renderPrometheus();
  for (const char* line : { "requests_total{code=\"200\"} 3\n",
                            "waiting 1.5\n",
                            "wait_seconds{model=\"m\",quantile=\"0.5\"} ",
                            "wait_seconds_count{model=\"m\"} 100\n",
                            "wait_seconds_sum{model=\"m\"} 5050\n",
                            "wait_seconds_max{model=\"m\"} 100\n" }) {
    CHECK_TEXT(text.find(line) != std::string::npos, line);
  }
}

TEST_GROUP(EnumNames){};

// Guards against names that do not convert back to their value.
TEST(EnumNames, values_namedAndReadBack_same)
{
  for (const auto& [value, name] : EnumNames<ErrorCode>::kTable) {
    CHECK(fromName<ErrorCode>(name) == value);
    CHECK(nameOf(value) == name);
  }
  CHECK_FALSE(fromName<Severity>("unknown").has_value());
  CHECK(nameOf(static_cast<Severity>(99)).empty());
}

TEST_GROUP(JsonText){};

// Guards against lenient parsing of messages from other processes.
TEST(JsonText, notStrictJson_parsed_malformed)
{
  for (const char* text :
       { "", "{", "{} x", "{\"a\":1,\"a\":2}", "// c\n{}", "{'a':1}", "[1,]" }) {
    CHECK_TEXT(!parseJson(text).has_value(), text);
  }
  CHECK_FALSE(parseJson(std::string(100000, '[')).has_value());
}

// Guards against numbers that are truncated or change their sign.
TEST(JsonText, unsignedMember_outOfRange_absent)
{
  const auto object =
    parseJson(R"({"a":-1,"b":4294967296,"c":1.5,"d":"1","e":7})").value();
  for (const char* name : { "a", "b", "c", "d", "missing" }) {
    CHECK_FALSE(unsignedMember<std::uint32_t>(object, name).has_value());
  }
  LONGS_EQUAL(7, *unsignedMember<std::uint32_t>(object, "e"));
  CHECK_FALSE(unsignedMember<std::uint32_t>(parseJson("[1]").value(), "a").has_value());
}
