#pragma once

#include "controller/internal/messages.h"
#include "placement/ownedengine.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::controller {

/// The load task's view of an owned engine. Thread safe.
EngineReport
reportOf(const placement::OwnedEngine& aEngine);

/// The published content of an owned engine, without owner, reachability and prefixes.
/// Precondition: an inventory was taken. Thread safe.
peer::UpstreamContent
contentOf(const placement::OwnedEngine& aEngine);

} // namespace savoryrill::controller
