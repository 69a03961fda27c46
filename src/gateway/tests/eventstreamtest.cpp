#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "gateway/internal/eventstream.h"

using namespace savoryrill;
using namespace savoryrill::gateway;

TEST_GROUP(EventStream){
  /// Checks that `aText` passes unchanged, whole and split at every byte, and that no
  /// part of an event is left over.
  static void passes(const std::string& aText){
    for (std::size_t split = 0; split <= aText.size(); ++split){ EventStream events;
auto passed = events.take(aText.substr(0, split));
passed += events.take(aText.substr(split));
STRCMP_EQUAL(aText.c_str(), passed.c_str());
CHECK_FALSE(events.fault().has_value());
CHECK_FALSE(events.hasPartial());
}
}

/// Checks that of `aSound` followed by `aSpoilt` only the sound part passes, whole and
/// split at every byte.
static void
stopsAt(const std::string& aSound, const std::string& aSpoilt, StreamFault aFault)
{
  const auto text = aSound + aSpoilt;
  for (std::size_t split = 0; split <= text.size(); ++split) {
    EventStream events;
    auto passed = events.take(text.substr(0, split));
    passed += events.take(text.substr(split));
    passed += events.take("id: 99\ndata: after\n\n");
    STRCMP_EQUAL(aSound.c_str(), passed.c_str());
    CHECK_TRUE(events.fault() == aFault);
    CHECK_FALSE(events.hasPartial());
  }
}
}
;

// Guards against forwarding a part of an event, after which a stream cannot be resumed.
TEST(EventStream, EventsArriveInPieces_OnlyCompleteOnesAreReturned)
{
  EventStream events;
  STRCMP_EQUAL("", events.take("id: 1\nda").c_str());
  STRCMP_EQUAL("id: 1\ndata: a\n\n", events.take("ta: a\n\nid: 2\n").c_str());
  STRCMP_EQUAL("1", events.lastId().c_str());
  LONGS_EQUAL(1, events.events());
  CHECK_TRUE(events.hasPartial());
  events.startNextResponse();
  CHECK_FALSE(events.hasPartial());
  STRCMP_EQUAL("id:3\r\ndata: c\r\n\r\n", events.take("id:3\r\ndata: c\r\n\r\n").c_str());
  STRCMP_EQUAL("3", events.lastId().c_str());
}

// Guards against sound streams that are taken for spoilt ones.
TEST(EventStream, SoundStreams_PassUnchanged)
{
  const std::vector<std::string> streams{
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
    "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\nid: 3\rdata: c\n\r", // mixed line ends
    "\xEF\xBB\xBFid: 1\ndata: a\n\n",
    ": comment\n\nid: 1\n: within\ndata: a\n\n:\n\n\n\n: at the end\n",
    "data: a\nid: 1\n\n",
    "id:1\ndata:a\ndata\ndata:  b\n\n",
    "id: 0\nevent: token\ndata: a\nretry: 500\n\nretry: 10\n\nretry\n: c\n\n",
    "event\nid: 1\ndata: b\n\n",
    "x-version:7\nid: 5\ndata: a\n\n",
    "X-Other_field: any: value\nid: 9\ndata: {\"text\":\"id: 3\\n\"}\n\n",
    "id: 3\ndata: a\n\nid: 6\ndata: b\n\nid: 7\ndata: c\n\n", // not one by one
    "id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 18446744073709551615\ndata: c\n\n",
    "id: 1\ndata: \xC3\xA9 \xE2\x82\xAC \xF0\x9F\x90\x88\n\n",
    "id: 1\ndata: HTTP/1.1 200 OK\n\n",
    "",
  };
  for (const auto& stream : streams) {
    passes(stream);
  }
}

