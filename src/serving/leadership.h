#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/types/storeposition.h"

namespace savoryrill::serving {

/// The table row that names the leader: the only host that may send placement orders.
struct LeaderRow
{
  std::string host;
  std::string endpoint;      // of the host's peer socket
  std::string term;          // random, new each time a process takes the leadership
  bool released = false;     // the holder sends no more orders
  StorePosition version = 0; // assigned by the table store
  std::string successor;     // of a released row: host to take it; empty: any
  std::uint64_t era = 0;     // of the store when the row was written
  bool pausing = false; // the holder may not order yet, since it has just taken the row
};

enum class LeadershipStep
{
  None,
  Read,   // read the row
  Take,   // write the row, provided it still has `baseVersion`
  Renew,  // likewise
  Release // likewise
};

/// Lease-based election of the host that may order loads. The lease is a row of the
/// platform's table and needs no clock there: a holder counts the lease from before it
/// sent the renewal, and a successor waits until the row has been unchanged for a whole
/// lease. After taking the row, the successor sends no order until `handoverGap` has
/// passed since the last time at which its predecessor could send one. The fencing number
/// is the row version of the take, which only grows.
///
/// A store that has come back from a copy may hold the row of an earlier holder, or none.
/// A row that was written in an earlier era of the store says nothing of the present
/// holder, whose lease ends within `lease` of the first read in the new era; until then,
/// and for `handoverGap` more, no other host orders.
///
/// Instants must come from a clock that keeps running while the machine is suspended. Not
/// thread safe; no I/O.
class Leadership
{
public:
  struct Options
  {
    std::string host;
    std::string endpoint;
    Duration lease = 1500ms;
    Duration renewPeriod = 450ms; // at most a third of the lease
    /// Allowance for the delay between the check of `mayOrder` and the arrival of the
    /// order at the engine.
    Duration margin = 300ms;
    /// Minimum time between orders of two different hosts to the same engine.
    Duration handoverGap = 3000ms;
    /// Time between reads of the row while no updates from the leader arrive.
    Duration readPeriod = 500ms;
    /// Time without an update from the leader after which the row is read again.
    Duration leaderTimeout = 1500ms;
    Duration retryPause = 200ms; // after a failed call to the table store
    /// Additional wait before a row without a holder is taken. Hosts that are less suited
    /// as leader, such as those with slow links, have a longer one, so that others take
    /// the row first.
    Duration takeDelay = Duration::zero();
    /// Additional wait before a released row is taken that names another host as
    /// successor.
    Duration successorHeadStart = 600ms;
  };

  explicit Leadership(Options aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  /// The era that the store states; call before `next` and `rowRead`.
  void setStoreEra(std::uint64_t aEra);

  /// The call to the table store to make now; `None` if there is none to make, or while
  /// one is in progress. `aStopping`: the process is shutting down, so that it releases
  /// the lease and does not take it again.
  LeadershipStep next(Instant aNow, bool aStopping) const;

  /// Sets the host that a release names as successor; empty: any host. In a rolling
  /// restart it is one that has been restarted already, since each change of leaders
  /// costs `handoverGap` without orders.
  void setSuccessor(std::string aHost) { mSuccessor = std::move(aHost); }

  /// The row to write for `Take`, `Renew` and `Release`. `aTerm` is used for a take only,
  /// each of which needs a new one.
  LeaderRow rowFor(LeadershipStep aStep, const std::string& aTerm, Instant aNow) const;
  /// Version that the row must still have for a write to apply; 0: no row may exist.
  StorePosition baseVersion() const { return mRow ? mRow->version : 0; }

  /// Call when a call is sent; `aTerm` is the term of a take.
  void callSent(LeadershipStep aStep, const std::string& aTerm, Instant aNow);

  /// Call when a write was applied; the row now has `aVersion`.
  void writeApplied(LeadershipStep aStep,
                    const LeaderRow& aRow,
                    StorePosition aVersion,
                    Instant aNow);

  /// Call with the row as read; nothing if there is no row.
  void rowRead(const std::optional<LeaderRow>& aRow, Instant aNow);

  /// Call when a write was refused because the row has changed, or when its outcome is
  /// unknown. The next call reads the row.
  void writeUncertain(Instant aNow);

  /// Call when a call failed without effect.
  void callFailed(Instant aNow);

  /// Call when an update from the leader arrives. `aVersion` is the row version under
  /// which it leads.
  void leaderUpdateReceived(StorePosition aVersion, Instant aNow);

  /// Call when the leader reports that it sends no more orders under the row with
  /// `aVersion`, and names the host that should take it; empty: any.
  void leadershipReleased(StorePosition aVersion,
                          const std::string& aSuccessor,
                          Instant aNow);

  /// True while this host holds the lease.
  bool leads(Instant aNow) const;
  /// True while orders may be sent. Callers check it right before sending each order.
  bool mayOrder(Instant aNow) const;
  std::uint64_t fencingNumber() const { return mFencingNumber; }
  /// The host that the predecessor named as successor and that did not take the row, so
  /// that this host did; empty if there is none. It may not reach the table store.
  const std::string& skippedSuccessor() const { return mSkippedSuccessor; }
  /// The last known row.
  const std::optional<LeaderRow>& row() const { return mRow; }

private:
  bool ownRow() const { return mRow && !mTerm.empty() && mRow->term == mTerm; }
  bool mayTake(Instant aNow) const;
  /// True if the row, or its absence, may come from a copy of the store.
  bool mayBeOutdated(const std::optional<LeaderRow>& aRow) const;
  bool mayHaveLostRow(Instant aNow) const;
  /// Time from which this host may order after it has taken the row from `aPrevious`.
  Instant firstOrderAfter(const std::optional<LeaderRow>& aPrevious, Instant aNow) const;
  /// Time after which the holder of a row, as another host has seen it, sends no order.
  Instant lastOrderOf(const LeaderRow& aRow) const;
  /// Wait before a released row is taken.
  Duration releasedTakeDelay(const std::string& aSuccessor) const;

  Options mOptions;
  std::optional<LeaderRow> mRow;
  std::uint64_t mStoreEra = 0;
  bool mRowRead = false;
  std::string mTerm;         // of the last take sent
  Instant mUnchangedSince{}; // earliest time since which the row is known to be unchanged
  Instant mCallSentAt{};
  std::optional<Instant> mLastCall;
  std::optional<Instant> mLastUpdate;
  std::uint64_t mUpdateVersion = 0;
  Instant mUpdateVersionSince{};
  std::optional<std::uint64_t> mReleasedVersion;
  Instant mReleaseAnnounced{};   // when `mReleasedVersion` was
  std::string mReleasedTo;       // successor named with `mReleasedVersion`
  std::string mSuccessor;        // to name when this host releases the row
  std::string mSkippedSuccessor; // see `skippedSuccessor`
  bool mInFlight = false;
  bool mReadNeeded = true;
  // True if the last read found the row of this process; its lease may have lapsed.
  bool mOwnRowConfirmed = false;
  std::optional<Instant> mLastFailure;
  Instant mValidUntil{};
  Instant mMayOrderFrom{};
  std::uint64_t mFencingNumber = 0;
  Instant mLastRenewal{};
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::LeadershipStep>
{
  static constexpr EnumTable<serving::LeadershipStep, 5> kTable{ {
    { serving::LeadershipStep::None, "none" },
    { serving::LeadershipStep::Read, "read" },
    { serving::LeadershipStep::Take, "take" },
    { serving::LeadershipStep::Renew, "renew" },
    { serving::LeadershipStep::Release, "release" },
  } };
};

} // namespace savoryrill
