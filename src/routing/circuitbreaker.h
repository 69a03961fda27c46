#pragma once

#include <cstdint>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::routing {

enum class CircuitState
{
  Closed,  // all requests pass
  Open,    // none pass until the pause is over
  HalfOpen // one probe passes at a time
};

/// Keeps requests from an upstream that fails repeatedly. Not thread safe; no I/O.
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

  /// State at `aNow`.
  CircuitState state(Instant aNow) const;

  /// True if a request may be sent now. In the half-open state only while no probe runs.
  bool allows(Instant aNow) const;

  /// Notes that a request is sent. Precondition: `allows(aNow)`.
  void dispatched(Instant aNow);

  /// Notes that the upstream answered.
  void succeeded();

  /// Notes that the upstream failed.
  void failed(Instant aNow);

  /// Notes that a request ended without a verdict on the upstream, such as a caller that
  /// left; a probe ends and another one may start.
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
