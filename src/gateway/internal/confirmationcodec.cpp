#include "gateway/internal/confirmationcodec.h"

#include "transport/proto/peer.pb.h"

namespace savoryrill::gateway {

std::string
encodeConfirmation(const HostConfirmation& aConfirmation)
{
  peer::ConfirmationContent content;
  content.set_stamp(aConfirmation.reportNumber);
  content.set_config_version(aConfirmation.configVersion);
  return content.SerializeAsString();
}

Result<HostConfirmation>
decodeConfirmation(const std::string& aPayload)
{
  peer::ConfirmationContent content;
  if (!content.ParseFromString(aPayload) || content.stamp() == 0 ||
      content.config_version() == 0) {
    return fail(ErrorCode::Malformed, "confirmation lacks a report number or a version");
  }
  return HostConfirmation{ content.stamp(), content.config_version() };
}

} // namespace savoryrill::gateway
