#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "serving/types/placement.h"
#include "serving/types/servingconfig.h"
#include "serving/types/upstreamentry.h"

namespace savoryrill::serving {

/// Where an engine loads a checkpoint from.
enum class CheckpointSource
{
  Memory,
  Disk,
  WeightStore
};

/// What the leader knows about one engine: its last settled report, and the orders sent
/// since. The state is settled when a report shows no order in progress. An order without
/// a response may have been carried out: its memory, adapter slot and load stay reserved
/// until a report shows otherwise. Not thread safe; no I/O.
class EngineLedger
{
public:
  EngineLedger(const UpstreamEntry& aEntry, const EngineProfile& aProfile);

  /// Applies a report requested at `aSent`. Reports from before the last accepted order
  /// are ignored.
  void applyReport(const EngineReport& aReport, Instant aSent, Instant aNow);

  /// Applies the engine's entry of the upstream list. Before the first report, the entry
  /// gives the initial state. Later entries can only mark the engine as leaving, because
  /// they lack the number of accepted orders. If such an entry differs from a state that
  /// has not changed for longer than the maximum age of entries, a report is requested.
  void applyListEntry(const UpstreamEntry& aEntry, Instant aNow);

  /// Returns an order for the change, without sending it. Precondition: `mayOrder`.
  PlacementOrder makeOrder(OrderKind aKind, const ModelKey& aModel) const;
  void orderSent(const PlacementOrder& aOrder, Instant aNow);
  void orderDone(OrderOutcome aOutcome, Instant aNow);

  /// True if an order may be sent: the state is settled, and no order awaits its response
  /// or has an unknown outcome.
  bool mayOrder() const { return !mLeaving && mSettled && !mSentOrder && !mUnknownOrder; }
  /// True if an order for a model, not an adapter, may be sent. An engine carries out one
  /// of these at a time.
  bool mayOrderModel(Instant aNow) const;
  /// Sets whether the model of the next unload may have requests in progress.
  void expectRunningRequests(bool aMayBeRunning)
  {
    mExpectsRunningRequests = aMayBeRunning;
  }

  /// Counts a load from the engine's own memory or disk as complete at its expected end:
  /// its time does not depend on other engines. An engine declines requests that arrive
  /// before the end without running them, so they can be retried.
  void assumeLoaded(Instant aNow);

  /// The order of unknown outcome that is due to be sent again unchanged, or null. Both
  /// attempts expect the same number of accepted orders, so the engine accepts at most
  /// one.
  const PlacementOrder* orderToRetry(Instant aNow) const;
  /// True if a report should be requested now.
  bool reportDue(Instant aNow) const;
  void reportRequested(Instant aNow);
  void reportFailed(Instant aNow) { mReportRequestedAt = aNow; }

  /// Grows whenever the result of another accessor may have changed.
  std::uint64_t revision() const { return mRevision; }

  const std::string& id() const { return mId; }
  std::int64_t bornMs() const { return mBornMs; }
  const std::string& dataCentre() const { return mDataCentre; }
  bool leaving() const { return mLeaving; }
  bool settled() const { return mSettled; }

  /// True if the model is ready and no order to unload it was sent.
  bool ready(const std::string& aModel) const;
  /// True if the model is ready or is being loaded.
  bool holds(const std::string& aModel) const;
  bool adapterReady(const ModelKey& aAdapter, Instant aNow) const;
  bool adapterHeld(const ModelKey& aAdapter) const;
  std::size_t adapterCount() const;
  std::vector<ModelKey> adapters() const;
  std::vector<std::string> readyModels() const;
  /// Models that are ready or being loaded.
  std::set<std::string> heldModels() const;

  /// Memory that is or may be in use, in megabytes.
  double memoryUsedMb() const;
  bool fits(const std::string& aModel) const;

  CheckpointSource sourceOf(const std::string& aModel) const;
  /// Expected load time, at full speed.
  Duration loadTime(const std::string& aModel) const;
  bool hasCheckpointCopy(const std::string& aModel) const;
  std::set<std::string> checkpointCopies() const;

  /// A model order that is or may be in progress.
  struct Pending
  {
    PlacementOrder order;
    CheckpointSource source = CheckpointSource::WeightStore;
    Instant sent{};
    Instant expectedEnd{};
  };
  const std::optional<Pending>& pending() const { return mPending; }
  bool loadsFromWeightStore() const;
  /// When a model became ready here; nothing if unknown, as for models of the first
  /// report.
  std::optional<Instant> readySince(const std::string& aModel) const;
  /// Running and waiting requests of the last report.
  std::uint32_t reportedLoad() const { return mReportedLoad; }

  std::vector<ReplicaView> replicas(Instant aNow) const;

private:
  const ModelProfile* profileOf(const std::string& aModel) const;
  bool pendingInProgress(const EngineReport& aReport) const;
  void applyAccepted(const PlacementOrder& aOrder, bool aDone, Instant aNow);
  void settle(const EngineReport& aReport, Instant aNow);

  std::string mId;
  std::int64_t mBornMs = 0;
  std::string mDataCentre;
  const EngineProfile* mProfile;
  bool mLeaving = false;
  bool mSettled = false;
  std::uint64_t mOrdersAccepted = 0;                    // as far as known
  std::map<std::string, std::set<std::string>> mModels; // adapters by model
  std::map<ModelKey, Instant> mAdapterReadyAt;
  std::set<std::string> mInMemory; // models with a checkpoint copy in memory
  std::set<std::string> mOnDisk;   // models with a checkpoint copy on disk
  std::map<std::string, Instant> mReadySince;
  std::optional<Pending> mPending;
  std::optional<PlacementOrder> mSentOrder; // sent, response outstanding
  Instant mOrderSentAt{};
  std::optional<PlacementOrder> mUnknownOrder; // sent, outcome unknown
  Instant mUnknownOrderSince{};                // end of the last attempt to send it
  Instant mReportRequestedAt{};
  Instant mLastChange{};
  bool mExpectsRunningRequests = false;
  std::uint32_t mReportedLoad = 0;
  std::uint64_t mRevision = 0;
};

} // namespace savoryrill::serving
