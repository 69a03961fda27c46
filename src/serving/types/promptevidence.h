#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"

namespace savoryrill::serving {

/// An upstream crashed while it had a request that it had not begun to answer.
struct UpstreamCrash
{
  std::string upstream;       // names one incarnation
  std::string request;        // id of the request
  std::string model;          // of the request, without its adapter
  std::uint32_t position = 0; // of the prompt part in the request
  Instant at{};
};

/// What is known about a prompt part that was in requests during crashes. Times are those
/// of this host's clock.
struct PartEvidence
{
  std::string part;
  std::vector<UpstreamCrash> crashes; // since a request with the part was last served
  std::optional<Instant> lastServed;
  std::optional<Instant> quarantinedUntil;    // also if it has passed
  Duration quarantineTime = Duration::zero(); // length of the last quarantine
};

} // namespace savoryrill::serving
