#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::transport {

/// Largest accepted frame: a configuration bundle at the payload limit of the state map
/// (16 MiB), and 1 MiB for the envelope and other entries.
inline constexpr std::size_t kMaxFrameBytes = 17 * 1024 * 1024;

/// Decodes and checks one frame. Fails with Malformed if the frame is too large, is not
/// an envelope, or has no body or an invalid one. Entries of a delta are checked by the
/// state map. Thread safe.
Result<peer::Envelope>
decodePeerFrame(std::string_view aFrame);

/// True for `<IPv4 address>:<port>` in decimal, with a port above 0. Thread safe.
bool
isNumericEndpoint(std::string_view aText);

} // namespace savoryrill::transport
