#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "base/types/enumnames.h"
#include "event/loop.h"
#include "gateway/iprotocol.h"
#include "gateway/irowstore.h"
#include "serving/tablereadcheck.h"
#include "serving/tablereadchoice.h"
#include "serving/upstreamdirectory.h"

namespace savoryrill::gateway {

/// Why a read in progress is given up for another one.
enum class ReadReplacement
{
  Requested,   // by the owner of the follower
  ShorterWait, // the read waits for longer than is allowed now
  NoResponse   // none within the wait and `TableFollower::kHangMargin`
};

/// Follows one table of the platform's store: reads all rows, then the changes, and all
/// rows again if changes were missed. Reads can be left out while another host that reads
/// the same table reports its state, see `confirm`. The known version never decreases.
/// Not thread safe.
class TableFollower
{
public:
  /// A read that has no result this long after its `Options::wait` has hung, and is
  /// replaced by another one.
  static constexpr Duration kHangMargin = 500ms;

  struct Options
  {
    std::string table;
    Duration wait = Duration::zero(); // maximum time a read of changes waits for one
    /// Without `wait`: age of the known state at which the table is read again. With
    /// `wait`: pause between two reads.
    Duration pause = 1s;
    /// Pause after a failed read; doubles with each further failure, up to the maximum.
    Duration failurePause = 300ms;
    Duration maxFailurePause = 1200ms;
    /// If not zero, a failed read is repeated this long after its start, or after
    /// `failurePause` if that is later, even if the pause would be longer. Reads with a
    /// short `wait` then fail by the timeout of the store client, not by `kHangMargin`:
    /// a slow store still confirms the known state.
    Duration retryPeriod = Duration::zero();
  };
  struct Handlers
  {
    std::function<void(const RowSet&)> onAllRows;
    std::function<void(const RowSet&)> onChanges;
    std::function<void()> onReadStarted; // runs before each read; may be empty
    /// Runs after `onChanges` if the read has shown that the known state is the newest
    /// one of the table; receives the start of the read. May be empty.
    std::function<void(Instant)> onConfirmed;
  };

  TableFollower(event::Loop& aLoop,
                IRowStore& aStore,
                EventLog& aLog,
                Metrics& aMetrics,
                Options aOptions,
                Handlers aHandlers);

  void start() { read(); }

  /// Changes `Options::pause`; reschedules the next read.
  void setPause(Duration aPause);
  /// Changes the options of that name for later reads. A read in progress that waits for
  /// longer than `aWait` is replaced at once, since it may have hung; others end by
  /// themselves. Reschedules no read.
  void setTiming(Duration aWait, Duration aPause, Duration aRetryPeriod);

  /// Start of the latest read.
  Instant readStarted() const { return mReadStarted; }

  /// Version up to which the table is known; 0 before the first read has succeeded.
  std::uint64_t version() const { return mVersion.value_or(0); }

  /// Notes that an update from another host, whose read began at `aAsOf` or later, has
  /// brought the known state to `aVersion`. The next read is one of all rows, since such
  /// updates carry only a part of each row.
  void confirm(std::uint64_t aVersion, Instant aAsOf);

  /// Reads at once and gives up a read in progress, which may have hung since an outage
  /// of the store that has ended. A read that is replaced again and again has no result,
  /// so callers replace a read only for an event that happened after its start.
  void readNow();

  /// As `readNow`, but leaves a read in progress that began at `aTime` or later.
  void readNowUnlessBegunSince(Instant aTime);

  /// Reads at once if no read is in progress.
  void readUnlessReading();

  /// As `readNow`, but reads all rows. Leaves a read of all rows that is in progress,
  /// which ends by the timeout of the store.
  void readAllNow();

  /// Makes the next read one of all rows; reschedules no read.
  void requireAllRows() { mReadChoice.requireAllRows(); }

  /// Sets a callback that runs when a read succeeds after a failed one.
  void setRecoveryCallback(std::function<void()> aCallback)
  {
    mRecoveryCallback = std::move(aCallback);
  }

private:
  void readAllRows();
  void readChanges();
  void readAfter(Duration aPause);
  void scheduleRead();
  void read();
  void replaceRead(ReadReplacement aReason);
  void confirmRead(const RowSet& aChanges, std::uint64_t aKnown);
  std::uint64_t coveredVersion(const RowSet& aChanges) const;
  void recordSuccess(const RowSet& aRows);
  void recordFailure(const Error& aError);
  void scheduleRetry();

  event::Loop& mLoop;
  IRowStore& mStore;
  EventLog& mLog;
  Metrics& mMetrics;
  Options mOptions;
  Handlers mHandlers;
  std::optional<std::uint64_t> mVersion;
  serving::TableReadChoice mReadChoice;
  bool mReading = false;
  bool mReadsAllRows = false;            // the latest read
  Duration mReadWait = Duration::zero(); // for a change, of the latest read
  serving::TableReadCheck mReadCheck;
  Instant mReadStarted{};
  std::uint64_t mNewestAtStart = 0;  // version in the store's responses before the read
  std::optional<Instant> mKnownAsOf; // the known state is this recent or newer
  std::uint64_t mReadId = 0;         // of the latest read; results of others are ignored
  std::function<void()> mRecoveryCallback;
  std::optional<Instant> mFailingSince;
  std::uint64_t mFailures = 0; // since `mFailingSince`
  Duration mFailurePause =
    Duration::zero(); // after the last failure; zero after a success
  event::Watch mTimer;
  event::Watch mHangTimer; // for a read of changes that waits
};

} // namespace savoryrill::gateway

namespace savoryrill {

template<>
struct EnumNames<gateway::ReadReplacement>
{
  static constexpr EnumTable<gateway::ReadReplacement, 3> kTable{ {
    { gateway::ReadReplacement::Requested, "requested" },
    { gateway::ReadReplacement::ShorterWait, "shorter-wait" },
    { gateway::ReadReplacement::NoResponse, "no-response" },
  } };
};

} // namespace savoryrill
