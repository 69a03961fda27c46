#pragma once

#include "controller/internal/messages.h"
#include "placement/ownedengine.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::controller {

/// The state of an owned engine, for the load task. The engine task adds the effects
/// of reachability, table reads and loads from the weight store. Thread safe.
EngineReport
reportOf(const placement::OwnedEngine& aEngine);

/// The gossip entry of an owned engine. The engine task adds owner, reachability, the
/// leaving mark, cached prefixes and remaining load times. Precondition: an inventory was
/// received. Thread safe.
peer::UpstreamContent
contentOf(const placement::OwnedEngine& aEngine);

} // namespace savoryrill::controller
