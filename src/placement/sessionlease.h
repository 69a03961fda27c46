#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "base/result.h"
#include "base/types/time.h"
#include "placement/types/rows.h"
#include "platform/types/table.h"

namespace savoryrill::placement {

/// The lease on a controller's own session row. It is valid from the time at which a
/// renewal was sent, by the local clock. If the outcome of a renewal is unknown, the row
/// is read back. If the row is absent or belongs to another process, the session is lost
/// and the next session has a new incarnation. No I/O; not thread safe.
class SessionLease
{
public:
  struct Options
  {
    std::string host;
    std::string dataCentre;
    Duration lease = 6s;
  };

  /// Command to read the own session row and pass the result to `rowRead`.
  struct ReadRow
  {};
  /// Nothing to do, a read, or a transaction whose result goes to `transactionDone`.
  using Command = std::variant<std::monostate, ReadRow, platform::Transaction>;

  /// Effect of a result on the session.
  enum class Change
  {
    None,
    Established, // the row of a new incarnation was written
    Lost         // the former incarnation owns nothing any more
  };

  /// `aIncarnations` returns numbers that no process has used for this host before.
  SessionLease(Options aOptions, std::function<std::uint64_t()> aIncarnations);

  /// The command to carry out now; at most one is outstanding.
  Command next(Instant aNow);

  /// Result of a `ReadRow`.
  Change rowRead(const Result<std::optional<platform::Row>>& aRow, Instant aNow);

  /// Result of a transaction.
  Change transactionDone(const Result<platform::TransactionOutcome>& aOutcome,
                         Instant aNow);

  /// Marks the session as leaving; the next renewal, which writes the mark, is due at
  /// once. Controllers that read the mark no longer count this host as live.
  void leave() { mLeaving = true; }

  /// True once the leaving mark is in the row.
  bool leavingCommitted() const { return mLeavingCommitted; }

  /// True while no other controller can have taken over this host's upstreams.
  bool valid(Instant aNow) const { return mEstablished && aNow < mValidUntil; }

  /// True if the row was written in this incarnation; the lease may have expired since.
  bool established() const { return mEstablished; }

  std::uint64_t incarnation() const { return mIncarnation; }

  /// If a request that was sent at or after this time showed that this session owns an
  /// upstream, no other controller can take the upstream over while the lease is valid.
  /// The time advances if a renewal is confirmed only after the lease has expired.
  Instant continuousSince() const { return mContinuousSince; }

private:
  enum class Phase
  {
    Unknown, // the row's version must be read
    Idle,
    Reading,
    Writing
  };
  platform::Transaction renewal(Instant aNow);
  Change confirm(std::uint64_t aVersion, std::uint64_t aAttempt, Instant aNow);
  Change handleLoss();

  Options mOptions;
  std::function<std::uint64_t()> mIncarnations;
  std::uint64_t mIncarnation;
  Phase mPhase = Phase::Unknown;
  bool mEstablished = false;
  bool mLeaving = false;
  bool mLeavingCommitted = false;
  std::uint64_t mVersion = 0;
  std::uint64_t mAttempt = 0;
  struct SentRenewal
  {
    Instant at;
    bool leaving = false;
  };
  // By attempt; without those before a confirmed one.
  std::map<std::uint64_t, SentRenewal> mSentRenewals;
  Instant mNextRenewal;
  Instant mRetryAt;
  Instant mValidUntil;
  Instant mContinuousSince;
};

} // namespace savoryrill::placement
