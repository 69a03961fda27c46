#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "serving/leadership.h"

namespace savoryrill::gateway {

/// The value of the leader's row, as JSON. Thread safe.
std::string
encodeLeaderRow(const serving::LeaderRow& aRow);

/// Reads the value; the version is not part of it. Fails with Malformed. Thread safe.
Result<serving::LeaderRow>
decodeLeaderRow(std::string_view aValue);

} // namespace savoryrill::gateway
