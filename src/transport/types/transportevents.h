#pragma once

#include "base/types/eventdefinition.h"

namespace savoryrill::transport {

inline constexpr EventDefinition kPeerJoined{
  3001,
  Severity::Info,
  "peer-joined",
  "A controller or router has connected; `host` and `incarnation` identify it."
};
inline constexpr EventDefinition kPeerLost{
  3002,
  Severity::Warning,
  "peer-lost",
  "A connection to a peer has ended; `reason` gives the cause."
};
inline constexpr EventDefinition kPeerFrameMalformed{
  3003,
  Severity::Warning,
  "peer-frame-malformed",
  "A frame from a peer is malformed and dropped; `dropped` counts these frames so far."
};
inline constexpr EventDefinition kPeerEndpointInvalid{
  3004,
  Severity::Warning,
  "peer-endpoint-invalid",
  "An endpoint is not a numeric address and port, or cannot be used; it is ignored."
};
inline constexpr EventDefinition kPeerRefused{
  3005,
  Severity::Warning,
  "peer-refused",
  "The connection of a peer was refused; `reason` gives the cause."
};

} // namespace savoryrill::transport
