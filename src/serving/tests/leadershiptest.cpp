#include <CppUTest/TestHarness.h>

#include "serving/leadership.h"

using namespace savoryrill;
using serving::LeaderRow;
using serving::Leadership;
using serving::LeadershipStep;

namespace {

constexpr Duration kLease = 1500ms;
constexpr Duration kHandoverGap = 3000ms;
constexpr Duration kMargin = 300ms;

} // namespace

TEST_GROUP(Leadership)
{
  Instant now{ 1000s };
  std::optional<LeaderRow> stored;
  std::uint64_t version = 10;

  static Leadership::Options optionsOf(const std::string& aHost)
  {
    Leadership::Options options;
    options.host = aHost;
    options.endpoint = aHost + ":1";
    options.lease = kLease;
    options.handoverGap = kHandoverGap;
    options.margin = kMargin;
    return options;
  }

  /// Runs the call that a host wants now against the row; false if it wants none.
  bool step(Leadership & aLeadership, const std::string& aTerm, bool aStopping = false)
  {
    const auto wanted = aLeadership.next(now, aStopping);
    if (wanted == LeadershipStep::None) {
      return false;
    }
    const auto row = aLeadership.rowFor(wanted, aTerm);
    aLeadership.callSent(wanted, row.term, now);
    if (wanted == LeadershipStep::Read) {
      aLeadership.rowRead(stored, now);
      return true;
    }
    if ((stored ? stored->version : 0) != aLeadership.baseVersion()) {
      aLeadership.writeUncertain(now);
      return true;
    }
    stored = row;
    stored->version = ++version;
    aLeadership.writeApplied(wanted, row, version, now);
    return true;
  }

  void settle(Leadership & aLeadership, const std::string& aTerm)
  {
    while (step(aLeadership, aTerm)) {
    }
  }

  /// Steps a host every 50 ms until it leads; the time that it took.
  Duration timeUntilLeading(Leadership & aLeadership, const std::string& aTerm)
  {
    const Instant start = now;
    while (!aLeadership.leads(now) && now - start < 60s) {
      settle(aLeadership, aTerm);
      now += 50ms;
    }
    return now - start;
  }
};

TEST(Leadership, NoRow_TakesAndOrdersAtOnce)
{
  Leadership a(optionsOf("a"));
  settle(a, "t1");
  CHECK_TRUE(a.leads(now));
  CHECK_TRUE(a.mayOrder(now));
  LONGS_EQUAL(version, a.fencingNumber());
}

TEST(Leadership, TwoHostsWithoutRow_OnlyOneLeads)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  CHECK_TRUE(step(a, "ta"));
  CHECK_TRUE(step(b, "tb"));
  settle(a, "ta");
  settle(b, "tb");
  CHECK_TRUE(a.leads(now));
  CHECK_FALSE(b.leads(now));
}

// Guards against two hosts that order at one engine within the turn time.
TEST(Leadership, HolderDies_SuccessorWaitsForLeaseAndTurn)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  settle(b, "tb");
  const Instant last_order = now; // the holder may order until its lease ends
  timeUntilLeading(b, "tb");
  CHECK_TRUE(b.leads(now));
  while (!b.mayOrder(now)) {
    settle(b, "tb");
    now += 50ms;
  }
  CHECK_TRUE(now - (last_order + kLease) >= kHandoverGap);
  CHECK_TRUE(b.fencingNumber() > a.fencingNumber());
}

// Guards against a host behind a narrow link that leads many others although wider ones
// are there.
TEST(Leadership, HostsWithAndWithoutDelay_FreeRowGoesToTheOneWithout)
{
  auto narrow_options = optionsOf("narrow");
  narrow_options.takeDelay = 1s;
  Leadership narrow(narrow_options);
  Leadership wide(optionsOf("wide"));
  settle(narrow, "tn");
  now += 400ms;
  settle(narrow, "tn");
  settle(wide, "tw");
  settle(narrow, "tn");
  CHECK_FALSE(narrow.leads(now));
  CHECK_TRUE(wide.leads(now));
}

// As above, after a leader has gone: the delay counts from the end of its lease.
TEST(Leadership, HolderDies_HostWithDelayComesLater)
{
  auto narrow_options = optionsOf("narrow");
  narrow_options.takeDelay = 1s;
  Leadership holder(optionsOf("holder"));
  Leadership narrow(narrow_options);
  Leadership wide(optionsOf("wide"));
  settle(holder, "th");
  settle(narrow, "tn");
  settle(wide, "tw");
  while (!wide.leads(now) && !narrow.leads(now)) {
    settle(narrow, "tn");
    settle(wide, "tw");
    now += 50ms;
  }
  CHECK_TRUE(wide.leads(now));
}

TEST(Leadership, OnlyHostHasDelay_LeadsAfterIt)
{
  auto narrow_options = optionsOf("narrow");
  narrow_options.takeDelay = 1s;
  Leadership narrow(narrow_options);
  const auto time = timeUntilLeading(narrow, "tn");
  CHECK_TRUE(time >= 1s);
  CHECK_TRUE(time <= 1200ms);
}

