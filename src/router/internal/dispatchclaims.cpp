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
  const auto& caller = aRequest.caller;
  aRequest.phase = RequestPhase::Claiming;
  const auto [claim, added] =
    mClaims.try_emplace(caller.number,
                        Claim{ routing::claimKey(caller.caller, caller.idempotencyKey),
                               routing::ClaimMachine(caller.id, caller.digest) });
  carryOut(caller.number, claim->second.machine.start());
}

void
DispatchTask::on(ClaimAnswered& aMessage)
{
  feedClaim(aMessage.request, aMessage.event);
}

void
DispatchTask::feedClaim(std::uint64_t aNumber, const routing::ClaimEvent& aEvent)
{
  const auto claim = mClaims.find(aNumber);
  if (claim == mClaims.end()) {
    return;
  }
  const auto* request = find(aNumber);
  mLog.write(kClaimEvent,
             { { "request", request == nullptr ? "" : request->caller.id },
               { "key", claim->second.key },
               { "reason", kEventNames.at(aEvent.index()) } });
  auto commands = claim->second.machine.on(aEvent);
  carryOut(aNumber, std::move(commands));
  // A command may have fed further events and removed the claim.
  const auto after = mClaims.find(aNumber);
  if (after != mClaims.end() && after->second.machine.finished()) {
    mClaims.erase(after);
  }
}

void
DispatchTask::carryOut(std::uint64_t aNumber,
                       std::vector<routing::ClaimCommand> aCommands)
{
  for (const auto& command : aCommands) {
    carryOut(aNumber, command);
  }
}

void
DispatchTask::carryOut(std::uint64_t aNumber, const routing::ClaimCommand& aCommand)
{
  auto* request = find(aNumber);
  if (std::holds_alternative<claim_command::Dispatch>(aCommand)) {
    if (request != nullptr && request->callerWaits) {
      admit(*request);
    } else {
      feedClaim(aNumber, claim_event::Abandoned{});
    }
  } else if (const auto* refusal = std::get_if<claim_command::Refuse>(&aCommand)) {
    if (request != nullptr) {
      refuse(*request, refusal->refusal);
    }
  } else if (const auto* recorded =
               std::get_if<claim_command::ReplayOutcome>(&aCommand)) {
    if (request != nullptr) {
      answerRecorded(*request, recorded->outcome);
    }
  } else if (const auto claim = mClaims.find(aNumber); claim != mClaims.end()) {
    mPeers.claims.send(ClaimWork{ aNumber, claim->second.key, aCommand });
  }
}

void
DispatchTask::answerRecorded(ActiveRequest& aRequest,
                             const routing::RecordedOutcome& aOutcome)
{
  if (!aOutcome.object.empty()) {
    aRequest.phase = RequestPhase::ReadingOutcome;
    mPeers.claims.send(ReadOutcomeBody{ aRequest.caller.number, aOutcome });
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
DispatchTask::on(OutcomeBody& aMessage)
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
  answerRecorded(*request, outcome);
}

} // namespace savoryrill::router
