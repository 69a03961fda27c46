#include "config/gatewaysettings.h"

#include <algorithm>
#include <map>

#include "config/address.h"
#include "config/internal/document.h"
#include "config/internal/objectreader.h"
#include "config/internal/settingsfile.h"

namespace savoryrill::config {

namespace {

constexpr IntegerRange kTimeMs{ 0, 3'600'000 };
// Below the least value the list would be read more than 16 times a second.
constexpr IntegerRange kNoticeMs{ 100, 3'600'000 };
// Zero: no bound.
constexpr IntegerRange kConfirmationMs{ 0, 3'600'000 };
// A host without a leader reads the store after 2 s, and a read may take more than 1 s.
constexpr Duration kMinConfirmationTime = 4s;
constexpr IntegerRange kConnections{ 1, 1'000'000 };
constexpr IntegerRange kHostMemoryMb{ 32, 16'000'000 };
// Below the least value, one body of 4 MB would not fit beside the reserve.
constexpr IntegerRange kConnectionMemoryMb{ 8, 16'000'000 };
constexpr IntegerRange kDescriptors{ 640, 100'000'000 };
constexpr std::uint32_t kLeastConnectionMemoryMb = 8;
constexpr std::uint32_t kKeptDescriptors = 560;
constexpr IntegerRange kLogRate{ 1024, 100'000'000 };
constexpr Range<double> kShare{ 0.0, 10.0 };
constexpr Range<double> kReserve{ 0.0, 1'000'000.0 };
constexpr Range<double> kLinkMbps{ 0.0, 10'000'000.0 };

class GatewaySettingsReader
{
public:
  GatewaySettingsReader(const ReadContext& aContext, const Json::Value& aRoot)
    : mContext(aContext)
    , mRoot(aContext, {}, aRoot)
  {
  }

  GatewaySettings run()
  {
    mRoot.text("host", mSettings.host, checkName, Presence::Required);
    mRoot.text("data_centre", mSettings.dataCentre, checkName, Presence::Required);
    readAddress("caller_address", mSettings.callerAddress);
    readAddress("readiness_address", mSettings.readinessAddress);
    readAddress("peer_address", mSettings.peerAddress);
    SocketAddress metrics;
    if (readAddress("metrics_address", metrics, Presence::Optional)) {
      mSettings.metricsAddress = metrics;
    }
    readAddress("store_address", mSettings.storeAddress);
    mRoot.enumeration("log_level", mSettings.logLevel);
    mRoot.integer("log_bytes_per_second", mSettings.logBytesPerSecond, kLogRate);
    mRoot.milliseconds("drain_limit_ms", mSettings.drainLimit, kTimeMs);
    mRoot.milliseconds("leave_notice_ms", mSettings.leaveNotice, kNoticeMs);
    mRoot.milliseconds("order_turn_ms", mSettings.orderTurnTime, kTimeMs);
    mRoot.milliseconds(
      "key_confirmation_ms", mSettings.keyConfirmationTime, kConfirmationMs);
    checkConfirmationTime();
    mRoot.real("retry_share", mSettings.retryShare, kShare);
    mRoot.real("retry_reserve", mSettings.retryReserve, kReserve);
    readCapacity();
    mRoot.enumeration("scheduling", mSettings.scheduling);
    mRoot.real("link_mbps", mSettings.linkMbps, kLinkMbps);
    mRoot.finish();
    return std::move(mSettings);
  }

private:
  void checkConfirmationTime()
  {
    const auto time = mSettings.keyConfirmationTime;
    if (time > Duration::zero() && time < kMinConfirmationTime) {
      mContext.warning(mRoot.pathOf("key_confirmation_ms"),
                       "below " + std::to_string(toMs(kMinConfirmationTime)) +
                         ": each change of the leader may refuse requests with keys");
    }
  }

  /// Sizes that are not stated follow from those of the host, if these are known.
  void readCapacity()
  {
    mRoot.integer("host_memory_mb", mSettings.hostMemoryMb, kHostMemoryMb);
    mRoot.integer("max_descriptors", mSettings.maxDescriptors, kDescriptors);
    if (mSettings.hostMemoryMb > 0) {
      mSettings.connectionMemoryMb = connectionMemoryOf(mSettings.hostMemoryMb);
    }
    if (mSettings.maxDescriptors > 0) {
      mSettings.maxConnections = maxConnectionsOf(mSettings.maxDescriptors);
    }
    mRoot.integer(
      "connection_memory_mb", mSettings.connectionMemoryMb, kConnectionMemoryMb);
    mRoot.integer("max_connections", mSettings.maxConnections, kConnections);
  }

  bool readAddress(std::string_view aKey,
                   SocketAddress& aTarget,
                   Presence aPresence = Presence::Required)
  {
    std::string text;
    mRoot.text(aKey, text, checkListenAddress, aPresence);
    const auto address = parseAddress(text);
    if (!address) {
      return false;
    }
    aTarget = *address;
    const auto [first, inserted] = mUsed.try_emplace(text, aKey);
    if (!inserted && address->port != 0) {
      mContext.error(mRoot.pathOf(aKey),
                     inQuotes(text) + " is also the value of " + first->second);
    }
    return true;
  }

  const ReadContext& mContext;
  ObjectReader mRoot;
  GatewaySettings mSettings;
  std::map<std::string, std::string> mUsed;
};

} // namespace

std::uint32_t
connectionMemoryOf(std::uint32_t aHostMemoryMb)
{
  return std::max(kLeastConnectionMemoryMb, aHostMemoryMb / 5 * 2);
}

std::uint32_t
maxConnectionsOf(std::uint32_t aMaxDescriptors)
{
  return (std::max(aMaxDescriptors, kKeptDescriptors + 5) - kKeptDescriptors) / 5 * 3;
}

std::uint32_t
maxUpstreamConnectionsOf(std::uint32_t aMaxDescriptors)
{
  return aMaxDescriptors == 0 ? 0 : maxConnectionsOf(aMaxDescriptors) / 3 * 2;
}

CheckedGatewaySettings
checkGatewaySettings(const std::string& aName, const std::string& aText)
{
  FindingCollector findings;
  CheckedGatewaySettings result;
  if (const auto document = Document::parse(aName, aText, findings)) {
    const Locator locator(*document);
    const ReadContext context{ locator, findings };
    result.settings = GatewaySettingsReader(context, document->root()).run();
  }
  result.findings = findings.take();
  return result;
}

Result<CheckedGatewaySettings>
readGatewaySettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, readSettingsFile(aPath));
  return checkGatewaySettings(aPath, text);
}

} // namespace savoryrill::config
