#include "gateway/internal/quotacodec.h"

#include <algorithm>
#include <cmath>

#include "transport/proto/peer.pb.h"

namespace savoryrill::gateway {

namespace {

// More than any quota allows in a window; bounds what a wrong message can grant.
constexpr double kMaxAmount = 1e12;
constexpr std::uint32_t kMaxRoomInMs = 3'600'000;

bool
isAmount(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0 && aValue <= kMaxAmount;
}

void
add(const serving::QuotaGrant& aGrant, peer::QuotaContent::Grant& aEncoded)
{
  aEncoded.set_organisation(aGrant.organisation);
  aEncoded.set_amount(aGrant.amount);
  aEncoded.set_number(aGrant.number);
  aEncoded.set_request(aGrant.request);
}

template<typename T>
bool
addGrants(const T& aEncoded, std::vector<serving::QuotaGrant>& aGrants)
{
  for (const auto& encoded : aEncoded) {
    if (encoded.organisation().empty() || !isAmount(encoded.amount())) {
      return false;
    }
    aGrants.push_back(
      { encoded.organisation(), encoded.amount(), encoded.number(), encoded.request() });
  }
  return true;
}

} // namespace

std::string
encodeQuotas(const QuotaMessage& aMessage)
{
  peer::QuotaContent content;
  for (const auto& request : aMessage.requests) {
    auto* encoded = content.add_requests();
    encoded->set_organisation(request.organisation);
    encoded->set_amount(request.amount);
    encoded->set_waiting(request.waiting);
    encoded->set_first(request.first);
    encoded->set_number(request.number);
  }
  for (const auto& grant : aMessage.grants) {
    add(grant, *content.add_grants());
  }
  for (const auto& denial : aMessage.denials) {
    auto* encoded = content.add_denials();
    encoded->set_organisation(denial.organisation);
    encoded->set_room_in_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(toMs(denial.roomIn), 0, kMaxRoomInMs)));
    encoded->set_request(denial.request);
  }
  for (const auto& unused : aMessage.unused) {
    add(unused, *content.add_unused());
  }
  return content.SerializeAsString();
}

Result<QuotaMessage>
decodeQuotas(const std::string& aPayload)
{
  peer::QuotaContent content;
  if (!content.ParseFromString(aPayload)) {
    return fail(ErrorCode::Malformed, "message on quotas cannot be parsed");
  }
  QuotaMessage message;
  for (const auto& encoded : content.requests()) {
    if (encoded.organisation().empty() || !isAmount(encoded.amount()) ||
        !isAmount(encoded.waiting()) || !isAmount(encoded.first()) ||
        encoded.waiting() > encoded.amount() || encoded.first() > encoded.waiting()) {
      return fail(
        ErrorCode::Malformed,
        "message on quotas has a request without an organisation or valid amounts");
    }
    message.requests.push_back({ encoded.organisation(),
                                 encoded.amount(),
                                 encoded.waiting(),
                                 encoded.first(),
                                 encoded.number() });
  }
  if (!addGrants(content.grants(), message.grants) ||
      !addGrants(content.unused(), message.unused)) {
    return fail(
      ErrorCode::Malformed,
      "message on quotas has a grant without an organisation or a valid amount");
  }
  for (const auto& encoded : content.denials()) {
    if (encoded.organisation().empty()) {
      return fail(ErrorCode::Malformed,
                  "message on quotas has a denial without an organisation");
    }
    message.denials.push_back(
      { encoded.organisation(),
        std::chrono::milliseconds(std::min(encoded.room_in_ms(), kMaxRoomInMs)),
        encoded.request() });
  }
  return message;
}

} // namespace savoryrill::gateway
