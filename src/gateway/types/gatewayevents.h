#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill::gateway {

inline constexpr EventDefinition kGatewayReady{
  4101,
  Severity::Info,
  "gateway-ready",
  "The readiness of this host has changed; `ready` is the new state, `reason` the cause."
};
inline constexpr EventDefinition kConfigInForce{
  4102,
  Severity::Info,
  "config-in-force",
  "A higher configuration version is in force at this gateway."
};
inline constexpr EventDefinition kConfigUnusable{
  4103,
  Severity::Error,
  "config-unusable",
  "A configuration is invalid and the previous one stays in force; `reason` says why."
};
inline constexpr EventDefinition kStoreLost{
  4104,
  Severity::Warning,
  "store-lost",
  "A table of the platform's store cannot be read; `read` names the table."
};
inline constexpr EventDefinition kStoreRegained{
  4105,
  Severity::Info,
  "store-regained",
  "A table of the platform's store can be read again, after `after_ms` and `failures` "
  "failed reads; the response holds `rows` rows of `bytes` bytes together."
};
inline constexpr EventDefinition kUpstreamListed{
  4106,
  Severity::Info,
  "upstream-listed",
  "The upstream list has changed for `upstream`; `change` says how."
};
inline constexpr EventDefinition kEntryIgnored{
  4107,
  Severity::Warning,
  "entry-ignored",
  "A row of the upstream list is malformed; `ignored` counts all such rows so far."
};
inline constexpr EventDefinition kCallFinished{
  4108,
  Severity::Info,
  "call-finished",
  "An upstream's response was forwarded completely to the caller."
};
inline constexpr EventDefinition kCallRefused{
  4109,
  Severity::Warning,
  "call-refused",
  "A request ended with an error from this host; `ran` says whether it may have run, "
  "`ahead_ms` the expected wait on arrival, -1 if unknown."
};
inline constexpr EventDefinition kCallLeft{
  4110,
  Severity::Info,
  "call-left",
  "The caller disconnected before its response was complete."
};
inline constexpr EventDefinition kCallCut{
  4111,
  Severity::Warning,
  "call-cut",
  "A response that had begun could not be completed; the connection was closed."
};
inline constexpr EventDefinition kSendFailed{
  4112,
  Severity::Warning,
  "send-failed",
  "An attempt at an upstream gave no usable response; `reason` says why."
};
inline constexpr EventDefinition kCallWaits{
  4113,
  Severity::Info,
  "call-waits",
  "A request waits for an upstream; `ready_in_ms` is the expected time until its model "
  "is "
  "loaded, `ahead_ms` that until requests before it are sent; -1 if unknown."
};
inline constexpr EventDefinition kLeaderChanged{
  4114,
  Severity::Info,
  "leader-changed",
  "The placement leader known to this host, or whether it is this host, has changed."
};
inline constexpr EventDefinition kOrderSent{
  4115,
  Severity::Info,
  "order-sent",
  "The leader sent an order, valid only as the engine's next after `expected_orders`."
};
inline constexpr EventDefinition kOrderDone{
  4116,
  Severity::Info,
  "order-done",
  "An order to an engine has ended; `outcome` is its result, or that it is unknown."
};
inline constexpr EventDefinition kCallerRejected{
  4117,
  Severity::Warning,
  "caller-rejected",
  "A caller's request was rejected before it was received completely."
};
inline constexpr EventDefinition kPeerEntryBad{
  4118,
  Severity::Warning,
  "peer-entry-bad",
  "An entry from another gateway is malformed and ignored."
};
inline constexpr EventDefinition kLeaseCallFailed{
  4119,
  Severity::Warning,
  "lease-call-failed",
  "A read or write of the leader row failed, the first one since a success; see `step`."
};
inline constexpr EventDefinition kReportFailed{
  4120,
  Severity::Warning,
  "report-failed",
  "An engine's report could not be read; `reason` says why."
};
inline constexpr EventDefinition kLoadBlocked{
  4121,
  Severity::Info,
  "load-blocked",
  "No engine can load a model with waiting requests now; `obstacle` says why."
};
inline constexpr EventDefinition kBreakChecked{
  4122,
  Severity::Info,
  "break-checked",
  "An upstream broke requests off before it answered; `connections`: if it still listens."
};
inline constexpr EventDefinition kPromptDecision{
  4123,
  Severity::Warning,
  "prompt-decision",
  "A prompt part is quarantined or no longer suspected; `crashed` lists the upstreams, "
  "`rivals` other parts in these crashes: how many they share, place in the prompt, and "
  "seconds since they were served."
};
inline constexpr EventDefinition kQuarantineRowFailed{
  4124,
  Severity::Warning,
  "quarantine-row-failed",
  "The row of quarantined prompt parts could not be used, the first time since a success."
};
inline constexpr EventDefinition kSubstitutesUsed{
  4125,
  Severity::Info,
  "substitutes-used",
  "This host exchanges news with a few others in place of a leader, or no longer does."
};
inline constexpr EventDefinition kUpstreamLimit{
  4126,
  Severity::Info,
  "upstream-limit",
  "An upstream limits the requests a second that it takes, or has changed the limit; -1: "
  "no limit any more. `source` says whether this host's response or another host told."
};
inline constexpr EventDefinition kUpstreamPause{
  4127,
  Severity::Info,
  "upstream-pause",
  "An upstream refused a request and wants no other one from this host for `pause_ms`."
};
inline constexpr EventDefinition kConfigUnconfirmed{
  4131,
  Severity::Warning,
  "config-unconfirmed",
  "The configuration may be outdated, so requests with keys are refused; `age_ms` is the "
  "age of its latest confirmation, -1 if there was none."
};
inline constexpr EventDefinition kConfigConfirmed{
  4132,
  Severity::Info,
  "config-confirmed",
  "The configuration is confirmed again, so requests with keys are accepted."
};
inline constexpr EventDefinition kQuotaIssuer{
  4133,
  Severity::Info,
  "quota-issuer",
  "This host gets its part of the quotas of organisations from `issuer`; empty: it uses "
  "a share of its own."
};
inline constexpr EventDefinition kConfigReader{
  4134,
  Severity::Info,
  "config-reader",
  "This host follows the configuration in another way, waiting up to `wait_ms` for a "
  "change; `reader` says how, `reported` is the newest version that a leader reported."
};
inline constexpr EventDefinition kReadReplaced{
  4135,
  Severity::Info,
  "read-replaced",
  "A read of a table of the platform's store was given up for another one, `age_ms` "
  "after "
  "its start."
};
inline constexpr EventDefinition kReadFailed{
  4136,
  Severity::Info,
  "read-failed",
  "A read of a table of the platform's store has failed again since `store-lost`, "
  "`age_ms` after its start; `failures` counts the failed ones, `all_rows` tells reads "
  "of "
  "all rows from reads of changes."
};
inline constexpr EventDefinition kConfigCaughtUp{
  4137,
  Severity::Info,
  "config-caught-up",
  "The configuration that the leader has reported is in force here, `behind_ms` after "
  "the "
  "leader first reported a newer one than this host had; `reads` of the store were "
  "handled meanwhile."
};
inline constexpr EventDefinition kStoreEra{
  4138,
  Severity::Info,
  "store-era",
  "The platform's store states `era`, and stated `before` until now: with a rise after "
  "the "
  "first one it has come back from a copy, and its last changes are gone."
};
inline constexpr EventDefinition kConfigFinding{
  4140,
  Severity::Warning,
  "config-finding",
  "A part of the configuration in force is invalid and was left out or changed; see "
  "`finding`."
};
inline constexpr EventDefinition kMemoryShort{
  4141,
  Severity::Warning,
  "memory-short",
  "Requests were ended since connections held too much memory; `given_up` counts them."
};
inline constexpr EventDefinition kPromptProbed{
  4142,
  Severity::Info,
  "prompt-probed",
  "A request with a suspected prompt part is sent, since its result shows whether one of "
  "the `parts` is the cause."
};
inline constexpr EventDefinition kCallHeld{
  4143,
  Severity::Info,
  "call-held",
  "A request waits since it has a suspected prompt part, until another one shows whether "
  "the part crashes upstreams."
};

} // namespace savoryrill::gateway
