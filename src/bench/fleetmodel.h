#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/eventqueue.h"
#include "bench/storemodel.h"
#include "bench/types/report.h"
#include "bench/workload.h"
#include "placement/keepalivetracker.h"
#include "placement/loadscheduler.h"
#include "placement/weightstorelimiter.h"

namespace savoryrill::bench {

enum class ShareMode
{
  Published, // loads in flight are published and limits are used in common
  Fixed,     // each data centre has a fixed share at all times
  Unlimited  // owners start loads at will
};

struct FleetOptions
{
  placement::LoadPolicy order = placement::FirstInFirstOut{};
  double storeSlowdown = 1;
  ShareMode share = ShareMode::Published;
  bool firstDataCentreCutOff = false;
  /// Minute of the day from which requests of high priority count as at the regular hour.
  std::uint32_t dawnMinute = 0;
};

struct FleetResult
{
  Samples coldStart; // seconds, of each request that waited for a load
  Samples wait;      // seconds, of every request, 0 at a loaded replica
  std::size_t requests = 0;
  std::size_t late = 0;         // waited beyond the deadline of the deployment
  std::size_t unreachable = 0;  // no assigned engine in reach; not among the samples
  std::size_t dawnRequests = 0; // of high priority, at the regular hour
  std::size_t dawnCold = 0;     // of these, waited for a load
  std::size_t loads = 0;
  double idleHours = 0; // replicas that were loaded but unused
};

/// Drives the placement decisions of one owner in each data centre with a trace, against
/// a model of the engines' memory and of the weight store. Every request is served at
/// once by any loaded replica in reach; one whose deadline passes is repeated by its
/// caller. All checkpoints come from the store. Not thread safe.
class FleetModel
{
public:
  FleetModel(config::Configuration aConfiguration, FleetOptions aOptions);

  /// Runs the trace and `aRest` after its last request. To be called once.
  FleetResult run(const std::vector<Arrival>& aTrace, Duration aRest);

private:
  enum class State
  {
    Loading,
    Loaded
  };
  struct Replica
  {
    State state = State::Loading;
    Instant since;
  };
  struct Engine
  {
    std::size_t dataCentre = 0;
    std::uint32_t memoryMb = 0;
    std::map<config::Loadable, Replica> replicas;
  };
  struct Waiting
  {
    Instant arrival;
    std::size_t dataCentre = 0;
    Duration service = Duration::zero();
  };
  struct Model
  {
    const config::Deployment* deployment = nullptr;
    std::vector<std::string> places;
    std::vector<Waiting> waiting;
    std::uint32_t running = 0;
    std::uint32_t loaded = 0;
    Instant accounted;
    Instant keepCheck; // latest scheduled one
    bool busy() const { return running > 0 || !waiting.empty(); }
  };

  void assignPlaces();
  void arrive(const Arrival& aArrival);
  void serve(const config::Loadable& aLoadable, Model& aModel);
  void finish(const config::Loadable& aLoadable);
  void account(Model& aModel);
  void tickSoon(Duration aDelay);
  void tick();
  void tickDataCentre(std::size_t aDataCentre);
  bool inReach(std::size_t aFrom, std::size_t aTo) const;
  void observeStore(std::size_t aDataCentre);
  placement::MergedDemand demandAt(std::size_t aDataCentre,
                                   const config::Loadable& aLoadable,
                                   const Model& aModel) const;
  void addCandidates(std::size_t aDataCentre,
                     const config::Loadable& aLoadable,
                     const placement::MergedDemand& aDemand,
                     std::vector<placement::LoadCandidate>& aResult);
  bool start(std::size_t aDataCentre, const placement::LoadCandidate& aCandidate);
  bool makeRoom(Engine& aEngine, const placement::LoadCandidate& aCandidate);
  void loaded(const std::string& aUpstream, const config::Loadable& aLoadable);
  void unload(Engine& aEngine, const config::Loadable& aLoadable);
  void checkIdle(const config::Loadable& aLoadable);
  void scheduleIdleCheck(const config::Loadable& aLoadable, Duration aDelay);
  void minute();
  std::uint32_t freeMb(const Engine& aEngine) const;
  Duration timeOfDay() const;
  bool atDawn(const Model& aModel, Instant aAt) const;

  config::Configuration mConfiguration;
  FleetOptions mOptions;
  EventQueue mEvents;
  StoreModel mStore;
  placement::LoadScheduler mLoadScheduler;
  placement::KeepAliveTracker mKeepAlive;
  // One owner for each data centre.
  std::vector<placement::WeightStoreLimiter> mStoreLimiters;
  std::map<std::string, Engine> mEngines;
  std::map<config::Loadable, Model> mModels;
  std::set<config::Loadable> mBusy;
  std::set<config::Loadable> mPrewarm;
  std::map<placement::WeightStoreLoad, Instant> mInFlight; // with the start
  std::map<placement::WeightStoreLoad, Instant> mWantedSince;
  std::optional<Instant> mNextTick;
  FleetResult mResult;
};

} // namespace savoryrill::bench
