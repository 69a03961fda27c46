#include "gateway/internal/tablefollower.h"

#include <algorithm>

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

namespace {

// Bounds the rate of reads when a read takes as long as the pause between two.
constexpr Duration kMinReadPause = 50ms;

/// Size of the values of all rows.
std::uint64_t
bytesOf(const RowSet& aRows)
{
  std::uint64_t bytes = 0;
  for (const auto& row : aRows.rows) {
    bytes += row.value.size();
  }
  return bytes;
}

} // namespace

TableFollower::TableFollower(event::Loop& aLoop,
                             IRowStore& aStore,
                             EventLog& aLog,
                             Metrics& aMetrics,
                             Options aOptions,
                             Handlers aHandlers)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mOptions(std::move(aOptions))
  , mHandlers(std::move(aHandlers))
{
}

void
TableFollower::readAllRows()
{
  mStore.readTable(mOptions.table, [this, read_id = mReadId](Result<RowSet> aRows) {
    if (read_id != mReadId) {
      return;
    }
    mReading = false;
    if (!aRows) {
      recordFailure(aRows.error());
      scheduleRetry();
      return;
    }
    recordSuccess(aRows.value());
    if (mVersion && aRows.value().version < *mVersion) {
      // Right after the store has dropped its history, a read may return a state that is
      // seconds old.
      readAfter(mOptions.failurePause);
      return;
    }
    mVersion = aRows.value().version;
    mReadChoice.readSucceeded(true, !aRows.value().rows.empty());
    mKnownAsOf = mReadStarted;
    mHandlers.onAllRows(aRows.value());
    if (mHandlers.onConfirmed && !mReading) {
      readAfter(kMinReadPause); // only reads of changes confirm
    } else {
      scheduleRead();
    }
  });
}

void
TableFollower::readChanges()
{
  if (mOptions.wait > Duration::zero() && mOptions.retryPeriod == Duration::zero()) {
    mHangTimer = mLoop.after(mOptions.wait + kHangMargin, [this] {
      recordFailure({ ErrorCode::OutcomeUnknown, "no response to a waiting read" });
      replaceRead(ReadReplacement::NoResponse);
    });
  }
  mStore.readChanges(mOptions.table,
                     *mVersion,
                     mOptions.wait,
                     [this, read_id = mReadId](Result<RowSet> aRows) {
                       if (read_id != mReadId) {
                         return;
                       }
                       mReading = false;
                       mHangTimer.reset();
                       if (!aRows) {
                         if (aRows.error().code == ErrorCode::NotFound) {
                           // The store no longer has all changes since the known version.
                           mReadChoice.requireAllRows();
                           readAfter(Duration::zero());
                           return;
                         }
                         recordFailure(aRows.error());
                         scheduleRetry();
                         return;
                       }
                       recordSuccess(aRows.value());
                       mReadChoice.readSucceeded(false, !aRows.value().rows.empty());
                       const auto known = *mVersion;
                       mVersion = std::max(known, coveredVersion(aRows.value()));
                       mKnownAsOf = mReadStarted;
                       mHandlers.onChanges(aRows.value());
                       confirmRead(aRows.value(), known);
                       scheduleRead();
                     });
}

/// Only a read of changes confirms, since the store may answer a read of all rows with a
/// state that is seconds old.
void
TableFollower::confirmRead(const RowSet& aChanges, std::uint64_t aKnown)
{
  const auto as_of =
    mReadCheck.changesRead(aKnown, aChanges.version, aChanges.rows.empty());
  if (mHandlers.onConfirmed && !mReading && as_of) {
    mHandlers.onConfirmed(*as_of);
  }
}

/// The version up to which a read of changes has shown all of them. If a change arrives
/// as the wait ends, a response may hold the newest version and not yet the change.
/// Certain are the versions of its rows, and those that the store had stated before the
/// read.
std::uint64_t
TableFollower::coveredVersion(const RowSet& aChanges) const
{
  auto covered = mNewestAtStart;
  for (const auto& row : aChanges.rows) {
    covered = std::max(covered, row.version);
  }
  return std::min(covered, aChanges.version);
}

void
TableFollower::readAfter(Duration aPause)
{
  mTimer = mLoop.after(aPause, [this] { read(); });
}

void
TableFollower::scheduleRead()
{
  if (mReading) {
    return; // a handler has started a read
  }
  if (mOptions.wait > Duration::zero()) {
    readAfter(mOptions.pause);
    return;
  }
  readAfter(std::max(kMinReadPause, *mKnownAsOf + mOptions.pause - mLoop.now()));
}

