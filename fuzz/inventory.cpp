#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <string_view>

#include "upstream/internal/enginejson.h"

/// Decodes an inventory and cache events; an accepted inventory must not contradict
/// itself.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view body(reinterpret_cast<const char*>(aData), aSize);
  const auto inventory = savoryrill::upstream::decodeInventory(body);
  if (inventory.has_value()) {
    std::set<savoryrill::config::Loadable> seen;
    for (const auto& model : inventory.value().models) {
      if (!seen.insert(model.loadable).second) {
        std::abort();
      }
    }
  }
  const auto events = savoryrill::upstream::decodeCacheEvents(body, 1);
  if (events.has_value() && !events.value().empty() &&
      events.value().front().sequence <= 1) {
    std::abort();
  }
  return 0;
}
