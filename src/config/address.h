#pragma once

#include <optional>
#include <string_view>

#include "config/settings.h"

namespace savoryrill::config {

/// Reads a numeric address and a port from 0 to 65535, such as `127.0.0.1:9101` or
/// `[::1]:9101`; nothing if it is something else. Thread safe.
std::optional<SocketAddress>
parseAddress(std::string_view aText);

} // namespace savoryrill::config
