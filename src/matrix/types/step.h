#pragma once

#include "base/types/enumnames.h"

namespace savoryrill::matrix {

/// The moment at which a fault begins.
enum class Step
{
  RequestReceived,
  RequestWaiting,
  RequestDispatched,
  RequestStreaming,
  BookingBeforeClaim,
  BookingClaimInFlight,
  BookingClaimed,
  BookingDispatched,
  BookingRecorded,
  LoadDemandSeen,
  LoadOrderInFlight,
  LoadRunning,
  LoadUnconfirmed,
  AssignmentPlanned,
  AssignmentRowWritten,
  AssignmentReleasing,
  AssignmentUnloading,
  AssignmentRemoved,
  ConfigObjectWritten,
  ConfigCommitInFlight,
  ConfigCommitted,
  StopReadinessOff,
  StopDraining,
  StopHandingOver
};

} // namespace savoryrill::matrix

namespace savoryrill {

template<>
struct EnumNames<matrix::Step>
{
  using S = matrix::Step;
  static constexpr EnumTable<S, 24> kTable{ {
    { S::RequestReceived, "request-received" },
    { S::RequestWaiting, "request-waiting" },
    { S::RequestDispatched, "request-dispatched" },
    { S::RequestStreaming, "request-streaming" },
    { S::BookingBeforeClaim, "booking-before-claim" },
    { S::BookingClaimInFlight, "booking-claim-in-flight" },
    { S::BookingClaimed, "booking-claimed" },
    { S::BookingDispatched, "booking-dispatched" },
    { S::BookingRecorded, "booking-recorded" },
    { S::LoadDemandSeen, "load-demand-seen" },
    { S::LoadOrderInFlight, "load-order-in-flight" },
    { S::LoadRunning, "load-running" },
    { S::LoadUnconfirmed, "load-unconfirmed" },
    { S::AssignmentPlanned, "assignment-planned" },
    { S::AssignmentRowWritten, "assignment-row-written" },
    { S::AssignmentReleasing, "assignment-releasing" },
    { S::AssignmentUnloading, "assignment-unloading" },
    { S::AssignmentRemoved, "assignment-removed" },
    { S::ConfigObjectWritten, "config-object-written" },
    { S::ConfigCommitInFlight, "config-commit-in-flight" },
    { S::ConfigCommitted, "config-committed" },
    { S::StopReadinessOff, "stop-readiness-off" },
    { S::StopDraining, "stop-draining" },
    { S::StopHandingOver, "stop-handing-over" },
  } };
};

} // namespace savoryrill
