#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "serving/types/upstreamentry.h"

namespace savoryrill::serving {

/// Changes of the upstream list between two versions of the table store. Its entries lack
/// heartbeat counts and engine reports.
struct UpstreamListUpdate
{
  std::uint64_t base = 0;    // receivers need the list at this version or a later one
  std::uint64_t version = 0; // of the list after the update
  std::vector<UpstreamEntry> entries;
  std::vector<std::string> removed;
};

} // namespace savoryrill::serving
