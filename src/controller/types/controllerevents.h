#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill::controller {

inline constexpr EventDefinition kConfigAdopted{
  5001,
  Severity::Info,
  "config-adopted",
  "A higher configuration version is in force; `source` is platform or peer."
};
inline constexpr EventDefinition kConfigRefused{
  5002,
  Severity::Error,
  "config-refused",
  "A configuration was refused; the former one stays in force."
};
inline constexpr EventDefinition kPlatformLost{
  5003,
  Severity::Warning,
  "platform-lost",
  "The platform's table cannot be read; the cached state stays in use."
};
inline constexpr EventDefinition kPlatformBack{
  5004,
  Severity::Info,
  "platform-back",
  "The platform's table can be read again."
};
inline constexpr EventDefinition kSessionEstablished{
  5010,
  Severity::Info,
  "session-established",
  "The controller's session row carries its incarnation."
};
inline constexpr EventDefinition kSessionLost{
  5011,
  Severity::Warning,
  "session-lost",
  "The session row is missing or belongs to another process; ownerships are dropped."
};
inline constexpr EventDefinition kLeaseExpired{
  5012,
  Severity::Warning,
  "lease-expired",
  "The session was not renewed in time; engines that ignore fencing numbers get no "
  "orders."
};
inline constexpr EventDefinition kLeaseRenewed{
  5013,
  Severity::Info,
  "lease-renewed",
  "An expired session was renewed; ownerships are confirmed by a new table read."
};
inline constexpr EventDefinition kOwnershipTaken{
  5014,
  Severity::Info,
  "ownership-taken",
  "This controller has become the owner of an upstream."
};
inline constexpr EventDefinition kOwnershipEnded{
  5015,
  Severity::Info,
  "ownership-ended",
  "This controller no longer owns an upstream."
};
inline constexpr EventDefinition kOwnershipClaimed{
  5016,
  Severity::Info,
  "ownership-claimed",
  "A claim of an upstream was sent; `reason` is unowned, takeover or reclaim."
};
inline constexpr EventDefinition kAssignmentChanged{
  5020,
  Severity::Info,
  "assignment-changed",
  "An assignment row was changed by this controller."
};
inline constexpr EventDefinition kAssignmentConflict{
  5021,
  Severity::Debug,
  "assignment-conflict",
  "An assignment change was not committed; the row is read and planned again."
};
inline constexpr EventDefinition kLoadOrdered{ 5030,
                                               Severity::Info,
                                               "load-ordered",
                                               "A load was ordered at an engine." };
inline constexpr EventDefinition kLoadFinished{ 5031,
                                                Severity::Info,
                                                "load-finished",
                                                "A replica is loaded." };
inline constexpr EventDefinition kLoadFailed{
  5032,
  Severity::Warning,
  "load-failed",
  "A replica disappeared from the inventory before it was loaded."
};
inline constexpr EventDefinition kUnloadOrdered{
  5033,
  Severity::Info,
  "unload-ordered",
  "An unload was ordered at an engine; `reason` is eviction, keep-alive or assignment."
};
inline constexpr EventDefinition kUnloadConfirmed{
  5034,
  Severity::Info,
  "unload-confirmed",
  "An inventory shows that a replica is gone."
};
inline constexpr EventDefinition kOrderRefused{
  5035,
  Severity::Warning,
  "order-refused",
  "An engine refused an order, or its outcome is unknown."
};
inline constexpr EventDefinition kOrderWithheld{
  5036,
  Severity::Info,
  "order-withheld",
  "An order was not sent; `reason` says why."
};
inline constexpr EventDefinition kAdapterOrdered{
  5037,
  Severity::Info,
  "adapter-ordered",
  "An adapter load or unload was ordered."
};
inline constexpr EventDefinition kEngineAdopted{
  5038,
  Severity::Info,
  "engine-adopted",
  "An engine that checks fencing numbers has accepted this controller's number."
};
inline constexpr EventDefinition kEngineUnreachable{
  5039,
  Severity::Warning,
  "engine-unreachable",
  "An engine's inventory cannot be read."
};
inline constexpr EventDefinition kEngineReachable{
  5040,
  Severity::Info,
  "engine-reachable",
  "An engine's inventory can be read, for the first time or again."
};
inline constexpr EventDefinition kEngineRestarted{
  5041,
  Severity::Warning,
  "engine-restarted",
  "An engine has a new incarnation; its replicas are lost."
};
inline constexpr EventDefinition kEngineGone{
  5042,
  Severity::Warning,
  "engine-gone",
  "An engine is unreachable and not in the host list; its replicas count as gone."
};
inline constexpr EventDefinition kUpstreamLeaving{
  5050,
  Severity::Info,
  "upstream-leaving",
  "An upstream is leaving; `source` is host-list, inventory or drain."
};
inline constexpr EventDefinition kServiceReturned{
  5052,
  Severity::Info,
  "service-returned",
  "A plain service is no longer drained or listed as leaving."
};
inline constexpr EventDefinition kHostLeaving{
  5051,
  Severity::Info,
  "host-leaving",
  "This host is being drained; its upstreams are handed over."
};

} // namespace savoryrill::controller
