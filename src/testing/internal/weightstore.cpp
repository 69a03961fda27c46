#include "testing/internal/weightstore.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "testing/internal/json.h"

namespace savoryrill::testing {

namespace {

// Below this remainder, a fetch counts as complete; it absorbs rounding of the clock.
constexpr double kCompleteMb = 1e-6;

Duration
fromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 1e6;
  return Duration(std::llround(std::ceil(std::min(aSeconds, kMaxSeconds) * 1e6)));
}

} // namespace

WeightStore::WeightStore(event::Loop& aLoop,
                         WeightStoreOptions aOptions,
                         Recorder& aRecorder)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mRecorder(aRecorder)
  , mLastProgress(aLoop.now())
  , mNextStart(aLoop.now())
{
}

std::uint64_t
WeightStore::fetch(const std::string& aModel,
                   double aSizeMb,
                   FetchClass aClass,
                   std::function<void()> aDone)
{
  progress();
  mFetches.push_back({ ++mNextId, aModel, aClass, aSizeMb, false, std::move(aDone) });
  record("fetch_queued", mFetches.back());
  update();
  return mNextId;
}

void
WeightStore::cancel(std::uint64_t aId)
{
  const auto found = std::find_if(mFetches.begin(),
                                  mFetches.end(),
                                  [&](const Fetch& aFetch) { return aFetch.id == aId; });
  if (found == mFetches.end()) {
    return;
  }
  progress();
  record("fetch_cancelled", *found);
  mFetches.erase(found);
  update();
}

void
WeightStore::setSlowFactor(double aFactor)
{
  progress();
  mSlowFactor = aFactor;
  update();
}

void
WeightStore::update()
{
  startDue();
  finishDone();
  schedule();
}

void
WeightStore::progress()
{
  const Instant now = mLoop.now();
  const double seconds = toSeconds(now - mLastProgress);
  mLastProgress = now;
  for (auto& fetch : mFetches) {
    if (fetch.started) {
      fetch.remainingMb -= seconds * rate(fetch.fetchClass);
    }
  }
}

void
WeightStore::startDue()
{
  const Instant now = mLoop.now();
  const Duration spacing = mOptions.loadsPerSecond > 0
                             ? fromSeconds(1 / mOptions.loadsPerSecond)
                             : Duration::zero();
  for (auto& fetch : mFetches) {
    const bool paced = fetch.fetchClass == FetchClass::Checkpoint;
    if (fetch.started || (paced && now < mNextStart)) {
      continue;
    }
    fetch.started = true;
    if (paced) {
      mNextStart = now + spacing;
    }
    record("fetch_started", fetch);
  }
}

void
WeightStore::finishDone()
{
  std::vector<std::function<void()>> ended;
  for (auto fetch = mFetches.begin(); fetch != mFetches.end();) {
    if (!fetch->started || fetch->remainingMb > kCompleteMb) {
      ++fetch;
      continue;
    }
    record("fetch_ended", *fetch);
    ended.push_back(std::move(fetch->done));
    fetch = mFetches.erase(fetch);
  }
  for (const auto& done : ended) {
    mLoop.post(done);
  }
}

void
WeightStore::schedule()
{
  mTimer.reset();
  if (mFetches.empty()) {
    return;
  }
  const Instant now = mLoop.now();
  Duration next = Duration::max();
  for (const auto& fetch : mFetches) {
    const Duration until = fetch.started
                             ? fromSeconds(fetch.remainingMb / rate(fetch.fetchClass))
                             : mNextStart - now;
    next = std::min(next, std::max(until, Duration::zero()));
  }
  mTimer = mLoop.after(next, [this] {
    progress();
    update();
  });
}

std::uint32_t
WeightStore::inProgress(FetchClass aClass) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mFetches.begin(), mFetches.end(), [&](const Fetch& aFetch) {
      return aFetch.started && aFetch.fetchClass == aClass;
    }));
}

double
WeightStore::rate(FetchClass aClass) const
{
  const std::uint32_t places = aClass == FetchClass::Checkpoint
                                 ? mOptions.fullSpeedLoads
                                 : mOptions.adaptersInFlight;
  const std::uint32_t running = std::max(inProgress(aClass), 1U);
  const double share = std::min(1.0, double(places) / running);
  return mOptions.bandwidthMbPerS * share / mSlowFactor;
}

void
WeightStore::record(const char* aKind, const Fetch& aFetch)
{
  mRecorder.write(aKind,
                  fields({ { "fetch", Json::UInt64(aFetch.id) },
                           { "model", aFetch.model },
                           { "class", std::string(nameOf(aFetch.fetchClass)) },
                           { "in_progress", inProgress(aFetch.fetchClass) } }));
}

} // namespace savoryrill::testing
