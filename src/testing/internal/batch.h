#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "event/loop.h"
#include "testing/internal/generation.h"
#include "testing/internal/prefixcache.h"
#include "testing/types/engineoptions.h"

namespace savoryrill::testing {

/// Continuous batching: each step gives every running request past its prefill one token;
/// the step takes longer with each running request. Free places go to the waiting
/// request of the highest priority, in order of arrival. Not thread safe.
class Batch
{
public:
  /// `aOnProgress` runs after each token; the last one has the state Finished.
  /// Precondition: the loop and the cache outlive this object.
  Batch(event::Loop& aLoop,
        BatchOptions aOptions,
        PrefixCache& aCache,
        std::function<void(const GenerationPtr&)> aOnProgress);

  /// True if no further request may wait.
  bool full() const { return mWaiting.size() >= mOptions.maxWaiting; }

  /// Queues a request; it starts with the next step at the earliest.
  void add(const GenerationPtr& aGeneration);

  /// Takes a request out; does nothing if it is not in.
  void remove(const GenerationPtr& aGeneration);

  /// True if a request for the model (or, if named, its adapter) runs or waits.
  bool uses(const std::string& aLoadable, const std::string& aAdapter) const;

  std::uint32_t running() const { return static_cast<std::uint32_t>(mRunning.size()); }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(mWaiting.size()); }

  /// Share of the KV cache in use, 0 to 1.
  double kvCacheUsed() const;

  /// Step time of an empty batch from now on.
  void setStep(Duration aStep) { mOptions.step = aStep; }

  /// Multiplies all step and prefill times from now on. Precondition: `aFactor` > 0.
  void setSlowFactor(double aFactor) { mSlowFactor = aFactor; }

private:
  void schedule();
  void step();
  void startWaiting();
  Duration scaled(Duration aTime) const;

  event::Loop& mLoop;
  BatchOptions mOptions;
  PrefixCache& mCache;
  std::function<void(const GenerationPtr&)> mOnProgress;
  double mSlowFactor = 1;
  std::uint64_t mArrivals = 0;
  std::vector<GenerationPtr> mRunning;
  // Ordered by descending priority, then arrival.
  std::map<std::pair<int, std::uint64_t>, GenerationPtr> mWaiting;
  event::Watch mTimer;
  bool mScheduled = false;
};

} // namespace savoryrill::testing
