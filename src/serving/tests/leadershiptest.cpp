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

  /// Makes the host's next call on the stored row; false if there is none to make.
  bool step(Leadership & aLeadership, const std::string& aTerm, bool aStopping = false)
  {
    const auto next_step = aLeadership.next(now, aStopping);
    if (next_step == LeadershipStep::None) {
      return false;
    }
    const auto row = aLeadership.rowFor(next_step, aTerm, now);
    aLeadership.callSent(next_step, row.term, now);
    if (next_step == LeadershipStep::Read) {
      aLeadership.rowRead(stored, now);
      return true;
    }
    if ((stored ? stored->version : 0) != aLeadership.baseVersion()) {
      aLeadership.writeUncertain(now);
      return true;
    }
    stored = row;
    stored->version = ++version;
    aLeadership.writeApplied(next_step, row, version, now);
    return true;
  }

  void settle(Leadership & aLeadership, const std::string& aTerm)
  {
    while (step(aLeadership, aTerm)) {
    }
  }

  /// Steps a host every 50 ms until it leads, and returns the time taken.
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

// Guards against two hosts that send orders to one engine within the handover gap.
TEST(Leadership, HolderDies_SuccessorWaitsForLeaseAndHandoverGap)
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

// Guards against a host behind a narrow link that becomes leader of many hosts although
// hosts with wider links are available.
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

// Guards against a host behind a narrow link that takes the row of a dead leader before
// hosts with wider links: its delay starts at the end of the leader's lease.
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

// Guards against a suspended holder that sends orders after it resumes.
TEST(Leadership, HolderIsSuspended_LeaseHasLapsedWhenItResumes)
{
  Leadership a(optionsOf("a"));
  settle(a, "ta");
  now += kLease;
  CHECK_FALSE(a.leads(now));
  CHECK_FALSE(a.mayOrder(now));
}

TEST(Leadership, LeaseLapsedAndRowUnchanged_HolderContinuesWithSameFencingNumber)
{
  Leadership a(optionsOf("a"));
  settle(a, "ta");
  const auto fencing = a.fencingNumber();
  now += 4s;
  settle(a, "ta");
  CHECK_TRUE(a.mayOrder(now));
  LONGS_EQUAL(fencing, a.fencingNumber());
}

TEST(Leadership, LeaseLapsedAndRowTaken_FormerHolderDoesNotLead)
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

// Guards against a take whose response is lost: the holder in the row would not know that
// it leads, or would send orders too early.
TEST(Leadership, ResponseToTakeIsLost_RowIsReadAndLongestWaitApplies)
{
  stored = LeaderRow{ "old", "old:1", "t0", false, version };
  Leadership b(optionsOf("b"));
  while (b.next(now, false) != LeadershipStep::Take) {
    step(b, "tb");
    now += 50ms;
  }
  auto row = b.rowFor(LeadershipStep::Take, "tb", now);
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

TEST(Leadership, HolderReleases_SuccessorLeadsAtOnceAndWaitsOnlyForHandoverGap)
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

// Guards against an unnecessary wait for the handover gap after a restart: only orders of
// two different hosts need it.
TEST(Leadership, OwnEarlierProcessHeldRow_NoHandoverGapNeeded)
{
  stored = LeaderRow{ "a", "a:1", "t0", false, version };
  Leadership a(optionsOf("a"));
  timeUntilLeading(a, "t1");
  CHECK_TRUE(a.mayOrder(now));
}

// Guards against seconds without orders after all hosts have lost power at the same time.
TEST(Leadership, HolderIsStartedAgain_LeadsAndOrdersAtOnce)
{
  Leadership before(optionsOf("a"));
  timeUntilLeading(before, "t1");
  Leadership after(optionsOf("a"));
  CHECK_TRUE(timeUntilLeading(after, "t2") <= 100ms);
  CHECK_TRUE(after.mayOrder(now));
  CHECK_TRUE(after.fencingNumber() > before.fencingNumber());
}

// Guards against two holders: after a host was replaced by one of the same name at
// another address, the name alone does not prove that the holder has ended.
TEST(Leadership, HostOfSameNameAtOtherAddress_WaitsForLease)
{
  Leadership before(optionsOf("a"));
  timeUntilLeading(before, "t1");
  auto moved = optionsOf("a");
  moved.endpoint = "b:1";
  Leadership after(moved);
  CHECK_TRUE(timeUntilLeading(after, "t2") >= kLease);
}

TEST(Leadership, LeaderUpdatesArrive_RowIsNotReadAgain)
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

// Guards against a late report of the release of an older row version: the row of the
// current holder would be taken.
TEST(Leadership, ReleaseOfOlderVersionArrives_HolderOfNewerRowIsKept)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  const auto old_version = a.baseVersion();
  now += 500ms;
  settle(a, "ta");
  settle(b, "tb");
  b.leadershipReleased(old_version, "", now);
  settle(b, "tb");
  CHECK_FALSE(b.leads(now));
}

// Load pattern: a rolling restart stops the leader while some hosts are still to be
// restarted. Guards against a take by any host before the one that was named.
TEST(Leadership, ReleaseNamesSuccessor_OthersWaitForIt)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  Leadership c(optionsOf("c"));
  settle(a, "ta");
  settle(b, "tb");
  settle(c, "tc");
  a.setSuccessor("c");
  now += 100ms;
  step(a, "ta", true);
  CHECK_TRUE(stored->released);
  b.leadershipReleased(version, "c", now);
  c.leadershipReleased(version, "c", now);
  settle(b, "tb");
  CHECK_FALSE(b.leads(now));
  settle(c, "tc");
  CHECK_TRUE(c.leads(now));
}

