#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"

namespace savoryrill::config {

/// What is wrong with a value, as a finding says it; nothing if it is fine.
using Complaint = std::optional<std::string>;

/// Names of sites, upstreams, deployments, versions and so on: 1 to 63 characters of
/// [a-z0-9.-], the first and the last of them a letter or digit. `/`, `@` and `+`
/// separate names in row keys and model references.
Complaint
checkName(std::string_view aText);

/// A numeric address and a port other than 0, such as `127.0.0.1:9101` or `[::1]:9101`.
Complaint
checkAddress(std::string_view aText);

/// The 64 lower-case hexadecimal digits of a SHA-256 hash.
Complaint
checkSha256(std::string_view aText);

/// An absolute path of a URL without query.
Complaint
checkUrlPath(std::string_view aText);

/// A method that callers may use.
Complaint
checkMethod(std::string_view aText);

/// A file name: neither empty nor with control characters.
Complaint
checkFileName(std::string_view aText);

/// Reads a numeric address and a port from 0 to 65535.
std::optional<SocketAddress>
parseAddress(std::string_view aText);

/// Reads a time of day `HH:MM`; the result is in minutes.
std::optional<std::uint32_t>
parseTimeOfDay(std::string_view aText);

/// `; did you mean 'x'?` for the known word nearest to `aWord`, empty if none is near.
std::string
suggestion(std::string_view aWord, const std::vector<std::string_view>& aKnown);

} // namespace savoryrill::config
