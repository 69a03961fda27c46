#include <CppUTest/TestHarness.h>

#include "serving/permitissuer.h"
#include "serving/sharinghosts.h"
#include "serving/upstreamlimits.h"

using namespace savoryrill;
using serving::PermitIssuer;
using serving::UpstreamLimits;

namespace {

constexpr const char* kUpstream = "u";

} // namespace

TEST_GROUP(PermitIssuer)
{
  PermitIssuer issuer;
  Instant now{ std::chrono::hours(1) };

  bool request(const std::string& aHost,
               double aPerSecond,
               std::optional<Duration> aAge = Duration::zero())
  {
    return issuer.request(aHost, { kUpstream, aPerSecond, aAge }, now);
  }

  /// Permits issued in a time in which `aHosts` hosts request some all the time.
  std::uint32_t issuedIn(Duration aTime, int aHosts, double aPerSecond)
  {
    std::uint32_t count = 0;
    for (const Instant end = now + aTime; now < end; now += 50ms) {
      for (int host = 0; host < aHosts; ++host) {
        request("h" + std::to_string(host), aPerSecond);
      }
      for (const auto& issued : issuer.issue(1.0, now)) {
        count += issued.grant.count;
      }
    }
    return count;
  }
};

// Guards against an upstream that gets more requests than it takes, from hosts that each
// stay within its limit (incident 0005).
TEST(PermitIssuer, ManyHostsRequest_SumIsWithinRate)
{
  issuedIn(5s, 64, 2.0);
  LONGS_EQUAL(8, issuedIn(4s, 64, 2.0));
}

TEST(PermitIssuer, OneHostRequests_GetsWholeRate)
{
  issuedIn(5s, 1, 3.0);
  LONGS_EQUAL(12, issuedIn(4s, 1, 3.0));
}

// Guards against hosts that get no permit while others get several.
TEST(PermitIssuer, HostsRequest_ServedInTurn)
{
  std::map<std::string, int> permits;
  for (int step = 0; step < 200; ++step) {
    for (const char* host : { "a", "b", "c" }) {
      request(host, 3.0);
    }
    for (const auto& issued : issuer.issue(1.0, now)) {
      ++permits[issued.host];
    }
    now += 50ms;
  }
  CHECK_TRUE(permits["a"] >= 9 && permits["b"] >= 9 && permits["c"] >= 9);
}

// Guards against a sum above the rate while hosts that use their own part of it are cut
// off from a leader which goes on issuing permits.
TEST(PermitIssuer, MostHostsAreCutOff_SumIsWithinRate)
{
  constexpr std::uint32_t kHosts = 9;
  constexpr double kPerSecond = 10;
  serving::SharingHosts sharing;
  sharing.record(kHosts, now);
  now += 1s;
  sharing.record(1, now); // the leader sees no other host any more
  std::vector<UpstreamLimits> others(kHosts - 1, UpstreamLimits{ 0.0 });
  for (auto& limits : others) {
    limits.setNamed(kUpstream, kPerSecond, now);
  }
  std::uint32_t sent = 0;
  for (const Instant end = now + 4s; now < end; now += 50ms) {
    request("leader", kPerSecond);
    for (const auto& issued : issuer.issue(sharing.shareOf(1), now)) {
      sent += issued.grant.count;
    }
    for (auto& limits : others) {
      limits.accrueOwnShare(sharing.count(), now);
      while (limits.permits(kUpstream, now)) {
        limits.use(kUpstream, now);
        ++sent;
      }
    }
  }
  CHECK_TRUE(sent <= 4 * kPerSecond);
  CHECK_TRUE(sent >= 2.5 * kPerSecond);
}

// Guards against a part of the rate that stays unused after hosts were removed.
TEST(PermitIssuer, HostsWereRemoved_RestSharesWholeRate)
{
  serving::SharingHosts sharing;
  sharing.record(9, now);
  now += serving::SharingHosts::kMemory + 1s;
  sharing.record(6, now);
  DOUBLES_EQUAL(1.0, sharing.shareOf(6), 1e-9);
  sharing.record(8, now);
  DOUBLES_EQUAL(0.75, sharing.shareOf(6), 1e-9);
}

// Guards against permits that are saved up while nobody needs them and then used at once.
TEST(PermitIssuer, NobodyRequestsForLong_NoBurstAfterwards)
{
  request("a", 2.0);
  issuer.issue(1.0, now);
  now += 9s;
  CHECK_TRUE(issuedIn(50ms, 64, 2.0) <= 2);
}

