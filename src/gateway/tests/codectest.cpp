#include <CppUTest/TestHarness.h>

#include <cmath>

#include "gateway/internal/confirmationcodec.h"
#include "gateway/internal/leaderrowcodec.h"
#include "gateway/internal/peercodec.h"
#include "gateway/internal/refusal.h"
#include "gateway/upstreamselector.h"

using namespace savoryrill;
using namespace savoryrill::gateway;

TEST_GROUP(GatewayCodec){};

TEST(GatewayCodec, Demand_SurvivesEncoding)
{
  HostDemand demand;
  serving::DemandItem item;
  item.model = { "m", "a1" };
  item.waiting = 2;
  item.inFlight = 3;
  item.arrivals = 4;
  item.finished = 6;
  item.firstLeavesIn = 1500ms;
  demand.items.push_back(item);
  demand.loads["u1"] = 5;
  demand.uptime = 2500ms;
  const auto decoded = decodeDemand(encodeDemand(demand));
  CHECK_TRUE(decoded.value().uptime == 2500ms);
  CHECK_TRUE(decoded.value().items[0].model == item.model);
  LONGS_EQUAL(3, decoded.value().items[0].inFlight);
  LONGS_EQUAL(6, decoded.value().items[0].finished);
  CHECK_TRUE(*decoded.value().items[0].firstLeavesIn == 1500ms);
  LONGS_EQUAL(5, decoded.value().loads.at("u1"));
  CHECK_FALSE(decodeDemand("\xff\xff").has_value());
}

TEST(GatewayCodec, ListUpdate_SurvivesEncoding)
{
  HostListUpdate list_update;
  list_update.reportNumber = 12;
  list_update.update.base = 100;
  list_update.update.version = 120;
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
  list_update.update.entries.push_back(entry);
  list_update.update.removed = { "v" };
  const auto decoded = decodeListUpdate(encodeListUpdate(list_update)).value();
  LONGS_EQUAL(12, decoded.reportNumber);
  LONGS_EQUAL(100, decoded.update.base);
  LONGS_EQUAL(120, decoded.update.version);
  const auto& copy = decoded.update.entries.at(0);
  CHECK_TRUE(copy.id == "u" && copy.group == "g" && copy.dataCentre == "z");
  CHECK_TRUE(copy.bornMs == entry.bornMs && copy.endpoint == entry.endpoint);
  CHECK_TRUE(copy.leaving && copy.leavesIn == 1500ms && copy.concurrency == 12);
  STRCMP_EQUAL("v", decoded.update.removed.at(0).c_str());
  CHECK_FALSE(decodeListUpdate("\xff\xff").has_value());
}

// Guards against connections to port 0 and list entries that cannot be found by their id.
TEST(GatewayCodec, ListUpdateWithoutPortOrId_Malformed)
{
  HostListUpdate list_update;
  serving::UpstreamEntry entry;
  entry.id = "u";
  list_update.update.entries.push_back(entry);
  CHECK_FALSE(decodeListUpdate(encodeListUpdate(list_update)).has_value());
  list_update.update.entries[0].endpoint = { "10.0.0.1", 8080 };
  CHECK_TRUE(decodeListUpdate(encodeListUpdate(list_update)).has_value());
  list_update.update.entries[0].id.clear();
  CHECK_FALSE(decodeListUpdate(encodeListUpdate(list_update)).has_value());
}

TEST(GatewayCodec, Confirmation_SurvivesEncodingAndMalformedOneFails)
{
  const HostConfirmation confirmation{ 281'474'976'710'656, 12 };
  const auto decoded = decodeConfirmation(encodeConfirmation(confirmation)).value();
  CHECK_TRUE(decoded.reportNumber == confirmation.reportNumber);
  LONGS_EQUAL(12, decoded.configVersion);
  CHECK_FALSE(decodeConfirmation("\xff\xff").has_value());
  CHECK_FALSE(decodeConfirmation("").has_value());
  CHECK_FALSE(decodeConfirmation(encodeConfirmation({ 0, 12 })).has_value());
  CHECK_FALSE(decodeConfirmation(encodeConfirmation({ 3, 0 })).has_value());
}

