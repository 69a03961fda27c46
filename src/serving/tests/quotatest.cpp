#include <CppUTest/TestHarness.h>

#include "serving/quotaissuer.h"
#include "serving/quotaledger.h"
#include "serving/quotashare.h"

using namespace savoryrill;
using serving::Quota;
using serving::QuotaDenial;
using serving::QuotaIssuer;
using serving::QuotaLedger;
using serving::QuotaUnit;

namespace {

constexpr const char* kName = "o";
constexpr Instant kStart{ std::chrono::hours(1) };

Quota
tokens(double aPerSecond)
{
  return { aPerSecond, aPerSecond, QuotaUnit::Tokens, 200 };
}

} // namespace

TEST_GROUP(QuotaIssuer)
{
  QuotaIssuer issuer{ 0 };
  Instant now = kStart;
  std::uint64_t number = 0;

  void start(double aPerSecond)
  {
    issuer.setQuotas({ { kName, tokens(aPerSecond) } });
    issuer.restart(now);
  }

  void wait(Duration aTime, double aShare = 1)
  {
    for (const Instant end = now + aTime; now < end;) {
      now += 50ms;
      issuer.issue(aShare, now);
    }
  }

  QuotaIssuer::Issued request(double aAmount, const std::string& aHost = "h")
  {
    issuer.request(aHost, { kName, aAmount, aAmount, aAmount, ++number }, now);
    return issuer.issue(1, now);
  }

  /// Sum of what is granted in a time in which one host asks for more than its quota.
  double grantedIn(Duration aTime, double aCost)
  {
    double sum = 0;
    for (const Instant end = now + aTime; now < end; now += 5ms) {
      for (const auto& item : request(aCost).grants) {
        sum += item.grant.amount;
      }
    }
    return sum;
  }
};

