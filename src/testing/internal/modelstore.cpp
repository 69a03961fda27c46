#include "testing/internal/modelstore.h"

#include <utility>

#include "testing/internal/json.h"

namespace savoryrill::testing {

using upstream::CheckpointLocality;
using upstream::ReplicaState;

ModelStore::ModelStore(const EngineOptions& aOptions,
                       CheckpointLoader& aLoader,
                       CheckpointCache& aCache,
                       Recorder& aRecorder,
                       Hooks aHooks)
  : mMemoryMb(aOptions.memoryMb)
  , mUnsafeMemory(aOptions.unsafeMemory)
  , mLoader(aLoader)
  , mCache(aCache)
  , mRecorder(aRecorder)
  , mHooks(std::move(aHooks))
{
}

bool
ModelStore::isLoaded(const Resident& aResident)
{
  return aResident.state == ReplicaState::Loaded;
}

std::uint64_t
ModelStore::usedMb() const
{
  std::uint64_t used_mb = 0;
  for (const auto& [name, model] : mModels) {
    used_mb += model.resident.sizeMb;
    for (const auto& [adapter, resident] : model.adapters) {
      used_mb += resident.sizeMb;
    }
  }
  return used_mb;
}

std::optional<Refusal>
ModelStore::checkMemory(std::uint32_t aSizeMb)
{
  const std::uint64_t needed_mb = usedMb() + aSizeMb;
  if (needed_mb <= mMemoryMb) {
    return std::nullopt;
  }
  if (mUnsafeMemory) {
    mRecorder.write(
      "overcommit",
      fields({ { "needed_mb", Json::UInt64(needed_mb) }, { "memory_mb", mMemoryMb } }));
    return std::nullopt;
  }
  return Refusal{ 507,
                  "out_of_memory",
                  std::to_string(needed_mb) + " MB needed of " +
                    std::to_string(mMemoryMb) };
}

void
ModelStore::beginLoad(Resident& aResident,
                      const std::string& aModel,
                      const std::string& aAdapter,
                      std::function<void(std::string)> aDone)
{
  const std::string name = aAdapter.empty() ? aModel : aModel + "+" + aAdapter;
  const auto fetch_class =
    aAdapter.empty() ? FetchClass::Checkpoint : FetchClass::Adapter;
  mRecorder.write("load_begin",
                  fields({ { "model", aModel },
                           { "adapter", aAdapter },
                           { "size_mb", aResident.sizeMb },
                           { "locality", std::string(nameOf(mCache.locality(name))) } }));
  recordMemory();
  aResident.transfer =
    mLoader.start(name, aResident.sizeMb, fetch_class, std::move(aDone));
}

std::optional<Refusal>
ModelStore::load(const std::string& aModel, std::uint32_t aFootprintMb)
{
  const auto found = mModels.find(aModel);
  if (found != mModels.end()) {
    const auto& resident = found->second.resident;
    if (resident.state == ReplicaState::Unloading) {
      return Refusal{ 409, "unloading", aModel + " is being unloaded" };
    }
    if (resident.sizeMb != aFootprintMb) {
      return Refusal{ 409, "already_loaded", aModel + " has another footprint" };
    }
    return std::nullopt;
  }
  if (auto refusal = checkMemory(aFootprintMb)) {
    return refusal;
  }
  auto& model = mModels[aModel];
  model.resident.sizeMb = aFootprintMb;
  beginLoad(model.resident, aModel, "", [this, aModel](const std::string& aFailure) {
    endLoad(aModel, aFailure);
  });
  return std::nullopt;
}

void
ModelStore::endLoad(const std::string& aModel, const std::string& aFailure)
{
  if (aFailure.empty()) {
    auto& resident = mModels.at(aModel).resident;
    resident.state = ReplicaState::Loaded;
    resident.transfer.reset();
  } else {
    mModels.erase(aModel);
  }
  recordLoadEnd(aModel, "", aFailure);
}

std::optional<Refusal>
ModelStore::unload(const std::string& aModel)
{
  const auto found = mModels.find(aModel);
  if (found == mModels.end()) {
    return Refusal{ 404, "not_loaded", aModel + " is not loaded" };
  }
  auto& resident = found->second.resident;
  if (resident.state == ReplicaState::Unloading) {
    return std::nullopt;
  }
  if (resident.state == ReplicaState::Loading) {
    mModels.erase(found);
    recordLoadEnd(aModel, "", "cancelled by an unload order");
    return std::nullopt;
  }
  resident.state = ReplicaState::Unloading;
  record("unload_begin", aModel, "", resident.sizeMb);
  finishUnloads();
  return std::nullopt;
}

std::optional<Refusal>
ModelStore::loadAdapter(const std::string& aModel,
                        const std::string& aAdapter,
                        std::uint32_t aSizeMb)
{
  if (!serves(aModel)) {
    return Refusal{ 404, "not_loaded", aModel + " is not loaded" };
  }
  auto& model = mModels.at(aModel);
  const auto found = model.adapters.find(aAdapter);
  if (found != model.adapters.end()) {
    return found->second.state == ReplicaState::Unloading
             ? std::optional(Refusal{ 409, "unloading", aAdapter + " is being unloaded" })
             : std::nullopt;
  }
  if (auto refusal = checkMemory(aSizeMb)) {
    return refusal;
  }
  auto& resident = model.adapters[aAdapter];
  resident.sizeMb = aSizeMb;
  beginLoad(
    resident, aModel, aAdapter, [this, aModel, aAdapter](const std::string& aFailure) {
      endAdapterLoad(aModel, aAdapter, aFailure);
    });
  return std::nullopt;
}

void
ModelStore::endAdapterLoad(const std::string& aModel,
                           const std::string& aAdapter,
                           const std::string& aFailure)
{
  auto& adapters = mModels.at(aModel).adapters;
  if (aFailure.empty()) {
    adapters.at(aAdapter).state = ReplicaState::Loaded;
    adapters.at(aAdapter).transfer.reset();
  } else {
    adapters.erase(aAdapter);
  }
  recordLoadEnd(aModel, aAdapter, aFailure);
}

std::optional<Refusal>
ModelStore::unloadAdapter(const std::string& aModel, const std::string& aAdapter)
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end() || model->second.adapters.count(aAdapter) == 0) {
    return Refusal{ 404, "not_loaded", aModel + "+" + aAdapter + " is not loaded" };
  }
  auto& resident = model->second.adapters.at(aAdapter);
  if (resident.state == ReplicaState::Loading) {
    model->second.adapters.erase(aAdapter);
    recordLoadEnd(aModel, aAdapter, "cancelled by an unload order");
    return std::nullopt;
  }
  resident.state = ReplicaState::Unloading;
  record("unload_begin", aModel, aAdapter, resident.sizeMb);
  finishUnloads();
  return std::nullopt;
}

