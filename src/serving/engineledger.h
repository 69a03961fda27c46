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

/// Where an engine takes a checkpoint from.
enum class CheckpointSource
{
  Memory,
  Disk,
  WeightStore
};

/// What the leader of placement knows about one engine: its last settled report, and the
/// orders since. An order without a response counts as perhaps carried out: its memory,
/// adapter place and load stay taken until a report shows otherwise. Not thread safe; no
/// I/O.
class EngineLedger
{
public:
  EngineLedger(const UpstreamEntry& aEntry, const EngineProfile& aProfile);

  /// Takes a report that was asked for at `aSent`. Reports from before the last accepted
  /// order are ignored.
  void applyReport(const EngineReport& aReport, Instant aSent, Instant aNow);

  /// Takes the entry of the platform's list, which does not tell how many orders it has
  /// seen: it shows what is there until a report does, and asks for one where it differs
  /// from a state that has been quiet for longer than entries lag.
  void applyListEntry(const UpstreamEntry& aEntry, Instant aNow);

  /// The order to send for a change. Precondition: `mayOrder`.
  PlacementOrder makeOrder(OrderKind aKind, const ModelKey& aModel) const;
  void orderSent(const PlacementOrder& aOrder, Instant aNow);
  void orderDone(OrderOutcome aOutcome, Instant aNow);

  /// True if an order may be sent: the state is settled and no call is under way.
  bool mayOrder() const { return !mLeaving && mSettled && !mSentOrder && !mUnknownOrder; }
  /// True if a model order may be sent, of which an engine takes one at a time.
  bool mayOrderModel(Instant aNow) const;
  /// Tells whether the model of the next unload may have requests in progress.
  void expectRunningRequests(bool aMayBeRunning)
  {
    mExpectsRunningRequests = aMayBeRunning;
  }

  /// Takes a load from the engine's own memory or disk for complete at its expected end:
  /// its time does not depend on other engines. Requests that come too early are declined
  /// without harm.
  void assumeLoaded(Instant aNow);

  /// The order whose outcome is unknown and that is to be sent again, unchanged: at most
  /// one of the copies can be accepted, as each expects the same count.
  const PlacementOrder* orderToRetry(Instant aNow) const;
  /// True if a report should be read now.
  bool reportDue(Instant aNow) const;
  void reportRequested(Instant aNow);
  void reportFailed(Instant aNow) { mReportSent = aNow; }

  /// Grows with each change of what the other accessors tell.
  std::uint64_t revision() const { return mRevision; }

  const std::string& id() const { return mId; }
  std::int64_t bornMs() const { return mBornMs; }
  const std::string& dataCentre() const { return mDataCentre; }
  bool leaving() const { return mLeaving; }
  bool settled() const { return mSettled; }

  /// True if the model is ready, and no order is about to remove it.
  bool ready(const std::string& aModel) const;
  /// True if the model is ready or on its way.
  bool holds(const std::string& aModel) const;
  bool adapterReady(const ModelKey& aAdapter, Instant aNow) const;
  bool adapterHeld(const ModelKey& aAdapter) const;
  std::size_t adapterCount() const;
  std::vector<ModelKey> adapters() const;
  std::vector<std::string> readyModels() const;
  /// Models that are ready or on their way.
  std::set<std::string> heldModels() const;

  /// Memory that is or may be taken, in megabytes.
  double memoryUsedMb() const;
  bool fits(const std::string& aModel) const;

  CheckpointSource sourceOf(const std::string& aModel) const;
  /// Expected time of a load alone.
  Duration loadTime(const std::string& aModel) const;
  bool hasCheckpointCopy(const std::string& aModel) const;
  std::set<std::string> checkpointCopies() const;

  /// The model order that is or may be in progress.
  struct Pending
  {
    PlacementOrder order;
    CheckpointSource source = CheckpointSource::WeightStore;
    Instant sent{};
    Instant expectedEnd{};
  };
  const std::optional<Pending>& pending() const { return mPending; }
  bool loadsFromWeightStore() const;
  /// When a model became ready here, for models loaded by order.
  std::optional<Instant> readySince(const std::string& aModel) const;
  /// Load of requests as reported.
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
  std::uint64_t mOrdersAccepted = 0;                    // accepted, as far as known
  std::map<std::string, std::set<std::string>> mModels; // with adapters
  std::map<ModelKey, Instant> mAdapterReadyAt;
  std::set<std::string> mInMemory;
  std::set<std::string> mOnDisk;
  std::map<std::string, Instant> mReadySince;
  std::optional<Pending> mPending;
  std::optional<PlacementOrder> mSentOrder; // sent, response outstanding
  Instant mOrderSentAt{};
  std::optional<PlacementOrder> mUnknownOrder;
  Instant mUnknownSince{};
  Instant mReportSent{};
  Instant mLastChange{};
  bool mExpectsRunningRequests = false;
  std::uint32_t mReportedLoad = 0;
  std::uint64_t mRevision = 0;
};

} // namespace savoryrill::serving
