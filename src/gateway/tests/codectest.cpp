#include <CppUTest/TestHarness.h>

#include "gateway/internal/eventstream.h"
#include "gateway/internal/leaderrowcodec.h"
#include "gateway/internal/peercodec.h"
#include "gateway/internal/refusal.h"
#include "gateway/upstreamboard.h"

using namespace savoryrill;
using namespace savoryrill::gateway;

TEST_GROUP(GatewayCodec){};

TEST(GatewayCodec, EventsArriveInPieces_OnlyWholeOnesAreReturned)
{
  EventStream events;
  STRCMP_EQUAL("", events.take("id: 1\nda").c_str());
  STRCMP_EQUAL("id: 1\ndata: a\n\n", events.take("ta: a\n\nid: 2\n").c_str());
  STRCMP_EQUAL("1", events.lastId().c_str());
  CHECK_TRUE(events.hasPartial());
  events.dropPartial();
  STRCMP_EQUAL("id:3\r\ndata: c\r\n\r\n", events.take("id:3\r\ndata: c\r\n\r\n").c_str());
  STRCMP_EQUAL("3", events.lastId().c_str());
}

TEST(GatewayCodec, Demand_SurvivesEncoding)
{
  HostDemand demand;
  serving::DemandItem item;
  item.model = { "m", "a1" };
  item.waiting = 2;
  item.inFlight = 3;
  item.arrivals = 4;
  item.finished = 6;
  item.deadline = 1500ms;
  demand.items.push_back(item);
  demand.loads["u1"] = 5;
  const auto decoded = decodeDemand(encodeDemand(demand));
  CHECK_TRUE(decoded.value().items[0].model == item.model);
  LONGS_EQUAL(3, decoded.value().items[0].inFlight);
  LONGS_EQUAL(6, decoded.value().items[0].finished);
  CHECK_TRUE(*decoded.value().items[0].deadline == 1500ms);
  LONGS_EQUAL(5, decoded.value().loads.at("u1"));
  CHECK_FALSE(decodeDemand("\xff\xff").has_value());
}

TEST(GatewayCodec, ListNews_SurviveEncoding)
{
  ListNews news;
  news.stamp = 12;
  news.update.base = 100;
  news.update.version = 120;
  serving::UpstreamEntry entry;
  entry.id = "u";
  entry.bornMs = 1'790'000'000'000;
  entry.group = "g";
  entry.dataCentre = "z";
  entry.endpoint = { "10.0.0.1", 8080 };
  entry.concurrency = 12;
  entry.leaving = true;
  entry.leavesIn = 1500ms;
  entry.rowVersion = 115;
  news.update.entries.push_back(entry);
  news.update.removed = { "v" };
  const auto decoded = decodeListNews(encodeListNews(news)).value();
  LONGS_EQUAL(12, decoded.stamp);
  LONGS_EQUAL(100, decoded.update.base);
  LONGS_EQUAL(120, decoded.update.version);
  const auto& copy = decoded.update.entries.at(0);
  CHECK_TRUE(copy.id == "u" && copy.group == "g" && copy.dataCentre == "z");
  CHECK_TRUE(copy.bornMs == entry.bornMs && copy.endpoint == entry.endpoint);
  CHECK_TRUE(copy.leaving && copy.leavesIn == 1500ms && copy.concurrency == 12);
  STRCMP_EQUAL("v", decoded.update.removed.at(0).c_str());
  CHECK_FALSE(decodeListNews("\xff\xff").has_value());
}

// Guards against connections to port 0 and entries that cannot be found again.
TEST(GatewayCodec, ListNewsWithoutPort_Malformed)
{
  ListNews news;
  serving::UpstreamEntry entry;
  entry.id = "u";
  news.update.entries.push_back(entry);
  CHECK_FALSE(decodeListNews(encodeListNews(news)).has_value());
}

