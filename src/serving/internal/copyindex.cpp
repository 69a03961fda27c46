#include "serving/copyindex.h"

namespace savoryrill::serving {

void
CopyIndex::update(EngineLedger& aEngine)
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
    auto all = aEngine.copies();
    all.insert(held.begin(), held.end());
    contribution.held.assign(held.begin(), held.end());
    contribution.all.assign(all.begin(), all.end());
    contribution.loadsFromStore = aEngine.loadsFromStore();
  }
  add(contribution);
}

void
CopyIndex::remove(const std::string& aEngine)
{
  if (const auto found = mContributions.find(aEngine); found != mContributions.end()) {
    withdraw(found->second);
    mContributions.erase(found);
  }
}

void
CopyIndex::withdraw(const Contribution& aContribution)
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
  mStoreLoads -= aContribution.loadsFromStore ? 1 : 0;
}

void
CopyIndex::add(const Contribution& aContribution)
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
  mStoreLoads += aContribution.loadsFromStore ? 1 : 0;
}

std::uint32_t
CopyIndex::readyCount(const std::string& aModel) const
{
  const auto found = mModels.find(aModel);
  return found == mModels.end() ? 0 : found->second.ready;
}

std::uint32_t
CopyIndex::heldCount(const std::string& aModel) const
{
  const auto found = mModels.find(aModel);
  return found == mModels.end() ? 0 : found->second.held;
}

const CopyIndex::Engines&
CopyIndex::enginesWith(const std::string& aModel) const
{
  static const Engines kNone;
  const auto found = mModels.find(aModel);
  return found == mModels.end() ? kNone : found->second.engines;
}

} // namespace savoryrill::serving
