#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "serving/engineledger.h"

namespace savoryrill::serving {

/// Index of the engines that have a model, built from the ledgers of all engines that
/// aren't leaving. With 140 engines and 750 models a planner makes some thousand lookups
/// per plan, so only engines whose ledger has changed are indexed again. Not thread safe;
/// no I/O.
class ModelLocationIndex
{
public:
  using Engines = std::vector<EngineLedger*>;

  /// Indexes an engine again if the revision of its ledger has changed. Precondition: the
  /// ledger keeps its address until `remove`.
  void update(EngineLedger& aEngine);
  void remove(const std::string& aEngine);

  /// Number of engines where the model is ready.
  std::uint32_t readyReplicas(const std::string& aModel) const;
  /// Number of engines where the model is ready or is being loaded.
  std::uint32_t heldReplicas(const std::string& aModel) const;
  /// Engines with a replica, ready or being loaded, or with a checkpoint copy in memory
  /// or on disk, in no particular order.
  const Engines& enginesWith(const std::string& aModel) const;
  /// Number of engines that load from the weight store.
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
    std::vector<std::string> all; // held, or with a checkpoint copy
    bool loadsFromWeightStore = false;
  };

  void withdraw(const Contribution& aContribution);
  void add(const Contribution& aContribution);

  std::unordered_map<std::string, Model> mModels;
  std::unordered_map<std::string, Contribution> mContributions; // by engine
  std::uint32_t mWeightStoreLoads = 0;
};

} // namespace savoryrill::serving
