#pragma once

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "testing/internal/checkpointloader.h"
#include "testing/recorder.h"

namespace savoryrill::testing {

/// Why an order was refused; it had no effect.
struct Refusal
{
  int status = 0;
  std::string code;
  std::string detail;
};

/// The engine's accelerator memory: resident models and adapters, their loads and
/// unloads. A load counts from its start, an unload until its end. Not thread safe.
class ModelStore
{
public:
  struct Hooks
  {
    /// True if requests for the model (or, if not empty, the adapter) run or wait.
    std::function<bool(const std::string&, const std::string&)> inUse;
    /// Runs after a model has been unloaded.
    std::function<void(const std::string&)> onUnloaded;
  };

  /// Precondition: loader, cache and recorder outlive this object.
  ModelStore(const EngineOptions& aOptions,
             CheckpointLoader& aLoader,
             CheckpointCache& aCache,
             Recorder& aRecorder,
             Hooks aHooks);

  // Orders. Models are named `deployment@version`. Repeating an order that has been
  // carried out has no effect.
  std::optional<Refusal> load(const std::string& aModel, std::uint32_t aFootprintMb);
  std::optional<Refusal> unload(const std::string& aModel);
  std::optional<Refusal> loadAdapter(const std::string& aModel,
                                     const std::string& aAdapter,
                                     std::uint32_t aSizeMb);
  std::optional<Refusal> unloadAdapter(const std::string& aModel,
                                       const std::string& aAdapter);

  /// Makes a model resident without a load, for models loaded at start.
  void place(const std::string& aModel, std::uint32_t aFootprintMb);

  /// True if the model serves new requests.
  bool serves(const std::string& aModel) const;

  /// True if the model and its adapter serve new requests.
  bool serves(const std::string& aModel, const std::string& aAdapter) const;

  /// Completes unloads that waited for requests. To be called when a request has ended.
  void finishUnloads();

  std::uint64_t usedMb() const;

  /// The `models` list of the inventory.
  Json::Value describe() const;

private:
  struct Resident
  {
    upstream::ReplicaState state = upstream::ReplicaState::Loading;
    std::uint32_t sizeMb = 0;
    std::unique_ptr<Transfer> transfer;
  };
  struct Model
  {
    Resident resident;
    std::map<std::string, Resident> adapters;
  };

  std::optional<Refusal> checkMemory(std::uint32_t aSizeMb);
  void beginLoad(Resident& aResident,
                 const std::string& aModel,
                 const std::string& aAdapter,
                 std::function<void(std::string)> aDone);
  void endLoad(const std::string& aModel, const std::string& aFailure);
  void endAdapterLoad(const std::string& aModel,
                      const std::string& aAdapter,
                      const std::string& aFailure);
  void finishAdapterUnloads(const std::string& aName, Model& aModel);
  void record(const char* aKind,
              const std::string& aModel,
              const std::string& aAdapter,
              std::uint32_t aSizeMb);
  void recordLoadEnd(const std::string& aModel,
                     const std::string& aAdapter,
                     const std::string& aFailure);
  void recordMemory();
  static bool isLoaded(const Resident& aResident);

  std::uint32_t mMemoryMb;
  bool mUnsafeMemory;
  CheckpointLoader& mLoader;
  CheckpointCache& mCache;
  Recorder& mRecorder;
  Hooks mHooks;
  std::map<std::string, Model> mModels;
};

} // namespace savoryrill::testing
