#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "serving/types/upstreamentry.h"

namespace savoryrill::serving {

/// What changed in the list of upstreams between two versions of the store. Its entries
/// lack what engines hold and their counts of heartbeats.
struct UpstreamListUpdate
{
  std::uint64_t base = 0;    // complete only for who knows the list at this version
  std::uint64_t version = 0; // of the list with the update
  std::vector<UpstreamEntry> entries;
  std::vector<std::string> removed;
};

} // namespace savoryrill::serving
