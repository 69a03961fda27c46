#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "upstream/types/inventory.h"

namespace savoryrill::upstream {

/// Returns the body of `POST /control/orders`. Thread safe.
std::string
encodeOrder(const Order& aOrder);

/// Returns the outcome of an order from the status and body of its response. Thread safe.
OrderOutcome
decodeOrderResponse(int aStatus, const std::string& aBody);

/// Parses the response of `GET /control/inventory`. Fails with Malformed if a member is
/// missing, has the wrong type or size, or contradicts another one. Thread safe.
Result<Inventory>
decodeInventory(std::string_view aBody);

/// Parses the response of `GET /control/cache-events`. Returns the events with a sequence
/// number above `aAfter` in ascending order. Fails with Malformed. Thread safe.
Result<std::vector<CacheEvent>>
decodeCacheEvents(std::string_view aBody, std::uint64_t aAfter);

} // namespace savoryrill::upstream
