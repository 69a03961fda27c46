#include "config/settings.h"

#include <filesystem>
#include <map>

#include "config/internal/document.h"
#include "config/internal/objectreader.h"
#include "config/internal/settingsfile.h"

namespace savoryrill::config {

namespace {

constexpr IntegerRange kDelayMs{ 0, 3'600'000 };
constexpr IntegerRange kLeaseMs{ 100, 600'000 };
constexpr IntegerRange kConnections{ 1, 1'000'000 };
constexpr IntegerRange kBodyBytes{ 1024, 1'073'741'824 };

class SettingsReader
{
public:
  SettingsReader(const ReadContext& aContext,
                 const Json::Value& aRoot,
                 std::filesystem::path aDirectory)
    : mContext(aContext)
    , mRoot(aContext, {}, aRoot)
    , mDirectory(std::move(aDirectory))
  {
  }

  Settings run()
  {
    mRoot.text("host", mSettings.host, checkName, Presence::Required);
    mRoot.text("data_centre", mSettings.dataCentre, checkName, Presence::Required);
    readAddresses();
    mRoot.texts("platform", mSettings.platform, checkAddress, Presence::Required);
    readPeers();
    readFiles();
    mRoot.enumeration("log_level", mSettings.logLevel);
    readTimes();
    mRoot.integer("max_connections", mSettings.maxConnections, kConnections);
    mRoot.integer("max_body_bytes", mSettings.maxBodyBytes, kBodyBytes);
    mRoot.finish();
    return std::move(mSettings);
  }

private:
  void readAddresses()
  {
    readAddress("caller_address", mSettings.callerAddress);
    readAddress("router_operator_address", mSettings.routerOperatorAddress);
    readAddress("controller_operator_address", mSettings.controllerOperatorAddress);
    readAddress("peer_address", mSettings.peerAddress);
  }

  void readAddress(std::string_view aKey, SocketAddress& aTarget)
  {
    std::string text;
    mRoot.text(aKey, text, checkListenAddress, Presence::Required);
    const auto address = parseAddress(text);
    if (!address) {
      return;
    }
    aTarget = *address;
    const auto [first, inserted] = mUsed.try_emplace(text, aKey);
    if (!inserted && address->port != 0) {
      mContext.error(mRoot.pathOf(aKey),
                     inQuotes(text) + " is also the value of " + first->second);
    }
  }

  void readPeers()
  {
    const auto read = [this](const KeyPath& aPath, const Json::Value& aValue) {
      PeerSettings peer;
      ObjectReader reader(mContext, aPath, aValue);
      reader.text("host", peer.host, checkName, Presence::Required);
      reader.text("data_centre", peer.dataCentre, checkName, Presence::Required);
      reader.text("endpoint", peer.endpoint, checkAddress, Presence::Required);
      reader.finish();
      mSettings.peers.push_back(std::move(peer));
    };
    mRoot.elements("peers", Presence::Optional, read);
  }

  void readFiles()
  {
    readFile("operator_token_file", mSettings.operatorTokenFile, Presence::Required);
    readFile("curve_secret_key_file", mSettings.curveSecretKeyFile, Presence::Optional);
    readFile("curve_public_key_file", mSettings.curvePublicKeyFile, Presence::Optional);
    readFile("log_file", mSettings.logFile, Presence::Optional);
    if (mSettings.curveSecretKeyFile.empty() != mSettings.curvePublicKeyFile.empty()) {
      mContext.error(mRoot.pathOf(mSettings.curveSecretKeyFile.empty()
                                    ? "curve_public_key_file"
                                    : "curve_secret_key_file"),
                     "curve_secret_key_file and curve_public_key_file must be set "
                     "together");
    }
  }

  /// Relative names are relative to the settings file, not to the working directory,
  /// which differs between a shell and a service manager.
  void readFile(std::string_view aKey, std::string& aTarget, Presence aPresence)
  {
    mRoot.text(aKey, aTarget, checkFileName, aPresence);
    if (!aTarget.empty()) {
      aTarget = (mDirectory / aTarget).string();
    }
  }

  void readTimes()
  {
    mRoot.milliseconds("drain_limit_ms", mSettings.drainLimit, kDelayMs);
    mRoot.milliseconds("balancer_delay_ms", mSettings.balancerDelay, kDelayMs);
    mRoot.milliseconds("lease_ms", mSettings.leaseTime, kLeaseMs);
    mRoot.milliseconds("order_ttl_ms", mSettings.orderTimeToLive, kLeaseMs);
    mRoot.milliseconds("clock_margin_ms", mSettings.clockMargin, kDelayMs);
    if (mSettings.orderTimeToLive >= mSettings.leaseTime) {
      mContext.error(mRoot.pathOf("order_ttl_ms"), "must be below lease_ms");
    }
    if (mSettings.clockMargin >= mSettings.leaseTime) {
      mContext.error(mRoot.pathOf("clock_margin_ms"), "must be below lease_ms");
    }
    if (mSettings.balancerDelay > mSettings.drainLimit) {
      mContext.error(mRoot.pathOf("balancer_delay_ms"), "is above drain_limit_ms");
    }
  }

  const ReadContext& mContext;
  ObjectReader mRoot;
  std::filesystem::path mDirectory;
  Settings mSettings;
  std::map<std::string, std::string> mUsed;
};

} // namespace

CheckedSettings
checkSettings(const std::string& aName, const std::string& aText)
{
  FindingCollector findings;
  CheckedSettings result;
  if (const auto document = Document::parse(aName, aText, findings)) {
    const Locator locator(*document);
    const ReadContext context{ locator, findings };
    const auto directory = std::filesystem::path(aName).parent_path();
    result.settings = SettingsReader(context, document->root(), directory).run();
  }
  result.findings = findings.take();
  return result;
}

Result<CheckedSettings>
readSettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, readSettingsFile(aPath));
  return checkSettings(aPath, text);
}

} // namespace savoryrill::config
