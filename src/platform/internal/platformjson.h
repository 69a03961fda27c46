#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "platform/types/table.h"

namespace savoryrill::platform {

/// Percent-encodes everything but unreserved characters and those in `aUnescaped`.
std::string
percentEncode(std::string_view aText, std::string_view aUnescaped = {});

/// Body of `POST /table/transact`.
std::string
encodeTransaction(const Transaction& aTransaction);

/// The answer to a transaction, by its status (200 or 409). Fails with Malformed if the
/// body does not fit the status or lacks the version of a written row.
Result<TransactionOutcome>
decodeOutcome(int aStatus, const std::string& aBody, const Transaction& aTransaction);

/// Response of `GET /table/row`. Fails with Malformed, also if it is another row.
Result<Row>
decodeRow(const std::string& aBody, const std::string& aKey);

/// Response of `GET /table/rows`, sorted by key. Fails with Malformed, also if a
/// row occurs twice or lacks the prefix.
Result<std::vector<Row>>
decodeRows(const std::string& aBody, const std::string& aPrefix);

/// Response of `GET /hosts`. Fails with Malformed, also if a host occurs twice.
Result<std::vector<HostEntry>>
decodeHosts(const std::string& aBody);

} // namespace savoryrill::platform
