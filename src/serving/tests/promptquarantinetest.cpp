#include <CppUTest/TestHarness.h>

#include "serving/promptquarantine.h"

using namespace savoryrill;
using serving::PartEvidence;
using serving::PromptQuarantine;

namespace {

constexpr const char* kDeadly = "deadly";
constexpr const char* kCommon = "common"; // first part of all prompts

} // namespace

TEST_GROUP(PromptQuarantine)
{
  PromptQuarantine quarantine{ 0.0 };
  Instant now{ std::chrono::hours(1) };
  int number = 0;

  /// An upstream of its own crashes with a request that has these parts.
  std::vector<PartEvidence> crash(PromptQuarantine & aQuarantine,
                                  std::vector<std::string> aParts,
                                  const std::string& aModel = "",
                                  const std::string& aRequest = "")
  {
    const auto id = std::to_string(++number);
    return aQuarantine.recordCrash("u" + id + "#1",
                                   { aRequest.empty() ? "r" + id : aRequest,
                                     aModel.empty() ? "m" + id : aModel,
                                     std::move(aParts) },
                                   now,
                                   now);
  }

  void crashSome(int aCount, const std::vector<std::string>& aParts)
  {
    for (int crashed = 0; crashed < aCount; ++crashed) {
      crash(quarantine, aParts);
      now += 1s;
    }
  }

  bool isRefused(PromptQuarantine & aQuarantine,
                 const std::vector<std::string>& aParts,
                 const std::string& aRequest = "new")
  {
    return aQuarantine.check(aRequest, aParts, now).has_value();
  }
  bool isRefused(const std::vector<std::string>& aParts,
                 const std::string& aRequest = "new")
  {
    return isRefused(quarantine, aParts, aRequest);
  }
};

// Guards against a prompt part that crashes one upstream after the other (incident 0004).
TEST(PromptQuarantine, PartInThreeCrashes_Quarantined)
{
  crashSome(2, { kCommon, kDeadly });
  CHECK_FALSE(isRefused({ kCommon, kDeadly }));
  quarantine.recordServed({ kCommon, "sound" }, now);
  crashSome(1, { kCommon, kDeadly });
  const auto refusal = quarantine.check("new", { kCommon, kDeadly }, now);
  CHECK_TRUE(refusal.has_value());
  STRCMP_EQUAL(kDeadly, refusal->part.c_str());
  CHECK_TRUE(refusal->remaining > 60s);
}

// Guards against refusing sound requests that begin with the same part.
TEST(PromptQuarantine, OtherPartsOfTheRequests_NotRefused)
{
  crashSome(3, { kCommon, kDeadly });
  CHECK_FALSE(isRefused({ kCommon, "sound" }));
  CHECK_FALSE(isRefused({ "sound" }));
}

// Guards against suspecting what only happened to be at the upstreams that crashed.
TEST(PromptQuarantine, BystandersOfTheCrashes_NotRefused)
{
  for (int crashed = 0; crashed < 5; ++crashed) {
    const auto upstream = "v" + std::to_string(crashed);
    const auto request = std::to_string(crashed);
    quarantine.recordCrash(upstream, { "b" + request, "m", { "bystander" } }, now, now);
    quarantine.recordCrash(
      upstream, { "d" + request, "m" + request, { kDeadly } }, now, now);
    now += 1s;
  }
  CHECK_TRUE(isRefused({ kDeadly }));
  CHECK_FALSE(isRefused({ "bystander" }));
}

// Guards against quarantines after crashes that have other causes.
TEST(PromptQuarantine, ServedBetweenCrashes_NotQuarantined)
{
  for (int crashed = 0; crashed < 20; ++crashed) {
    crashSome(2, { "popular" });
    quarantine.recordServed({ "popular" }, now);
    now += 1s;
  }
  CHECK_FALSE(isRefused({ "popular" }));
}

// Guards against a quarantine of parts that were in use when many upstreams lost power.
TEST(PromptQuarantine, ManyCrashesAtOnce_CountOnce)
{
  for (int crashed = 0; crashed < 20; ++crashed) {
    crash(quarantine, { "popular" });
    now += 5ms;
  }
  CHECK_FALSE(isRefused({ "popular" }));
}

// Guards against upstreams of a large deployment that crash so fast that the evidence
// holds only the last ones, which are close to each other.
TEST(PromptQuarantine, CrashEvery50Ms_QuarantinedWithinASecond)
{
  for (int crashed = 0; crashed < 20; ++crashed) {
    crash(quarantine, { kCommon, kDeadly });
    now += 50ms;
    quarantine.recordServed({ kCommon }, now);
  }
  CHECK_TRUE(isRefused({ kDeadly }));
}

