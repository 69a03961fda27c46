#pragma once

#include <algorithm>
#include <random>

#include "base/types/time.h"

namespace savoryrill::routing {

/// Limits retries to a share of the requests, so that they cannot amplify an overload. A
/// token bucket: each request adds a fraction of a token and each retry takes one token.
/// Not thread safe; no I/O.
class RetryBudget
{
public:
  struct Limits
  {
    double share = 0.2;     // tokens added per request
    double capacity = 50.0; // maximum and initial number of tokens
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

  /// Changes the limits. The remaining tokens stay, up to the new capacity.
  void setLimits(Limits aLimits)
  {
    mLimits = aLimits;
    mTokens = std::min(mTokens, aLimits.capacity);
  }

  /// Adds the share of a new request.
  void requestArrived() { mTokens = std::min(mLimits.capacity, mTokens + mLimits.share); }

  /// Takes a token for a retry; returns false if there is none.
  bool takeRetry()
  {
    if (mTokens < 1.0) {
      return false;
    }
    mTokens -= 1.0;
    return true;
  }

  /// Tokens left; each whole token allows one retry.
  double available() const { return mTokens; }

private:
  Limits mLimits;
  double mTokens;
};

/// Returns the delay before a retry, by exponential back-off with full jitter: uniformly
/// random from 0 to a bound that starts at `aBase` and doubles with each retry, up to
/// `aLimit`. The jitter keeps requests that failed together from being retried together.
/// `aRetry` counts from 0. Not thread safe with respect to `aRandom`.
Duration
fullJitter(std::uint32_t aRetry,
           Duration aBase,
           Duration aLimit,
           std::mt19937_64& aRandom);

} // namespace savoryrill::routing
