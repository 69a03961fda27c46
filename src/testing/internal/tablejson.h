#pragma once

#include <json/value.h>
#include <vector>

#include "base/result.h"
#include "platform/types/table.h"

namespace savoryrill::testing {

// JSON forms of the platform's messages (docs/design.md section 8).

/// Fails with Malformed and the member at fault. Thread safe.
Result<platform::Transaction>
readTransaction(const Json::Value& aBody);

Json::Value
toJson(const platform::TransactionOutcome& aOutcome);

Json::Value
toJson(const platform::Row& aRow);

/// Fails with Malformed. Thread safe.
Result<std::vector<platform::HostEntry>>
readHosts(const Json::Value& aBody);

Json::Value
toJson(const std::vector<platform::HostEntry>& aHosts);

} // namespace savoryrill::testing