// Guards against bytes of a faulty upstream that reach callers as events.
TEST(EventStream, SpoiltStreams_OnlyWhatPrecedesTheFaultPasses)
{
  struct Case
  {
    const char* spoilt;
    StreamFault fault;
  };
  const std::vector<Case> cases{
    { "data: b\n\n", StreamFault::MissingId },
    { "event: token\ndata: b\n\n", StreamFault::MissingId },
    { "event: token\n\n", StreamFault::MissingId },
    { "garbage: b\n\n", StreamFault::MissingId },
    { "id: 8\n\n", StreamFault::MissingData },
    { "id: 8\ndat: b\n\n", StreamFault::MissingData },
    { "id\ndata: b\n\n", StreamFault::MalformedId },
    { "id:\ndata: b\n\n", StreamFault::MalformedId },
    { "id: 8x\ndata: b\n\n", StreamFault::MalformedId },
    { "id: -8\ndata: b\n\n", StreamFault::MalformedId },
    { "id: 8.5\ndata: b\n\n", StreamFault::MalformedId },
    { "id:  8\ndata: b\n\n", StreamFault::MalformedId },
    { "id: 18446744073709551616\ndata: b\n\n", StreamFault::MalformedId },
    { "id: 7\ndata: b\n\n", StreamFault::IdNotIncreasing },
    { "id: 07\ndata: b\n\n", StreamFault::IdNotIncreasing },
    { "id: 1\ndata: b\n\n", StreamFault::IdNotIncreasing },
    { "id: 8\ndata: b\nid: 9\ndata: c\n\n", StreamFault::TwoIds },
    { "garbage\n", StreamFault::UnknownLine },
    { "gar bage: b\n", StreamFault::UnknownLine },
    { "id: 8\ndata: b\ngarbage\n\n", StreamFault::UnknownLine },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", StreamFault::UnknownLine },
    { "{\"error\":\"none\"}\n", StreamFault::UnknownLine },
    { "id: 8\ndata: \xFF\n\n", StreamFault::NotUtf8 },
    { "id: 8\ndata: \xC3\n\n", StreamFault::NotUtf8 },
    { "id: 8\ndata: \xED\xA0\x80\n\n", StreamFault::NotUtf8 }, // half of a pair
    { ": \xC0\x80\n", StreamFault::NotUtf8 },                  // an overlong form
    { "\xEF\xBB\xBFid: 8\ndata: b\n\n", StreamFault::UnknownLine },
  };
  for (const auto& item : cases) {
    stopsAt("id: 7\ndata: a\n\n", item.spoilt, item.fault);
    stopsAt("id: 7\r\ndata: a\r\n\r\n", item.spoilt, item.fault);
  }
  stopsAt("", "data: without an id\n\n", StreamFault::MissingId);
  stopsAt("", std::string("\0\n", 2), StreamFault::UnknownLine);
}

// Guards against memory that an upstream fills with one event, or with bytes between
// events, without end.
TEST(EventStream, BytesWithoutAnEventDoNotEnd_FaultAndNothingKept)
{
  const std::vector<std::string> starts{ "id: 2\ndata: ", ":", "" };
  const std::vector<std::string> parts{ "aaaaaaaa", "data: a\n", ": comment\n", "\n" };
  for (const auto& start : starts) {
    for (const auto& part : parts) {
      EventStream events;
      std::size_t passed = events.take("id: 1\ndata: a\n\n" + start).size();
      std::size_t sent = 0;
      while (!events.fault() && sent < 1'000'000) {
        sent += part.size();
        passed += events.take(part).size();
      }
      CHECK_TRUE(events.fault().has_value());
      CHECK_TRUE(sent < 300'000);
      CHECK_TRUE(passed < 300'000);
      CHECK_FALSE(events.hasPartial());
    }
  }
}

// Guards against events that a caller gets twice, or out of order, since the next
// upstream starts from the beginning.
TEST(EventStream, NextResponseStartsAgain_Fault)
{
  EventStream events;
  events.take("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  events.startNextResponse();
  STRCMP_EQUAL("", events.take("id: 1\ndata: a\n\n").c_str());
  CHECK_TRUE(events.fault() == StreamFault::IdNotIncreasing);
  events.startNextResponse();
  STRCMP_EQUAL("id: 3\ndata: c\n\n", events.take("id: 3\ndata: c\n\n").c_str());
  CHECK_FALSE(events.fault().has_value());
  STRCMP_EQUAL("3", events.lastId().c_str());
}

TEST(EventStream, CallerHasFirstEvents_OnlyLaterOnesPass)
{
  EventStream events;
  events.startAfter("7");
  STRCMP_EQUAL("", events.take("id: 7\ndata: a\n\n").c_str());
  CHECK_TRUE(events.fault() == StreamFault::IdNotIncreasing);
  EventStream unknown;
  unknown.startAfter("seven");
  STRCMP_EQUAL("id: 1\ndata: a\n\n", unknown.take("id: 1\ndata: a\n\n").c_str());
}
