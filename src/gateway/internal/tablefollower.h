#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "gateway/iprotocol.h"
#include "gateway/irowstore.h"
#include "serving/upstreamdirectory.h"

namespace savoryrill::gateway {

/// Follows one table of the platform's store: reads it whole, then its changes, and whole
/// again after a gap. Another host that reads the same table can spare it reads, see
/// `confirm`. Versions only go up. Not thread safe.
class TableFollower
{
public:
  struct Options
  {
    std::string table;
    Duration wait = Duration::zero(); // how long a read of changes may wait for one
    /// Age of what is known at which it is read again; the pause after a read that waits.
    Duration pause = 1s;
    /// After a read that failed; doubles with each further failure, up to the longest.
    Duration failurePause = 300ms;
    Duration maxFailurePause = 1200ms;
  };
  struct Handlers
  {
    std::function<void(const RowSet&)> allRows;
    std::function<void(const RowSet&)> changes;
    std::function<void()> readStarted; // a read that may succeed begins; may be empty
  };

  TableFollower(event::Loop& aLoop,
                IRowStore& aStore,
                EventLog& aLog,
                Metrics& aMetrics,
                Options aOptions,
                Handlers aHandlers);

  void start() { read(); }

  /// Times of later reads; the one that is planned is moved.
  void setPause(Duration aPause);
  /// Waiting time of later reads.
  void setWait(Duration aWait) { mOptions.wait = aWait; }

  /// When the latest read began.
  Instant readStarted() const { return mReadStarted; }

  /// Version up to which the table is known; 0 before the first read.
  std::uint64_t version() const { return mVersion.value_or(0); }

  /// What is known was brought to `aVersion` by another host, whose read began at `aAsOf`
  /// or later. The next read is a whole one, since others tell only a part of the rows.
  void confirm(std::uint64_t aVersion, Instant aAsOf);

  /// Reads at once, without waiting for a call under way: it may hang since an outage of
  /// the store that another reader has seen end.
  void readNow();

  /// Runs when a read succeeds after others have failed.
  void onRecovered(std::function<void()> aCallback)
  {
    mOnRecovered = std::move(aCallback);
  }

private:
  void readAllRows();
  void readChanges();
  void readAfter(Duration aPause);
  void scheduleRead();
  void read();
  void recordSuccess();
  void recordFailure(const Error& aError);
  void scheduleRetry();

  event::Loop& mLoop;
  IRowStore& mStore;
  EventLog& mLog;
  Metrics& mMetrics;
  Options mOptions;
  Handlers mHandlers;
  std::optional<std::uint64_t> mVersion;
  bool mNeedsAllRows = true;
  bool mReading = false;
  Instant mReadStarted{};            // of the latest read
  std::optional<Instant> mKnownAsOf; // the table is known as of this moment or later
  std::uint64_t mReadId = 0;         // results of earlier calls are ignored
  std::function<void()> mOnRecovered;
  std::optional<Instant> mFailingSince;
  Duration mFailurePause = Duration::zero(); // of the next failure; zero: the first one
  event::Watch mTimer;
};

} // namespace savoryrill::gateway
