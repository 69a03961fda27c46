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

/// Accounts for the memory of one engine on behalf of its owner. Memory is reserved
/// before an order is sent. It is freed only by an inventory that was requested when no
/// order could use the memory any more; until then it counts as used. No I/O; not thread
/// safe.
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

  /// Changes the capacity; reservations stay.
  void setCapacity(Capacity aCapacity) { mCapacity = aCapacity; }

  /// Reserves memory for a load order that is about to be sent. Returns false, without
  /// effect, if the free memory does not suffice, the loadable holds memory already, or
  /// no inventory has been received yet.
  bool reserveModel(const config::Loadable& aLoadable,
                    std::uint32_t aFootprintMb,
                    const std::string& aOrderId,
                    Instant aNow);

  /// Reserves adapter memory in the same way.
  bool reserveAdapter(const config::ModelReference& aAdapter,
                      std::uint32_t aSizeMb,
                      const std::string& aOrderId,
                      Instant aNow);

  /// Takes the result of an order. If the order had no effect, its reservation is freed.
  void orderDone(const std::string& aOrderId,
                 upstream::OrderOutcome aOutcome,
                 Instant aNow);

  /// Takes an inventory that was requested at `aSentAt`. It is ignored if one that was
  /// requested later has been received. `aAdapterSizes` gives the adapters' sizes in MB;
  /// an adapter that is not listed counts with the largest size that was ever reserved.
  void inventoryReceived(
    const upstream::Inventory& aInventory,
    const std::map<config::ModelReference, std::uint32_t>& aAdapterSizes,
    Instant aSentAt);

  /// Memory that can still be reserved; 0 while memory is overcommitted or before the
  /// first inventory.
  std::uint32_t freeModelsMb() const;
  std::uint32_t freeAdaptersMb() const;
  std::uint32_t usedModelsMb() const;
  std::uint32_t usedAdaptersMb() const;

  /// True if the loadable or adapter uses memory, or an open order may still make it do
  /// so.
  bool holds(const config::Loadable& aLoadable) const
  {
    return mModels.contains(aLoadable);
  }
  bool holds(const config::ModelReference& aAdapter) const
  {
    return mAdapters.contains(aAdapter);
  }

  /// Loadables for which `holds` is true, with their sizes in MB.
  std::map<config::Loadable, std::uint32_t> models() const;

  /// Adapters for which `holds` is true; the value is true if the adapter is resident.
  std::map<config::ModelReference, bool> adapters() const;

  /// True if no open order can take effect any more.
  bool allOrdersSettled(Instant aNow) const;

  /// True once an inventory has been received.
  bool hasInventory() const { return mInventorySentAt.has_value(); }

  /// When the latest inventory was requested.
  std::optional<Instant> inventorySentAt() const { return mInventorySentAt; }

private:
  struct Reservation
  {
    std::uint32_t sizeMb = 0;
    bool resident = false;
    std::string orderId; // of the open order, or empty
    Instant sentAt;
    std::optional<Instant>
      settledAt; // inventories requested from then on show the outcome
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
