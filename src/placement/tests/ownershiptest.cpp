#include <CppUTest/TestHarness.h>

#include "placement/ownershiptracker.h"
#include "placement/rendezvous.h"
#include "placement/tests/faketable.h"

using namespace savoryrill;
using namespace savoryrill::placement;

TEST_GROUP(OwnershipTest)
{
  struct Host
  {
    explicit Host(const std::string& aName, std::uint64_t aIncarnation)
      : lease({ aName, "dc", 6s }, [last = aIncarnation]() mutable { return last++; })
      , tracker({ aName, "dc", 6s, 2s, 1s, 4s })
    {
    }
    SessionLease lease;
    OwnershipTracker tracker;
  };
  FakeTable table;
  Instant now{ 100s };
  Host a{ "a", 10 };
  Host b{ "b", 20 };

  // Carries out the session's commands, with immediate responses.
  SessionLease::Change renew(Host & aHost)
  {
    auto change = SessionLease::Change::None;
    for (int count = 0; count < 3; ++count) {
      auto command = aHost.lease.next(now);
      if (auto* transaction = std::get_if<platform::Transaction>(&command)) {
        change = aHost.lease.transactionDone(table.transact(*transaction), now);
      } else if (std::holds_alternative<SessionLease::ReadRow>(command)) {
        change = aHost.lease.rowRead(table.read(sessionKey(name(aHost))), now);
      }
      if (change != SessionLease::Change::None) {
        return change;
      }
    }
    return change;
  }
  std::string name(const Host& aHost)
  {
    return &aHost == &a ? "a" : "b";
  }
  std::vector<OwnershipChange> read(Host & aHost)
  {
    aHost.tracker.sessionsRead(table.readAll(kSessionPrefix), now);
    return aHost.tracker.ownersRead(table.readAll(kOwnerPrefix), aHost.lease, now, now);
  }
  std::size_t claim(Host & aHost)
  {
    const auto claims = aHost.tracker.claims({ "u" }, aHost.lease, now);
    for (const auto& owner_claim : claims) {
      aHost.tracker.claimDone(
        owner_claim, table.transact(owner_claim.transaction), aHost.lease, now);
    }
    return claims.size();
  }
  void ownAtA()
  {
    renew(a);
    read(a);
    claim(a);
  }
};

// Guards against counting the lease from the response instead of the request.
TEST(OwnershipTest, lease_renewalResponseLate_countsFromSending)
{
  a.lease.next(now);
  a.lease.rowRead(std::optional<platform::Row>{}, now);
  const auto command = a.lease.next(now);
  const auto outcome = table.transact(std::get<platform::Transaction>(command));
  now += 5s;
  a.lease.transactionDone(outcome, now);
  CHECK(a.lease.valid(now));
  CHECK_FALSE(a.lease.valid(now + 1s));
}

// Guards against losing the session because the response to a committed renewal was lost.
TEST(OwnershipTest, lease_renewalResponseLost_settledByReadingBack)
{
  renew(a);
  now += 2s;
  const auto command = a.lease.next(now);
  table.transact(std::get<platform::Transaction>(command));
  a.lease.transactionDone(fail(ErrorCode::OutcomeUnknown, ""), now + 1s);
  CHECK(std::holds_alternative<SessionLease::ReadRow>(a.lease.next(now + 1s)));
  a.lease.rowRead(table.read(sessionKey("a")), now + 1s);
  CHECK(a.lease.valid(now + 5999ms));
}

// Guards against continuing under an incarnation whose row another process has replaced.
TEST(OwnershipTest, lease_rowReplaced_lostWithNewIncarnation)
{
  ownAtA();
  const auto incarnation = a.lease.incarnation();
  table.put(sessionKey("a"), toJson(SessionRow{ "dc", 999, 1, false }));
  now += 3s;
  CHECK(SessionLease::Change::Lost == renew(a));
  CHECK(incarnation != a.lease.incarnation());
  LONGS_EQUAL(1, a.tracker.sessionLost().size());
  CHECK_FALSE(a.tracker.mayOrder("u", true, a.lease, now));
}

