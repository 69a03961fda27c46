#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace savoryrill::gateway {

/// Statement of the leader to one host: a read of the configuration that began after the
/// host's report with this number had arrived has returned this version.
struct HostConfirmation
{
  std::uint64_t reportNumber = 0;
  std::uint64_t configVersion = 0;
};

// Payload of a peer entry. Thread safe; decoding fails with Malformed.

std::string
encodeConfirmation(const HostConfirmation& aConfirmation);
Result<HostConfirmation>
decodeConfirmation(const std::string& aPayload);

} // namespace savoryrill::gateway
