#include "gateway/internal/storefollower.h"

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

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
  mStore.readTable(mOptions.table, [this, call = ++mCall](Result<RowSet> aRows) {
    if (call != mCall) {
      return;
    }
    if (!aRows) {
      noteFailure(aRows.error());
      readLater(mOptions.failurePause);
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
    mHandlers.whole(aRows.value());
    readLater(mOptions.pause);
  });
}

void
TableFollower::readChanges()
{
  mStore.readChanges(mOptions.table,
                     *mVersion,
                     mOptions.wait,
                     [this, call = ++mCall](Result<RowSet> aRows) {
                       if (call != mCall) {
                         return;
                       }
                       if (!aRows) {
                         if (aRows.error().code == ErrorCode::NotFound) {
                           // The history is gone, so changes may have been missed.
                           mNeedsWhole = true;
                           readLater(Duration::zero());
                           return;
                         }
                         noteFailure(aRows.error());
                         readLater(mOptions.failurePause);
                         return;
                       }
                       noteSuccess();
                       mVersion = std::max(*mVersion, aRows.value().version);
                       mHandlers.changes(aRows.value());
                       readLater(mOptions.pause);
                     });
}

void
TableFollower::readLater(Duration aPause)
{
  mTimer = mLoop.after(aPause, [this] { read(); });
}

void
TableFollower::read()
{
  if (mNeedsWhole) {
    readWhole();
  } else {
    readChanges();
  }
}

void
TableFollower::readNow()
{
  mTimer.reset();
  read();
}

void
TableFollower::noteSuccess()
{
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
