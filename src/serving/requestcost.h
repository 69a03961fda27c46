#pragma once

#include "serving/types/organisation.h"
#include "serving/types/requestdetails.h"

namespace savoryrill::serving {

/// Tokens of a request: of its prompt, plus the maximum number to generate. `aDefault` if
/// the request states none. Thread safe.
inline double
tokensOf(const RequestDetails& aDetails, double aDefault)
{
  const double stated = static_cast<double>(aDetails.promptTokens) +
                        static_cast<double>(aDetails.outputTokens);
  return stated > 0 ? stated : aDefault;
}

/// What a request takes from the quota of its organisation. Thread safe.
inline double
costOf(const RequestDetails& aDetails, const Quota& aQuota)
{
  return aQuota.unit == QuotaUnit::Tokens ? tokensOf(aDetails, aQuota.defaultTokens) : 1;
}

} // namespace savoryrill::serving