TEST(GatewayCodec, ReplicasAndLeaderStatus_SurviveEncoding)
{
  const std::vector<serving::ReplicaView> replicas{
    { "m", serving::ReplicaPhase::Ready, 0ms, { "a1" } },
    { "n", serving::ReplicaPhase::Loading, 900ms, {} }
  };
  CHECK_TRUE(decodeReplicas(encodeReplicas(replicas)).value() == replicas);
  LeaderStatus status;
  status.host = "h";
  status.fencingNumber = 7;
  status.hostCount = 9;
  status.readyTimes["m"] = 2s;
  status.backlogs["n"] = 3s;
  status.loads["u"] = 4;
  status.rowVersion = 12;
  status.released = true;
  status.successor = "b";
  status.limits["u"] = 1.5;
  const auto decoded = decodeLeaderStatus(encodeLeaderStatus(status));
  LONGS_EQUAL(9, decoded.value().hostCount);
  CHECK_TRUE(decoded.value().readyTimes.at("m") == 2s);
  CHECK_TRUE(decoded.value().backlogs.at("n") == 3s);
  LONGS_EQUAL(12, decoded.value().rowVersion);
  CHECK_TRUE(decoded.value().released);
  STRCMP_EQUAL("b", decoded.value().successor.c_str());
  DOUBLES_EQUAL(1.5, decoded.value().limits.at("u"), 0.001);
}

TEST(GatewayCodec, Permits_SurviveEncodingAndMalformedOnesFail)
{
  PermitMessage message;
  message.requests = { { "a", 1.5, 250ms }, { "b", 0, std::nullopt } };
  message.grants = { { "c", 2 } };
  message.unused = { { "d", 1000000 } };
  message.lifted = { "e" };
  const auto decoded = decodePermits(encodePermits(message)).value();
  LONGS_EQUAL(2, decoded.requests.size());
  STRCMP_EQUAL("a", decoded.requests[0].upstream.c_str());
  DOUBLES_EQUAL(1.5, decoded.requests[0].perSecond, 0.001);
  CHECK_TRUE(decoded.requests[0].age == 250ms);
  CHECK_FALSE(decoded.requests[1].age.has_value());
  STRCMP_EQUAL("c", decoded.grants.at(0).upstream.c_str());
  LONGS_EQUAL(2, decoded.grants.at(0).count);
  CHECK_TRUE(decoded.unused.at(0).count < 1000); // more than a host can have
  STRCMP_EQUAL("e", decoded.lifted.at(0).c_str());
  CHECK_FALSE(decodePermits("\xff\xff").has_value());
  for (const double rate : { -1.0, std::nan(""), HUGE_VAL }) {
    message.requests = { { "a", rate, std::nullopt } };
    CHECK_FALSE(decodePermits(encodePermits(message)).has_value());
  }
  message.requests = { { "", 1.0, std::nullopt } };
  CHECK_FALSE(decodePermits(encodePermits(message)).has_value());
}

TEST(GatewayCodec, LeaderRow_SurvivesEncodingAndMalformedOneFails)
{
  const serving::LeaderRow row{ "h", "127.0.0.1:1", "t", true, 0, "b" };
  const auto decoded = decodeLeaderRow(encodeLeaderRow(row));
  STRCMP_EQUAL("h", decoded.value().host.c_str());
  CHECK_TRUE(decoded.value().released);
  STRCMP_EQUAL("b", decoded.value().successor.c_str());
  // Rows of older builds name no successor.
  const auto older = decodeLeaderRow(
    R"({"host":"h","endpoint":"127.0.0.1:1","term":"t","released":true})");
  STRCMP_EQUAL("", older.value().successor.c_str());
  CHECK_FALSE(decodeLeaderRow("").has_value());
  CHECK_FALSE(decodeLeaderRow(R"({"host":"h"})").has_value());
}

// Guards against a status that says 'not run' for a request that may have run.
TEST(GatewayCodec, RequestMayHaveRun_StatusDoesNotDenyIt)
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

TEST_GROUP(UpstreamSelector)
{
  UpstreamSelector selector{ "z", 1 };
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
    selector.directory().update(entry, now, changes);
  }

  std::optional<std::string> choose(const std::string& aModel = "")
  {
    return selector.choose({ &group, { aModel, "" }, "", {} }, now);
  }
};

// Load pattern: a busy model with replicas of unequal load. Guards against one replica
// getting most requests while others are idle.
TEST(UpstreamSelector, OtherHostsLoadOneReplica_RequestsGoToTheOther)
{
  add("u1", "m");
  add("u2", "m");
  selector.recordLeaderUpdate(now);
  selector.setLoads({ { "u1", 12 }, { "u2", 1 } });
  for (int at = 0; at < 4; ++at) {
    STRCMP_EQUAL("u2", choose("m")->c_str());
    selector.recordStart("u2", now);
  }
}

// Load pattern: all replicas of a model are full. Guards against requests that queue at
// one engine until their callers disconnect, while another replica gets a free slot.
TEST(UpstreamSelector, HostsTogetherFillAllReplicas_NoneIsChosen)
{
  add("u1", "m");
  add("u2", "m");
  selector.recordLeaderUpdate(now);
  selector.setLoads({ { "u1", 8 }, { "u2", 8 } });
  CHECK_FALSE(choose("m").has_value());
  selector.setLoads({ { "u1", 8 }, { "u2", 7 } });
  STRCMP_EQUAL("u2", choose("m")->c_str());
  selector.setLoads({ { "u1", 8 }, { "u2", 8 } });
  now += 5s; // loads reported by a leader that is gone expire
  CHECK_TRUE(choose("m").has_value());
}

