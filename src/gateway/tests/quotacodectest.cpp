#include <CppUTest/TestHarness.h>

#include <cmath>
#include <limits>

#include "gateway/internal/quotacodec.h"

using namespace savoryrill;
using namespace savoryrill::gateway;

TEST_GROUP(QuotaCodec){};

TEST(QuotaCodec, Message_SurvivesEncoding)
{
  QuotaMessage message;
  message.requests = { { "o", 5'000, 3'200, 1'600, 7 } };
  message.grants = { { "p", 1'600.5, ~0ULL, 8 } };
  message.denials = { { "q", 1'500ms, 9 } };
  message.unused = { { "r", 20, 10, 0 } };
  const auto decoded = decodeQuotas(encodeQuotas(message)).value();
  STRCMP_EQUAL("o", decoded.requests.at(0).organisation.c_str());
  DOUBLES_EQUAL(5'000, decoded.requests[0].amount, 1e-9);
  DOUBLES_EQUAL(3'200, decoded.requests[0].waiting, 1e-9);
  DOUBLES_EQUAL(1'600, decoded.requests[0].first, 1e-9);
  LONGS_EQUAL(7, decoded.requests[0].number);
  DOUBLES_EQUAL(1'600.5, decoded.grants.at(0).amount, 1e-9);
  CHECK_TRUE(decoded.grants[0].number == ~0ULL);
  LONGS_EQUAL(8, decoded.grants[0].request);
  LONGS_EQUAL(1'500, toMs(decoded.denials.at(0).roomIn));
  LONGS_EQUAL(9, decoded.denials[0].request);
  LONGS_EQUAL(10, decoded.unused.at(0).number);
}

// Guards against a wrong message that grants or asks for an unlimited amount.
TEST(QuotaCodec, InvalidAmounts_Malformed)
{
  CHECK_FALSE(decodeQuotas("\xff\xff").has_value());
  const double infinite = std::numeric_limits<double>::infinity();
  for (const double wrong : { infinite, -1.0, std::nan(""), 1e13 }) {
    QuotaMessage request;
    request.requests = { { "o", wrong, 0, 0, 1 } };
    CHECK_FALSE(decodeQuotas(encodeQuotas(request)).has_value());
    QuotaMessage grant;
    grant.grants = { { "o", wrong, 1, 1 } };
    CHECK_FALSE(decodeQuotas(encodeQuotas(grant)).has_value());
  }
  QuotaMessage more_waits;
  more_waits.requests = { { "o", 10, 20, 5, 1 } };
  CHECK_FALSE(decodeQuotas(encodeQuotas(more_waits)).has_value());
  QuotaMessage nameless;
  nameless.denials = { { "", 1s, 1 } };
  CHECK_FALSE(decodeQuotas(encodeQuotas(nameless)).has_value());
}
