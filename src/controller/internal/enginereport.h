#pragma once

#include "controller/internal/messages.h"
#include "placement/ownedengine.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::controller {

/// The state of an owned engine, for the load task. Thread safe.
EngineReport
reportOf(const placement::OwnedEngine& aEngine);

/// The gossip entry of an owned engine, without owner, reachability, the leaving mark,
/// cached prefixes and remaining load times. Precondition: an inventory was received.
/// Thread safe.
peer::UpstreamContent
contentOf(const placement::OwnedEngine& aEngine);

} // namespace savoryrill::controller
