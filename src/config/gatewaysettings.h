#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "base/types/enumnames.h"
#include "base/types/eventdefinition.h"
#include "base/types/time.h"
#include "config/settings.h"
#include "config/types/finding.h"

namespace savoryrill::config {

/// Order in which requests that wait for capacity are sent, and which of them are
/// refused.
enum class Scheduling
{
  PriorityThenAge,
  InTimeFirst // those that can still meet their objective; organisations take turns
};

/// What a gateway process reads from its settings file (JSON with comments).
struct GatewaySettings
{
  std::string host;
  std::string dataCentre;
  SocketAddress callerAddress;                 // listens for callers
  SocketAddress readinessAddress;              // listens for the balancer
  SocketAddress peerAddress;                   // listens for other gateways, ZeroMQ
  std::optional<SocketAddress> metricsAddress; // listens for the metrics collector
  SocketAddress storeAddress;                  // the platform's table
  Severity logLevel = Severity::Info;
  std::uint32_t logBytesPerSecond = 64 * 1024; // lines above it are dropped and counted
  Duration drainLimit = 8s;    // between SIGTERM and the end of the process
  Duration leaveNotice = 2s;   // for which an upstream that leaves goes on serving
  Duration orderTurnTime = 3s; // between orders of two hosts to one engine
  /// Time after which a configuration that the store has not confirmed is no longer used
  /// to accept keys; zero: no bound.
  Duration keyConfirmationTime = Duration::zero();
  double retryShare = 0.2;        // repeated sends for each request of an upstream group
  double retryReserve = 50;       // and this many more in a while, of all hosts together
  std::uint32_t hostMemoryMb = 0; // that this process may use; 0: not known
  std::uint32_t maxDescriptors = 0;      // of this process; 0: not known
  std::uint32_t connectionMemoryMb = 48; // held for the connections of callers
  std::uint32_t maxConnections = 1500;   // of callers
  Scheduling scheduling = Scheduling::PriorityThenAge;
  double linkMbps = 0; // of this host's network link; 0: not known
};

/// Memory for connections on a host with `aHostMemoryMb` for this process: two fifths.
/// The rest is for the process itself, and for what the allocator cannot reuse at once.
std::uint32_t
connectionMemoryOf(std::uint32_t aHostMemoryMb);

/// Connections of callers of a process with `aMaxDescriptors`: three fifths of those that
/// remain without 200 for files and 360 for the store, 80 other hosts (two each), two
/// status addresses (64 each) and the loop. Two fifths are left for upstreams.
std::uint32_t
maxConnectionsOf(std::uint32_t aMaxDescriptors);

/// Connections to upstreams: the two fifths that `maxConnectionsOf` leaves. 0: no limit,
/// if the descriptors are not known.
std::uint32_t
maxUpstreamConnectionsOf(std::uint32_t aMaxDescriptors);

struct CheckedGatewaySettings
{
  Findings findings;
  GatewaySettings settings; // meaningful only without errors
};

/// Checks a settings text and collects all findings. Never fails. Thread safe.
CheckedGatewaySettings
checkGatewaySettings(const std::string& aName, const std::string& aText);

/// Reads and checks a settings file. Fails with NotFound if it cannot be read; findings
/// are in the result. Thread safe.
Result<CheckedGatewaySettings>
readGatewaySettings(const std::string& aPath);

} // namespace savoryrill::config

namespace savoryrill {

template<>
struct EnumNames<config::Scheduling>
{
  static constexpr EnumTable<config::Scheduling, 2> kTable{ {
    { config::Scheduling::PriorityThenAge, "priority-then-age" },
    { config::Scheduling::InTimeFirst, "in-time-first" },
  } };
};

} // namespace savoryrill
