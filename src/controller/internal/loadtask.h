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

/// Turns demand into loads, adapter loads, evictions and keep-alive unloads at owned
/// engines.
class LoadTask
{
public:
  /// `aWallTime` gives the time since 1970 in UTC, for pre-warm times and report buckets.
  LoadTask(TaskContext aContext,
           placement::LoadPolicy aOrder,
           std::function<Duration()> aWallTime);

  void start();
  void handle(LoadMessage&& aMessage);

  /// Loads that wait for a place at the weight store or for memory.
  std::size_t queued() const { return mQueued; }
  const UsageRecorder& usage() const { return mUsage; }

private:
  void on(ConfigAdopted&& aMessage);
  void on(EntryChanged&& aMessage);
  void on(AssignmentsKnown&& aMessage);
  void on(EngineReported&& aMessage);
  void on(HostsLive&& aMessage);
  void on(ReplicaLoaded&& aMessage);

  void tick();
  void observeStore(Instant aNow);
  std::vector<placement::LoadCandidate> candidates(Instant aNow);
  void addCandidates(const config::Loadable& aLoadable,
                     const placement::MergedDemand& aDemand,
                     Instant aNow,
                     std::vector<placement::LoadCandidate>& aResult);
  std::vector<placement::ReplicaCandidate> choices(
    const config::Loadable& aLoadable) const;
  void startLoads(Instant aNow);
  bool makeRoom(const OwnEngine& aEngine,
                const placement::LoadCandidate& aCandidate,
                Instant aNow);
  void orderAdapters();
  void adaptersOf(const OwnEngine& aEngine,
                  const config::Loadable& aLoadable,
                  std::size_t& aFreePlaces);
  void unloadIdle(Instant aNow);
  void recordUsage(Instant aNow);
  const placement::MergedDemand& demandFor(const config::Loadable& aLoadable) const;

  TaskContext mContext;
  std::function<Duration()> mWallTime;
  event::Watch mTimer;
  event::Watch mSoon;
  ConfigurationPtr mConfiguration;
  placement::PlanView mView; // configuration, assignments and slots
  FleetView mFleet;
  placement::LoadScheduler mLoadScheduler;
  placement::WeightStoreLimiter mStoreLimiter;
  placement::KeepAliveTracker mKeepAlive;
  UsageRecorder mUsage;
  std::map<std::string, std::shared_ptr<const OwnEngine>> mEngines;
  std::set<std::string> mLiveHosts;
  // Since when a load has been wanted at an upstream.
  std::map<placement::WeightStoreLoad, Instant> mWantedSince;
  // Loads ordered a moment ago, which no engine report shows yet.
  std::map<placement::WeightStoreLoad, Instant> mJustOrdered;
  std::size_t mQueued = 0;
  Instant mLastUsage;
};

} // namespace savoryrill::controller