// Guards against a quarantine when crashes follow each other and the part was just
// served.
TEST(PromptQuarantine, ServedShortlyBefore_NeedsMoreCrashes)
{
  quarantine.recordServed({ "popular" }, now);
  now += 2s;
  crashSome(5, { "popular" });
  CHECK_FALSE(isRefused({ "popular" }));
  crashSome(1, { "popular" });
  CHECK_TRUE(isRefused({ "popular" }));
}

// Guards against blaming a prompt part for what one request does to upstreams.
TEST(PromptQuarantine, SameRequestAgainAndAgain_NotQuarantined)
{
  for (int crashed = 0; crashed < 8; ++crashed) {
    crash(quarantine, { "part" }, "", "same");
    now += 1s;
  }
  CHECK_FALSE(isRefused({ "part" }));
}

// Guards against blaming a prompt part early for crashes of one model.
TEST(PromptQuarantine, CrashesOfOneModel_NeedMoreOfThem)
{
  for (int crashed = 0; crashed < 4; ++crashed) {
    crash(quarantine, { "part" }, "model");
    now += 1s;
  }
  CHECK_FALSE(isRefused({ "part" }));
  crash(quarantine, { "part" }, "model");
  CHECK_TRUE(isRefused({ "part" }));
}

// Guards against a count that grows by reports of the same crash.
TEST(PromptQuarantine, OneCrashReportedByManyHosts_CountsOnce)
{
  for (int host = 0; host < 10; ++host) {
    PromptQuarantine other{ 0.0 };
    const auto id = std::to_string(host);
    const auto evidence =
      other.recordCrash("u#1", { "r" + id, "m" + id, { "part" } }, now, now);
    quarantine.merge(evidence, now);
    now += 1s;
  }
  CHECK_FALSE(isRefused({ "part" }));
}

// Guards against a loss of protection when each host sees a few of the crashes only.
TEST(PromptQuarantine, EachHostSeesOneCrash_AllQuarantine)
{
  std::vector<PromptQuarantine> hosts(3, PromptQuarantine{ 0.0 });
  for (auto& host : hosts) {
    const auto evidence = crash(host, { kCommon, kDeadly });
    for (auto& other : hosts) {
      if (&other != &host) {
        other.merge(evidence, now);
      }
    }
    now += 1s;
  }
  for (auto& host : hosts) {
    CHECK_TRUE(isRefused(host, { kCommon, kDeadly }));
    CHECK_FALSE(isRefused(host, { kCommon, "sound" }));
  }
}

// Guards against suspecting a part that only other hosts have had served.
TEST(PromptQuarantine, AnotherHostHasServedPart_Cleared)
{
  PromptQuarantine other{ 0.0 };
  const auto evidence = crash(quarantine, { "part" });
  now += 100ms;
  other.recordServed({ "part" }, now);
  now += 3s;
  const auto merged = other.merge(evidence, now);
  LONGS_EQUAL(0, merged.changed.size());
  LONGS_EQUAL(1, merged.newer.size());
  LONGS_EQUAL(1, quarantine.merge(merged.newer, now).changed.size());
  LONGS_EQUAL(0, quarantine.evidence(now).size());
}

// Guards against messages that hosts send each other without end.
TEST(PromptQuarantine, KnownEvidence_NotPassedOn)
{
  PromptQuarantine other{ 0.0 };
  const auto evidence = crash(quarantine, { "part" });
  LONGS_EQUAL(1, other.merge(evidence, now).changed.size());
  LONGS_EQUAL(0, other.merge(evidence, now).changed.size());
  crashSome(2, { "part" });
  const auto all = quarantine.evidence(now);
  LONGS_EQUAL(1, other.merge(all, now).changed.size());
  LONGS_EQUAL(0, other.merge(all, now).changed.size());
  LONGS_EQUAL(0, quarantine.merge(other.evidence(now), now).changed.size());
}

// Guards against a host that starts anew without what the others have learned.
TEST(PromptQuarantine, NewHost_TakesQuarantineOver)
{
  crashSome(3, { kDeadly });
  PromptQuarantine fresh{ 0.0 };
  fresh.merge(quarantine.quarantined(now), now);
  CHECK_TRUE(isRefused(fresh, { kDeadly }));
}

// Guards against a quarantine without end, and against many crashes when it ends.
TEST(PromptQuarantine, QuarantineEnds_OneRequestIsLetThrough)
{
  crashSome(3, { kDeadly });
  now += std::chrono::minutes(3);
  CHECK_FALSE(isRefused({ kDeadly }, "probe"));
  CHECK_FALSE(isRefused({ kDeadly }, "probe"));
  CHECK_TRUE(isRefused({ kDeadly }, "other"));
}

