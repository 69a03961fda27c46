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
/// again after a gap. Versions only go up. Not thread safe.
class TableFollower
{
public:
  struct Options
  {
    std::string table;
    Duration wait = Duration::zero(); // how long a read of changes may wait for one
    Duration pause = 1s;              // between two reads
    Duration failurePause = 300ms;    // after a read that failed
  };
  struct Handlers
  {
    std::function<void(const RowSet&)> whole;
    std::function<void(const RowSet&)> changes;
  };

  TableFollower(event::Loop& aLoop,
                IRowStore& aStore,
                EventLog& aLog,
                Metrics& aMetrics,
                Options aOptions,
                Handlers aHandlers);

  void start() { readWhole(); }

  /// Reads at once, without waiting for a call under way: it may hang since an outage of
  /// the store that another reader has seen end.
  void readNow();

  /// Runs when a read succeeds after others have failed.
  void onRegained(std::function<void()> aCallback) { mRegained = std::move(aCallback); }

private:
  void readWhole();
  void readChanges();
  void readLater(Duration aPause);
  void read();
  void noteSuccess();
  void noteFailure(const Error& aError);

  event::Loop& mLoop;
  IRowStore& mStore;
  EventLog& mLog;
  Metrics& mMetrics;
  Options mOptions;
  Handlers mHandlers;
  std::optional<std::uint64_t> mVersion;
  bool mNeedsWhole = true;
  std::uint64_t mCall = 0; // results of earlier calls are ignored
  std::function<void()> mRegained;
  std::optional<Instant> mLostSince;
  event::Watch mTimer;
};

} // namespace savoryrill::gateway
