#pragma once

#include <cstdint>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::routing {

enum class CircuitState
{
  Closed,  // all requests are allowed
  Open,    // no request is allowed until the open time is over
  HalfOpen // one request at a time is allowed as a probe
};

/// Stops requests to an upstream that fails repeatedly. Not thread safe; no I/O.
class CircuitBreaker
{
public:
  struct Limits
  {
    std::uint32_t failuresToOpen = 5; // consecutive
    Duration initialOpenTime = 500ms; // doubles with each failed probe
    Duration maxOpenTime = 15s;
  };

  CircuitBreaker() = default;
  explicit CircuitBreaker(Limits aLimits)
    : mLimits(aLimits)
  {
  }

  CircuitState state(Instant aNow) const;

  /// True if a request may be sent now. In the half-open state, that is the case only
  /// while no probe is in flight.
  bool allows(Instant aNow) const;

  /// Records that a request is sent. Precondition: `allows(aNow)`.
  void dispatched(Instant aNow);

  /// Records that the upstream responded; closes the circuit.
  void succeeded();

  /// Records that the upstream failed. Opens the circuit after enough consecutive
  /// failures or a failed probe; ignored while the circuit is open.
  void failed(Instant aNow);

  /// Records that a request ended without showing whether the upstream works, for example
  /// because the caller disconnected. A probe ends and another one may start.
  void abandoned() { mProbing = false; }

private:
  Limits mLimits;
  bool mOpen = false;
  bool mProbing = false;
  std::uint32_t mFailures = 0;
  Duration mOpenTime = Duration::zero();
  Instant mOpenUntil;
};

} // namespace savoryrill::routing

namespace savoryrill {

template<>
struct EnumNames<routing::CircuitState>
{
  static constexpr EnumTable<routing::CircuitState, 3> kTable{ {
    { routing::CircuitState::Closed, "closed" },
    { routing::CircuitState::Open, "open" },
    { routing::CircuitState::HalfOpen, "half-open" },
  } };
};

} // namespace savoryrill
