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

/// The lease on a controller's own session row. Validity is counted from the moment at
/// which a renewal was sent, by the own clock. A renewal whose outcome is unknown is
/// settled by reading the row back. If the row turns out to be another process's or
/// absent, the session is lost and the next one has a new incarnation. No I/O; not thread
/// safe.
class SessionLease
{
public:
  struct Options
  {
    std::string host;
    std::string dataCentre;
    Duration lease = 6s;
  };

  /// Command: read the own session row and pass the result to `rowRead`.
  struct ReadRow
  {};
  /// Nothing to do, a read, or a transaction whose result goes to `transactionDone`.
  using Command = std::variant<std::monostate, ReadRow, platform::Transaction>;

  /// What a result meant.
  enum class Change
  {
    None,
    Established, // a new incarnation has its row
    Lost         // ownership of the former incarnation is void
  };

  /// `aIncarnations` yields numbers that no process has used for this host before.
  SessionLease(Options aOptions, std::function<std::uint64_t()> aIncarnations);

  /// What to do now; at most one command is outstanding.
  Command next(Instant aNow);

  /// Result of a `ReadRow`.
  Change rowRead(const Result<std::optional<platform::Row>>& aRow, Instant aNow);

  /// Result of a transaction.
  Change transactionDone(const Result<platform::TransactionOutcome>& aOutcome,
                         Instant aNow);

  /// Marks the session as leaving, with the next renewal at once. Others then claim no
  /// upstream for this host.
  void leave() { mLeaving = true; }

  /// True once the leaving mark is in the row.
  bool leavingCommitted() const { return mLeavingCommitted; }

  /// True while no other controller can have taken over by this clock.
  bool valid(Instant aNow) const { return mEstablished && aNow < mValidUntil; }

  /// True if the row was written in this incarnation (the lease may have expired since).
  bool established() const { return mEstablished; }

  std::uint64_t incarnation() const { return mIncarnation; }

  /// Owner rows that were read or written by requests sent since this instant cannot have
  /// been taken over while the lease is valid. It moves when a renewal became known only
  /// after the lease had expired.
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
  std::map<std::uint64_t, SentRenewal>
    mSentRenewals; // by attempt, those not yet superseded
  Instant mNextRenewal;
  Instant mRetryAt;
  Instant mValidUntil;
  Instant mContinuousSince;
};

} // namespace savoryrill::placement