void
TableFollower::read()
{
  mTimer.reset();
  mHangTimer.reset();
  mReading = true;
  mReadsAllRows = mReadChoice.allRows();
  mReadWait = mReadsAllRows ? Duration::zero() : mOptions.wait;
  mReadStarted = mLoop.now();
  mNewestAtStart = mStore.newestVersion();
  mReadCheck.readStarted(mReadStarted, mNewestAtStart);
  ++mReadId;
  if (mHandlers.onReadStarted) {
    mHandlers.onReadStarted();
  }
  if (mReadsAllRows) {
    readAllRows();
  } else {
    readChanges();
  }
}

/// The result of a read that is replaced is ignored.
void
TableFollower::replaceRead(ReadReplacement aReason)
{
  if (mReading) {
    mLog.write(kReadReplaced,
               { { "table", mOptions.table },
                 { "reason", nameOf(aReason) },
                 { "age_ms", toMs(mLoop.now() - mReadStarted) },
                 { "wait_ms", toMs(mReadWait) } });
  }
  if (mReading && mReadWait > Duration::zero()) {
    // It would take up a connection until its timeout, and no further read could begin
    // once all are taken.
    mStore.cancelWaitingReads(mOptions.table);
  }
  read();
}

void
TableFollower::readNow()
{
  replaceRead(ReadReplacement::Requested);
}

void
TableFollower::readNowUnlessBegunSince(Instant aTime)
{
  if (!mReading || mReadStarted < aTime) {
    readNow();
  }
}

void
TableFollower::readUnlessReading()
{
  if (!mReading) {
    read();
  }
}

void
TableFollower::readAllNow()
{
  if (mReading && mReadsAllRows) {
    return;
  }
  mReadChoice.requireAllRows();
  readNow();
}

void
TableFollower::setTiming(Duration aWait, Duration aPause, Duration aRetryPeriod)
{
  mOptions.wait = aWait;
  mOptions.pause = aPause;
  mOptions.retryPeriod = aRetryPeriod;
  if (mReading && mReadWait > aWait) {
    replaceRead(ReadReplacement::ShorterWait);
  }
}

void
TableFollower::setPause(Duration aPause)
{
  mOptions.pause = aPause;
  if (mKnownAsOf && !mFailingSince) {
    scheduleRead();
  }
}

void
TableFollower::confirm(std::uint64_t aVersion, Instant aAsOf)
{
  if (!mVersion || !mKnownAsOf) {
    return;
  }
  mVersion = std::max(*mVersion, aVersion);
  mReadChoice.requireAllRows();
  mKnownAsOf = std::max(*mKnownAsOf, aAsOf);
  if (!mReading) {
    scheduleRead();
  }
}

/// Backs off. Load pattern: the store is unreachable, and a hundred hosts read from it
/// several times a second.
void
TableFollower::scheduleRetry()
{
  mFailurePause = mFailurePause == Duration::zero()
                    ? mOptions.failurePause
                    : std::min(2 * mFailurePause, mOptions.maxFailurePause);
  const Duration until_period = mReadStarted + mOptions.retryPeriod - mLoop.now();
  readAfter(mOptions.retryPeriod == Duration::zero()
              ? mFailurePause
              : std::clamp(until_period, mOptions.failurePause, mFailurePause));
}

void
TableFollower::recordSuccess(const RowSet& aRows)
{
  mFailurePause = Duration::zero();
  if (mFailingSince) {
    mLog.write(kStoreRegained,
               { { "read", mOptions.table },
                 { "after_ms", toMs(mLoop.now() - *mFailingSince) },
                 { "failures", mFailures },
                 { "all_rows", mReadsAllRows ? "yes" : "no" },
                 { "rows", std::uint64_t{ aRows.rows.size() } },
                 { "bytes", bytesOf(aRows) } });
    mFailingSince.reset();
    if (mRecoveryCallback) {
      mRecoveryCallback();
    }
  }
}

void
TableFollower::recordFailure(const Error& aError)
{
  mMetrics.add("savoryrill_gateway_store_failures_total{table=\"" + mOptions.table +
               "\"}");
  if (aError.code != ErrorCode::Unavailable) {
    mReadChoice.responseLost();
  }
  if (!mFailingSince) {
    mFailingSince = mLoop.now();
    mFailures = 1;
    mLog.write(kStoreLost, { { "read", mOptions.table }, { "reason", aError.message } });
    return;
  }
  ++mFailures;
  // Bounded by the pause after a failed read, about one line a second and table.
  mLog.write(kReadFailed,
             { { "read", mOptions.table },
               { "all_rows", mReadsAllRows ? "yes" : "no" },
               { "age_ms", toMs(mLoop.now() - mReadStarted) },
               { "failures", mFailures },
               { "reason", aError.message } });
}

} // namespace savoryrill::gateway
