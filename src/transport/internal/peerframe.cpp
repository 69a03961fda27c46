#include "transport/internal/peerframe.h"

#include <arpa/inet.h>
#include <charconv>
#include <limits>

namespace savoryrill::transport {

namespace {

constexpr std::size_t kMaxNameBytes = 512;
// Twice the maximum number of entries in a state map.
constexpr int kMaxItems = 100000;
constexpr int kMaxBuckets = 1024;

auto
malformed(const char* aWhat)
{
  return fail(ErrorCode::Malformed, aWhat);
}

bool
isValidName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes;
}

Result<void>
checkHello(const peer::Envelope& aEnvelope)
{
  const peer::Hello& hello = aEnvelope.hello();
  const bool known_role =
    hello.role() == peer::ROLE_CONTROLLER || hello.role() == peer::ROLE_ROUTER;
  if (!known_role) {
    return malformed("hello with an unknown role");
  }
  if (hello.host() != aEnvelope.sender() ||
      hello.incarnation() != aEnvelope.incarnation()) {
    return malformed("hello does not match its envelope");
  }
  if (!isValidName(hello.data_centre())) {
    return malformed("hello without a valid data centre");
  }
  if (!hello.endpoint().empty() && !isNumericEndpoint(hello.endpoint())) {
    return malformed("hello with an endpoint that is not a numeric address and port");
  }
  return outcome::success();
}

Result<void>
checkDigest(const peer::Digest& aDigest)
{
  if (aDigest.items_size() > kMaxItems) {
    return malformed("digest with too many items");
  }
  if (aDigest.fingerprints_size() > kMaxBuckets || aDigest.buckets_size() > kMaxBuckets) {
    return malformed("digest with too many buckets");
  }
  for (const auto& item : aDigest.items()) {
    if (!isValidName(item.key())) {
      return malformed("digest with an empty or too long key");
    }
  }
  return outcome::success();
}

} // namespace

Result<peer::Envelope>
decodePeerFrame(std::string_view aFrame)
{
  if (aFrame.size() > kMaxFrameBytes) {
    return malformed("frame above the size limit");
  }
  peer::Envelope envelope;
  if (!envelope.ParseFromArray(aFrame.data(), static_cast<int>(aFrame.size()))) {
    return malformed("frame is not a valid envelope");
  }
  if (!isValidName(envelope.sender()) || envelope.incarnation() == 0) {
    return malformed("envelope without a valid sender or incarnation");
  }
  switch (envelope.body_case()) {
    case peer::Envelope::kHello: {
      BOOST_OUTCOME_TRYV(checkHello(envelope));
      break;
    }
    case peer::Envelope::kDigest: {
      BOOST_OUTCOME_TRYV(checkDigest(envelope.digest()));
      break;
    }
    case peer::Envelope::kDelta:
      if (envelope.delta().entries_size() > kMaxItems) {
        return malformed("delta with too many entries");
      }
      break;
    case peer::Envelope::kBye:
      break;
    case peer::Envelope::BODY_NOT_SET:
      return malformed("envelope without a body");
  }
  return envelope;
}

bool
isNumericEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string address(aText.substr(0, colon));
  const std::string_view port = aText.substr(colon + 1);
  in_addr parsed{};
  std::uint16_t number = 0;
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), number);
  return inet_pton(AF_INET, address.c_str(), &parsed) == 1 && error == std::errc() &&
         end == port.data() + port.size() && number > 0;
}

} // namespace savoryrill::transport
