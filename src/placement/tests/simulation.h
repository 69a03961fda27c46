#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "placement/assignmentcache.h"
#include "placement/assignmentplanner.h"
#include "placement/ownedengine.h"
#include "placement/ownershiptracker.h"
#include "placement/sessionlease.h"
#include "placement/tests/faketable.h"

namespace savoryrill::placement {

inline const std::vector<std::string> kHosts{ "a", "b", "c" };
inline constexpr Duration kLease = 6s;
inline constexpr Duration kOrderTimeToLive = 2s;
inline constexpr Duration kClockMargin = 1s;

/// An engine that checks or ignores fencing numbers. It never refuses a load for lack of
/// memory, so that the test detects overcommitment.
struct SimEngine
{
  bool checksFencing = false;
  std::uint32_t memoryMb = 0;
  std::uint64_t incarnation = 1;
  std::uint64_t fencing = 0;
  std::map<config::Loadable, upstream::ResidentModel> models;
};

struct Simulation;

/// One simulated controller process. It uses the classes under test as the controller's
/// tasks do.
struct SimController
{
  SimController(Simulation& aSimulation, std::string aHost);
  void step();
  void sessionStep();
  void ownershipStep();
  void engineStep();
  void planStep();
  void sendOrder(const std::string& aUpstream, const upstream::Order& aOrder);
  void poll(const std::string& aUpstream);
  void apply(const std::vector<OwnershipChange>& aChanges);
  void transact(const platform::Transaction& aTransaction,
                std::function<void(const Result<platform::TransactionOutcome>&)> aDone);
  void readRows();
  void gossip();
  const Ownership& ownershipOf(const std::string& aUpstream) const;

  Simulation& simulation;
  std::string host;
  std::shared_ptr<int> lifetime = std::make_shared<int>(0);
  SessionLease session;
  OwnershipTracker tracker;
  std::map<std::string, OwnedEngine> engines;
  AssignmentPlanner planner;
  PlanView view;
  AssignmentCache cache;
  config::Configuration configuration;
  bool writing = false; // an assignment transaction is in flight
  bool reading = false;
  std::string quiescing; // upstream that is about to be released
  Instant pausedUntil;
};

/// Simulates controllers, a table store, engines and a network that delays and loses
/// messages, with all random choices derived from a seed.
struct Simulation
{
  explicit Simulation(std::uint32_t aSeed);
  void run(int aSteps);
  void step();
  void checkInvariants() const;
  bool chance(int aPercent);
  Duration randomDuration(Duration aLimit);
  void schedule(Duration aDelay, const std::string& aHost, std::function<void()> aAction);
  void deliver(const std::string& aUpstream,
               const upstream::Order& aOrder,
               Instant aSentAt,
               const std::function<void(upstream::OrderOutcome)>& aRespond);
  void restart(const std::string& aHost);
  void changeConfiguration();
  void completeOrders(SimEngine& aEngine);
  std::uint32_t maxReplicasOf(const config::Loadable& aLoadable) const;

  struct Event
  {
    std::string host; // delivered only while this controller runs; empty: always
    std::function<void()> action;
  };
  std::mt19937 random;
  std::uint32_t seed;
  Instant now{ 100s };
  FakeTable table;
  config::Configuration configuration;
  std::map<std::string, SimEngine> engines;
  std::map<std::string, std::unique_ptr<SimController>> controllers;
  std::multimap<Instant, Event> events;
  // Limit of each loadable before the latest change of its deployment, and until when it
  // may still be in effect.
  std::map<config::Loadable, std::pair<std::uint32_t, Instant>> formerMaxReplicas;
  std::uint64_t incarnations = 0;
  std::uint64_t loadsAccepted = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t removals = 0;
};

} // namespace savoryrill::placement
