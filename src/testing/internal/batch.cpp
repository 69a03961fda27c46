#include "testing/internal/batch.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savoryrill::testing {

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kBytesPerKb = 1024;

} // namespace

Batch::Batch(event::Loop& aLoop,
             BatchOptions aOptions,
             PrefixCache& aCache,
             std::function<void(const GenerationPtr&)> aOnProgress)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mCache(aCache)
  , mOnProgress(std::move(aOnProgress))
{
}

void
Batch::add(const GenerationPtr& aGeneration)
{
  aGeneration->state = GenerationState::Waiting;
  aGeneration->arrival = ++mArrivals;
  mWaiting[{ -aGeneration->priority, aGeneration->arrival }] = aGeneration;
  startWaiting();
  schedule();
}

void
Batch::remove(const GenerationPtr& aGeneration)
{
  std::erase(mRunning, aGeneration);
  mWaiting.erase({ -aGeneration->priority, aGeneration->arrival });
}

bool
Batch::uses(const std::string& aLoadable, const std::string& aAdapter) const
{
  const auto matches = [&](const Generation& aGeneration) {
    return aGeneration.loadable == aLoadable &&
           (aAdapter.empty() || aGeneration.adapter == aAdapter);
  };
  return std::any_of(mRunning.begin(),
                     mRunning.end(),
                     [&](const auto& aRunning) { return matches(*aRunning); }) ||
         std::any_of(mWaiting.begin(), mWaiting.end(), [&](const auto& aWaiting) {
           return matches(*aWaiting.second);
         });
}

double
Batch::kvCacheUsed() const
{
  std::size_t tokens = 0;
  for (const auto& generation : mRunning) {
    tokens += generation->prompt.size() / kBytesPerToken + generation->produced;
  }
  return std::min(1.0, double(tokens) / std::max(1U, mOptions.kvCapacityTokens));
}

Duration
Batch::scaled(Duration aTime) const
{
  return Duration(std::llround(double(aTime.count()) * mSlowFactor));
}

void
Batch::startWaiting()
{
  while (!mWaiting.empty() && mRunning.size() < mOptions.maxRunning) {
    const auto generation = mWaiting.begin()->second;
    mWaiting.erase(mWaiting.begin());
    const Instant now = mLoop.now();
    const bool cached = mCache.use(generation->loadable, generation->prefix, now);
    const Duration prefill =
      scaled(mOptions.prefillPerKb * generation->prompt.size() / kBytesPerKb);
    generation->state = GenerationState::Running;
    const bool ready = cached || generation->prefilled;
    generation->prefillUntil = ready ? now : now + prefill;
    mRunning.push_back(generation);
  }
}

void
Batch::schedule()
{
  if (mScheduled || (mRunning.empty() && mWaiting.empty())) {
    return;
  }
  mScheduled = true;
  const auto length = mOptions.step + mOptions.stepPerRequest * mRunning.size();
  mTimer = mLoop.after(scaled(length), [this] {
    mScheduled = false;
    step();
  });
}

void
Batch::step()
{
  const Instant now = mLoop.now();
  // Copied, since the progress callback may remove requests.
  const std::vector<GenerationPtr> batch = mRunning;
  for (const auto& generation : batch) {
    const bool removed =
      std::find(mRunning.begin(), mRunning.end(), generation) == mRunning.end();
    if (removed || now < generation->prefillUntil) {
      continue;
    }
    ++generation->produced;
    if (generation->produced >= generation->maxTokens) {
      generation->state = GenerationState::Finished;
      std::erase(mRunning, generation);
    }
    mOnProgress(generation);
  }
  startWaiting();
  schedule();
}

} // namespace savoryrill::testing