// Guards against a paused holder that wakes up and goes on orderInProgress.
TEST(Leadership, HolderIsSuspended_LeaseIsOverWhenItWakes)
{
  Leadership a(optionsOf("a"));
  settle(a, "ta");
  now += kLease;
  CHECK_FALSE(a.leads(now));
  CHECK_FALSE(a.mayOrder(now));
}

TEST(Leadership, LeaseLapsedAndRowUntouched_HolderGoesOnUnderSameFencing)
{
  Leadership a(optionsOf("a"));
  settle(a, "ta");
  const auto fencing = a.fencingNumber();
  now += 4s;
  settle(a, "ta");
  CHECK_TRUE(a.mayOrder(now));
  LONGS_EQUAL(fencing, a.fencingNumber());
}

TEST(Leadership, LeaseLapsedAndRowTaken_HolderFollows)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  settle(b, "tb");
  timeUntilLeading(b, "tb");
  settle(a, "ta");
  CHECK_FALSE(a.leads(now));
  CHECK_TRUE(b.leads(now));
}

// Guards against a lost answer to the take that leaves the row with a holder that does
// not know that it leads, or orders too early.
TEST(Leadership, AnswerToTakeIsLost_ReadsBackAndKeepsLongestDistance)
{
  stored = LeaderRow{ "old", "old:1", "t0", false, version };
  Leadership b(optionsOf("b"));
  while (b.next(now, false) != LeadershipStep::Take) {
    step(b, "tb");
    now += 50ms;
  }
  auto row = b.rowFor(LeadershipStep::Take, "tb");
  b.callSent(LeadershipStep::Take, row.term, now);
  row.version = ++version;
  stored = row;
  b.writeUncertain(now);
  settle(b, "tb");
  CHECK_TRUE(b.leads(now));
  CHECK_FALSE(b.mayOrder(now));
  for (Instant end = now + kLease + kHandoverGap + kMargin; now < end; now += 50ms) {
    settle(b, "tb");
  }
  CHECK_TRUE(b.mayOrder(now));
}

TEST(Leadership, HolderReleases_SuccessorLeadsAtOnceAndWaitsOnlyForTurn)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  settle(b, "tb");
  CHECK_TRUE(step(a, "ta", true));
  CHECK_FALSE(a.mayOrder(now));
  now += 600ms;
  settle(b, "tb");
  CHECK_TRUE(b.leads(now));
  CHECK_FALSE(b.mayOrder(now + kHandoverGap - 700ms));
}

// A host whose own earlier process held the row is the same orderer.
TEST(Leadership, OwnEarlierProcessHeldRow_NoDistanceNeeded)
{
  stored = LeaderRow{ "a", "a:1", "t0", false, version };
  Leadership a(optionsOf("a"));
  timeUntilLeading(a, "t1");
  CHECK_TRUE(a.mayOrder(now));
}

// Guards against seconds without orders after all hosts lost power together.
TEST(Leadership, HolderIsStartedAgain_LeadsAndOrdersAtOnce)
{
  Leadership before(optionsOf("a"));
  timeUntilLeading(before, "t1");
  Leadership after(optionsOf("a"));
  CHECK_TRUE(timeUntilLeading(after, "t2") <= 100ms);
  CHECK_TRUE(after.mayOrder(now));
  CHECK_TRUE(after.fencingNumber() > before.fencingNumber());
}

// Guards against two holders: the name alone does not tell that the holder has ended, if
// a replaced host comes back at another address.
TEST(Leadership, HostOfSameNameAtOtherAddress_WaitsForLease)
{
  Leadership before(optionsOf("a"));
  timeUntilLeading(before, "t1");
  auto moved = optionsOf("a");
  moved.endpoint = "b:1";
  Leadership after(moved);
  CHECK_TRUE(timeUntilLeading(after, "t2") >= kLease);
}

TEST(Leadership, LeaderIsHeard_RowIsNotReadAgain)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  settle(b, "tb");
  for (int at = 0; at < 100; ++at) {
    now += 100ms;
    settle(a, "ta");
    b.leaderUpdateReceived(a.baseVersion(), now);
    CHECK_FALSE(step(b, "tb"));
  }
}

// Guards against a release message that is older than the row.
TEST(Leadership, ReleaseOfOlderVersionIsTold_RowOfNewHolderIsKept)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  const auto old_version = a.baseVersion();
  now += 500ms;
  settle(a, "ta");
  settle(b, "tb");
  b.leadershipReleased(old_version, now);
  settle(b, "tb");
  CHECK_FALSE(b.leads(now));
}

TEST(Leadership, StoreRefusesCalls_RetriesWithPause)
{
  Leadership a(optionsOf("a"));
  CHECK_TRUE(a.next(now, false) == LeadershipStep::Read);
  a.callSent(LeadershipStep::Read, "", now);
  a.callFailed(now);
  CHECK_TRUE(a.next(now, false) == LeadershipStep::None);
  CHECK_TRUE(a.next(now + 600ms, false) == LeadershipStep::Read);
}
