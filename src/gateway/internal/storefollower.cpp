#include "gateway/internal/storefollower.h"

#include <algorithm>

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

namespace {

// Bounds the rate of reads if each takes as long as the pause between them.
constexpr Duration kLeastPause = 50ms;

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
TableFollower::readWhole()
{
  mStore.readTable(mOptions.table, [this, call = mCall](Result<RowSet> aRows) {
    if (call != mCall) {
      return;
    }
    mReading = false;
    if (!aRows) {
      noteFailure(aRows.error());
      readAfterFailure();
      return;
    }
    noteSuccess();
    if (mVersion && aRows.value().version < *mVersion) {
      // Reads may be seconds old right after the history was dropped.
      readLater(mOptions.failurePause);
      return;
    }
    mVersion = aRows.value().version;
    mNeedsWhole = false;
    mKnownAt = mStarted;
    mHandlers.whole(aRows.value());
    readWhenOld();
  });
}

void
TableFollower::readChanges()
{
  mStore.readChanges(
    mOptions.table, *mVersion, mOptions.wait, [this, call = mCall](Result<RowSet> aRows) {
      if (call != mCall) {
        return;
      }
      mReading = false;
      if (!aRows) {
        if (aRows.error().code == ErrorCode::NotFound) {
          // The history is gone, so changes may have been missed.
          mNeedsWhole = true;
          readLater(Duration::zero());
          return;
        }
        noteFailure(aRows.error());
        readAfterFailure();
        return;
      }
      noteSuccess();
      mVersion = std::max(*mVersion, aRows.value().version);
      mKnownAt = mStarted;
      mHandlers.changes(aRows.value());
      readWhenOld();
    });
}

void
TableFollower::readLater(Duration aPause)
{
  mTimer = mLoop.after(aPause, [this] { read(); });
}

void
TableFollower::readWhenOld()
{
  if (mReading) {
    return; // asked for by a handler
  }
  if (mOptions.wait > Duration::zero()) {
    readLater(mOptions.pause);
    return;
  }
  readLater(std::max(kLeastPause, *mKnownAt + mOptions.pause - mLoop.now()));
}

void
TableFollower::read()
{
  mTimer.reset();
  mReading = true;
  mStarted = mLoop.now();
  ++mCall;
  if (mHandlers.started) {
    mHandlers.started();
  }
  if (mNeedsWhole) {
    readWhole();
  } else {
    readChanges();
  }
}

void
TableFollower::readNow()
{
  read();
}

void
TableFollower::setPause(Duration aPause)
{
  mOptions.pause = aPause;
  if (mKnownAt && !mLostSince) {
    readWhenOld();
  }
}

void
TableFollower::confirm(std::uint64_t aVersion, Instant aAsOf)
{
  if (!mVersion || !mKnownAt) {
    return;
  }
  mVersion = std::max(*mVersion, aVersion);
  mNeedsWhole = true;
  mKnownAt = std::max(*mKnownAt, aAsOf);
  if (!mReading) {
    readWhenOld();
  }
}

/// Load pattern: the store is away, and a hundred hosts ask for it several times a
/// second.
void
TableFollower::readAfterFailure()
{
  mFailurePause = mFailurePause == Duration::zero()
                    ? mOptions.failurePause
                    : std::min(2 * mFailurePause, mOptions.longestFailurePause);
  readLater(mFailurePause);
}

void
TableFollower::noteSuccess()
{
  mFailurePause = Duration::zero();
  if (mLostSince) {
    mLog.write(
      kStoreRegained,
      { { "read", mOptions.table }, { "after_ms", toMs(mLoop.now() - *mLostSince) } });
    mLostSince.reset();
    if (mRegained) {
      mRegained();
    }
  }
}

void
TableFollower::noteFailure(const Error& aError)
{
  mMetrics.add("savoryrill_gateway_store_failures_total{table=\"" + mOptions.table +
               "\"}");
  if (!mLostSince) {
    mLostSince = mLoop.now();
    mLog.write(kStoreLost, { { "read", mOptions.table }, { "reason", aError.message } });
  }
}

} // namespace savoryrill::gateway
