#include "placement/ownedengine.h"

#include <algorithm>
#include <utility>

#include "placement/types/fleet.h"

namespace savoryrill::placement {

using upstream::Order;
using upstream::OrderKind;
using upstream::OrderOutcome;
using upstream::ReplicaState;

namespace {

constexpr Duration kAdoptRetryDelay = 500ms;

MemoryLedger::Capacity
capacityOf(const config::Upstream& aProperties)
{
  return { modelMemoryMb(aProperties),
           std::min(aProperties.adapterMemoryMb, aProperties.memoryMb) };
}

std::map<config::Loadable, ReplicaState>
statesOf(const std::optional<upstream::Inventory>& aInventory)
{
  std::map<config::Loadable, ReplicaState> states;
  if (aInventory) {
    for (const auto& model : aInventory->models) {
      if (model.state != ReplicaState::Absent) {
        states[model.loadable] = model.state;
      }
    }
  }
  return states;
}

} // namespace

OwnedEngine::OwnedEngine(std::string aName,
                         config::Upstream aProperties,
                         Ownership aOwnership,
                         Timing aTiming)
  : mName(std::move(aName))
  , mProperties(std::move(aProperties))
  , mOwnership(aOwnership)
  , mTiming(aTiming)
  , mLedger(capacityOf(mProperties), aTiming.orderExpiry)
{
}

void
OwnedEngine::configure(const config::Upstream& aProperties)
{
  mProperties = aProperties;
  mLedger.setCapacity(capacityOf(aProperties));
}

bool
OwnedEngine::ready() const
{
  const auto inventory_at = mLedger.inventorySentAt();
  if (mQuiescing || !inventory_at) {
    return false;
  }
  return mProperties.checksFencing ? mAdoptedAt && *inventory_at >= *mAdoptedAt
                                   : *inventory_at >= mOwnership.takenAt;
}

InventoryChanges
OwnedEngine::inventoryReceived(
  const upstream::Inventory& aInventory,
  const std::map<config::ModelReference, std::uint32_t>& aAdapterSizes,
  Instant aSentAt,
  Instant aNow)
{
  InventoryChanges changes;
  if (mLedger.inventorySentAt() && aSentAt < *mLedger.inventorySentAt()) {
    return changes;
  }
  if (mProperties.checksFencing) {
    if (aInventory.fencingNumber > mOwnership.fencingNumber) {
      changes.superseded = true;
      return changes;
    }
    const bool adopted = aInventory.fencingNumber == mOwnership.fencingNumber;
    if (adopted && !mAdoptedAt) {
      mAdoptedAt = aNow;
    } else if (!adopted && mAdoptedAt && aSentAt >= *mAdoptedAt) {
      // A restarted engine has lost its fencing number.
      mAdoptedAt.reset();
    }
  }
  changes.restarted = mInventory && mInventory->incarnation != aInventory.incarnation;
  compareModels(aInventory, changes);
  mLedger.inventoryReceived(aInventory, aAdapterSizes, aSentAt);
  mInventory = aInventory;
  return changes;
}

void
OwnedEngine::compareModels(const upstream::Inventory& aInventory,
                           InventoryChanges& aChanges)
{
  const auto before = statesOf(mInventory);
  const auto after = statesOf(aInventory);
  for (const auto& [loadable, state] : before) {
    if (!after.contains(loadable)) {
      auto& list = state == ReplicaState::Loading ? aChanges.failed : aChanges.vanished;
      list.push_back(loadable);
    }
  }
  for (const auto& [loadable, state] : after) {
    const auto known = before.find(loadable);
    const bool was_loaded =
      known != before.end() && known->second == ReplicaState::Loaded;
    if (state == ReplicaState::Loaded && !was_loaded) {
      aChanges.loaded.push_back(loadable);
    }
  }
}

Order
OwnedEngine::makeOrder(OrderKind aKind, const config::Loadable& aLoadable)
{
  Order order;
  order.orderId = mName + "-" + std::to_string(mOwnership.fencingNumber) + "-" +
                  std::to_string(++mLastOrder);
  order.kind = aKind;
  order.loadable = aLoadable;
  order.fencingNumber = mOwnership.fencingNumber;
  order.timeToLive = mTiming.orderTimeToLive;
  return order;
}

void
OwnedEngine::recordSent(Instant aNow)
{
  ++mInFlight;
  const std::string id = mName + "-" + std::to_string(mOwnership.fencingNumber) + "-" +
                         std::to_string(mLastOrder);
  mSentAt[id] = aNow;
}

std::optional<Order>
OwnedEngine::adopt(Instant aNow)
{
  if (!mProperties.checksFencing || mAdoptedAt || mQuiescing ||
      (mAdoptRetryAt && aNow < *mAdoptRetryAt)) {
    return std::nullopt;
  }
  mAdoptRetryAt = aNow + mTiming.orderExpiry;
  auto order = makeOrder(OrderKind::Adopt, {});
  recordSent(aNow);
  return order;
}

std::optional<Order>
OwnedEngine::load(const config::Loadable& aLoadable,
                  std::uint32_t aFootprintMb,
                  Instant aNow)
{
  if (!ready()) {
    return std::nullopt;
  }
  auto order = makeOrder(OrderKind::Load, aLoadable);
  order.footprintMb = aFootprintMb;
  if (!mLedger.reserveModel(aLoadable, aFootprintMb, order.orderId, aNow)) {
    return std::nullopt;
  }
  recordSent(aNow);
  return order;
}

bool
OwnedEngine::unloadRecentlySent(const std::string& aKey, Instant aNow) const
{
  const auto until = mUnloadRetryAt.find(aKey);
  return until != mUnloadRetryAt.end() && aNow < until->second;
}

std::optional<Order>
OwnedEngine::unload(const config::Loadable& aLoadable, Instant aNow)
{
  const std::string key = config::toString(aLoadable);
  const auto states = statesOf(mInventory);
  const auto state = states.find(aLoadable);
  if (!ready() || unloadRecentlySent(key, aNow) || state == states.end() ||
      state->second == ReplicaState::Unloading) {
    return std::nullopt;
  }
  mUnloadRetryAt[key] = aNow + mTiming.orderExpiry;
  auto order = makeOrder(OrderKind::Unload, aLoadable);
  recordSent(aNow);
  return order;
}

std::optional<Order>
OwnedEngine::loadAdapter(const config::ModelReference& aAdapter,
                         std::uint32_t aSizeMb,
                         Instant aNow)
{
  if (!ready()) {
    return std::nullopt;
  }
  auto order = makeOrder(OrderKind::LoadAdapter, aAdapter.loadable);
  order.adapter = aAdapter.adapter;
  order.footprintMb = aSizeMb;
  if (!mLedger.reserveAdapter(aAdapter, aSizeMb, order.orderId, aNow)) {
    return std::nullopt;
  }
  recordSent(aNow);
  return order;
}

std::optional<Order>
OwnedEngine::unloadAdapter(const config::ModelReference& aAdapter, Instant aNow)
{
  const std::string key = config::toString(aAdapter);
  if (!ready() || unloadRecentlySent(key, aNow) || !mLedger.holds(aAdapter)) {
    return std::nullopt;
  }
  mUnloadRetryAt[key] = aNow + mTiming.orderExpiry;
  auto order = makeOrder(OrderKind::UnloadAdapter, aAdapter.loadable);
  order.adapter = aAdapter.adapter;
  recordSent(aNow);
  return order;
}

bool
OwnedEngine::orderDone(const Order& aOrder, OrderOutcome aOutcome, Instant aNow)
{
  const auto sent = mSentAt.find(aOrder.orderId);
  if (sent == mSentAt.end()) {
    return false;
  }
  --mInFlight;
  if (aOutcome == OrderOutcome::Unknown) {
    mUnsettledUntil = std::max(mUnsettledUntil, sent->second + mTiming.orderExpiry);
  }
  mSentAt.erase(sent);
  mLedger.orderDone(aOrder.orderId, aOutcome, aNow);
  if (aOrder.kind == OrderKind::Adopt) {
    mAdoptRetryAt = aNow + kAdoptRetryDelay;
    if (aOutcome == OrderOutcome::Accepted && !mAdoptedAt) {
      mAdoptedAt = aNow;
    }
  }
  if (aOutcome != OrderOutcome::Accepted && aOutcome != OrderOutcome::Unknown) {
    mUnloadRetryAt.erase(
      config::toString(config::ModelReference{ aOrder.loadable, aOrder.adapter }));
  }
  return aOutcome == OrderOutcome::StaleFencing;
}

bool
OwnedEngine::allOrdersSettled(Instant aNow) const
{
  return mInFlight == 0 && aNow >= mUnsettledUntil && mLedger.allOrdersSettled(aNow);
}

bool
OwnedEngine::confirmedAbsent(const config::Loadable& aLoadable) const
{
  const auto inventory_at = mLedger.inventorySentAt();
  if (!inventory_at || mLedger.holds(aLoadable)) {
    return false;
  }
  return mProperties.checksFencing
           ? mAdoptedAt && *inventory_at >= *mAdoptedAt
           : *inventory_at >= mOwnership.takenAt + mTiming.takeoverTime;
}

void
OwnedEngine::declareHostRemoved(Instant aNow)
{
  upstream::Inventory nothing;
  nothing.fencingNumber = mOwnership.fencingNumber;
  if (mProperties.checksFencing && !mAdoptedAt) {
    mAdoptedAt = aNow;
  }
  mLedger.inventoryReceived(nothing, {}, aNow);
  mInventory = nothing;
}

} // namespace savoryrill::placement