// Guards against a rate of which a part is lost with permits that hosts do not need.
TEST(PermitIssuer, UnusedPermitsReturned_IssuedToOthers)
{
  request("a", 1.0);
  now += 1s;
  request("a", 1.0);
  LONGS_EQUAL(1, issuer.issue(1.0, now).size());
  request("b", 1.0);
  LONGS_EQUAL(0, issuer.issue(1.0, now).size());
  issuer.giveBack({ kUpstream, 1 });
  const auto issued = issuer.issue(1.0, now);
  LONGS_EQUAL(1, issued.size());
  STRCMP_EQUAL("b", issued.front().host.c_str());
}

// Guards against hosts that return more permits than they got.
TEST(PermitIssuer, ManyPermitsReturned_NoMoreThanASecondsWorthSavedUp)
{
  request("a", 2.0);
  issuer.giveBack({ kUpstream, 60 });
  LONGS_EQUAL(2, issuedIn(50ms, 64, 2.0));
}

// Guards against a host that no longer needs a permit and keeps others from theirs.
TEST(PermitIssuer, RequestNotRepeated_Dropped)
{
  request("a", 1.0);
  now += 2s;
  request("b", 1.0);
  const auto issued = issuer.issue(1.0, now);
  LONGS_EQUAL(1, issued.size());
  STRCMP_EQUAL("b", issued.front().host.c_str());
}

// Guards against a limit that comes back from hosts which have not heard of its end.
TEST(PermitIssuer, LimitLifted_OutdatedRequestRefused)
{
  request("a", 2.0);
  now += 1s;
  issuer.lift(kUpstream, now);
  now += 1s;
  CHECK_FALSE(request("b", 2.0, 1500ms));
  CHECK_FALSE(request("b", 2.0, std::nullopt));
  LONGS_EQUAL(0, issuer.limits(now).size());
  CHECK_TRUE(request("b", 2.0, 500ms));
  LONGS_EQUAL(1, issuer.limits(now).size());
}

// Guards against a rate set by a host that has not heard of the newest limit.
TEST(PermitIssuer, HostsNameDifferentLimits_NewestApplies)
{
  request("a", 4.0, 100ms);
  request("b", 2.0, 900ms);
  request("c", 1.0, std::nullopt);
  DOUBLES_EQUAL(4.0, issuer.limits(now).at(kUpstream), 0.001);
  request("b", 3.0, 50ms);
  DOUBLES_EQUAL(3.0, issuer.limits(now).at(kUpstream), 0.001);
}

TEST(PermitIssuer, FormerLeader_IssuesItsShare)
{
  for (int step = 0; step < 100; ++step) {
    request("a", 2.0);
    issuer.issue(0.5, now);
    now += 50ms;
  }
  std::size_t issued = 0;
  for (int step = 0; step < 80; ++step) {
    request("a", 2.0);
    issued += issuer.issue(0.5, now).size();
    now += 50ms;
  }
  LONGS_EQUAL(4, issued);
}

TEST(PermitIssuer, LimitNotMentioned_Forgotten)
{
  request("a", 2.0);
  LONGS_EQUAL(1, issuer.limits(now).size());
  now += 11s;
  LONGS_EQUAL(0, issuer.limits(now).size());
}

TEST_GROUP(UpstreamLimits)
{
  UpstreamLimits limits{ 0.0 };
  Instant now{ std::chrono::hours(1) };
};

TEST(UpstreamLimits, NoLimit_NoPermitNeeded)
{
  CHECK_TRUE(limits.permits(kUpstream, now));
  limits.requestOneOf({ kUpstream }, now);
  CHECK_FALSE(limits.hasPermitRequests());
}

TEST(UpstreamLimits, LimitNamed_EachRequestNeedsPermit)
{
  CHECK_TRUE(limits.setNamed(kUpstream, 2.0, now));
  CHECK_FALSE(limits.setNamed(kUpstream, 2.0, now));
  CHECK_FALSE(limits.permits(kUpstream, now));
  limits.requestOneOf({ kUpstream }, now);
  LONGS_EQUAL(1, limits.takeRequests(now).size());
  limits.grant({ kUpstream, 1 }, now);
  CHECK_TRUE(limits.permits(kUpstream, now));
  limits.use(kUpstream, now);
  CHECK_FALSE(limits.permits(kUpstream, now));
}

// Guards against permits that many hosts keep and use at the same time.
TEST(UpstreamLimits, PermitNotUsed_Expires)
{
  limits.setNamed(kUpstream, 2.0, now);
  limits.grant({ kUpstream, 1 }, now);
  CHECK_FALSE(limits.permits(kUpstream, now + 1s));
}

