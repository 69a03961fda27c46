#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill::gateway {

inline constexpr EventDefinition kGatewayReady{
  4101,
  Severity::Info,
  "gateway-ready",
  "The readiness answer has changed; `ready` and `reason` say how and why."
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
  "A configuration cannot be used and the one before stays; `reason` says why."
};
inline constexpr EventDefinition kStoreLost{
  4104,
  Severity::Warning,
  "store-lost",
  "The platform's table does not answer; `read` names what could not be read."
};
inline constexpr EventDefinition kStoreRegained{
  4105,
  Severity::Info,
  "store-regained",
  "The platform's table answers again after `after_ms`."
};
inline constexpr EventDefinition kUpstreamListed{
  4106,
  Severity::Info,
  "upstream-listed",
  "The list of upstreams has changed for `upstream`; `change` says how."
};
inline constexpr EventDefinition kEntryIgnored{
  4107,
  Severity::Warning,
  "entry-ignored",
  "A row of the list of upstreams cannot be used; `ignored` counts all such rows so far."
};
inline constexpr EventDefinition kCallFinished{
  4108,
  Severity::Info,
  "call-finished",
  "An upstream's response was handed on; `status`, `upstream` and times tell how."
};
inline constexpr EventDefinition kCallRefused{
  4109,
  Severity::Warning,
  "call-refused",
  "A request ended without an upstream's response; `ran` says whether it may have run."
};
inline constexpr EventDefinition kCallLeft{
  4110,
  Severity::Info,
  "call-left",
  "The caller left before its response was complete."
};
inline constexpr EventDefinition kCallCut{
  4111,
  Severity::Warning,
  "call-cut",
  "A response that had begun could not be completed; its connection was closed."
};
inline constexpr EventDefinition kSendFailed{
  4112,
  Severity::Warning,
  "send-failed",
  "A request sent to an upstream gave no usable response; `reason` says why."
};
inline constexpr EventDefinition kCallWaits{
  4113,
  Severity::Info,
  "call-waits",
  "A request waits since no upstream can take it now; `ready_in_ms` is expected."
};
inline constexpr EventDefinition kLeaderChanged{
  4114,
  Severity::Info,
  "leader-changed",
  "This host sees another leader of placement, or became or ceased to be it."
};
inline constexpr EventDefinition kOrderSent{
  4115,
  Severity::Info,
  "order-sent",
  "The leader ordered a load or unload; `expected_orders` guards it."
};
inline constexpr EventDefinition kOrderDone{
  4116,
  Severity::Info,
  "order-done",
  "An engine answered an order, or did not; `outcome` says which."
};
inline constexpr EventDefinition kCallerRejected{
  4117,
  Severity::Warning,
  "caller-rejected",
  "Bytes of a caller were refused before they made a whole request."
};
inline constexpr EventDefinition kPeerEntryBad{
  4118,
  Severity::Warning,
  "peer-entry-bad",
  "An entry from another gateway cannot be read and is ignored."
};
inline constexpr EventDefinition kLeaseCallFailed{
  4119,
  Severity::Warning,
  "lease-call-failed",
  "A call for the leader row failed, the first one since a success; `step` names it."
};
inline constexpr EventDefinition kReportFailed{
  4120,
  Severity::Warning,
  "report-failed",
  "An engine's report could not be read; `reason` says why."
};

} // namespace savoryrill::gateway
