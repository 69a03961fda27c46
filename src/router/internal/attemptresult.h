#pragma once

#include <string>

#include "http/client.h"
#include "routing/types/refusal.h"
#include "routing/upstreamloads.h"

namespace savoryrill::router {

enum class AttemptOutcome
{
  Answered, // the response goes to the caller
  NotRun,   // certainly not run
  Failed    // may have run, without a usable answer
};

/// What an upstream said about why it did not run a request.
enum class NotRunCause
{
  None,
  NotSent,
  ModelNotLoaded,
  AdapterNotLoaded,
  Leaving,
  Other
};

struct AttemptResult
{
  AttemptOutcome outcome = AttemptOutcome::Failed;
  NotRunCause cause = NotRunCause::None;
  routing::RefusalReason reason = routing::RefusalReason::UpstreamFailed;
  std::string detail;
  routing::AttemptVerdict verdict = routing::AttemptVerdict::Answered;
};

/// Judges the end of a call whose answer is whole. An engine's answer must be a JSON
/// object, with choices if it succeeded; a plain service's answer is passed on whatever
/// it is, unless the service says that it did not run the request. Thread safe.
AttemptResult
evaluateAttempt(const http::ClientOutcome& aOutcome, bool aEngine);

} // namespace savoryrill::router
