#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "upstream/types/inventory.h"

namespace savoryrill::placement {

/// Memory of one engine as its owner counts it. Memory is reserved before an order is
/// sent and freed only by an inventory that was requested after every order that could
/// still use it was settled. In doubt memory counts as used. No I/O; not thread safe.
class MemoryLedger
{
public:
  struct Capacity
  {
    std::uint32_t modelsMb = 0;
    std::uint32_t adaptersMb = 0;
  };

  /// `aOrderExpiry` is the time after which an order with an unknown outcome can no
  /// longer take effect: order time to live + clock margin.
  MemoryLedger(Capacity aCapacity, Duration aOrderExpiry);

  /// Changes the capacity; what is reserved stays.
  void setCapacity(Capacity aCapacity) { mCapacity = aCapacity; }

  /// Reserves memory for a load order that is about to be sent. False, without effect, if
  /// it does not fit, the loadable is held already, or no inventory was taken yet.
  bool reserveModel(const config::Loadable& aLoadable,
                    std::uint32_t aFootprintMb,
                    const std::string& aOrderId,
                    Instant aNow);

  /// The same for an adapter, in the adapter memory.
  bool reserveAdapter(const config::ModelReference& aAdapter,
                      std::uint32_t aSizeMb,
                      const std::string& aOrderId,
                      Instant aNow);

  /// Result of an order. Outcomes without effect free the reservation.
  void orderDone(const std::string& aOrderId,
                 upstream::OrderOutcome aOutcome,
                 Instant aNow);

  /// Takes an inventory that was requested at `aSentAt`. Ignored if a later one was
  /// taken. `aAdapterSizes` gives the size of an adapter; unknown ones count with the
  /// largest size that was ever reserved.
  void inventoryReceived(
    const upstream::Inventory& aInventory,
    const std::map<config::ModelReference, std::uint32_t>& aAdapterSizes,
    Instant aSentAt);

  /// Memory that may still be reserved; 0 while overcommitted or unknown.
  std::uint32_t freeModelsMb() const;
  std::uint32_t freeAdaptersMb() const;
  std::uint32_t usedModelsMb() const;
  std::uint32_t usedAdaptersMb() const;

  /// True if the loadable or adapter uses memory, or may still come to use it.
  bool holds(const config::Loadable& aLoadable) const
  {
    return mModels.contains(aLoadable);
  }
  bool holds(const config::ModelReference& aAdapter) const
  {
    return mAdapters.contains(aAdapter);
  }

  /// Loadables that use memory or may come to use it, with their sizes in MB.
  std::map<config::Loadable, std::uint32_t> models() const;

  /// The same of adapters; the value is false while the adapter is not resident.
  std::map<config::ModelReference, bool> adapters() const;

  /// True if no order can still take effect that no inventory has settled.
  bool allOrdersSettled(Instant aNow) const;

  /// True once an inventory was taken.
  bool hasInventory() const { return mInventorySentAt.has_value(); }

  /// When the latest inventory was requested.
  std::optional<Instant> inventorySentAt() const { return mInventorySentAt; }

private:
  struct Reservation
  {
    std::uint32_t sizeMb = 0;
    bool resident = false;
    std::string orderId; // of the unsettled order, empty if there is none
    Instant sentAt;
    std::optional<Instant> settledAt; // an inventory requested later tells the outcome
    bool answered = false;
  };
  template<typename Key>
  using Table = std::map<Key, Reservation>;

  template<typename Key>
  bool reserve(Table<Key>& aTable,
               const Key& aKey,
               std::uint32_t aSizeMb,
               std::uint32_t aFreeMb,
               const std::string& aOrderId,
               Instant aNow);
  template<typename Key>
  bool finishOrder(Table<Key>& aTable,
                   const std::string& aOrderId,
                   upstream::OrderOutcome aOutcome,
                   Instant aNow);
  template<typename Key>
  void applyInventory(Table<Key>& aTable,
                      const std::map<Key, std::uint32_t>& aResident,
                      Instant aSentAt);

  Capacity mCapacity;
  Duration mOrderExpiry;
  std::uint32_t mReportedMemoryMb = 0;
  std::uint32_t mLargestAdapterMb = 0;
  std::optional<Instant> mInventorySentAt;
  Table<config::Loadable> mModels;
  Table<config::ModelReference> mAdapters;
};

} // namespace savoryrill::placement