TEST(PromptQuarantine, CrashAfterQuarantine_LongerQuarantine)
{
  crashSome(3, { kDeadly });
  now += std::chrono::minutes(3);
  CHECK_FALSE(isRefused({ kDeadly }, "probe"));
  crash(quarantine, { kDeadly });
  now += std::chrono::minutes(3);
  CHECK_TRUE(isRefused({ kDeadly }, "other"));
  now += std::chrono::minutes(3);
  CHECK_FALSE(isRefused({ kDeadly }, "other"));
}

TEST(PromptQuarantine, ServedAfterQuarantine_ClearedEverywhere)
{
  crashSome(3, { kDeadly });
  PromptQuarantine other{ 1.0 };
  other.merge(quarantine.evidence(now), now);
  now += 125s;
  CHECK_TRUE(isRefused(other, { kDeadly }));
  CHECK_FALSE(isRefused({ kDeadly }, "probe"));
  other.merge(quarantine.recordServed({ kDeadly }, now), now);
  CHECK_FALSE(isRefused({ kDeadly }, "second"));
  CHECK_FALSE(isRefused(other, { kDeadly }, "third"));
}

// Guards against a cleared part that a late message puts into quarantine again.
TEST(PromptQuarantine, EvidenceFromBeforeItWasServed_Ignored)
{
  crashSome(3, { kDeadly });
  const auto old = quarantine.evidence(now);
  now += std::chrono::minutes(3);
  quarantine.recordServed({ kDeadly }, now);
  now += 10ms;
  LONGS_EQUAL(0, quarantine.merge(old, now).changed.size());
  CHECK_FALSE(isRefused({ kDeadly }));
}

// Guards against a quarantine after a loss of power that a busy host notices upstream by
// upstream.
TEST(PromptQuarantine, CrashesAtOnceNoticedLate_CountOnce)
{
  const Instant crashed = now;
  for (int upstream = 0; upstream < 6; ++upstream) {
    const auto id = std::to_string(upstream);
    now += 300ms;
    quarantine.recordCrash("u" + id, { "r" + id, "m" + id, { "popular" } }, crashed, now);
  }
  CHECK_FALSE(isRefused({ "popular" }));
}

// Guards against a quarantine of a part that was served while a crash was checked.
TEST(PromptQuarantine, ServedBetweenCrashAndItsCheck_NotCounted)
{
  crashSome(2, { "popular" });
  const Instant crashed = now;
  quarantine.recordServed({ "popular" }, now + 100ms);
  now += 200ms;
  quarantine.recordCrash("late", { "late", "late", { "popular" } }, crashed, now);
  CHECK_FALSE(isRefused({ "popular" }));
  LONGS_EQUAL(0, quarantine.evidence(now).size());
}

// Guards against evidence that stays when no crash has followed.
TEST(PromptQuarantine, NoFurtherCrash_Forgotten)
{
  crashSome(2, { "part" });
  now += std::chrono::minutes(6);
  quarantine.expire(now);
  LONGS_EQUAL(0, quarantine.evidence(now).size());
  crashSome(3, { kDeadly });
  now += std::chrono::minutes(10);
  quarantine.expire(now);
  LONGS_EQUAL(0, quarantine.evidence(now).size());
}

// Guards against memory that grows with what callers send.
TEST(PromptQuarantine, ManyParts_BoundedAndQuarantineKept)
{
  crashSome(3, { kDeadly });
  for (int part = 0; part < 10000; ++part) {
    crash(quarantine, { "p" + std::to_string(part) });
    quarantine.recordServed({ "s" + std::to_string(part) }, now);
  }
  CHECK_TRUE(quarantine.evidence(now).size() <= 512);
  CHECK_TRUE(isRefused({ kDeadly }));
}

// Guards against crashes with other causes that condemn a part in constant use, since so
// many others were served that it was forgotten.
TEST(PromptQuarantine, VeryManyPartsServed_LatestRemembered)
{
  for (int part = 0; part < 8192; ++part) {
    now += 1ms;
    quarantine.recordServed({ "s" + std::to_string(part) }, now);
  }
  quarantine.recordServed({ "one more" }, now);
  now += 1500ms;
  for (int crashed = 0; crashed < 5; ++crashed) {
    crash(quarantine, { "s8191" });
    now += 300ms;
  }
  CHECK_FALSE(isRefused({ "s8191" }));
}

TEST(PromptQuarantine, Decisions_Explained)
{
  crashSome(3, { kDeadly });
  const auto decisions = quarantine.takeDecisions();
  LONGS_EQUAL(1, decisions.size());
  CHECK_TRUE(decisions[0].kind == PromptQuarantine::Decision::Kind::Quarantined);
  LONGS_EQUAL(3, decisions[0].crashes.size());
  LONGS_EQUAL(0, quarantine.takeDecisions().size());
}