void
ModelStore::place(const std::string& aModel, std::uint32_t aFootprintMb)
{
  mCache.put(aModel, aFootprintMb, CheckpointLocality::Memory);
  auto& resident = mModels[aModel].resident;
  resident.sizeMb = aFootprintMb;
  resident.state = ReplicaState::Loaded;
  record("load_begin", aModel, "", aFootprintMb);
  recordLoadEnd(aModel, "", "");
}

bool
ModelStore::serves(const std::string& aModel) const
{
  const auto found = mModels.find(aModel);
  return found != mModels.end() && isLoaded(found->second.resident);
}

bool
ModelStore::serves(const std::string& aModel, const std::string& aAdapter) const
{
  if (!serves(aModel)) {
    return false;
  }
  const auto& adapters = mModels.at(aModel).adapters;
  const auto found = adapters.find(aAdapter);
  return found != adapters.end() && isLoaded(found->second);
}

void
ModelStore::finishUnloads()
{
  for (auto entry = mModels.begin(); entry != mModels.end();) {
    const auto current = entry++;
    finishAdapterUnloads(current->first, current->second);
    const bool leaves = current->second.resident.state == ReplicaState::Unloading;
    if (!leaves || mHooks.inUse(current->first, "")) {
      continue;
    }
    const std::string name = current->first;
    const std::uint32_t size_mb = current->second.resident.sizeMb;
    mModels.erase(current);
    record("unload_end", name, "", size_mb);
    recordMemory();
    mHooks.onUnloaded(name);
  }
}

void
ModelStore::finishAdapterUnloads(const std::string& aName, Model& aModel)
{
  for (auto entry = aModel.adapters.begin(); entry != aModel.adapters.end();) {
    const auto current = entry++;
    const bool leaves = current->second.state == ReplicaState::Unloading;
    if (!leaves || mHooks.inUse(aName, current->first)) {
      continue;
    }
    record("unload_end", aName, current->first, current->second.sizeMb);
    aModel.adapters.erase(current);
    recordMemory();
  }
}

Json::Value
ModelStore::describe() const
{
  Json::Value models(Json::arrayValue);
  const auto add = [&](const std::string& aName,
                       ReplicaState aState,
                       std::uint32_t aSizeMb) -> Json::Value& {
    const auto at = aName.find('@');
    return models.append(
      fields({ { "model", aName.substr(0, at) },
               { "version", aName.substr(at + 1) },
               { "state", std::string(nameOf(aState)) },
               { "footprint_mb", aSizeMb },
               { "locality", std::string(nameOf(mCache.locality(aName))) },
               { "adapters", Json::Value(Json::arrayValue) } }));
  };
  for (const auto& [name, model] : mModels) {
    auto& entry = add(name, model.resident.state, model.resident.sizeMb);
    for (const auto& [adapter, resident] : model.adapters) {
      if (isLoaded(resident)) {
        entry["adapters"].append(adapter);
      }
    }
  }
  for (const auto& checkpoint : mCache.entries()) {
    const bool adapter = checkpoint.name.find('+') != std::string::npos;
    if (!adapter && mModels.count(checkpoint.name) == 0) {
      add(checkpoint.name, ReplicaState::Absent, 0);
    }
  }
  return models;
}

void
ModelStore::record(const char* aKind,
                   const std::string& aModel,
                   const std::string& aAdapter,
                   std::uint32_t aSizeMb)
{
  mRecorder.write(
    aKind,
    fields({ { "model", aModel }, { "adapter", aAdapter }, { "size_mb", aSizeMb } }));
}

void
ModelStore::recordLoadEnd(const std::string& aModel,
                          const std::string& aAdapter,
                          const std::string& aFailure)
{
  mRecorder.write("load_end",
                  fields({ { "model", aModel },
                           { "adapter", aAdapter },
                           { "loaded", aFailure.empty() },
                           { "reason", aFailure } }));
  recordMemory();
}

void
ModelStore::recordMemory()
{
  const std::uint64_t used_mb = usedMb();
  mRecorder.write("memory",
                  fields({ { "used_mb", Json::UInt64(used_mb) },
                           { "memory_mb", mMemoryMb },
                           { "overcommitted", used_mb > mMemoryMb } }));
}

} // namespace savoryrill::testing
