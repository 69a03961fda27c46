#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "upstream/types/inventory.h"

namespace savoryrill::upstream {

template<typename T>
using Completion = std::function<void(Result<T>)>;

/// Control interface of model engines. `aAddress` is the numeric address and port of an
/// engine. A completion runs once, in a later iteration of the event loop, or never if
/// this object is destroyed first. Not thread safe.
class IEngineControl
{
public:
  virtual ~IEngineControl() = default;

  /// Sends an order at most once. `aMaySend` is called as the last step before the order
  /// is passed to the socket layer; if it returns false, the order is not sent and the
  /// outcome is NotSent.
  virtual void order(std::string aAddress,
                     Order aOrder,
                     std::function<bool()> aMaySend,
                     std::function<void(OrderOutcome)> aDone) = 0;

  /// Reads the inventory of an engine. Errors: Unavailable, Timeout, Malformed.
  virtual void readInventory(std::string aAddress, Completion<Inventory> aDone) = 0;

  /// Reads the cache events with a sequence number above `aAfter`, in ascending order.
  /// Errors: Unavailable, Timeout, Malformed.
  virtual void readCacheEvents(std::string aAddress,
                               std::uint64_t aAfter,
                               Completion<std::vector<CacheEvent>> aDone) = 0;
};

} // namespace savoryrill::upstream
