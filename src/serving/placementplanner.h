#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "serving/admission.h"
#include "serving/engineledger.h"
#include "serving/modellocationindex.h"
#include "serving/types/placement.h"
#include "serving/types/servingconfig.h"
#include "serving/weightstoreloadlimit.h"

namespace savoryrill::serving {

/// Decides which engine of a group loads and unloads what. Answers this load pattern:
/// many more models than places, a few of them busy and changing, the rest asked for
/// rarely and at once. A load from the weight store takes longer than most callers wait,
/// and few of them run at full speed together; a load from an engine's own disk is quick.
/// So:
///
/// - a model that callers wait for is loaded where it is ready first, which is usually
///   where a copy is on disk; the least useful model there makes way;
/// - the weight store is kept busy, at its full-speed number of loads, with models that
///   have no copy anywhere, those with waiting callers first;
/// - busy models get further copies only while requests in progress call for them;
/// - adapters are spread over the copies of their model.
///
/// Not thread safe; no I/O.
class PlacementPlanner
{
public:
  struct Options
  {
    /// Window in which loads from the weight store are counted against their rate.
    Duration rateWindow = 5s;
    /// Requests in progress at one copy above which a model gets another. Prompts are
    /// read one after another, so a larger batch delays first events.
    double maxRequestsPerReplica = 6;
    /// Requests at each remaining copy up to which a surplus copy may go; below the
    /// above, so that copies do not come and go.
    double maxRequestsAfterRemoval = 4;
    /// A model is kept at least this long after its load.
    Duration minTimeLoaded = 1500ms;
    /// Time without requests after which a model counts as idle.
    Duration idleAfter = 10s;
    /// Copies kept of a model with recent requests, so that one engine may fail. Callers
    /// of a model without any copy go before the second one.
    std::uint32_t minReplicasOfRecent = 2;
    /// Added to the time of a load whose place is still used by running requests.
    Duration busyUnloadTime = 1500ms;
    /// Demand of a host that has not reported for this long is dropped.
    Duration demandTimeToLive = 3s;
  };

  explicit PlacementPlanner(Options aOptions, Instant aNow);

  /// Takes the limits and models of the group. Engines stay known.
  void setProfile(const EngineProfile& aProfile);

  /// Takes an engine's entry of the platform's list.
  void updateEngine(const UpstreamEntry& aEntry, Instant aNow);
  void removeEngine(const std::string& aId);
  std::vector<std::string> engineIds() const;

  /// Takes the demand of a host, in place of its earlier one.
  void reportDemand(const std::string& aHost,
                    const std::vector<DemandItem>& aItems,
                    Instant aNow);

  /// Orders to send now; each counts as sent.
  std::vector<PlacementOrder> plan(Instant aNow);
  void orderDone(const std::string& aUpstream, OrderOutcome aOutcome, Instant aNow);

  /// Engines whose report should be read now; each counts as asked.
  std::vector<std::string> enginesWithReportDue(Instant aNow);
  void reportReceived(const std::string& aUpstream,
                      const EngineReport& aReport,
                      Instant aSent,
                      Instant aNow);
  void reportFailed(const std::string& aUpstream, Instant aNow);

  /// What an engine holds, for the hosts that send it requests.
  std::vector<ReplicaView> replicas(const std::string& aUpstream, Instant aNow) const;

  /// When `plan` should run again even if nothing changes; nothing if it need not.
  std::optional<Instant> nextPlanTime() const;

  /// Expected time until the requests that wait for a model which is ready are worked
  /// off, as of the last plan. Nothing if none waits, or while too little is known.
  std::optional<Duration> backlogTime(const std::string& aModel, Instant aNow) const;

  /// Models that callers wait for, as of the last plan.
  std::vector<std::string> modelsWithWaitingRequests() const;

