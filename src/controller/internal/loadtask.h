#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "controller/internal/fleetview.h"
#include "controller/internal/taskcontext.h"
#include "controller/internal/usagerecorder.h"
#include "placement/assignmentplanner.h"
#include "placement/keepalivetracker.h"
#include "placement/loadscheduler.h"
#include "placement/weightstorelimiter.h"

namespace savoryrill::controller {

/// Decides on loads, adapter loads, evictions and keep-alive unloads at owned engines, as
/// demand requires. Not thread safe.
class LoadTask
{
public:
  /// `aWallTime` gives the time since 1970 in UTC, for pre-warm times and report buckets.
  LoadTask(TaskContext aContext,
           placement::LoadPolicy aPolicy,
           std::function<Duration()> aWallTime);

  void start();
  void handle(LoadMessage&& aMessage);

  /// Number of loads that wait for the weight store limits or for memory.
  std::size_t queued() const { return mQueuedLoads; }
  const UsageRecorder& usage() const { return mUsage; }

private:
  void on(ConfigAdopted&& aMessage);
  void on(EntryChanged&& aMessage);
  void on(AssignmentsUpdated&& aMessage);
  void on(EngineReported&& aMessage);
  void on(LiveHostsChanged&& aMessage);
  void on(ReplicaLoaded&& aMessage);

  void tick();
  void observeWeightStore(Instant aNow);
  std::vector<placement::LoadCandidate> loadCandidates(Instant aNow);
  void addCandidates(const config::Loadable& aLoadable,
                     const placement::MergedDemand& aDemand,
                     Instant aNow,
                     std::vector<placement::LoadCandidate>& aResult);
  std::vector<placement::ReplicaCandidate> replicaCandidates(
    const config::Loadable& aLoadable) const;
  void startLoads(Instant aNow);
  bool evictFor(const EngineReport& aEngine,
                const placement::LoadCandidate& aCandidate,
                Instant aNow);
  void orderAdapters();
  void orderAdaptersOf(const EngineReport& aEngine,
                       const config::Loadable& aLoadable,
                       std::size_t& aFreeLoads);
  void unloadIdle(Instant aNow);
  void recordUsage(Instant aNow);
  const placement::MergedDemand& demandFor(const config::Loadable& aLoadable) const;

  TaskContext mContext;
  std::function<Duration()> mWallTime;
  event::Watch mTimer;
  event::Watch mDemandBatchTimer;
  ConfigurationPtr mConfiguration;
  placement::PlanView mView; // configuration, assignments and slots
  FleetView mFleet;
  placement::LoadScheduler mLoadScheduler;
  placement::WeightStoreLimiter mWeightStoreLimiter;
  placement::KeepAliveTracker mKeepAlive;
  UsageRecorder mUsage;
  std::map<std::string, std::shared_ptr<const EngineReport>> mEngines;
  std::set<std::string> mLiveHosts;
  // When demand first required a load at an upstream.
  std::map<placement::WeightStoreLoad, Instant> mWantedSince;
  // When loads were ordered that no engine report shows yet.
  std::map<placement::WeightStoreLoad, Instant> mRecentOrders;
  std::size_t mQueuedLoads = 0;
  Instant mUsageRecordedAt;
};

} // namespace savoryrill::controller
