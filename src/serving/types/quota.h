#pragma once

#include <cstdint>
#include <string>

#include "base/types/time.h"

namespace savoryrill::serving {

/// A host asks for permission to run requests of an organisation that cost `amount`.
struct QuotaRequest
{
  std::string organisation;
  double amount = 0;
};

/// Permission to run requests of an organisation, for a short time.
struct QuotaGrant
{
  std::string organisation;
  double amount = 0;
  std::uint64_t number = 0; // of the grant at its issuer, so that a repeated one is known
};

/// The quota of an organisation is used up.
struct QuotaDenial
{
  std::string organisation;
  Duration roomIn{}; // until the quota has room for the request
};

} // namespace savoryrill::serving
