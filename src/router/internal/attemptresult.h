#pragma once

#include <string>

#include "http/client.h"
#include "routing/types/refusal.h"
#include "routing/upstreamloads.h"

namespace savoryrill::router {

enum class AttemptOutcome
{
  Answered, // the response is forwarded to the caller
  NotRun,   // the upstream certainly did not run the request
  Failed    // no usable response; the upstream may have run the request
};

/// Why an upstream did not run a request.
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

/// Classifies a finished attempt whose response is not an event stream. An engine's
/// response must be a JSON object, with `choices` if the status is 200; a plain service's
/// response is forwarded unchanged, unless the service says that it did not run the
/// request. Thread safe.
AttemptResult
evaluateAttempt(const http::ClientOutcome& aOutcome, bool aEngine);

} // namespace savoryrill::router
