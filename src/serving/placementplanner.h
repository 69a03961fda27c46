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

/// Decides which engine of a group loads and unloads which models. It handles this load
/// pattern: many more models than fit into the engines' memory, a few of them busy and
/// changing, the others requested rarely and suddenly. A load from the weight store takes
/// longer than most callers wait, and only a few of them run at full speed at the same
/// time; a load from an engine's own disk is quick. Therefore:
///
/// - A model with waiting requests is loaded where it will be ready first, usually at an
///   engine with a checkpoint copy on disk, in place of the least useful model there.
/// - The weight store is kept busy with as many loads as run at full speed, of models
///   without any checkpoint copy, those with waiting requests first.
/// - Busy models get further replicas only while their requests in progress need them.
/// - Adapters are spread over the replicas of their model.
///
/// Not thread safe; no I/O.
class PlacementPlanner
{
public:
  /// Minimum time between two reports of a model's obstacles, which change with each
  /// plan.
  static constexpr Duration kBlockedReportPeriod = 1s;

  struct Options
  {
    /// Window in which loads from the weight store are counted to limit their rate.
    Duration rateWindow = 5s;
    /// Requests at one replica above which a model gets another replica. Engines process
    /// prompts one after another, so a larger batch delays the first event of each
    /// stream.
    double maxRequestsPerReplica = 6;
    /// Requests at each remaining replica up to which a surplus replica may be removed.
    /// Less than `maxRequestsPerReplica`, so that replicas are not removed and added in
    /// turn.
    double maxRequestsAfterRemoval = 4;
    /// Time after the end of a model's load during which it is not unloaded before its
    /// first request has been sent: hosts need to learn of the replica.
    Duration minTimeLoaded = 300ms;
    /// Time without requests after which a model counts as idle.
    Duration idleAfter = 10s;
    /// Replicas kept of a model with recent requests, so that one engine may fail. The
    /// second replica may still be unloaded to make room for a model with waiting
    /// requests and no replica.
    std::uint32_t minReplicasOfRecent = 2;
    /// Added to the expected time of a load that must wait for an unload with running
    /// requests.
    Duration busyUnloadTime = 1500ms;
    /// Time without a report after which the demand of a host is dropped.
    Duration demandTimeToLive = 3s;
  };

  explicit PlacementPlanner(Options aOptions, Instant aNow);

  /// Sets the limits and models of the group. Known engines are kept.
  void setProfile(const EngineProfile& aProfile);

  /// Applies an engine's entry of the upstream list.
  void updateEngine(const UpstreamEntry& aEntry, Instant aNow);
  void removeEngine(const std::string& aId);
  std::vector<std::string> engineIds() const;

  /// Replaces the demand of a host.
  void reportDemand(const std::string& aHost,
                    const std::vector<DemandItem>& aItems,
                    Instant aNow);

  /// Sets the requests in progress at an engine, of all hosts and models.
  void setEngineLoad(const std::string& aUpstream, std::uint32_t aRequests);

  /// Returns the orders to send now. They count as sent: the caller sends each and
  /// reports its outcome with `orderDone`.
  std::vector<PlacementOrder> plan(Instant aNow);
  void orderDone(const std::string& aUpstream, OrderOutcome aOutcome, Instant aNow);

  /// Returns the engines whose reports to request now. They count as requested.
  std::vector<std::string> enginesWithReportDue(Instant aNow);
  void reportReceived(const std::string& aUpstream,
                      const EngineReport& aReport,
                      Instant aSent,
                      Instant aNow);
  void reportFailed(const std::string& aUpstream, Instant aNow);

  /// Replicas at an engine, to publish to the hosts that send it requests.
  std::vector<ReplicaView> replicas(const std::string& aUpstream, Instant aNow) const;

  /// Returns the models that have become blocked, or blocked by another obstacle, since
  /// the last call; each at most once in `kBlockedReportPeriod`.
  std::vector<BlockedModel> takeBlockedModels();

