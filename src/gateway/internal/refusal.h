#pragma once

#include <optional>
#include <string>

#include "base/types/time.h"
#include "link/types/message.h"
#include "serving/types/requestdetails.h"

namespace savoryrill::gateway {

/// An error response that this host sends instead of an upstream's response.
struct Refusal
{
  int status = 503;
  serving::RefusalReason reason = serving::RefusalReason::NoUpstream;
  bool mayHaveRun = false;
  std::optional<Duration> retryAfter; // only if the caller may retry
};

/// Chooses status and Retry-After for a request that ends without an upstream's response.
/// The statuses 401, 429, 503 and 408 state that the request has not run and never will,
/// so they are used only if `aMayHaveRun` is false. `aReadyIn` is the expected time until
/// the request can run, if known. Thread safe.
Refusal
refusalFor(serving::RefusalReason aReason,
           bool aMayHaveRun,
           std::optional<Duration> aReadyIn);

/// Head and body of the response, as RFC 9457 problem JSON. Thread safe.
link::ResponseHead
headOf(const Refusal& aRefusal, const std::string& aRequestId);
std::string
bodyOf(const Refusal& aRefusal);

/// HTTP reason phrase of a status. Thread safe.
std::string
reasonPhrase(int aStatus);

} // namespace savoryrill::gateway
