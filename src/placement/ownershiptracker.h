#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "placement/sessionlease.h"
#include "placement/types/rows.h"
#include "platform/types/table.h"

namespace savoryrill::placement {

enum class ClaimReason
{
  Unowned,  // never owned, or released
  Takeover, // the owner's session row did not change for the takeover time
  Reclaim   // the row names this session, but the outcome of its claim was unknown
};

/// A transaction that takes ownership of an upstream.
struct OwnerClaim
{
  std::uint64_t id = 0; // distinguishes the result from that of an earlier claim
  std::string upstream;
  ClaimReason reason = ClaimReason::Unowned;
  std::string formerHost;
  platform::Transaction transaction;
};

/// An upstream that this controller owns.
struct Ownership
{
  std::uint64_t fencingNumber = 0;
  std::uint64_t rowVersion = 0;
  /// When the claim was confirmed.
  Instant takenAt;
};

/// A change of ownership that follows from a table response.
struct OwnershipChange
{
  std::string upstream;
  bool owned = false;
  std::uint64_t fencingNumber = 0;
  std::string reason;
};

/// Decides which upstreams of its data centre a controller owns. It takes over an
/// upstream only after the owner's session row has not changed for lease + order time to
/// live + clock margin by the local clock. Upstreams are distributed over the live
/// controllers by rendezvous hashing. No I/O; not thread safe.
class OwnershipTracker
{
public:
  struct Options
  {
    std::string host;
    std::string dataCentre;
    Duration lease = 6s;
    Duration orderTimeToLive = 2s;
    Duration clockMargin = 1s;
    /// Time for which a joining host must be live before upstreams are released to it.
    Duration joinDelay = 10s;
  };

  explicit OwnershipTracker(Options aOptions);

  /// Takes all session rows, from a read whose response arrived at `aNow`.
  void sessionsRead(const std::vector<platform::Row>& aRows, Instant aNow);

  /// Takes all owner rows, from a read that was sent at `aSentAt` and whose response
  /// arrived at `aNow`.
  std::vector<OwnershipChange> ownersRead(const std::vector<platform::Row>& aRows,
                                          const SessionLease& aSession,
                                          Instant aSentAt,
                                          Instant aNow);

  /// Claims to send now for some of `aUpstreams`, the engines of this data centre. Pass
  /// each result to `claimDone`.
  std::vector<OwnerClaim> claims(const std::set<std::string>& aUpstreams,
                                 const SessionLease& aSession,
                                 Instant aNow);
  std::optional<OwnershipChange> claimDone(
    const OwnerClaim& aClaim,
    const Result<platform::TransactionOutcome>& aOutcome,
    const SessionLease& aSession,
    Instant aNow);

  /// An owned upstream that rendezvous hashing gives to another live controller, if any.
  std::optional<std::string> upstreamToHandOver(Instant aNow) const;

  /// Releases an upstream, which counts as not owned from now on. Preconditions: the
  /// upstream is owned, and no order of this controller to it can still take effect. Pass
  /// the result to `releaseDone`.
  platform::Transaction release(const std::string& aUpstream);

  /// Returns true if the release was committed; otherwise later reads show the outcome.
  bool releaseDone(const std::string& aUpstream,
                   const Result<platform::TransactionOutcome>& aOutcome,
                   Instant aNow);

  /// Drops the ownership of an upstream whose engine reported a newer owner.
  std::optional<OwnershipChange> superseded(const std::string& aUpstream);

  /// Drops all ownerships after the session was lost.
  std::vector<OwnershipChange> sessionLost();

  /// True if an order may be sent now: to an engine that checks fencing numbers as long
  /// as no newer owner is known, to any other engine only while the lease is valid and if
  /// the owner row was read or written since `SessionLease::continuousSince`.
  bool mayOrder(const std::string& aUpstream,
                bool aChecksFencing,
                const SessionLease& aSession,
                Instant aNow) const;

  /// The ownership of an upstream, or null.
  const Ownership* find(const std::string& aUpstream) const;
  std::vector<std::string> owned() const;

  /// True while the outcome of a claim or release is unknown.
  bool hasPendingTransactions() const { return !mPending.empty(); }

  /// Controllers of a data centre, or of all if `aDataCentre` is empty, whose session is
  /// being renewed and is not marked as leaving. Contains the local host if its session
  /// row was read.
  std::set<std::string> liveHosts(const std::string& aDataCentre, Instant aNow) const;

  /// Time after which an unchanged session counts as ended.
  Duration takeoverTime() const;

private:
  struct Session
  {
    std::uint64_t version = 0;
    SessionRow row;
    Instant changedAt;    // receipt of the first read that showed this version
    Instant firstSeenAt;  // receipt of the first read that showed this incarnation
    bool renewed = false; // at least two versions of this incarnation were read
  };
  struct Held
  {
    Ownership ownership;
    Instant claimSentAt;
    Instant confirmedAt; // send time of the latest read that showed the row unchanged
  };
  struct Pending
  {
    std::uint64_t id = 0; // 0: a release
    std::uint64_t fencingNumber = 0;
    Instant sentAt;
    bool hasResponse = false; // the outcome is unknown or a conflict
    Instant respondedAt;
  };
  bool ownerExpired(const OwnerRow& aOwner, Instant aNow) const;
  std::optional<OwnerClaim> makeClaim(const std::string& aUpstream,
                                      const SessionLease& aSession,
                                      Instant aNow) const;
  OwnershipChange drop(const std::string& aUpstream, const std::string& aReason);

  Options mOptions;
  bool mSessionsKnown = false;
  bool mOwnersKnown = false;
  std::map<std::string, Session> mSessions;
  // When a session that an owner row names was first found missing, by host and
  // incarnation.
  std::map<std::pair<std::string, std::uint64_t>, Instant> mMissingSince;
  std::map<std::string, Versioned<OwnerRow>> mOwners;
  std::map<std::string, Held> mHeld;
  std::map<std::string, Pending> mPending;
  std::uint64_t mLastClaim = 0;
};

} // namespace savoryrill::placement

namespace savoryrill {

template<>
struct EnumNames<placement::ClaimReason>
{
  static constexpr EnumTable<placement::ClaimReason, 3> kTable{ {
    { placement::ClaimReason::Unowned, "unowned" },
    { placement::ClaimReason::Takeover, "takeover" },
    { placement::ClaimReason::Reclaim, "reclaim" },
  } };
};

} // namespace savoryrill
