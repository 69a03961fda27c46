#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "placement/memoryledger.h"
#include "placement/ownershiptracker.h"
#include "upstream/types/inventory.h"

namespace savoryrill::placement {

/// What an inventory told.
struct InventoryChanges
{
  bool superseded = false;              // the engine has accepted a higher fencing number
  bool restarted = false;               // the engine has a new incarnation
  std::vector<config::Loadable> loaded; // became ready since the last inventory
  std::vector<config::Loadable> vanished; // are gone since the last inventory
  std::vector<config::Loadable> failed;   // gone before they were ready
};

/// An engine during one ownership: which orders may be sent to it and what they can still
/// do. The first order to an engine that checks fencing numbers is `adopt`; others follow
/// an inventory that was requested after the adoption, or after the ownership was taken.
/// No I/O; not thread safe.
class OwnedEngine
{
public:
  struct Timing
  {
    Duration orderTimeToLive = 2s;
    /// Time to live + clock margin: a copy of an order older than this has no effect.
    Duration orderExpiry = 3s;
    /// Lease + time to live + clock margin: orders of former owners are older than this.
    Duration takeoverTime = 9s;
  };

  OwnedEngine(std::string aName,
              config::Upstream aProperties,
              Ownership aOwnership,
              Timing aTiming);

  /// Takes changed properties from a new configuration.
  void configure(const config::Upstream& aProperties);

  /// Takes an inventory that was requested at `aSentAt` and arrived at `aNow`.
  InventoryChanges inventoryReceived(
    const upstream::Inventory& aInventory,
    const std::map<config::ModelReference, std::uint32_t>& aAdapterSizes,
    Instant aSentAt,
    Instant aNow);

  /// The order that makes the engine refuse former owners, if it is due.
  std::optional<upstream::Order> adopt(Instant aNow);

  /// Orders; nothing if the engine is not ready, the memory does not suffice, or the
  /// order would repeat one that is under way. Precondition of `load`: the assignment
  /// allows it.
  std::optional<upstream::Order> load(const config::Loadable& aLoadable,
                                      std::uint32_t aFootprintMb,
                                      Instant aNow);
  std::optional<upstream::Order> unload(const config::Loadable& aLoadable, Instant aNow);
  std::optional<upstream::Order> loadAdapter(const config::ModelReference& aAdapter,
                                             std::uint32_t aSizeMb,
                                             Instant aNow);
  std::optional<upstream::Order> unloadAdapter(const config::ModelReference& aAdapter,
                                               Instant aNow);

  /// Outcome of an order. Returns true if the engine has a newer owner.
  bool orderDone(const upstream::Order& aOrder,
                 upstream::OrderOutcome aOutcome,
                 Instant aNow);

  /// No further orders, because the ownership is to be released.
  void quiesce() { mQuiescing = true; }

  /// True if no order of this owner can still take effect.
  bool allOrdersSettled(Instant aNow) const;

  /// True if orders may be sent.
  bool ready() const;

  /// True if the loadable is not resident and no order of any owner so far can load it.
  bool confirmedAbsent(const config::Loadable& aLoadable) const;

  /// Declares that the engine's host does not exist any more. Precondition: the host list
  /// has lacked it for long, and it has not been reachable meanwhile.
  void declareHostRemoved(Instant aNow);

  const std::string& name() const { return mName; }
  const config::Upstream& properties() const { return mProperties; }
  const Ownership& ownership() const { return mOwnership; }
  const MemoryLedger& ledger() const { return mLedger; }
  const std::optional<upstream::Inventory>& inventory() const { return mInventory; }

private:
  upstream::Order makeOrder(upstream::OrderKind aKind, const config::Loadable& aLoadable);
  void recordSent(Instant aNow);
  void compareModels(const upstream::Inventory& aInventory, InventoryChanges& aChanges);
  bool unloadRecentlySent(const std::string& aKey, Instant aNow) const;

  std::string mName;
  config::Upstream mProperties;
  Ownership mOwnership;
  Timing mTiming;
  MemoryLedger mLedger;
  std::optional<upstream::Inventory> mInventory;
  std::optional<Instant> mAdoptedAt;
  std::optional<Instant> mAdoptRetryAt;
  bool mQuiescing = false;
  std::uint64_t mLastOrder = 0;
  std::size_t mInFlight = 0;
  Instant mUnsettledUntil; // orders with unknown outcome may take effect until then
  std::map<std::string, Instant> mUnloadRetryAt; // repeated after this, by name
  std::map<std::string, Instant> mSentAt;        // of orders in flight, by id
};

} // namespace savoryrill::placement
