#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/types/time.h"

namespace savoryrill::serving {

/// A host asks for a permit to send a request to an upstream that limits their rate.
struct PermitRequest
{
  std::string upstream;
  double perSecond = 0; // the limit that the upstream has named
  /// Time since a response to this host named the limit; nullopt: another host said so.
  std::optional<Duration> age;
};

/// Permission to send requests to an upstream within a short time.
struct PermitGrant
{
  std::string upstream;
  std::uint32_t count = 0;
};

} // namespace savoryrill::serving
