#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <google/protobuf/stubs/logging.h>
#include <string_view>

#include "transport/internal/peerframe.h"

/// Decodes a frame as the peer network does; what is accepted must be accepted again in
/// its own encoding.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  google::protobuf::SetLogHandler(nullptr);
  const std::string_view frame(reinterpret_cast<const char*>(aData), aSize);
  const auto decoded = savoryrill::transport::decodePeerFrame(frame);
  if (decoded.has_value()) {
    const std::string again = decoded.value().SerializeAsString();
    if (!savoryrill::transport::decodePeerFrame(again).has_value()) {
      std::abort();
    }
  }
  return 0;
}