TEST(GatewayCodec, ReplicasAndNews_SurviveEncoding)
{
  const std::vector<serving::ReplicaView> replicas{
    { "m", serving::ReplicaPhase::Ready, 0ms, { "a1" } },
    { "n", serving::ReplicaPhase::Loading, 900ms, {} }
  };
  CHECK_TRUE(decodeReplicas(encodeReplicas(replicas)).value() == replicas);
  LeaderNews news;
  news.host = "h";
  news.fencing = 7;
  news.hosts = 9;
  news.waits["m"] = 2s;
  news.queues["n"] = 3s;
  news.loads["u"] = 4;
  news.rowVersion = 12;
  news.released = true;
  const auto decoded = decodeLeaderNews(encodeLeaderNews(news));
  LONGS_EQUAL(9, decoded.value().hosts);
  CHECK_TRUE(decoded.value().waits.at("m") == 2s);
  CHECK_TRUE(decoded.value().queues.at("n") == 3s);
  LONGS_EQUAL(12, decoded.value().rowVersion);
  CHECK_TRUE(decoded.value().released);
}

TEST(GatewayCodec, LeaderRow_SurvivesEncodingAndBrokenOneFails)
{
  const serving::LeaderRow row{ "h", "127.0.0.1:1", "t", true, 0 };
  const auto decoded = decodeLeaderRow(encodeLeaderRow(row));
  STRCMP_EQUAL("h", decoded.value().host.c_str());
  CHECK_TRUE(decoded.value().released);
  CHECK_FALSE(decodeLeaderRow("").has_value());
  CHECK_FALSE(decodeLeaderRow(R"({"host":"h"})").has_value());
}

// Guards against a status that promises 'not run' for a request that may have run.
TEST(GatewayCodec, RequestMayHaveRun_StatusPromisesNothing)
{
  using serving::RefusalReason;
  for (const auto& [reason, name] : EnumNames<RefusalReason>::kTable) {
    const auto refusal = refusalFor(reason, true, 1s);
    CHECK_TRUE(refusal.status != 503 && refusal.status != 429 && refusal.status != 408);
    CHECK_FALSE(refusal.retryAfter.has_value());
  }
  CHECK_TRUE(*refusalFor(RefusalReason::ModelNotInTime, false, 3s).retryAfter == 3s);
  CHECK_TRUE(*refusalFor(RefusalReason::NoLeader, false, std::nullopt).retryAfter == 2s);
}

TEST_GROUP(UpstreamBoard)
{
  UpstreamBoard board{ "z", 1 };
  serving::UpstreamGroup group;
  Instant now{ 100s };
  std::vector<serving::DirectoryChange> changes;

  void setup() override
  {
    group.name = "g";
  }

  void add(const std::string& aId, const std::string& aModel = "")
  {
    serving::UpstreamEntry entry;
    entry.id = aId;
    entry.group = "g";
    entry.dataCentre = "z";
    entry.concurrency = 8;
    if (!aModel.empty()) {
      entry.engine.models.push_back({ aModel, 1, {} });
    }
    board.directory().update(entry, now, changes);
  }

  std::optional<std::string> choose(const std::string& aModel = "")
  {
    return board.choose({ &group, { aModel, "" }, "", {} }, now);
  }
};

// Load pattern: a busy model with copies of unequal load. Guards against a copy that gets
// most requests while others are idle.
TEST(UpstreamBoard, OtherHostsLoadOneCopy_RequestsGoToTheOther)
{
  add("u1", "m");
  add("u2", "m");
  board.leaderHeard(now);
  board.setLoads({ { "u1", 12 }, { "u2", 1 } });
  for (int at = 0; at < 4; ++at) {
    STRCMP_EQUAL("u2", choose("m")->c_str());
    board.sent("u2", now);
  }
}

// Load pattern: all copies of a model are full. Guards against requests that queue at one
// engine until their callers leave, while they could go to the copy that frees a place.
TEST(UpstreamBoard, HostsTogetherFillAllCopies_RequestWaitsHere)
{
  add("u1", "m");
  add("u2", "m");
  board.leaderHeard(now);
  board.setLoads({ { "u1", 8 }, { "u2", 8 } });
  CHECK_FALSE(choose("m").has_value());
  board.setLoads({ { "u1", 8 }, { "u2", 7 } });
  STRCMP_EQUAL("u2", choose("m")->c_str());
  board.setLoads({ { "u1", 8 }, { "u2", 8 } });
  now += 5s; // loads told by a leader that has gone are not kept for good
  CHECK_TRUE(choose("m").has_value());
}