  /// Expected time until a model is ready somewhere, for callers that wait for it; zero
  /// if it is ready. Nothing if no engine can hold it.
  std::optional<Duration> timeUntilReady(const std::string& aModel, Instant aNow) const;

private:
  struct Demand
  {
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t priority = 0;
    std::optional<Instant> deadline;
    std::optional<Instant> objectiveUntil; // one of the waiting can meet its objective
  };
  struct HostDemand
  {
    std::vector<DemandItem> items;
    Instant at{};
  };
  struct Candidate
  {
    EngineLedger* engine = nullptr;
    std::string victim; // empty: there is room
    Duration readyIn{};
    double cost = 0;
  };

  const Demand& modelDemand(const std::string& aModel) const;
  const Demand& adapterDemand(const ModelKey& aAdapter) const;
  static void addDemand(Demand& aDemand, const DemandItem& aItem, Instant aAt);
  void collectDemand(Instant aNow);
  void updateReplicaCounts();
  void trackWeightStoreLoads(Instant aNow);
  std::uint32_t heldReplicas(const std::string& aModel) const;
  bool anyEngineHas(const std::string& aModel) const;
  std::uint32_t weightStoreLoads() const
  {
    return mLocations.weightStoreLoads() + mWeightStoreSwaps;
  }
  bool weightStoreLoadAllowed(Instant aNow);
  /// Requests at each copy above which a model gets another one.
  double addReplicaThreshold() const
  {
    return std::min(mOptions.maxRequestsPerReplica, mProfile.concurrency / 2.0);
  }
  std::optional<double> costOfRemoving(const EngineLedger& aEngine,
                                       const std::string& aModel,
                                       bool aForFirstReplica,
                                       Instant aNow) const;
  std::optional<Candidate> candidateAt(EngineLedger& aEngine,
                                       const std::string& aModel,
                                       Instant aNow) const;
  std::optional<Candidate> bestCandidate(const std::string& aModel,
                                         bool aAnySource,
                                         Instant aNow);
  void loadAt(const Candidate& aCandidate,
              const std::string& aModel,
              Instant aNow,
              std::vector<PlacementOrder>& aOrders);
  void sendOrder(EngineLedger& aEngine,
                 OrderKind aKind,
                 const ModelKey& aModel,
                 Instant aNow,
                 std::vector<PlacementOrder>& aOrders);
  void retryUnknownOrders(Instant aNow, std::vector<PlacementOrder>& aOrders);
  void continueSwaps(Instant aNow, std::vector<PlacementOrder>& aOrders);
  void placeAdapters(Instant aNow, std::vector<PlacementOrder>& aOrders);
  void placeWaitingModels(Instant aNow, std::vector<PlacementOrder>& aOrders);
  void addReplicas(Instant aNow, std::vector<PlacementOrder>& aOrders);
  void placeFromWeightStore(Instant aNow, std::vector<PlacementOrder>& aOrders);
  void restoreFromDisk(Instant aNow, std::vector<PlacementOrder>& aOrders);
  void prefetchFromWeightStore(Instant aNow, std::vector<PlacementOrder>& aOrders);

  Options mOptions;
  Instant mStarted;
  EngineProfile mProfile;
  std::map<std::string, EngineLedger> mEngines;
  std::map<std::string, HostDemand> mHosts;
  std::map<std::string, Demand> mModelDemand; // with that for its adapters
  std::map<ModelKey, Demand> mAdapterDemand;
  std::map<std::string, CompletionRate> mCompletionRates; // by model
  std::map<std::string, Instant> mLastRequest;
  std::map<ModelKey, Instant> mLastAdapterRequest;
  ModelLocationIndex
    mLocations; // as of the start of the plan, and kept up with its orders
  std::map<std::string, std::uint32_t> mSwapReplicas; // places being made, by model
  std::uint32_t mWeightStoreSwaps =
    0; // of these, places for a load from the weight store
  double mSmallestModelMb = 0;
  Instant mNextPrefetch{};
  std::map<std::string, std::string> mSwaps; // engine to the model that gets the place
  std::deque<Instant> mWeightStoreLoadStarts;
  WeightStoreLoadLimit mWeightStoreLoadLimit;
  std::uint64_t mPlaced = 0; // models placed for waiting callers
};

} // namespace savoryrill::serving