TEST(UpstreamLimits, RequestNotAnswered_Repeated)
{
  constexpr Duration kRepeat = PermitIssuer::kRepeatTime;
  limits.setNamed(kUpstream, 2.0, now);
  limits.requestOneOf({ kUpstream }, now);
  LONGS_EQUAL(1, limits.takeRequests(now).size());
  limits.requestOneOf({ kUpstream }, now + kRepeat - 1ms);
  LONGS_EQUAL(0, limits.takeRequests(now + kRepeat - 1ms).size());
  limits.requestOneOf({ kUpstream }, now + kRepeat);
  LONGS_EQUAL(1, limits.takeRequests(now + kRepeat).size());
}

TEST(UpstreamLimits, PermitNotUsedSoon_Returned)
{
  limits.setNamed(kUpstream, 2.0, now);
  limits.grant({ kUpstream, 1 }, now);
  LONGS_EQUAL(0, limits.takeUnused(now + 50ms).size());
  LONGS_EQUAL(1, limits.takeUnused(now + 200ms).size());
  CHECK_FALSE(limits.permits(kUpstream, now + 200ms));
}

TEST(UpstreamLimits, Request_SaysWhenLimitWasNamed)
{
  limits.setNamed(kUpstream, 2.0, now);
  limits.requestOneOf({ kUpstream }, now + 300ms);
  CHECK_TRUE(limits.takeRequests(now + 300ms).front().age == 300ms);
}

// Guards against a host that goes on with a limit which others know to be lifted.
TEST(UpstreamLimits, OtherHostLearnedOfEnd_Lifted)
{
  limits.setNamed(kUpstream, 2.0, now);
  CHECK_TRUE(limits.lift(kUpstream, now));
  CHECK_FALSE(limits.lift(kUpstream, now));
  CHECK_TRUE(limits.permits(kUpstream, now));
  LONGS_EQUAL(0, limits.takeLifted().size()); // only what this host learned itself
}

// Guards against a limit that stays after the upstream has recovered.
TEST(UpstreamLimits, ResponseWithoutLimit_LiftedAndReported)
{
  limits.setNamed(kUpstream, 2.0, now);
  CHECK_TRUE(limits.setNamed(kUpstream, std::nullopt, now));
  CHECK_TRUE(limits.permits(kUpstream, now));
  LONGS_EQUAL(1, limits.takeLifted().size());
  limits.setReported({ { kUpstream, 2.0 } }, now + 500ms); // from before
  CHECK_TRUE(limits.permits(kUpstream, now + 500ms));
}

// Guards against a host that starts anew and doesn't know the limit.
TEST(UpstreamLimits, LimitReportedByIssuer_Kept)
{
  limits.setReported({ { kUpstream, 2.0 } }, now);
  CHECK_FALSE(limits.permits(kUpstream, now));
  limits.setReported({}, now);
  CHECK_TRUE(limits.permits(kUpstream, now));
}

// Guards against an upstream that is never asked again whether its limit is lifted.
TEST(UpstreamLimits, LimitOfZero_RequestNowAndThen)
{
  limits.setNamed(kUpstream, 0.0, now);
  limits.requestOneOf({ kUpstream }, now);
  CHECK_TRUE(limits.takeRequests(now).front().perSecond > 0);
}

TEST(UpstreamLimits, LimitNotConfirmed_Forgotten)
{
  limits.setNamed(kUpstream, 2.0, now);
  limits.expire(now + 61s);
  CHECK_TRUE(limits.permits(kUpstream, now + 61s));
}

// Guards against requests that wait for a permit that this host gets too late.
TEST(UpstreamLimits, NobodyIssuesPermits_TimeUntilNextIsKnown)
{
  limits.setNamed(kUpstream, 1.0, now);
  CHECK_FALSE(limits.timeUntilPermit(kUpstream, now).has_value());
  limits.accrueOwnShare(8, now); // a tenth of a permit a second
  const auto time = limits.timeUntilPermit(kUpstream, now + 500ms);
  CHECK_TRUE(*time > 9400ms && *time < 9600ms);
  CHECK_FALSE(limits.timeUntilPermit(kUpstream, now + 2s).has_value());
  CHECK_TRUE(limits.timeUntilPermit("unlimited", now) == 0ms);
}

// Guards against hosts without a leader that together exceed the limit.
TEST(UpstreamLimits, NobodyIssuesPermits_HostsTogetherWithinRate)
{
  constexpr int kHosts = 64;
  std::vector<UpstreamLimits> hosts;
  for (int host = 0; host < kHosts; ++host) {
    hosts.emplace_back(static_cast<double>(host) / kHosts);
    hosts.back().setNamed(kUpstream, 2.0, now);
  }
  int used = 0;
  for (int step = 0; step < 200; ++step) { // 20 s
    for (auto& host : hosts) {
      host.accrueOwnShare(kHosts, now);
      if (host.permits(kUpstream, now)) {
        host.use(kUpstream, now);
        ++used;
      }
    }
    now += 100ms;
  }
  CHECK_TRUE(used >= 25 && used <= 40);
}
