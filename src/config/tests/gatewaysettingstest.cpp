#include <CppUTest/TestHarness.h>

#include "config/gatewaysettings.h"

using namespace savoryrill;

TEST_GROUP(GatewaySettings)
{
  const std::string whole = R"({
    // a host of the clock house
    "host": "edge-xela-1", "data_centre": "xela",
    "caller_address": "127.0.0.1:8000", "readiness_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002", "metrics_address": "127.0.0.1:8003",
    "store_address": "127.0.0.1:8004", "drain_limit_ms": 8000, "retry_share": 0.2
  })";

  static bool mentions(const config::CheckedGatewaySettings& aChecked,
                       const std::string& aKey)
  {
    for (const auto& finding : aChecked.findings) {
      if (finding.key == aKey || finding.message.find(aKey) != std::string::npos) {
        return true;
      }
    }
    return false;
  }
};

TEST(GatewaySettings, WholeFile_ReadWithoutFindings)
{
  const auto checked = config::checkGatewaySettings("s", whole);
  LONGS_EQUAL(0, checked.findings.size());
  STRCMP_EQUAL("edge-xela-1", checked.settings.host.c_str());
  LONGS_EQUAL(8003, checked.settings.metricsAddress->port);
  CHECK_TRUE(checked.settings.drainLimit == 8s);
}

TEST(GatewaySettings, RequiredKeysMissing_AllAreReported)
{
  const auto checked = config::checkGatewaySettings("s", "{}");
  CHECK_TRUE(config::hasErrors(checked.findings));
  for (const char* key : { "host", "data_centre", "caller_address", "store_address" }) {
    CHECK_TRUE(mentions(checked, key));
  }
}

TEST(GatewaySettings, AddressTwiceOrMalformed_Reported)
{
  auto text = whole;
  text.replace(text.find("127.0.0.1:8001"), 14, "127.0.0.1:8000");
  CHECK_TRUE(config::hasErrors(config::checkGatewaySettings("s", text).findings));
  text = whole;
  text.replace(text.find("127.0.0.1:8001"), 14, "localhost:http");
  CHECK_TRUE(config::hasErrors(config::checkGatewaySettings("s", text).findings));
}

TEST(GatewaySettings, KeyConfirmation_ReadOrReported)
{
  CHECK_TRUE(config::checkGatewaySettings("s", whole).settings.keyConfirmationTime ==
             Duration::zero());
  auto text = whole;
  text.insert(text.rfind('}'), R"(, "key_confirmation_ms": 5000)");
  const auto checked = config::checkGatewaySettings("s", text);
  LONGS_EQUAL(0, checked.findings.size());
  CHECK_TRUE(checked.settings.keyConfirmationTime == 5s);
  text.replace(text.find("5000"), 4, "-1");
  CHECK_TRUE(mentions(config::checkGatewaySettings("s", text), "key_confirmation_ms"));
}

// Guards against budgets that do not fit the smallest hosts: 120 MB and 3,075
// descriptors.
TEST(GatewaySettings, SizesOfHost_BudgetsFollowUnlessStated)
{
  const auto with = [this](const std::string& aKeys) {
    auto text = whole;
    return config::checkGatewaySettings("s", text.insert(text.find('{') + 1, aKeys));
  };
  LONGS_EQUAL(48, with("").settings.connectionMemoryMb);
  LONGS_EQUAL(1500, with("").settings.maxConnections);
  const auto small = with(R"("host_memory_mb": 120, "max_descriptors": 3075,)");
  LONGS_EQUAL(0, small.findings.size());
  LONGS_EQUAL(48, small.settings.connectionMemoryMb);
  LONGS_EQUAL(1509, small.settings.maxConnections);
  LONGS_EQUAL(1006, config::maxUpstreamConnectionsOf(small.settings.maxDescriptors));
  const auto stated = with(R"("host_memory_mb": 512, "max_descriptors": 3075,
                              "connection_memory_mb": 16, "max_connections": 128,)");
  LONGS_EQUAL(16, stated.settings.connectionMemoryMb);
  LONGS_EQUAL(128, stated.settings.maxConnections);
  CHECK_TRUE(mentions(with(R"("connection_memory_mb": 7,)"), "connection_memory_mb"));
  CHECK_TRUE(mentions(with(R"("max_descriptors": 100,)"), "max_descriptors"));
}

TEST(GatewaySettings, Scheduling_NamedOrderOrTodaysOrReported)
{
  const auto with = [this](const std::string& aName) {
    auto text = whole;
    text.insert(text.rfind('}'), R"(, "scheduling": ")" + aName + "\"");
    return config::checkGatewaySettings("s", text);
  };
  CHECK_TRUE(config::checkGatewaySettings("s", whole).settings.scheduling ==
             config::Scheduling::PriorityThenAge);
  CHECK_TRUE(with("in-time-first").settings.scheduling ==
             config::Scheduling::InTimeFirst);
  CHECK_TRUE(config::hasErrors(with("fair").findings));
}

TEST(GatewaySettings, LinkBandwidthAndLeaveNotice_ReadOrReported)
{
  auto text = whole;
  const std::string key = R"("link_mbps": )";
  text.insert(text.find('{') + 1, key + "10,");
  DOUBLES_EQUAL(10, config::checkGatewaySettings("s", text).settings.linkMbps, 0.01);
  DOUBLES_EQUAL(0, config::checkGatewaySettings("s", whole).settings.linkMbps, 0.01);
  text.insert(text.find('{') + 1, "\"leave_notice_ms\": 3000,");
  CHECK_TRUE(config::checkGatewaySettings("s", text).settings.leaveNotice == 3s);
  text.replace(text.find(key) + key.size(), 2, "-1");
  CHECK_TRUE(mentions(config::checkGatewaySettings("s", text), "link_mbps"));
}

// Guards against a bound that each change of the leader exceeds, without a finding.
TEST(GatewaySettings, KeyConfirmationTime_ReadOrReported)
{
  const auto with = [&](const std::string& aValue) {
    auto text = whole;
    text.insert(text.find('{') + 1, "\"key_confirmation_ms\": " + aValue + ",");
    return config::checkGatewaySettings("s", text);
  };
  const auto none = config::checkGatewaySettings("s", whole);
  CHECK_TRUE(none.settings.keyConfirmationTime == Duration::zero());
  const auto usual = with("5000");
  CHECK_TRUE(usual.settings.keyConfirmationTime == 5s);
  LONGS_EQUAL(0, usual.findings.size());
  CHECK_TRUE(mentions(with("2000"), "key_confirmation_ms"));
  CHECK_FALSE(config::hasErrors(with("2000").findings));
  CHECK_TRUE(config::hasErrors(with("-1").findings));
}

TEST(GatewaySettings, FileIsMissing_NotFound)
{
  const auto read = config::readGatewaySettings("/nonexistent/settings.jsonc");
  CHECK_FALSE(read.has_value());
  CHECK_TRUE(read.error().code == ErrorCode::NotFound);
}