// Guards against a takeover while the owner's lease or orders may still be valid.
TEST(OwnershipTest, takeover_beforeTakeoverTime_notAttempted)
{
  ownAtA();
  renew(b);
  read(b);
  for (int second = 0; second < 8; ++second) {
    now += 1s;
    renew(b);
    read(b);
    LONGS_EQUAL(0, claim(b));
  }
  now += 1s;
  renew(b);
  read(b);
  LONGS_EQUAL(1, claim(b));
  CHECK(b.tracker.find("u") != nullptr);
  LONGS_EQUAL(2, b.tracker.find("u")->fencingNumber);
}

// Guards against a takeover that misses a renewal made after the last read.
TEST(OwnershipTest, takeover_ownerRenewedMeanwhile_conflicts)
{
  ownAtA();
  renew(b);
  read(b);
  now += 9s;
  renew(b);
  b.tracker.sessionsRead(table.readAll(kSessionPrefix), now);
  renew(a);
  claim(b);
  CHECK(b.tracker.find("u") == nullptr);
  CHECK(read(a).empty());
}

// Guards against an owner that sends orders after its lease expired during a pause.
TEST(OwnershipTest, orders_afterLeaseExpired_onlyToCheckingEngines)
{
  ownAtA();
  CHECK(a.tracker.mayOrder("u", false, a.lease, now));
  now += 6s;
  CHECK_FALSE(a.tracker.mayOrder("u", false, a.lease, now));
  CHECK(a.tracker.mayOrder("u", true, a.lease, now));
}

// Guards against relying on ownership after a late renewal without reading the owner rows
// again.
TEST(OwnershipTest, orders_afterLateRenewal_waitForOwnerRows)
{
  ownAtA();
  now += 10s;
  renew(a);
  CHECK(a.lease.valid(now));
  CHECK_FALSE(a.tracker.mayOrder("u", false, a.lease, now));
  read(a);
  CHECK(a.tracker.mayOrder("u", false, a.lease, now));
}

// Guards against a claim whose response is lost and which leaves the upstream without an
// owner.
TEST(OwnershipTest, claim_responseLost_settledByReadingBack)
{
  renew(a);
  read(a);
  const auto claims = a.tracker.claims({ "u" }, a.lease, now);
  table.transact(claims[0].transaction);
  a.tracker.claimDone(claims[0], fail(ErrorCode::OutcomeUnknown, ""), a.lease, now);
  CHECK(a.tracker.find("u") == nullptr);
  const auto changes = read(a);
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].owned);
}

// Guards against waiting for a lease to expire although the owner has released the
// upstream.
TEST(OwnershipTest, released_byLeavingOwner_takenAtOnce)
{
  ownAtA();
  a.lease.leave();
  renew(a);
  const auto release = a.tracker.release("u");
  CHECK(a.tracker.releaseDone("u", table.transact(release), now));
  renew(b);
  read(b);
  LONGS_EQUAL(1, claim(b));
  LONGS_EQUAL(2, b.tracker.find("u")->fencingNumber);
}

// Guards against a joining host that never receives upstreams, or receives them too
// early.
TEST(OwnershipTest, joiningHost_afterJoinDelay_getsItsShare)
{
  const std::string winner = rendezvousWinner({ "a", "b" }, "u");
  Host& former = winner == "a" ? b : a;
  Host& joining = winner == "a" ? a : b;
  renew(former);
  read(former);
  claim(former);
  renew(joining);
  read(former);
  CHECK_FALSE(former.tracker.upstreamToHandOver(now).has_value());
  for (int step = 0; step < 2; ++step) {
    now += 2s;
    renew(former);
    renew(joining);
    read(former);
  }
  CHECK(former.tracker.upstreamToHandOver(now) == std::optional<std::string>("u"));
}
