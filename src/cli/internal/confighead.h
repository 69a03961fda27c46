#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace savoryrill::cli {

/// Row that names the configuration in force.
inline constexpr const char* kHeadKey = "config/head";

/// An earlier change in the row, so that a lost answer can still be settled after later
/// changes.
struct RecentChange
{
  std::string changeId;
  std::uint64_t version = 0;
};

/// Value of the row `config/head`.
struct ConfigHead
{
  std::uint64_t version = 0; // 0: no configuration was ever committed
  std::string changeId;
  std::string object;               // key in the object store
  std::string sha256;               // of the object
  std::vector<RecentChange> recent; // oldest first
};

/// Fails with Malformed.
Result<ConfigHead>
parseHead(std::string_view aValue);

std::string
serialise(const ConfigHead& aHead);

/// The head that follows `aHead`.
ConfigHead
nextHead(const ConfigHead& aHead, std::string aChangeId, std::string aSha256);

/// The version that a change got, if the row still tells.
std::optional<std::uint64_t>
versionOf(const ConfigHead& aHead, std::string_view aChangeId);

/// True if `aHead` tells of every change from version `aFirst` on.
bool
remembersSince(const ConfigHead& aHead, std::uint64_t aFirst);

/// SHA-256 in lower-case hexadecimal.
std::string
sha256Of(std::string_view aBytes);

} // namespace savoryrill::cli
