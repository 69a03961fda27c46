#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "serving/placementplanner.h"

namespace savoryrill::serving {

/// Engines that carry out orders as the planner's peers do, with their own clock: one
/// model order at a time, a count of accepted orders, conflicts while busy, and a record
/// of memory that was overcommitted. Drives a planner in steps of 20 ms.
class EngineSimulation
{
public:
  struct Engine
  {
    UpstreamEntry entry;
    std::uint64_t orders = 0;
    std::optional<PlacementOrder> currentOrder;
    Instant busyUntil{};
    double remainingLoadSeconds = 0; // of a load from the store, in seconds at full speed
    std::map<std::string, std::set<std::string>> models;
    std::set<std::string> onDisk;
    Duration unloadTime = 40ms; // longer while requests run
    bool losesResponses = false;
    bool delaysOrders = false;
    bool unreachable = false; // orders and requests for reports cannot be sent
  };

  EngineSimulation();

  Engine& addEngine(const std::string& aId, const std::set<std::string>& aModels);
  void addModel(const std::string& aName, double aMb = 70);

  /// Runs for a time with a steady demand.
  void run(Duration aTime);
  void setDemand(const std::string& aHost, std::vector<DemandItem> aItems);
  static DemandItem waiting(const std::string& aModel, std::uint32_t aCount = 1);
  static DemandItem inFlight(const std::string& aModel, std::uint32_t aCount);

  int replicasOf(const std::string& aModel) const;
  /// Time until some engine holds the model, or nothing within `aLimit`.
  std::optional<Duration> timeUntilHeld(const std::string& aModel, Duration aLimit);
  void replacePlanner();

  EngineProfile profile;
  int fullSpeedWeightStoreLoads = 4; // of the store; more of them share its speed
  std::map<std::string, Engine> engines;
  std::unique_ptr<PlacementPlanner> planner;
  Instant now{ 100s };
  int overcommits = 0;
  int weightStoreLoads = 0;
  int maxConcurrentWeightStoreLoads = 0;
  int ordersSent = 0;
  int conflicts = 0;

private:
  void step();
  void deliver(const PlacementOrder& aOrder);
  OrderOutcome apply(Engine& aEngine, const PlacementOrder& aOrder);
  static bool loadsFromWeightStore(const Engine& aEngine);
  void finishOrders();
  double usedMb(const Engine& aEngine) const;
  EngineReport reportOf(const Engine& aEngine) const;

  std::map<std::string, std::vector<DemandItem>> mDemand;
  std::deque<std::pair<Instant, PlacementOrder>> mDelayedOrders;
  Instant mNextListRead{};
  Instant mNextDemandReport{};
};

} // namespace savoryrill::serving
