#pragma once

#include "base/types/enumnames.h"

namespace savoryrill::matrix {

/// What is broken in a row (docs/design.md section 1.5, and chosen pairs).
enum class Fault
{
  None, // shows that the step itself keeps the promises
  EngineKilled,
  EngineKilledTwice,
  EngineFrozen,
  ServiceKilled,
  RouterKilled,
  RouterFrozen,
  ControllerKilled,
  ControllerFrozenBriefly,   // shorter than the lease
  ControllerLeaseLapsed,     // frozen until another host has taken over, then woken
  LeaseLapsedWithoutFencing, // the same at an engine that ignores fencing
  HostReclaimed,             // router and controller of a host
  WeightStoreSlow,
  PlatformDown,
  PlatformSlow,
  PlatformAnswersLost,
  PlatformCutOneWay, // answers do not reach the data centre
  PlatformCutBothWays,
  DataCentreCut,     // from the platform and from the other data centres
  UpstreamCutOneWay, // answers do not come back
  UpstreamCutBothWays,
  UpstreamAnswerLost, // the connection closes at the answer
  OperatorsRacing,
  EngineKilledAndWeightStoreSlow,
  LeaseLapsedAndPlatformAnswersLost,
  HostReclaimedAndPlatformDown
};

} // namespace savoryrill::matrix

namespace savoryrill {

template<>
struct EnumNames<matrix::Fault>
{
  using F = matrix::Fault;
  static constexpr EnumTable<F, 26> kTable{ {
    { F::None, "none" },
    { F::EngineKilled, "engine-killed" },
    { F::EngineKilledTwice, "engine-killed-twice" },
    { F::EngineFrozen, "engine-frozen" },
    { F::ServiceKilled, "service-killed" },
    { F::RouterKilled, "router-killed" },
    { F::RouterFrozen, "router-frozen" },
    { F::ControllerKilled, "controller-killed" },
    { F::ControllerFrozenBriefly, "controller-frozen-briefly" },
    { F::ControllerLeaseLapsed, "controller-lease-lapsed" },
    { F::LeaseLapsedWithoutFencing, "lease-lapsed-without-fencing" },
    { F::HostReclaimed, "host-reclaimed" },
    { F::WeightStoreSlow, "weight-store-slow" },
    { F::PlatformDown, "platform-down" },
    { F::PlatformSlow, "platform-slow" },
    { F::PlatformAnswersLost, "platform-answers-lost" },
    { F::PlatformCutOneWay, "platform-cut-one-way" },
    { F::PlatformCutBothWays, "platform-cut-both-ways" },
    { F::DataCentreCut, "data-centre-cut" },
    { F::UpstreamCutOneWay, "upstream-cut-one-way" },
    { F::UpstreamCutBothWays, "upstream-cut-both-ways" },
    { F::UpstreamAnswerLost, "upstream-answer-lost" },
    { F::OperatorsRacing, "operators-racing" },
    { F::EngineKilledAndWeightStoreSlow, "engine-killed+weight-store-slow" },
    { F::LeaseLapsedAndPlatformAnswersLost, "lease-lapsed+platform-answers-lost" },
    { F::HostReclaimedAndPlatformDown, "host-reclaimed+platform-down" },
  } };
};

} // namespace savoryrill
