#include "routing/circuitbreaker.h"

#include <algorithm>

namespace savoryrill::routing {

CircuitState
CircuitBreaker::state(Instant aNow) const
{
  if (!mOpen) {
    return CircuitState::Closed;
  }
  return aNow < mOpenUntil ? CircuitState::Open : CircuitState::HalfOpen;
}

bool
CircuitBreaker::allows(Instant aNow) const
{
  switch (state(aNow)) {
    case CircuitState::Closed:
      return true;
    case CircuitState::Open:
      return false;
    case CircuitState::HalfOpen:
      return !mProbing;
  }
  return false;
}

void
CircuitBreaker::dispatched(Instant aNow)
{
  if (state(aNow) == CircuitState::HalfOpen) {
    mProbing = true;
  }
}

void
CircuitBreaker::succeeded()
{
  mOpen = false;
  mProbing = false;
  mFailures = 0;
  mOpenTime = Duration::zero();
}

void
CircuitBreaker::failed(Instant aNow)
{
  mFailures = std::min(mFailures + 1, mLimits.failuresToOpen);
  if (mOpen && aNow < mOpenUntil) {
    // The request was sent before the circuit opened, so its failure is no new evidence.
    return;
  }
  mProbing = false;
  if (mOpen || mFailures >= mLimits.failuresToOpen) {
    mOpenTime =
      mOpen ? std::min(mOpenTime * 2, mLimits.maxOpenTime) : mLimits.initialOpenTime;
    mOpen = true;
    mOpenUntil = aNow + mOpenTime;
  }
}

} // namespace savoryrill::routing