// Guards against the use of a previous leader's views after a change of leaders.
TEST(UpstreamSelector, LeaderIsReplaced_UpstreamListIsUsedAgain)
{
  add("u1", "m");
  selector.recordLeaderUpdate(now);
  selector.setReplicas("u1", {});
  CHECK_FALSE(choose("m").has_value());
  selector.clearReplicas();
  CHECK_TRUE(choose("m").has_value());
}

// Guards against requests for a model that the engine is unloading, which an upstream
// list read before the leader's last update still shows as loaded.
TEST(UpstreamSelector, LeaderReportsUnloading_NotChosenUntilListIsReadAgain)
{
  add("u1", "m");
  selector.recordLeaderUpdate(now);
  selector.setReplicas("u1", { { "m", serving::ReplicaPhase::Unloading, 0ms, {} } });
  CHECK_FALSE(choose("m").has_value());
  now += 10s; // without a leader the upstream list is used, if it is newer
  CHECK_FALSE(choose("m").has_value());
  selector.recordListRead(now);
  CHECK_TRUE(choose("m").has_value());
}

// Guards against requests for models that engines have unloaded long ago: hosts that
// receive updates from the leader rarely read the list, and cannot read it while the
// store is unreachable.
TEST(UpstreamSelector, StoreAndLeaderUnavailable_LastViewsAreUsedNotTheOlderList)
{
  add("u1", "m");
  selector.recordListRead(now);
  now += 30s;
  selector.recordLeaderUpdate(now);
  selector.setReplicas("u1", { { "n", serving::ReplicaPhase::Ready, 0ms, {} } });
  now += 5s;
  CHECK_FALSE(choose("m").has_value());
  CHECK_TRUE(choose("n").has_value());
}

// Guards against callers that wait for a model while no leader orders loads.
TEST(UpstreamSelector, LeaderIsSilentForLong_ExpectedTimesExpire)
{
  const serving::ModelKey model{ "m", "" };
  selector.recordLeaderUpdate(now);
  selector.setReadyTimes({ { "m", 2s } }, now);
  CHECK_TRUE(selector.timeUntilReady({ &group, model, "", {} }, now) == 2s);
  CHECK_FALSE(selector.leaderIsUnavailable(now));
  now += 3s;
  CHECK_FALSE(selector.timeUntilReady({ &group, model, "", {} }, now).has_value());
  CHECK_FALSE(selector.leaderIsUnavailable(now)); // another leader may still take over
  now += 2s;
  CHECK_TRUE(selector.leaderIsUnavailable(now));
}

// Upstreams are found by an index on their models, so that the cost of a choice does not
// grow with the number of upstreams. Guards against an index that misses changed views.
TEST(UpstreamSelector, ViewsChange_UpstreamsAreFoundByModel)
{
  add("u1");
  add("u2");
  selector.recordListRead(now);
  selector.recordLeaderUpdate(now);
  selector.setReplicas("u1", { { "m", serving::ReplicaPhase::Ready, 0ms, {} } });
  selector.setReplicas("u2", { { "n", serving::ReplicaPhase::Ready, 0ms, {} } });
  STRCMP_EQUAL("u1", choose("m")->c_str());
  STRCMP_EQUAL("u2", choose("n")->c_str());
  selector.setReplicas("u1", { { "n", serving::ReplicaPhase::Ready, 0ms, {} } });
  CHECK_FALSE(choose("m").has_value());
  selector.directory().remove("u2", now, changes);
  selector.removeUpstream("u2");
  STRCMP_EQUAL("u1", choose("n")->c_str());
}

TEST(UpstreamSelector, UpstreamFailsRepeatedly_AnotherIsChosen)
{
  add("u1");
  add("u2");
  for (int at = 0; at < 6; ++at) {
    selector.recordStart("u1", now);
    selector.recordFailure("u1", now);
    selector.recordEnd("u1");
  }
  for (int at = 0; at < 10; ++at) {
    STRCMP_EQUAL("u2", choose()->c_str());
  }
}

TEST(UpstreamSelector, RequestDeclined_UpstreamNotChosenDuringBackoff)
{
  add("u1", "m");
  selector.recordDecline("u1", { "m", "" }, now);
  CHECK_FALSE(choose("m").has_value());
  now += 1s;
  CHECK_TRUE(choose("m").has_value());
}

TEST(UpstreamSelector, UpstreamIsFull_NotChosen)
{
  add("u1");
  for (int at = 0; at < 8; ++at) {
    selector.recordStart("u1", now);
  }
  CHECK_FALSE(choose().has_value());
  selector.recordEnd("u1");
  CHECK_TRUE(choose().has_value());
}
