#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "platform/types/table.h"

namespace savoryrill::platform {

/// Percent-encodes all characters except unreserved ones and those in `aUnescaped`.
std::string
percentEncode(std::string_view aText, std::string_view aUnescaped = {});

/// Returns the body of `POST /table/transact`.
std::string
encodeTransaction(const Transaction& aTransaction);

/// Parses the response to a transaction. Precondition: the status is 200 or 409. Fails
/// with Malformed if the body does not fit the status or lacks the version of a written
/// row.
Result<TransactionOutcome>
decodeOutcome(int aStatus, const std::string& aBody, const Transaction& aTransaction);

/// Parses the response of `GET /table/row`. Fails with Malformed if it is invalid or
/// contains another row.
Result<Row>
decodeRow(const std::string& aBody, const std::string& aKey);

/// Parses the response of `GET /table/rows` and sorts the rows by key. Fails with
/// Malformed if it is invalid, a row occurs twice or a key lacks the prefix.
Result<std::vector<Row>>
decodeRows(const std::string& aBody, const std::string& aPrefix);

/// Parses the response of `GET /hosts`. Fails with Malformed if it is invalid or a host
/// occurs twice.
Result<std::vector<HostEntry>>
decodeHosts(const std::string& aBody);

} // namespace savoryrill::platform
