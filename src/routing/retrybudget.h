#pragma once

#include <algorithm>
#include <random>

#include "base/types/time.h"

namespace savoryrill::routing {

/// Limits retries to a share of requests, so that retries cannot multiply an overload: a
/// token bucket that each request fills a little and each retry takes one token from. Not
/// thread safe; no I/O.
class RetryBudget
{
public:
  struct Limits
  {
    double share = 0.2;     // retries per request
    double capacity = 50.0; // retries in a row, also the initial content
  };

  RetryBudget()
    : RetryBudget(Limits{})
  {
  }
  explicit RetryBudget(Limits aLimits)
    : mLimits(aLimits)
    , mTokens(aLimits.capacity)
  {
  }

  /// Changes the limits; what is left stays, up to the new capacity.
  void setLimits(Limits aLimits)
  {
    mLimits = aLimits;
    mTokens = std::min(mTokens, aLimits.capacity);
  }

  /// Notes a new request.
  void requestArrived() { mTokens = std::min(mLimits.capacity, mTokens + mLimits.share); }

  /// Takes a token; false if there is none, and then no retry may be made.
  bool takeRetry()
  {
    if (mTokens < 1.0) {
      return false;
    }
    mTokens -= 1.0;
    return true;
  }

  /// Retries that could be made now.
  double available() const { return mTokens; }

private:
  Limits mLimits;
  double mTokens;
};

/// Full jitter: a uniformly random delay below an exponentially growing bound, so that
/// requests that failed together do not return together. `aRetry` counts from 0. Not
/// thread safe with respect to `aRandom`.
Duration
fullJitter(std::uint32_t aRetry,
           Duration aBase,
           Duration aLimit,
           std::mt19937_64& aRandom);

} // namespace savoryrill::routing
