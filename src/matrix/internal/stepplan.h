#pragma once

#include <array>

#include "base/types/time.h"
#include "matrix/topology.h"
#include "matrix/types/step.h"

namespace savoryrill::matrix {

/// A delay that keeps a stage from passing before the fault comes.
enum class Hold
{
  None,
  Tokens,        // of the engines' answers
  Weights,       // loads
  Table,         // the platform's table
  EngineRoutes,  // all that engines get and answer
  Orders,        // between receipt and handling
  ServiceRoutes, // calls on their way
  Services,      // calls while they run
  Operator       // answers of the platform to an operator
};

enum class Work
{
  Late, // starts after the fault
  AskCold,
  AskColdStream,
  AskWarm,
  AskWarmStream,
  Book,
  Leave,      // the engine of the warm model leaves
  LeaveInUse, // while a long stream uses the model
  Apply,
  Stop
};

/// A record that shows that the step is reached. `text` is a part of a written key, or
/// the begin of a model; `*` stands for the marker of the step's own request.
struct Sign
{
  const char* kind = nullptr; // none: the work itself is the step
  const char* text = "";
  unsigned count = 1;
};

struct StepPlan
{
  Step step;
  Hold hold;
  Work work;
  Sign sign;
  Duration moment = Duration::zero(); // from the sign to the fault
};

inline constexpr const char* kCold = "log";
inline constexpr const char* kWarm = "bell";

// A claim or a commit in flight leaves no record until it is carried out; the fault then
// begins in the middle of a hold that is several times longer.
inline constexpr std::array<StepPlan, 24> kStepPlans{ {
  { Step::RequestReceived, Hold::Tokens, Work::AskWarmStream, {}, 1ms },
  { Step::RequestWaiting, Hold::Weights, Work::AskColdStream, { "load_begin", kCold } },
  { Step::RequestDispatched, Hold::Tokens, Work::AskWarm, { "request_begin", "*" } },
  { Step::RequestStreaming,
    Hold::Tokens,
    Work::AskWarmStream,
    { "request_begin", "*" },
    500ms },
  { Step::BookingBeforeClaim, Hold::None, Work::Late, {} },
  { Step::BookingClaimInFlight, Hold::Table, Work::Book, {}, 300ms },
  { Step::BookingClaimed, Hold::ServiceRoutes, Work::Book, { "transaction", "claim/*" } },
  { Step::BookingDispatched, Hold::Services, Work::Book, { "call_begin", "*" } },
  { Step::BookingRecorded, Hold::Services, Work::Book, { "transaction", "claim/*", 2 } },
  { Step::LoadDemandSeen, Hold::EngineRoutes, Work::AskCold, {}, 100ms },
  { Step::LoadOrderInFlight, Hold::Orders, Work::AskCold, {}, 200ms },
  { Step::LoadRunning, Hold::None, Work::AskCold, { "load_begin", kCold } },
  { Step::LoadUnconfirmed, Hold::EngineRoutes, Work::AskCold, { "load_end", kCold } },
  { Step::AssignmentPlanned, Hold::None, Work::Leave, {} },
  { Step::AssignmentRowWritten,
    Hold::None,
    Work::Leave,
    { "transaction", "assignment/bell" } },
  { Step::AssignmentReleasing,
    Hold::Orders,
    Work::Leave,
    { "transaction", "assignment/bell" },
    200ms },
  { Step::AssignmentUnloading,
    Hold::Tokens,
    Work::LeaveInUse,
    { "unload_begin", kWarm } },
  { Step::AssignmentRemoved,
    Hold::None,
    Work::Leave,
    { "transaction", "assignment/bell", 2 } },
  { Step::ConfigObjectWritten, Hold::Operator, Work::Apply, { "object_put" } },
  { Step::ConfigCommitInFlight, Hold::Table, Work::Apply, { "object_put" }, 100ms },
  { Step::ConfigCommitted, Hold::None, Work::Apply, { "transaction", "config/head" } },
  { Step::StopReadinessOff, Hold::Tokens, Work::Stop, {} },
  { Step::StopDraining, Hold::Tokens, Work::Stop, {}, 600ms },
  { Step::StopHandingOver, Hold::Tokens, Work::Stop, { "transaction", "owner/xela-e" } },
} };
static_assert(kStepPlans.size() == EnumNames<Step>::kTable.size());

} // namespace savoryrill::matrix
