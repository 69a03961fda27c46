#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "serving/types/quota.h"

namespace savoryrill::gateway {

/// What hosts tell each other about the quotas of organisations.
struct QuotaMessage
{
  std::vector<serving::QuotaRequest> requests;
  std::vector<serving::QuotaGrant> grants;
  std::vector<serving::QuotaDenial> denials;
  std::vector<serving::QuotaGrant> unused; // that the host gives back

  bool empty() const
  {
    return requests.empty() && grants.empty() && denials.empty() && unused.empty();
  }
};

/// Payload of an entry of `ENTRY_KIND_QUOTA`. Thread safe.
std::string
encodeQuotas(const QuotaMessage& aMessage);

/// Fails with Malformed. Thread safe.
Result<QuotaMessage>
decodeQuotas(const std::string& aPayload);

} // namespace savoryrill::gateway
