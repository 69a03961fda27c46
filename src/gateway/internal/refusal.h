#pragma once

#include <optional>
#include <string>

#include "base/types/time.h"
#include "link/types/message.h"
#include "serving/types/call.h"

namespace savoryrill::gateway {

/// A response of this host's own.
struct Refusal
{
  int status = 503;
  serving::RefusalReason reason = serving::RefusalReason::NoUpstream;
  bool mayHaveRun = false;
  std::optional<Duration> retryAfter; // only where coming back makes sense
};

/// Chooses status and advice for a request that ends without an upstream's response. The
/// statuses 503 and 408 say that the request has not run and never will, so they are used
/// only if `aMayHaveRun` is false. Thread safe.
Refusal
refusalFor(serving::RefusalReason aReason,
           bool aMayHaveRun,
           std::optional<Duration> aReadyIn);

/// The response head and its body, as RFC 9457 problem JSON. Thread safe.
link::ResponseHead
headOf(const Refusal& aRefusal, const std::string& aRequestId);
std::string
bodyOf(const Refusal& aRefusal);

/// Reason phrase of a status. Thread safe.
std::string
reasonPhrase(int aStatus);

} // namespace savoryrill::gateway
