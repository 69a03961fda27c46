#include "serving/modellocationindex.h"

namespace savoryrill::serving {

void
ModelLocationIndex::update(EngineLedger& aEngine)
{
  auto& contribution = mContributions[aEngine.id()];
  if (contribution.engine == &aEngine && contribution.revision == aEngine.revision()) {
    return;
  }
  withdraw(contribution);
  contribution = {};
  contribution.engine = &aEngine;
  contribution.revision = aEngine.revision();
  if (!aEngine.leaving()) {
    contribution.ready = aEngine.readyModels();
    const auto held = aEngine.heldModels();
    auto all = aEngine.checkpointCopies();
    all.insert(held.begin(), held.end());
    contribution.held.assign(held.begin(), held.end());
    contribution.all.assign(all.begin(), all.end());
    contribution.loadsFromWeightStore = aEngine.loadsFromWeightStore();
  }
  add(contribution);
}

void
ModelLocationIndex::remove(const std::string& aEngine)
{
  if (const auto found = mContributions.find(aEngine); found != mContributions.end()) {
    withdraw(found->second);
    mContributions.erase(found);
  }
}

void
ModelLocationIndex::withdraw(const Contribution& aContribution)
{
  for (const auto& model : aContribution.ready) {
    --mModels[model].ready;
  }
  for (const auto& model : aContribution.held) {
    --mModels[model].held;
  }
  for (const auto& model : aContribution.all) {
    std::erase(mModels[model].engines, aContribution.engine);
  }
  mWeightStoreLoads -= aContribution.loadsFromWeightStore ? 1 : 0;
}

void
ModelLocationIndex::add(const Contribution& aContribution)
{
  for (const auto& model : aContribution.ready) {
    ++mModels[model].ready;
  }
  for (const auto& model : aContribution.held) {
    ++mModels[model].held;
  }
  for (const auto& model : aContribution.all) {
    mModels[model].engines.push_back(aContribution.engine);
  }
  mWeightStoreLoads += aContribution.loadsFromWeightStore ? 1 : 0;
}

std::uint32_t
ModelLocationIndex::readyReplicas(const std::string& aModel) const
{
  const auto found = mModels.find(aModel);
  return found == mModels.end() ? 0 : found->second.ready;
}

std::uint32_t
ModelLocationIndex::heldReplicas(const std::string& aModel) const
{
  const auto found = mModels.find(aModel);
  return found == mModels.end() ? 0 : found->second.held;
}

const ModelLocationIndex::Engines&
ModelLocationIndex::enginesWith(const std::string& aModel) const
{
  static const Engines kNone;
  const auto found = mModels.find(aModel);
  return found == mModels.end() ? kNone : found->second.engines;
}

} // namespace savoryrill::serving
