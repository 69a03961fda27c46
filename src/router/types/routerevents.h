#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill::router {

inline constexpr EventDefinition kRequestReceived{
  4001,
  Severity::Info,
  "request-received",
  "A valid request arrived; `deadline_ms` is the time until its deadline."
};
inline constexpr EventDefinition kRequestWaiting{
  4002,
  Severity::Info,
  "request-waiting",
  "A request waits in the queue; `reason` says why."
};
inline constexpr EventDefinition kRequestDispatched{
  4003,
  Severity::Info,
  "request-dispatched",
  "An attempt was sent to an upstream, `waited_ms` after the request arrived."
};
inline constexpr EventDefinition kRequestRetried{
  4004,
  Severity::Info,
  "request-retried",
  "An attempt failed; the request is retried after `delay_ms`."
};
inline constexpr EventDefinition kRequestResumed{
  4005,
  Severity::Info,
  "request-resumed",
  "An interrupted stream is resumed at the same upstream after event `last_event`."
};
inline constexpr EventDefinition kRequestFinished{
  4006,
  Severity::Info,
  "request-finished",
  "The complete response was forwarded to the caller."
};
inline constexpr EventDefinition kRequestRefused{
  4007,
  Severity::Warning,
  "request-refused",
  "A request was refused; `ran` says whether an upstream may have run it."
};
inline constexpr EventDefinition kRequestAbandoned{
  4008,
  Severity::Info,
  "request-abandoned",
  "The caller closed its connection or read its response too slowly; `reason` says which."
};
inline constexpr EventDefinition kAttemptFailed{
  4009,
  Severity::Warning,
  "attempt-failed",
  "An attempt at an upstream gave no usable response."
};
inline constexpr EventDefinition kClaimEvent{
  4010,
  Severity::Info,
  "claim-step",
  "An event was applied to the claim of an idempotency key; `reason` names it."
};
inline constexpr EventDefinition kUpstreamLeaving{
  4011,
  Severity::Info,
  "upstream-said-leaving",
  "A leaving upstream refused a request; this is published to routers and controllers."
};
inline constexpr EventDefinition kConfigAdopted{
  4012,
  Severity::Info,
  "router-config-adopted",
  "This router has put a higher configuration version into force."
};
inline constexpr EventDefinition kConfigRejected{
  4013,
  Severity::Error,
  "router-config-rejected",
  "A configuration from a peer was rejected; `reason` says why."
};
inline constexpr EventDefinition kOutcomeArrivedLate{
  4014,
  Severity::Info,
  "late-outcome",
  "A request that may not be repeated ended after its caller got `outcome-unknown`."
};

} // namespace savoryrill::router
