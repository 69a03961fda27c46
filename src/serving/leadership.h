#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::serving {

/// The row that names the host whose placement orders engines may receive.
struct LeaderRow
{
  std::string host;
  std::string endpoint;      // of its peer socket
  std::string term;          // random, one for each time a process takes the leadership
  bool released = false;     // its holder has stopped ordering
  std::uint64_t version = 0; // of the row, from the table
};

enum class LeadershipStep
{
  None,
  Read,   // read the row
  Take,   // write the row under the version in `base`
  Renew,  // as above
  Release // as above
};

/// Decides who may order loads: a lease in a row of the platform's table, without any
/// clock of the table. A holder counts its lease from before it sent the renewal. A
/// successor waits until the row has not changed for the lease, and after it has taken
/// the row it waits until no order of its predecessor can be near one of its own. The
/// fencing number is the row's version at the take, which only grows. Instants come from
/// a clock that goes on during suspension. Not thread safe; no I/O.
class Leadership
{
public:
  struct Options
  {
    std::string host;
    std::string endpoint;
    Duration lease = 1500ms;       // of the row
    Duration renewPeriod = 450ms;  // a third of the lease or less
    Duration margin = 300ms;       // for delays between a decision and its arrival
    Duration handoverGap = 3000ms; // least time between orders of two hosts to one engine
    Duration readPeriod = 500ms;   // while the leader is not heard
    Duration leaderTimeout = 1500ms; // after which a leader counts as not heard
    Duration retryPause = 200ms;     // after a call that failed
    /// Added before a free row is taken, so that hosts that can lead better come first.
    Duration takeDelay = Duration::zero();
  };

  explicit Leadership(Options aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  /// The call to make now, if none is under way.
  LeadershipStep next(Instant aNow, bool aStopping) const;

  /// The row to write for `Take`, `Renew` and `Release`; `aTerm` is new for a take.
  LeaderRow rowFor(LeadershipStep aStep, const std::string& aTerm) const;
  /// Version that the row must have for the write to apply; 0: no row.
  std::uint64_t baseVersion() const { return mRow ? mRow->version : 0; }

  /// Notes that a call is sent; `aTerm` is that of a take.
  void callSent(LeadershipStep aStep, const std::string& aTerm, Instant aNow);

  /// The write was applied with `aVersion`.
  void writeApplied(LeadershipStep aStep,
                    const LeaderRow& aRow,
                    std::uint64_t aVersion,
                    Instant aNow);

  /// The row as read, nothing if it is absent.
  void rowRead(const std::optional<LeaderRow>& aRow, Instant aNow);

  /// The write was refused since the row has changed, or its outcome is unknown: the row
  /// is read again before anything else.
  void writeUncertain(Instant aNow);

  /// The call failed without effect.
  void callFailed(Instant aNow);

  /// A message of the leader has arrived, which knows its row at `aVersion`.
  void leaderUpdateReceived(std::uint64_t aVersion, Instant aNow);

  /// The leader has told that it gives no more orders under the row at `aVersion`.
  void leadershipReleased(std::uint64_t aVersion, Instant aNow);

  /// True while this host holds the lease.
  bool leads(Instant aNow) const;
  /// True while orders may be sent. Checked as the last step before each order.
  bool mayOrder(Instant aNow) const;
  std::uint64_t fencingNumber() const { return mFencingNumber; }
  /// The last known row.
  const std::optional<LeaderRow>& row() const { return mRow; }

private:
  bool ownRow() const { return mRow && !mTerm.empty() && mRow->term == mTerm; }
  bool mayTake(Instant aNow) const;

  Options mOptions;
  std::optional<LeaderRow> mRow;
  bool mRowRead = false;
  std::string mTerm; // of the last take that was sent
  Instant mUnchangedSince{};
  Instant mCallSentAt{};
  std::optional<Instant> mLastCall;
  std::optional<Instant> mLastUpdate;
  std::uint64_t mUpdateVersion = 0;
  Instant mUpdateVersionSince{};
  std::optional<std::uint64_t> mReleasedVersion;
  bool mInFlight = false;
  bool mReadNeeded = true;
  bool mOwnRowConfirmed = false; // the lapsed lease is still in the row
  std::optional<Instant> mLastFailure;
  Instant mValidUntil{};
  Instant mOrderFrom{};
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
