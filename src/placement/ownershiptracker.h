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
  Unowned,  // no owner, or released by it
  Takeover, // the owner's session was observed unchanged for the takeover time
  Reclaim   // the row names this session, but the claim's outcome was not known
};

/// A transaction that takes ownership of an upstream.
struct OwnerClaim
{
  std::uint64_t id = 0; // tells the claim's result apart from that of an earlier one
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
  /// When the claim became known to have taken effect.
  Instant takenAt;
};

/// What a result changed.
struct OwnershipChange
{
  std::string upstream;
  bool owned = false;
  std::uint64_t fencingNumber = 0;
  std::string reason;
};

/// Decides which upstreams of its data centre a controller owns. It observes the session
/// rows of other controllers and takes an upstream over only when its owner's row was
/// unchanged for lease + order time to live + clock margin by the own clock. Upstreams
/// are spread over live controllers by rendezvous hashing. No I/O; not thread safe.
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
    /// A joining host must be live for this time before upstreams are released to it.
    Duration joinDelay = 10s;
  };

  explicit OwnershipTracker(Options aOptions);

  /// All session rows, from a read that was answered at `aNow`.
  void sessionsRead(const std::vector<platform::Row>& aRows, Instant aNow);

  /// All owner rows, from a read that was sent at `aSentAt` and answered at `aNow`.
  std::vector<OwnershipChange> ownersRead(const std::vector<platform::Row>& aRows,
                                          const SessionLease& aSession,
                                          Instant aSentAt,
                                          Instant aNow);

  /// Claims to send now for some of `aUpstreams`, the engines of the own data centre. The
  /// caller passes each result to `claimDone`.
  std::vector<OwnerClaim> claims(const std::set<std::string>& aUpstreams,
                                 const SessionLease& aSession,
                                 Instant aNow);
  std::optional<OwnershipChange> claimDone(
    const OwnerClaim& aClaim,
    const Result<platform::TransactionOutcome>& aOutcome,
    const SessionLease& aSession,
    Instant aNow);

  /// An owned upstream that should go to another live controller, if there is one.
  std::optional<std::string> upstreamToHandOver(Instant aNow) const;

  /// Gives up an upstream: it counts as not owned from now on. Preconditions: it is
  /// owned, and no order of this controller to it can still take effect. The caller
  /// passes the result to `releaseDone`.
  platform::Transaction release(const std::string& aUpstream);

  /// Returns true if the release is done; otherwise the row is settled by later reads.
  bool releaseDone(const std::string& aUpstream,
                   const Result<platform::TransactionOutcome>& aOutcome,
                   Instant aNow);

  /// Drops an upstream whose engine reported a newer owner.
  std::optional<OwnershipChange> superseded(const std::string& aUpstream);

  /// Drops everything, after the session was lost.
  std::vector<OwnershipChange> sessionLost();

  /// True if an order may be sent now. An engine that checks fencing numbers may be
  /// ordered as long as no newer owner is known; another one only within the lease.
  bool mayOrder(const std::string& aUpstream,
                bool aChecksFencing,
                const SessionLease& aSession,
                Instant aNow) const;

  /// The ownership of an upstream, or null.
  const Ownership* find(const std::string& aUpstream) const;
  std::vector<std::string> owned() const;

  /// True while the outcome of a claim or release is not known.
  bool hasPendingTransactions() const { return !mPending.empty(); }

  /// Controllers of a data centre (of all, if it is empty) whose session is renewed and
  /// not leaving; the own host is among them if its session was read.
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
    bool renewed = false; // a version of this incarnation was seen to be replaced
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
    bool answered = false; // with an unknown outcome or a conflict
    Instant answeredAt;
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
  // First observation that a session named by an owner row no longer exists.
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
