#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "upstream/types/inventory.h"

namespace savoryrill::upstream {

/// Body of `POST /control/orders`.
std::string
encodeOrder(const Order& aOrder);

/// What an answer to an order means. Thread safe.
OrderOutcome
decodeOrderResponse(int aStatus, const std::string& aBody);

/// Answer of `GET /control/inventory`. Fails with Malformed if a part is missing, has the
/// wrong type or size, or contradicts another one. Thread safe.
Result<Inventory>
decodeInventory(std::string_view aBody);

/// Answer of `GET /control/cache-events`; only events above `aAfter`, in the order of
/// their sequence numbers. Fails with Malformed. Thread safe.
Result<std::vector<CacheEvent>>
decodeCacheEvents(std::string_view aBody, std::uint64_t aAfter);

} // namespace savoryrill::upstream