// Guards against a row that nobody takes because the named host has failed meanwhile.
TEST(Leadership, NamedSuccessorIsGone_AnotherHostTakesTheRow)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  settle(b, "tb");
  a.setSuccessor("gone");
  now += 100ms;
  step(a, "ta", true);
  for (const Instant end = now + 2s; now < end && !b.leads(now); now += 100ms) {
    settle(b, "tb");
  }
  CHECK_TRUE(b.leads(now));
  STRCMP_EQUAL("gone", b.skippedSuccessor().c_str());
}

// Load pattern: hosts behind slow links and one suited host, which is cut off from the
// store but not from the hosts. Guards against leaders that hand over to it in turn, so
// that no host ever sends orders.
TEST(Leadership, SuccessorDoesNotTakeTheRow_NextLeaderKnowsIt)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  settle(b, "tb");
  STRCMP_EQUAL("", a.skippedSuccessor().c_str());
  a.setSuccessor("s");
  now += 100ms;
  const auto old_version = a.baseVersion();
  step(a, "ta", true);
  b.leadershipReleased(old_version, "s", now);
  for (const Instant end = now + 2s; now < end && !b.leads(now); now += 100ms) {
    settle(b, "tb");
  }
  STRCMP_EQUAL("s", b.skippedSuccessor().c_str());
  b.setSuccessor("a");
  step(b, "tb", true);
  a.leadershipReleased(version, "a", now);
  settle(a, "ta2");
  CHECK_TRUE(a.leads(now));
  STRCMP_EQUAL("", a.skippedSuccessor().c_str());
}

// Load pattern: the store is away for longer than a lease. Guards against two hosts whose
// orders are closer together than the handover gap, since a leader may send orders until
// its lease ends, long after the others have seen its last row.
TEST(Leadership, LeaseEndsAndIsAnnounced_SuccessorWaitsFromTheAnnouncement)
{
  Leadership a(optionsOf("a"));
  Leadership b(optionsOf("b"));
  settle(a, "ta");
  settle(b, "tb");
  now += kLease - 10ms;
  CHECK_TRUE(a.mayOrder(now));
  now += 10ms;
  CHECK_FALSE(a.leads(now));
  const Instant announced = now;
  b.leadershipReleased(a.baseVersion(), "b", now);
  while (!b.mayOrder(now)) {
    settle(b, "tb");
    now += 50ms;
  }
  CHECK_TRUE(now - announced >= kHandoverGap);
  CHECK_TRUE(now - announced <= kHandoverGap + kMargin + 100ms);
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

// Guards against orders of two hosts within the handover gap: the copy from which the
// store has come back holds no row, a released one, or one of an earlier process of this
// host, and another host may have ordered until then.
TEST(Leadership, RowIsFromCopy_NoOrderBeforeLeaseAndHandoverGap)
{
  const auto from_copy = [&](std::optional<LeaderRow> aRow) {
    now += 100s;
    version = serving::makeStorePosition(2, 10);
    stored = std::move(aRow);
    if (stored) {
      stored->version = version;
      stored->era = 1;
    }
    const Instant read = now;
    Leadership a(optionsOf("a"));
    a.setStoreEra(2);
    while (!a.mayOrder(now) && now - read < 60s) {
      settle(a, "t1");
      now += 50ms;
    }
    CHECK_TRUE(now - read >= kLease + kHandoverGap);
    CHECK_TRUE(now - read <= kLease + kHandoverGap + 1s);
    CHECK_TRUE(a.fencingNumber() > serving::makeStorePosition(2, 0));
  };
  from_copy(std::nullopt);
  from_copy(LeaderRow{ "b", "b:1", "t0", true });
  from_copy(LeaderRow{ "a", "a:1", "t0", false });
}

// Guards against a former holder that orders, since the copy names it, while its
// successor may have ordered just before.
TEST(Leadership, CopyNamesFormerHolder_WaitsForLeaseAndHandoverGap)
{
  Leadership a(optionsOf("a"));
  a.setStoreEra(1);
  settle(a, "ta");
  CHECK_TRUE(a.mayOrder(now));
  now += 10s; // it was suspended
  version = serving::makeStorePosition(2, 11);
  stored->version = version;
  a.setStoreEra(2);
  const Instant resumed = now;
  while (!a.mayOrder(now) && now - resumed < 60s) {
    settle(a, "ta");
    now += 50ms;
  }
  CHECK_TRUE(now - resumed >= kLease + kHandoverGap);
}

// Guards against orders within the handover gap of those of the predecessor: the new
// leader is restarted in its pause, and finds its own host in the row.
TEST(Leadership, HolderIsRestartedInItsPause_PausesAgain)
{
  stored = LeaderRow{ "old", "old:1", "t0", false, version };
  Leadership before(optionsOf("a"));
  timeUntilLeading(before, "t1");
  CHECK_FALSE(before.mayOrder(now));
  const Instant taken = now;
  now += 600ms;
  settle(before, "t1"); // a renewal does not end the pause
  Leadership after(optionsOf("a"));
  CHECK_TRUE(timeUntilLeading(after, "t2") <= 100ms);
  while (!after.mayOrder(now) && now - taken < 60s) {
    settle(after, "t2");
    now += 50ms;
  }
  CHECK_TRUE(now - taken >= kHandoverGap);
  settle(after, "t2");
  now += 500ms;
  settle(after, "t2"); // the row says that the pause has passed
  Leadership later(optionsOf("a"));
  timeUntilLeading(later, "t3");
  CHECK_TRUE(later.mayOrder(now));
}
