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

/// Differences between an inventory and the one before.
struct InventoryChanges
{
  bool superseded = false;              // the engine has accepted a higher fencing number
  bool restarted = false;               // the engine has a new incarnation
  std::vector<config::Loadable> loaded; // became ready since the last inventory
  std::vector<config::Loadable> vanished; // no longer resident since the last inventory
  std::vector<config::Loadable> failed; // no longer resident, without having become ready
};

/// An engine during one ownership: decides which orders may be sent and whether earlier
/// ones can still take effect. The first order to an engine that checks fencing numbers
/// is `adopt`. Other orders are allowed once an inventory has been received that was
/// requested after the adoption or, if the engine ignores fencing numbers, after the
/// ownership was taken. No I/O; not thread safe.
class OwnedEngine
{
public:
  struct Timing
  {
    Duration orderTimeToLive = 2s;
    /// Time to live + clock margin: an order older than this has no effect if it arrives.
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

  /// The order that makes the engine refuse orders of former owners, if it is due.
  std::optional<upstream::Order> adopt(Instant aNow);

  /// The order to send; nothing if the engine is not ready, the memory does not suffice,
  /// or the same order is in flight. Precondition of `load`: the assignment row allows
  /// it.
  std::optional<upstream::Order> load(const config::Loadable& aLoadable,
                                      std::uint32_t aFootprintMb,
                                      Instant aNow);
  std::optional<upstream::Order> unload(const config::Loadable& aLoadable, Instant aNow);
  std::optional<upstream::Order> loadAdapter(const config::ModelReference& aAdapter,
                                             std::uint32_t aSizeMb,
                                             Instant aNow);
  std::optional<upstream::Order> unloadAdapter(const config::ModelReference& aAdapter,
                                               Instant aNow);

  /// Takes the outcome of an order. Returns true if the engine has a newer owner.
  bool orderDone(const upstream::Order& aOrder,
                 upstream::OrderOutcome aOutcome,
                 Instant aNow);

  /// Stops further orders, because the ownership is about to be released.
  void quiesce() { mQuiescing = true; }

  /// True if no order of this owner can still take effect.
  bool allOrdersSettled(Instant aNow) const;

  /// True if orders may be sent.
  bool ready() const;

  /// True if the loadable is not resident and no order of this or a former owner can load
  /// it.
  bool confirmedAbsent(const config::Loadable& aLoadable) const;

  /// Declares that the engine's host no longer exists, so that nothing is resident.
  /// Precondition: the host has been missing from the host list for a long time, and the
  /// engine has not been reachable meanwhile.
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
  Instant mUnsettledUntil; // until then orders with an unknown outcome can take effect
  std::map<std::string, Instant> mUnloadRetryAt; // by model or adapter
  std::map<std::string, Instant> mSentAt;        // of orders in flight, by order id
};

} // namespace savoryrill::placement
