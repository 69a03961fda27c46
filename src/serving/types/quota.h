#pragma once

#include <cstdint>
#include <string>

#include "base/types/time.h"

namespace savoryrill::serving {

/// A host asks for permission to run requests of an organisation.
struct QuotaRequest
{
  std::string organisation;
  double amount = 0;        // what waits, and a part ahead
  double waiting = 0;       // the part of it that callers' requests wait for
  double first = 0;         // cost of the request that has waited longest; 0: none waits
  std::uint64_t number = 0; // of this quota request at its host
};

/// Permission to run requests of an organisation, for a short time.
struct QuotaGrant
{
  std::string organisation;
  double amount = 0;
  std::uint64_t number = 0;  // of the grant at its issuer, which accepts its return once
  std::uint64_t request = 0; // number of the quota request that this grant answers
};

/// The quota of an organisation is used up.
struct QuotaDenial
{
  std::string organisation;
  Duration roomIn{};         // until the quota has room for the request
  std::uint64_t request = 0; // number of the quota request that this denial answers
};

} // namespace savoryrill::serving
