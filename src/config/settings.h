#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/eventdefinition.h"
#include "base/types/time.h"
#include "config/types/finding.h"

namespace savoryrill::config {

struct SocketAddress
{
  std::string address = "127.0.0.1"; // numeric
  std::uint16_t port = 0;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

struct PeerSettings
{
  std::string host;
  std::string dataCentre;
  std::string endpoint; // numeric address and port of the controller's peer socket
};

/// What a daemon reads from its settings file (JSON with comments): its own addresses and
/// data centre, the platform, and where to find a first peer. One file serves both
/// daemons of a host.
struct Settings
{
  std::string host;
  std::string dataCentre;
  SocketAddress callerAddress;             // router, for callers
  SocketAddress routerOperatorAddress;     // router, for operators
  SocketAddress controllerOperatorAddress; // controller, for operators
  SocketAddress peerAddress;               // controller, ZeroMQ
  std::vector<std::string> platform;       // numeric addresses and ports
  std::vector<PeerSettings> peers;         // controllers; more are learnt from peers
  std::string operatorTokenFile;
  std::string curveSecretKeyFile; // empty: no encryption between processes
  std::string curvePublicKeyFile; // of the fleet
  std::string logFile;            // empty: standard error
  Severity logLevel = Severity::Info;
  Duration drainLimit = 60s;   // longest graceful shutdown
  Duration balancerDelay = 2s; // time between readiness false and no more accepts
  Duration leaseTime = 6s;     // of a controller's session
  Duration orderTimeToLive = 2s;
  Duration clockMargin = 1s;
  std::uint32_t maxConnections = 2048;
  std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
};

struct CheckedSettings
{
  Findings findings;
  Settings settings; // meaningful only without errors
};

/// Checks a settings text and collects all findings. Never fails. Thread safe.
CheckedSettings
checkSettings(const std::string& aName, const std::string& aText);

/// Reads and checks a settings file. Fails with NotFound if it cannot be read; findings
/// are in the result. Thread safe.
Result<CheckedSettings>
readSettings(const std::string& aPath);

} // namespace savoryrill::config
