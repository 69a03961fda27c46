#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <google/protobuf/stubs/logging.h>
#include <string>

#include "gateway/internal/leaderrowcodec.h"
#include "gateway/internal/peercodec.h"

namespace {

using namespace savoryrill;

/// What is accepted must be accepted again in its own encoding.
template<typename Decode, typename Encode>
void
checkRoundTrip(const std::string& aPayload, Decode aDecode, Encode aEncode)
{
  const auto decoded = aDecode(aPayload);
  if (decoded.has_value() && !aDecode(aEncode(decoded.value())).has_value()) {
    std::abort();
  }
}

} // namespace

/// Decodes what other gateways say, and the leader's row.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  google::protobuf::SetLogHandler(nullptr);
  const std::string payload(reinterpret_cast<const char*>(aData), aSize);
  checkRoundTrip(payload, gateway::decodeDemand, gateway::encodeDemand);
  checkRoundTrip(payload, gateway::decodeReplicas, gateway::encodeReplicas);
  checkRoundTrip(payload, gateway::decodeLeaderStatus, gateway::encodeLeaderStatus);
  checkRoundTrip(payload, gateway::decodeListUpdate, gateway::encodeListUpdate);
  checkRoundTrip(payload, gateway::decodeLeaderRow, gateway::encodeLeaderRow);
  return 0;
}