// Guards against a burst by a new leader on top of that of the former one.
TEST(QuotaIssuer, BeginsToIssue_BucketIsEmpty)
{
  start(100'000);
  CHECK_TRUE(request(1'600).grants.empty());
  wait(20ms);
  CHECK_TRUE(grantedIn(1s, 1'600) <= 105'000);
}

TEST(QuotaIssuer, OneHostAsksForAll_SumIsWithinRateAndBurst)
{
  start(100'000);
  wait(5s);
  const double sum = grantedIn(8s, 1'600);
  CHECK_TRUE(sum <= 900'000 + QuotaIssuer::kDebtTokens);
  CHECK_TRUE(sum >= 880'000);
}

// Guards against requests that wait although the quota has no room soon.
TEST(QuotaIssuer, NoRoomSoon_DeniedAtOnceWithTime)
{
  start(10'000);
  const auto issued = request(4'400);
  LONGS_EQUAL(1, issued.denials.size());
  LONGS_EQUAL(440, toMs(issued.denials[0].denial.roomIn));
  LONGS_EQUAL(number, issued.denials[0].denial.request);
}

// Guards against a stated time that leaves out what other hosts wait for.
TEST(QuotaIssuer, OthersArePending_TimeIncludesThem)
{
  start(20'000);
  CHECK_TRUE(request(1'600, "a").denials.empty());
  const auto issued = request(1'600, "b");
  LONGS_EQUAL(1, issued.denials.size());
  LONGS_EQUAL(160, toMs(issued.denials[0].denial.roomIn));
  now += 80ms;
  LONGS_EQUAL(1, issuer.issue(1, now).grants.size());
}

TEST(QuotaIssuer, LargerThanBurst_PassesAfterFullBucketHasAccruedRest)
{
  start(10'000);
  wait(1500ms);
  LONGS_EQUAL(1, request(20'000).denials.size());
  wait(600ms);
  LONGS_EQUAL(1, request(20'000).grants.size());
  wait(5s);
  LONGS_EQUAL(8'000, toMs(request(200'000).denials.at(0).denial.roomIn));
}

// Guards against a sum of all returns in one window.
TEST(QuotaIssuer, ReturnedTwiceOrLate_CountsOnceAndInTime)
{
  start(10'000);
  wait(3s);
  const auto first = request(15'000).grants.at(0).grant;
  issuer.giveBack(first, now);
  issuer.giveBack(first, now);
  const auto second = request(15'000).grants.at(0).grant;
  now += QuotaIssuer::kReturnTime + 1ms;
  issuer.giveBack(second, now);
  CHECK_TRUE(request(9'000).grants.empty());
}

// Guards against a full bucket of a host that was suspended while another one issued.
TEST(QuotaIssuer, Suspended_BeginsWithEmptyBuckets)
{
  start(10'000);
  wait(3s);
  now += 5s;
  LONGS_EQUAL(0, request(1'600).grants.size());
}

TEST(QuotaIssuer, LimitIsLowered_HoldsAtOnce)
{
  start(100'000);
  wait(3s);
  issuer.setQuotas({ { kName, tokens(10'000) } });
  CHECK_TRUE(grantedIn(8s, 1'600) <= 95'000);
}

TEST_GROUP(QuotaLedger)
{
  QuotaLedger ledger{ 0.5, 0 };
  Instant now = kStart;

  void setup() override
  {
    ledger.setQuotas({ { kName, tokens(8'000) } }, now);
    ledger.setSharing("leader", 2, now);
  }

  QuotaLedger::Answer admit(double aCost)
  {
    return ledger.admit(kName, aCost, now + 300ms, now);
  }
  bool admits(double aCost)
  {
    return std::holds_alternative<QuotaLedger::Admitted>(admit(aCost));
  }

  /// Number of the quota request that is sent now.
  std::uint64_t send()
  {
    const auto requests = ledger.takeRequests(now);
    return requests.empty() ? 0 : requests.front().number;
  }

  /// Obtains a grant for a request that waits, which is then withdrawn.
  void hold(double aAmount)
  {
    const auto answer = admit(aAmount);
    ledger.grant({ kName, aAmount, 7, send() }, now);
    for (const auto& decision : ledger.takeDecisions()) {
      ledger.refund(kName, std::get<QuotaLedger::Admitted>(decision.outcome), now);
    }
  }
};

TEST(QuotaLedger, GrantArrives_WaitingRequestsAreAdmittedInOrder)
{
  admit(1'600);
  admit(1'600);
  const auto requests = ledger.takeRequests(now);
  DOUBLES_EQUAL(3'200, requests.at(0).amount, 1);
  DOUBLES_EQUAL(1'600, requests.at(0).first, 1);
  ledger.grant({ kName, 1'600, 7, requests[0].number }, now);
  const auto decisions = ledger.takeDecisions();
  LONGS_EQUAL(1, decisions.size());
  LONGS_EQUAL(1, decisions[0].id);
  DOUBLES_EQUAL(1'600, ledger.takeRequests(now).at(0).amount, 1); // for the other one
}

// Guards against grants that hosts save up and spend in a later window.
TEST(QuotaLedger, GrantHasEnded_NothingIsSpentAndRestIsGivenBack)
{
  hold(5'000);
  CHECK_TRUE(admits(1'600));
  now += QuotaLedger::kGrantTime;
  CHECK_FALSE(admits(1'600));
  ledger.expire(now);
  DOUBLES_EQUAL(3'400, ledger.takeUnused().at(0).amount, 1);
}

// Guards against a grant that a slow link delivers in a later window.
TEST(QuotaLedger, GrantArrivesLate_NotSpent)
{
  admit(1'600);
  const auto number = send();
  now += QuotaLedger::kAnswerTime;
  ledger.grant({ kName, 1'600, 7, number }, now);
  CHECK_TRUE(ledger.takeDecisions().empty());
  LONGS_EQUAL(1, ledger.takeUnused().size());
}

TEST(QuotaLedger, GrantIsRepeated_CountsOnce)
{
  admit(1'600);
  const auto number = send();
  ledger.grant({ kName, 1'600, 7, number }, now);
  ledger.grant({ kName, 1'600, 7, number }, now);
  CHECK_FALSE(admits(1'600));
}

// Guards against late refunds that add up in one window.
TEST(QuotaLedger, RefundAfterEndOfGrant_HasNoEffect)
{
  hold(1'600);
  const auto charge = std::get<QuotaLedger::Admitted>(admit(1'600));
  ledger.refund(kName, charge, now);
  CHECK_TRUE(admits(1'600));
  now += QuotaLedger::kGrantTime;
  ledger.refund(kName, charge, now);
  CHECK_FALSE(admits(1'600));
}

TEST(QuotaLedger, NoAnswer_RequestIsRepeatedAndDecidedInTime)
{
  admit(1'600);
  send();
  LONGS_EQUAL(0, send());
  now += QuotaLedger::kRepeatTime;
  CHECK_TRUE(send() > 0);
  now += 100ms;
  ledger.expire(now);
  const auto decisions = ledger.takeDecisions();
  LONGS_EQUAL(1, decisions.size());
  CHECK_TRUE(std::holds_alternative<QuotaDenial>(decisions[0].outcome));
}

// Guards against messages to the issuer for each request that it would deny.
TEST(QuotaLedger, DeniedLately_DeniesWithoutIssuer)
{
  admit(1'600);
  ledger.deny({ kName, 500ms, send() }, now);
  LONGS_EQUAL(1, ledger.takeDecisions().size());
  now += 300ms;
  const auto answer = admit(1'600);
  // 200 ms until there is room, and 400 ms for the caller that was denied before.
  LONGS_EQUAL(600, toMs(std::get<QuotaDenial>(answer).roomIn));
  CHECK_TRUE(std::holds_alternative<QuotaLedger::Waits>(admit(200)));
  now += 150ms;
  CHECK_TRUE(std::holds_alternative<QuotaLedger::Waits>(admit(1'600)));
}

// Guards against callers that all return when there is room for one of them.
TEST(QuotaLedger, ManyDenied_CallersReturnOneAfterTheOther)
{
  admit(1'600);
  ledger.deny({ kName, 500ms, send() }, now);
  const auto first = std::get<QuotaDenial>(ledger.takeDecisions().at(0).outcome);
  LONGS_EQUAL(500, toMs(first.roomIn));
  // This host's share of 8,000 a second is 4,000, which is 400 ms for each request.
  for (int at = 1; at <= 5; ++at) {
    LONGS_EQUAL(500 + 400 * at, toMs(std::get<QuotaDenial>(admit(1'600)).roomIn));
  }
  for (int at = 0; at < 100; ++at) {
    CHECK_TRUE(std::get<QuotaDenial>(admit(1'600)).roomIn <=
               serving::QuotaIssuer::kWindow);
  }
}

// Guards against requests that are denied for seconds after a change of the leader: the
// new one expects room late while few hosts are connected to it, and soon has far more.
TEST(QuotaLedger, DeniedForSeconds_IssuerIsAskedAgain)
{
  CHECK_TRUE(std::holds_alternative<QuotaLedger::Waits>(admit(1'000)));
  ledger.deny({ kName, 8s, send() }, now);
  ledger.takeDecisions();
  now += QuotaLedger::kDenialTime;
  CHECK_TRUE(std::holds_alternative<QuotaLedger::Waits>(admit(1'000)));
  CHECK_TRUE(send() > 0);
}

// Guards against a request that is denied although the host holds enough for it, since
// the one before it has been withdrawn.
TEST(QuotaLedger, FirstWaitingIsWithdrawn_NextIsServed)
{
  hold(1'000);
  const auto large = admit(4'400);
  const auto small = admit(500);
  CHECK_TRUE(std::holds_alternative<QuotaLedger::Waits>(small));
  ledger.withdraw(std::get<QuotaLedger::Waits>(large).id, now);
  const auto decisions = ledger.takeDecisions();
  LONGS_EQUAL(1, decisions.size());
  CHECK_TRUE(decisions[0].id == std::get<QuotaLedger::Waits>(small).id);
  CHECK_TRUE(std::holds_alternative<QuotaLedger::Admitted>(decisions[0].outcome));
}

// Guards against a message for each request of a busy organisation.
TEST(QuotaLedger, ManyRequests_FewQuotaRequests)
{
  ledger.setQuotas({ { kName, tokens(1'000'000) } }, now);
  std::size_t messages = 0;
  for (int at = 0; at < 4'000; ++at, now += 1ms) {
    admit(100);
    ledger.expire(now);
    for (const auto& request : ledger.takeRequests(now)) {
      ledger.grant({ kName, request.amount, request.number, request.number }, now);
      messages += at >= 2'000 ? 1 : 0;
    }
  }
  CHECK_TRUE(messages <= 12); // in the last 2 s, for 2,000 requests
}

// Guards against all hosts that spend what they saved up at the same time.
TEST(QuotaLedger, HostsWithoutIssuerWereIdle_SumIsWithinBurst)
{
  constexpr std::uint32_t kHosts = 80;
  std::vector<QuotaLedger> hosts;
  for (std::uint32_t host = 0; host < kHosts; ++host) {
    hosts.emplace_back((host + 0.5) / kHosts, 0);
    hosts.back().setQuotas({ { kName, tokens(8'000) } }, now);
    hosts.back().setSharing("", kHosts, now);
    hosts.back().admit(kName, 1'600, now, now);
  }
  for (const Duration idle : { 0s, 1s, 100s, 1'000s }) {
    now += idle;
    double sum = 0;
    for (auto& host : hosts) {
      while (std::holds_alternative<QuotaLedger::Admitted>(
        host.admit(kName, 1'600, now, now))) {
        sum += 1'600;
      }
    }
    CHECK_TRUE(sum <= 8'000 + 1'600);
  }
}

TEST(QuotaLedger, NoIssuer_UsesHalfOfEqualShare)
{
  ledger.setSharing("", 2, now);
  double sum = 0;
  for (const Instant end = now + 80s; now < end; now += 10ms) {
    sum += admits(1'600) ? 1'600 : 0;
  }
  DOUBLES_EQUAL(80 * 8'000 * 0.5 / 2, sum, 2 * 1'600);
}

TEST(QuotaLedger, QuotaIsRemoved_WaitingRequestIsAdmitted)
{
  admit(1'600);
  ledger.setQuotas({}, now);
  LONGS_EQUAL(1, ledger.takeDecisions().size());
  CHECK_TRUE(admits(1e9));
  CHECK_FALSE(ledger.hasQuotas());
}

TEST_GROUP(QuotaShare)
{
  serving::QuotaShare share;
  Instant now = kStart;
};

// Guards against a whole rate that is issued before the other hosts have connected, while
// they use a share of their own.
TEST(QuotaShare, FirstLeader_LeavesShareForHostsThatItHasNotSeen)
{
  share.setLeading(true, now);
  share.record(2, false, now);
  DOUBLES_EQUAL(0.02, share.of(2, now), 1e-9);
  now += 3s;
  DOUBLES_EQUAL(0.51, share.of(2, now), 1e-9);
  now += serving::QuotaShare::kMemory;
  DOUBLES_EQUAL(1, share.of(2, now), 1e-9);
}

TEST(QuotaShare, LaterLeader_KnowsNumberOfHosts)
{
  share.record(80, true, now);
  share.setLeading(true, now);
  DOUBLES_EQUAL(0.5, share.of(40, now), 1e-9);
  DOUBLES_EQUAL(1, share.of(80, now), 1e-9);
}

// Guards against a sum above the quota while hosts are cut off for long: those use half
// of their shares, alone or from a former leader.
TEST(QuotaShare, HostsAreCutOff_SumStaysWithinOne)
{
  serving::QuotaShare former;
  former.record(80, true, now);
  former.setLeading(true, now);
  former.setLeading(false, now);
  share.record(80, true, now);
  share.setLeading(true, now);
  for (const Instant end = now + 120s; now < end; now += 1s) {
    const double cut_off = former.of(28, now);
    CHECK_TRUE(share.of(52, now) + cut_off <= 1 + 1e-9);
  }
  DOUBLES_EQUAL(0.825, share.of(52, now), 1e-9);
}

// Guards against hosts that refuse requests within the quota while the part of those that
// lost the store lies unused: these have no confirmation of the configuration any more.
TEST(QuotaShare, KeysNeedConfirmation_ShareOfCutOffHostsIsUsedAfterBound)
{
  constexpr Duration kBound = 5s;
  serving::QuotaShare former(kBound);
  serving::QuotaShare later(kBound);
  former.record(80, true, now);
  former.setLeading(true, now);
  former.setLeading(false, now);
  later.record(80, true, now);
  later.setLeading(true, now);
  for (const Instant end = now + kBound; now < end; now += 500ms) {
    CHECK_TRUE(later.of(52, now) + former.of(28, now) <= 1 + 1e-9);
    DOUBLES_EQUAL(0.65, later.of(52, now), 1e-9);
  }
  DOUBLES_EQUAL(0.825, later.of(52, now), 1e-9);
  DOUBLES_EQUAL(0.175, former.of(28, now), 1e-9);
}

// Guards against a store outage that takes the quota away from hosts that are still
// connected to the former leader.
TEST(QuotaShare, LeaderLosesLease_GoesOnForConnectedHosts)
{
  share.setLeading(true, now);
  share.record(3, false, now);
  share.of(3, now);
  now += 10s;
  const double before = share.of(3, now);
  share.setLeading(false, now);
  DOUBLES_EQUAL(before, share.of(3, now), 1e-9);
  DOUBLES_EQUAL(before / 3, share.of(1, now), 1e-9);
  now += serving::QuotaShare::kFormerLeaderTime;
  DOUBLES_EQUAL(before / 2, share.of(3, now), 1e-9);
}