// Guards against the views of a leader that has been followed by another.
TEST(UpstreamBoard, LeaderIsFollowedByAnother_ListCountsAgain)
{
  add("u1", "m");
  board.leaderHeard(now);
  board.setReplicas("u1", {});
  CHECK_FALSE(choose("m").has_value());
  board.forgetReplicas();
  CHECK_TRUE(choose("m").has_value());
}

TEST(UpstreamBoard, LeaderSaysModelIsBeingUnloaded_NotChosenWhileFresh)
{
  add("u1", "m");
  board.leaderHeard(now);
  board.setReplicas("u1", { { "m", serving::ReplicaPhase::Unloading, 0ms, {} } });
  CHECK_FALSE(choose("m").has_value());
  now += 10s; // without the leader the platform's list counts, if it is newer
  CHECK_FALSE(choose("m").has_value());
  board.enginesRead(now);
  CHECK_TRUE(choose("m").has_value());
}

// Guards against requests for models that engines have unloaded long since: hosts that
// are told what changes read the list seldom, and not at all while the store is away.
TEST(UpstreamBoard, StoreIsAwayAndLeaderGone_LastViewsCountAndNotTheOlderList)
{
  add("u1", "m");
  board.enginesRead(now);
  now += 30s;
  board.leaderHeard(now);
  board.setReplicas("u1", { { "n", serving::ReplicaPhase::Ready, 0ms, {} } });
  now += 5s;
  CHECK_FALSE(choose("m").has_value());
  CHECK_TRUE(choose("n").has_value());
}

// Guards against callers who wait in vain while nobody orders loads.
TEST(UpstreamBoard, LeaderIsSilentForLong_ExpectedTimesAreForgotten)
{
  const serving::ModelKey model{ "m", "" };
  board.leaderHeard(now);
  board.setWaits({ { "m", 2s } }, now);
  CHECK_TRUE(board.readyIn({ &group, model, "", {} }, now) == 2s);
  CHECK_FALSE(board.leaderIsAway(now));
  now += 3s;
  CHECK_FALSE(board.readyIn({ &group, model, "", {} }, now).has_value());
  CHECK_FALSE(board.leaderIsAway(now)); // as long as another may follow
  now += 2s;
  CHECK_TRUE(board.leaderIsAway(now));
}

// Guards against costs that grow with the upstreams: copies are found by their model.
TEST(UpstreamBoard, ViewsChange_CopiesAreFoundByModel)
{
  add("u1");
  add("u2");
  board.enginesRead(now);
  board.leaderHeard(now);
  board.setReplicas("u1", { { "m", serving::ReplicaPhase::Ready, 0ms, {} } });
  board.setReplicas("u2", { { "n", serving::ReplicaPhase::Ready, 0ms, {} } });
  STRCMP_EQUAL("u1", choose("m")->c_str());
  STRCMP_EQUAL("u2", choose("n")->c_str());
  board.setReplicas("u1", { { "n", serving::ReplicaPhase::Ready, 0ms, {} } });
  CHECK_FALSE(choose("m").has_value());
  board.directory().remove("u2", now, changes);
  board.forget("u2");
  STRCMP_EQUAL("u1", choose("n")->c_str());
}

TEST(UpstreamBoard, UpstreamFailsRepeatedly_OthersAreChosen)
{
  add("u1");
  add("u2");
  for (int at = 0; at < 6; ++at) {
    board.sent("u1", now);
    board.failed("u1", now);
    board.ended("u1");
  }
  for (int at = 0; at < 10; ++at) {
    STRCMP_EQUAL("u2", choose()->c_str());
  }
}

TEST(UpstreamBoard, Declined_NotAskedAgainForAWhile)
{
  add("u1", "m");
  board.declined("u1", { "m", "" }, now);
  CHECK_FALSE(choose("m").has_value());
  now += 1s;
  CHECK_TRUE(choose("m").has_value());
}

TEST(UpstreamBoard, BatchIsFull_NotChosen)
{
  add("u1");
  for (int at = 0; at < 8; ++at) {
    board.sent("u1", now);
  }
  CHECK_FALSE(choose().has_value());
  board.ended("u1");
  CHECK_TRUE(choose().has_value());
}
