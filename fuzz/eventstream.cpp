#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "gateway/internal/eventstream.h"

/// Splits bytes into events whole and in two pieces; both must pass on the same bytes,
/// find the same fault and remember the same last id. The first byte says where the
/// pieces meet.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using savoryrill::gateway::EventStream;
  if (aSize == 0) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  const std::size_t split = text.empty() ? 0 : aData[0] % (text.size() + 1);
  EventStream whole;
  const std::string expected = whole.take(text);
  EventStream pieces;
  std::string events = pieces.take(text.substr(0, split));
  events += pieces.take(text.substr(split));
  if (events != expected || pieces.fault() != whole.fault() ||
      pieces.lastId() != whole.lastId()) {
    std::abort();
  }
  return 0;
}
