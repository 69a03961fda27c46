#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>

#include "event/loop.h"
#include "testing/recorder.h"
#include "testing/types/platformoptions.h"

namespace savoryrill::testing {

/// Models the transfer times of the weight store: progress is integrated between starts
/// and ends with the rate that the current number of fetches allows. Not thread safe.
class WeightStore
{
public:
  /// Precondition: the loop and the recorder outlive this object.
  WeightStore(event::Loop& aLoop, WeightStoreOptions aOptions, Recorder& aRecorder);

  /// Queues a fetch and returns its id; `aDone` runs on the loop when it has ended.
  std::uint64_t fetch(const std::string& aModel,
                      double aSizeMb,
                      FetchClass aClass,
                      std::function<void()> aDone);

  /// Ends a fetch whose caller has left; does nothing if it has ended already.
  void cancel(std::uint64_t aId);

  /// Divides all rates by `aFactor` from now on. Precondition: `aFactor` > 0.
  void setSlowFactor(double aFactor);

private:
  struct Fetch
  {
    std::uint64_t id = 0;
    std::string model;
    FetchClass fetchClass = FetchClass::Checkpoint;
    double remainingMb = 0;
    bool started = false;
    std::function<void()> done;
  };

  void progress();
  void startDue();
  void finishDone();
  void schedule();
  void update();
  std::uint32_t inProgress(FetchClass aClass) const;
  double rate(FetchClass aClass) const; // MB per second of one fetch
  void record(const char* aKind, const Fetch& aFetch);

  event::Loop& mLoop;
  WeightStoreOptions mOptions;
  Recorder& mRecorder;
  double mSlowFactor = 1;
  std::list<Fetch> mFetches; // in order of arrival
  std::uint64_t mNextId = 0;
  Instant mLastProgress;
  Instant mNextStart;
  event::Watch mTimer;
};

} // namespace savoryrill::testing
