#include "placement/memoryledger.h"

#include <algorithm>

namespace savoryrill::placement {

namespace {

template<typename Table>
std::uint32_t
total(const Table& aTable)
{
  std::uint64_t sum = 0;
  for (const auto& [key, reservation] : aTable) {
    sum += reservation.sizeMb;
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(sum, UINT32_MAX));
}

} // namespace

MemoryLedger::MemoryLedger(Capacity aCapacity, Duration aOrderExpiry)
  : mCapacity(aCapacity)
  , mOrderExpiry(aOrderExpiry)
{
}

template<typename Key>
bool
MemoryLedger::reserve(Table<Key>& aTable,
                      const Key& aKey,
                      std::uint32_t aSizeMb,
                      std::uint32_t aFreeMb,
                      const std::string& aOrderId,
                      Instant aNow)
{
  if (!hasInventory() || aSizeMb > aFreeMb || aTable.contains(aKey)) {
    return false;
  }
  Reservation reservation;
  reservation.sizeMb = aSizeMb;
  reservation.orderId = aOrderId;
  reservation.sentAt = aNow;
  aTable[aKey] = reservation;
  return true;
}

bool
MemoryLedger::reserveModel(const config::Loadable& aLoadable,
                           std::uint32_t aFootprintMb,
                           const std::string& aOrderId,
                           Instant aNow)
{
  return reserve(mModels, aLoadable, aFootprintMb, freeModelsMb(), aOrderId, aNow);
}

bool
MemoryLedger::reserveAdapter(const config::ModelReference& aAdapter,
                             std::uint32_t aSizeMb,
                             const std::string& aOrderId,
                             Instant aNow)
{
  mLargestAdapterMb = std::max(mLargestAdapterMb, aSizeMb);
  return reserve(mAdapters, aAdapter, aSizeMb, freeAdaptersMb(), aOrderId, aNow);
}

template<typename Key>
bool
MemoryLedger::finishOrder(Table<Key>& aTable,
                          const std::string& aOrderId,
                          upstream::OrderOutcome aOutcome,
                          Instant aNow)
{
  const auto found = std::find_if(aTable.begin(), aTable.end(), [&](const auto& aEntry) {
    return aEntry.second.orderId == aOrderId;
  });
  if (found == aTable.end()) {
    return false;
  }
  auto& reservation = found->second;
  switch (aOutcome) {
    case upstream::OrderOutcome::Accepted:
      reservation.settledAt = aNow;
      break;
    case upstream::OrderOutcome::Unknown:
      // The order may still take effect until it has expired.
      reservation.settledAt = std::max(aNow, reservation.sentAt + mOrderExpiry);
      break;
    default:
      if (reservation.resident) {
        reservation.orderId.clear();
      } else {
        aTable.erase(found);
      }
      break;
  }
  return true;
}

void
MemoryLedger::orderDone(const std::string& aOrderId,
                        upstream::OrderOutcome aOutcome,
                        Instant aNow)
{
  if (!finishOrder(mModels, aOrderId, aOutcome, aNow)) {
    finishOrder(mAdapters, aOrderId, aOutcome, aNow);
  }
}

template<typename Key>
void
MemoryLedger::applyInventory(Table<Key>& aTable,
                             const std::map<Key, std::uint32_t>& aResident,
                             Instant aSentAt)
{
  for (auto entry = aTable.begin(); entry != aTable.end();) {
    auto& reservation = entry->second;
    const bool settled = reservation.orderId.empty() ||
                         (reservation.settledAt && aSentAt >= *reservation.settledAt);
    const auto resident = aResident.find(entry->first);
    if (settled) {
      reservation.orderId.clear();
    }
    if (resident == aResident.end() && settled) {
      entry = aTable.erase(entry);
      continue;
    }
    reservation.resident = resident != aResident.end();
    ++entry;
  }
  for (const auto& [key, size] : aResident) {
    auto& reservation = aTable[key];
    reservation.resident = true;
    // While an order is open, the larger of the reserved and the reported size counts.
    reservation.sizeMb =
      reservation.orderId.empty() ? size : std::max(size, reservation.sizeMb);
  }
}

void
MemoryLedger::inventoryReceived(
  const upstream::Inventory& aInventory,
  const std::map<config::ModelReference, std::uint32_t>& aAdapterSizes,
  Instant aSentAt)
{
  if (mInventorySentAt && aSentAt < *mInventorySentAt) {
    return;
  }
  mInventorySentAt = aSentAt;
  mReportedMemoryMb = aInventory.memoryMb;
  std::map<config::Loadable, std::uint32_t> models;
  std::map<config::ModelReference, std::uint32_t> adapters;
  for (const auto& model : aInventory.models) {
    if (model.state == upstream::ReplicaState::Absent) {
      continue;
    }
    models[model.loadable] = model.footprintMb;
    for (const auto& adapter : model.adapters) {
      const config::ModelReference reference{ model.loadable, adapter };
      const auto size = aAdapterSizes.find(reference);
      adapters[reference] =
        size == aAdapterSizes.end() ? mLargestAdapterMb : size->second;
    }
  }
  applyInventory(mModels, models, aSentAt);
  applyInventory(mAdapters, adapters, aSentAt);
}

std::uint32_t
MemoryLedger::usedModelsMb() const
{
  return total(mModels);
}

std::uint32_t
MemoryLedger::usedAdaptersMb() const
{
  return total(mAdapters);
}

std::uint32_t
MemoryLedger::freeModelsMb() const
{
  // If an engine reports less memory than configured, the reported size applies.
  const std::uint32_t reported = mReportedMemoryMb > mCapacity.adaptersMb
                                   ? mReportedMemoryMb - mCapacity.adaptersMb
                                   : 0;
  const std::uint32_t capacity = std::min(mCapacity.modelsMb, reported);
  const std::uint32_t used = usedModelsMb();
  return hasInventory() && used < capacity ? capacity - used : 0;
}

std::uint32_t
MemoryLedger::freeAdaptersMb() const
{
  const std::uint32_t used = usedAdaptersMb();
  return hasInventory() && used < mCapacity.adaptersMb ? mCapacity.adaptersMb - used : 0;
}

std::map<config::Loadable, std::uint32_t>
MemoryLedger::models() const
{
  std::map<config::Loadable, std::uint32_t> result;
  for (const auto& [loadable, reservation] : mModels) {
    result[loadable] = reservation.sizeMb;
  }
  return result;
}

std::map<config::ModelReference, bool>
MemoryLedger::adapters() const
{
  std::map<config::ModelReference, bool> result;
  for (const auto& [adapter, reservation] : mAdapters) {
    result[adapter] = reservation.resident;
  }
  return result;
}

bool
MemoryLedger::allOrdersSettled(Instant aNow) const
{
  const auto open = [&](const auto& aEntry) {
    const auto& reservation = aEntry.second;
    return !reservation.orderId.empty() &&
           (!reservation.settledAt || aNow < *reservation.settledAt);
  };
  return std::none_of(mModels.begin(), mModels.end(), open) &&
         std::none_of(mAdapters.begin(), mAdapters.end(), open);
}

} // namespace savoryrill::placement
