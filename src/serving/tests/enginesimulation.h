#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "serving/placementplanner.h"

namespace savoryrill::serving {

/// Simulates engines and a clock, and runs a planner in steps of 20 ms. Each engine
/// carries out one model order at a time, counts the orders that it accepts and refuses
/// others while it is busy. Orders that exceed an engine's memory or adapter slots are
/// counted in `overcommits`.
class EngineSimulation
{
public:
  struct Engine
  {
    UpstreamEntry entry;
    std::uint64_t orders = 0; // accepted since the engine's start
    std::optional<PlacementOrder> currentOrder;
    Instant busyUntil{};
    double remainingLoadSeconds = 0; // of a load from the weight store, at full speed
    std::map<std::string, std::set<std::string>> models;
    std::set<std::string> onDisk;
    Duration unloadTime = 40ms;  // longer while requests run
    bool losesResponses = false; // orders are carried out, but their responses are lost
    bool delaysOrders = false;   // orders arrive 3 s late, without a response
    bool unreachable = false;    // neither orders nor report requests can be sent
  };

  EngineSimulation();

  Engine& addEngine(const std::string& aId, const std::set<std::string>& aModels);
  void addModel(const std::string& aName, double aMb = 70);

  /// Advances the clock by `aTime` with constant demand.
  void run(Duration aTime);
  void setDemand(const std::string& aHost, std::vector<DemandItem> aItems);
  static DemandItem waiting(const std::string& aModel, std::uint32_t aCount = 1);
  static DemandItem inFlight(const std::string& aModel, std::uint32_t aCount);

  int replicasOf(const std::string& aModel) const;
  /// Advances the clock until an engine holds the model, and returns the time taken;
  /// nothing if none does within `aLimit`.
  std::optional<Duration> timeUntilHeld(const std::string& aModel, Duration aLimit);
  void replacePlanner();

  EngineProfile profile;
  int fullSpeedWeightStoreLoads = 4; // more loads share the speed of these
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
