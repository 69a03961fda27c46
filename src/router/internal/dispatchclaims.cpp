#include <array>
#include <string_view>
#include <utility>

#include "router/internal/dispatchtask.h"
#include "router/types/routerevents.h"

// The part of the dispatch task that drives the claims of idempotency keys.

namespace savoryrill::router {

namespace {

namespace claim_command = routing::claim_command;
namespace claim_event = routing::claim_event;
using routing::Ran;
using routing::RefusalReason;

constexpr std::array<std::string_view, 12> kEventNames{
  "committed",  "conflict", "answer-lost", "read-back", "unreadable",      "unavailable",
  "dispatched", "not-run",  "given-up",    "finished",  "outcome-unknown", "recorded",
};
static_assert(kEventNames.size() == std::variant_size_v<routing::ClaimEvent>);

} // namespace

void
DispatchTask::startClaim(ActiveRequest& aRequest)
{
  const auto& caller_request = aRequest.callerRequest;
  aRequest.phase = RequestPhase::Claiming;
  const auto [claim, added] = mClaims.try_emplace(
    caller_request.number,
    Claim{ routing::claimKey(caller_request.callerName, caller_request.idempotencyKey),
           routing::ClaimMachine(caller_request.id, caller_request.digest) });
  execute(caller_request.number, claim->second.machine.start());
}

void
DispatchTask::on(ClaimEventArrived& aMessage)
{
  applyClaimEvent(aMessage.request, aMessage.event);
}

void
DispatchTask::applyClaimEvent(std::uint64_t aNumber, const routing::ClaimEvent& aEvent)
{
  const auto claim = mClaims.find(aNumber);
  if (claim == mClaims.end()) {
    return;
  }
  const auto* request = find(aNumber);
  mLog.write(kClaimEvent,
             { { "request", request == nullptr ? "" : request->callerRequest.id },
               { "key", claim->second.key },
               { "reason", kEventNames.at(aEvent.index()) } });
  auto commands = claim->second.machine.on(aEvent);
  execute(aNumber, std::move(commands));
  // Executing a command may have applied further events and removed the claim.
  const auto after = mClaims.find(aNumber);
  if (after != mClaims.end() && after->second.machine.finished()) {
    mClaims.erase(after);
  }
}

void
DispatchTask::execute(std::uint64_t aNumber, std::vector<routing::ClaimCommand> aCommands)
{
  for (const auto& command : aCommands) {
    execute(aNumber, command);
  }
}

void
DispatchTask::execute(std::uint64_t aNumber, const routing::ClaimCommand& aCommand)
{
  auto* request = find(aNumber);
  if (std::holds_alternative<claim_command::Dispatch>(aCommand)) {
    if (request != nullptr && request->callerWaiting) {
      admit(*request);
    } else {
      applyClaimEvent(aNumber, claim_event::Abandoned{});
    }
  } else if (const auto* refusal = std::get_if<claim_command::Refuse>(&aCommand)) {
    if (request != nullptr) {
      refuse(*request, refusal->refusal);
    }
  } else if (const auto* recorded =
               std::get_if<claim_command::ReplayOutcome>(&aCommand)) {
    if (request != nullptr) {
      replayOutcome(*request, recorded->outcome);
    }
  } else if (const auto claim = mClaims.find(aNumber); claim != mClaims.end()) {
    mPeers.claims.send(ClaimOperation{ aNumber, claim->second.key, aCommand });
  }
}

void
DispatchTask::replayOutcome(ActiveRequest& aRequest,
                            const routing::RecordedOutcome& aOutcome)
{
  if (!aOutcome.object.empty()) {
    aRequest.phase = RequestPhase::ReadingOutcome;
    mPeers.claims.send(ReadOutcomeBody{ aRequest.callerRequest.number, aOutcome });
    return;
  }
  mMetrics.add("savoryrill_router_recorded_answers_total");
  aRequest.dispatchedAt = mLoop.now();
  http::Response response;
  response.status = aOutcome.status;
  if (!aOutcome.contentType.empty()) {
    response.headers["Content-Type"] = aOutcome.contentType;
  }
  response.body = aOutcome.body;
  finish(aRequest, std::move(response));
}

void
DispatchTask::on(OutcomeBodyRead& aMessage)
{
  auto* request = find(aMessage.request);
  if (request == nullptr) {
    return;
  }
  if (!aMessage.body) {
    refuse(*request,
           { RefusalReason::OutcomeUnavailable,
             "the recorded outcome is in the object store",
             Ran::Unknown });
    return;
  }
  auto outcome = std::move(aMessage.outcome);
  outcome.object.clear();
  outcome.body = std::move(*aMessage.body);
  replayOutcome(*request, outcome);
}

} // namespace savoryrill::router
