#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "serving/engineledger.h"

namespace savoryrill::serving {

/// Which engines have which models, counted from the ledgers of the engines that stay.
/// A planner of 140 engines and 750 models asks this some thousand times a plan, so only
/// engines whose ledger has changed are read again. Not thread safe; no I/O.
class ModelLocationIndex
{
public:
  using Engines = std::vector<EngineLedger*>;

  /// Reads an engine whose ledger may have changed. Precondition: the ledger keeps its
  /// address until `remove`.
  void update(EngineLedger& aEngine);
  void remove(const std::string& aEngine);

  /// Engines where the model is ready.
  std::uint32_t readyReplicas(const std::string& aModel) const;
  /// Engines where it is ready or on its way.
  std::uint32_t heldReplicas(const std::string& aModel) const;
  /// Engines that hold it, or have a checkpoint copy in memory or on disk. Without order.
  const Engines& enginesWith(const std::string& aModel) const;
  /// Engines that load from the weight store.
  std::uint32_t weightStoreLoads() const { return mWeightStoreLoads; }

private:
  struct Model
  {
    std::uint32_t ready = 0;
    std::uint32_t held = 0;
    Engines engines;
  };
  struct Contribution
  {
    EngineLedger* engine = nullptr;
    std::uint64_t revision = 0;
    std::vector<std::string> ready;
    std::vector<std::string> held;
    std::vector<std::string> all; // held or copied
    bool loadsFromWeightStore = false;
  };

  void withdraw(const Contribution& aContribution);
  void add(const Contribution& aContribution);

  std::unordered_map<std::string, Model> mModels;
  std::unordered_map<std::string, Contribution> mContributions; // by engine
  std::uint32_t mWeightStoreLoads = 0;
};

} // namespace savoryrill::serving
