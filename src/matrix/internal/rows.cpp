#include "matrix/rows.h"

namespace savoryrill::matrix {

std::vector<Row>
allRows()
{
  std::vector<Row> rows;
  for (const auto& [step, step_name] : EnumNames<Step>::kTable) {
    for (const auto& [fault, fault_name] : EnumNames<Fault>::kTable) {
      rows.push_back({ fault, step });
    }
  }
  return rows;
}

std::vector<Row>
shortRows()
{
  return {
    { Fault::None, Step::RequestStreaming },
    { Fault::EngineKilled, Step::LoadRunning },
    { Fault::PlatformAnswersLost, Step::BookingClaimInFlight },
    { Fault::ControllerLeaseLapsed, Step::LoadOrderInFlight },
    { Fault::ServiceKilled, Step::BookingDispatched },
    { Fault::PlatformDown, Step::RequestWaiting },
    { Fault::HostReclaimed, Step::AssignmentReleasing },
    { Fault::OperatorsRacing, Step::ConfigCommitInFlight },
    { Fault::None, Step::StopDraining },
    { Fault::UpstreamCutBothWays, Step::RequestStreaming },
    { Fault::WeightStoreSlow, Step::LoadDemandSeen },
    { Fault::None, Step::AssignmentPlanned },
    { Fault::LeaseLapsedWithoutFencing, Step::LoadRunning },
    { Fault::PlatformSlow, Step::BookingClaimed },
    { Fault::RouterKilled, Step::BookingDispatched },
    { Fault::ControllerKilled, Step::AssignmentUnloading },
    { Fault::DataCentreCut, Step::ConfigCommitted },
    { Fault::EngineKilledTwice, Step::RequestDispatched },
    { Fault::RouterFrozen, Step::RequestStreaming },
    { Fault::PlatformCutOneWay, Step::StopReadinessOff },
    { Fault::UpstreamAnswerLost, Step::BookingDispatched },
    { Fault::EngineFrozen, Step::LoadUnconfirmed },
    { Fault::ControllerFrozenBriefly, Step::StopHandingOver },
    { Fault::LeaseLapsedAndPlatformAnswersLost, Step::AssignmentRowWritten },
  };
}

std::vector<Uncovered>
uncovered()
{
  return {
    { "*/request-recording-outcome",
      "a repeatable request has no recorded outcome; that of a booking is covered" },
    { "*/request-received (exact)",
      "no outside record shows that a router has read a request; the fault comes 1 ms "
      "after the request was sent" },
    { "*/load-demand-seen (exact), */assignment-planned (exact)",
      "demand and plans are held inside controllers; the fault comes while answers of "
      "engines are held, or at once after the cause" },
    { "*/booking-claim-in-flight at the table only",
      "claims share their transactions with other requests, so one claim cannot be held "
      "alone" },
    { "upstream cut for routers or for controllers alone",
      "both reach an upstream at the one address of the configuration, so a route of the "
      "proxy serves both" },
    { "data-centre-cut between routers and upstreams of other data centres",
      "the same reason: the route of an upstream cannot tell who calls" },
    { "data-centre-cut when a controller learns a peer's own address from gossip",
      "that connection does not cross the proxy" },
    { "peers of the same data centre cut from each other",
      "design.md names partitions between data centres only" },
    { "faults of the proxy or of the caller", "they are the test's own parts" },
  };
}

} // namespace savoryrill::matrix
