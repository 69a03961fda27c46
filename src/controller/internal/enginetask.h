#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "controller/internal/taskcontext.h"
#include "placement/assignmentplanner.h"
#include "placement/ownedengine.h"

namespace savoryrill::controller {

/// Polls the inventories of owned engines, sends orders to them and publishes their
/// gossip entries. Holds the memory ledger of each engine. Not thread safe.
class EngineTask
{
public:
  /// Checked as the last step before an order is sent: true if this controller still
  /// owns the upstream with the fencing number and has a valid lease. If `aChecksFencing`
  /// is true, the lease may have expired. Precondition: `aChecksFencing` is true only for
  /// an engine that checks fencing numbers.
  using MayOrder = std::function<
    bool(const std::string& aUpstream, bool aChecksFencing, std::uint64_t aFencing)>;

  EngineTask(TaskContext aContext, MayOrder aMayOrder);

  void start();
  void handle(EngineMessage&& aMessage);

  /// Owned engines in the order of their names.
  std::vector<const placement::OwnedEngine*> engines() const;

  /// True if loads may be ordered at an owned engine: it is ready, and the
  /// assignments come from a table read sent after the ownership was taken.
  bool mayLoad(const placement::OwnedEngine& aEngine) const;

  /// Number of load orders whose replica is not loaded yet.
  std::size_t loadsRunning() const;

private:
  struct Load
  {
    Instant orderedAt;
    Duration expectedDuration{};
    bool fromWeightStore = true;
  };
  struct Engine
  {
    std::unique_ptr<placement::OwnedEngine> state;
    Instant nextPoll;
    bool readingInventory = false;
    bool readingEvents = false;
    bool reachable = false;
    bool polled = false; // an inventory read has succeeded or failed
    bool quiesceRequested = false;
    Instant unreachableSince;
    std::optional<Instant> unlistedSince;
    bool declaredRemoved = false;
    bool leavingReported = false;
    std::uint64_t sequence = 0;             // of the latest gossip entry
    std::string publishedPayload;           // payload of the latest gossip entry
    std::uint64_t lastCacheEvent = 0;       // sequence number
    std::deque<std::uint64_t> prefixes;     // hashes of cached prefixes, newest first
    std::map<config::Loadable, Load> loads; // ordered and not finished
  };

  void on(ConfigAdopted&& aMessage);
  void on(OwnershipChanged&& aMessage);
  void on(AssignmentsUpdated&& aMessage);
  void on(OrderLoad&& aMessage);
  void on(OrderUnload&& aMessage);
  void on(OrderAdapter&& aMessage);
  void on(QuiesceUpstream&& aMessage);
  void on(HostListRead&& aMessage);

  void tick();
  void poll(Engine& aEngine);
  void inventoryRead(const std::string& aName,
                     const Result<upstream::Inventory>& aInventory,
                     Instant aSentAt);
  void markUnreachable(Engine& aEngine);
  void loadsChanged(Engine& aEngine, const placement::InventoryChanges& aChanges);
  void readCacheEvents(Engine& aEngine);
  void cacheEventsRead(Engine& aEngine, const std::vector<upstream::CacheEvent>& aEvents);
  void reconcileAssignments(Engine& aEngine);
  bool hasRecentInventory(const std::string& aName);
  void send(Engine& aEngine, const upstream::Order& aOrder);
  void orderDone(const std::string& aName,
                 const upstream::Order& aOrder,
                 upstream::OrderOutcome aOutcome);
  void report(Engine& aEngine);
  void publish(Engine& aEngine);
  Engine* find(const std::string& aName);
  std::map<config::ModelReference, std::uint32_t> adapterSizes() const;

  TaskContext mContext;
  MayOrder mMayOrder;
  CallbackGuard mGuard;
  event::Watch mTimer;
  placement::PlanView mView; // configuration, assignments and slots
  ConfigurationPtr mConfiguration;
  std::optional<Instant> mAssignmentsReadAt;
  std::map<std::string, Engine> mEngines;
  // Moving mean of measured over expected time of loads from the weight store.
  double mWeightStoreSlowdown = 1;
};

} // namespace savoryrill::controller