  /// When `plan` should run again even without changes; nothing if it need not.
  std::optional<Instant> nextPlanTime() const;

  /// Expected time until the requests waiting for a ready model are worked off, as of the
  /// last plan. Nothing if none waits, or if the rate of completed requests is not known
  /// yet.
  std::optional<Duration> backlogTime(const std::string& aModel, Instant aNow) const;

  /// Models with waiting requests, as of the last plan.
  std::vector<std::string> modelsWithWaitingRequests() const;

  /// Expected time until a model is ready at some engine; zero if it is. Nothing if the
  /// model is not configured.
  std::optional<Duration> timeUntilReady(const std::string& aModel, Instant aNow) const;

private:
  struct Demand
  {
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    std::optional<Instant> firstLeaves;     // when the first waiting caller gives up
    std::optional<Instant> latestObjective; // of the waiting requests
  };
  struct HostDemand
  {
    std::vector<DemandItem> items;
    Instant receivedAt{};
  };
  struct Blocked
  {
    PlacementObstacle obstacle = PlacementObstacle::NoCopy;
    Instant reportedAt{};
  };
  struct Candidate
  {
    EngineLedger* engine = nullptr;
    std::string victim; // model to unload first; empty: enough memory is free
    Duration readyIn{};
    double victimCost = 0; // of unloading the victim
    double cost = 0;       // of the whole change
  };

  const Demand& modelDemand(const std::string& aModel) const;
  const Demand& adapterDemand(const ModelKey& aAdapter) const;
  static void addDemand(Demand& aDemand, const DemandItem& aItem, Instant aReceivedAt);
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
  /// Requests at each replica above which a model gets another one.
  double addReplicaThreshold() const
  {
    return std::min(mOptions.maxRequestsPerReplica, mProfile.concurrency / 2.0);
  }
  /// True if requests of the model were in progress after `aSince`.
  bool hasServedSince(const std::string& aModel, Instant aSince) const;
  std::optional<double> costOfRemoving(const EngineLedger& aEngine,
                                       const std::string& aModel,
                                       bool aForFirstReplica,
                                       Instant aNow) const;
  /// Requests in progress at an engine as a share of its concurrency.
  double batchShare(const EngineLedger& aEngine) const;
  std::optional<Candidate> candidateAt(EngineLedger& aEngine,
                                       const std::string& aModel,
                                       Instant aNow) const;
  std::optional<Candidate> bestCandidate(const std::string& aModel,
                                         bool aAnySource,
                                         Instant aNow);
  PlacementObstacle obstacleAt(const EngineLedger& aEngine, Instant aNow) const;
  /// Notes that no engine can load the model now.
  void recordBlocked(const std::string& aModel, Instant aNow);
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
  std::map<std::string, HostDemand> mHostDemand;
  std::map<std::string, Demand> mModelDemand; // including demand for its adapters
  std::map<ModelKey, Demand> mAdapterDemand;
  std::map<std::string, CompletionRate> mCompletionRates; // by model
  std::map<std::string, Instant> mLastRequest;
  std::map<std::string, Instant> mLastInFlight; // by model
  std::map<ModelKey, Instant> mLastAdapterRequest;
  ModelLocationIndex mLocations; // updated at the start of a plan and by its orders
  std::map<std::string, std::uint32_t> mSwapReplicas; // to be loaded by swaps, by model
  std::uint32_t mWeightStoreSwaps = 0;     // swaps that will load from the weight store
  std::map<std::string, Blocked> mBlocked; // models blocked at the last plan
  std::vector<BlockedModel> mNewlyBlocked; // for `takeBlockedModels`
  double mSmallestModelMb = 0;
  Instant mNextPrefetch{};
  std::map<std::string, std::string> mSwaps; // model to load after an unload, by engine
  std::deque<Instant> mWeightStoreLoadStarts;
  WeightStoreLoadLimit mWeightStoreLoadLimit;
  std::map<std::string, std::uint32_t> mEngineLoads; // requests in progress, by engine
};

} // namespace savoryrill::serving
