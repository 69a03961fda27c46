#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "event/loop.h"
#include "testing/recorder.h"
#include "testing/types/listenoptions.h"
#include "testing/types/proxyfault.h"

namespace savoryrill::testing {

struct FaultProxyOptions
{
  ListenOptions control;
  std::vector<ProxyRoute> routes;
};

/// A TCP proxy with faults that are switched at run time, for any protocol. While the
/// target itself is down, connections are accepted and then reset.
///
/// `POST /faults` on the control address: {"route": name (all routes if absent), "fault":
/// "pass" | "refuse" | "cut" | "blackhole" | "reset" | "truncate" | "lose_answer",
/// "direction": "both" | "to_target" | "to_caller", "after_bytes", "delay_ms", "count"};
/// see `ProxyFault`. `GET /faults` lists the routes with their ports, faults and open
/// connections.
///
/// Records: connection_begin, connection_end, fault_set. Not thread safe.
class FaultProxy
{
public:
  /// Fails with Unavailable if an address cannot be bound, and with InvalidArgument if
  /// the record file cannot be opened, an address is not numeric, or a name is used
  /// twice. Precondition: the loop outlives the result.
  static Result<std::unique_ptr<FaultProxy>> create(event::Loop& aLoop,
                                                    FaultProxyOptions aOptions);
  virtual ~FaultProxy() = default;

  /// The bound port of the control address.
  virtual std::uint16_t controlPort() const = 0;

  /// The bound port of a route, 0 if there is no such route.
  virtual std::uint16_t port(const std::string& aRoute) const = 0;

  /// Sets the fault of a route. Fails with NotFound, or with Unavailable if the address
  /// of a refusing route cannot be bound again.
  virtual Result<void> setFault(const std::string& aRoute, const ProxyFault& aFault) = 0;

  /// What has happened.
  virtual const Recorder& recorder() const = 0;
};

} // namespace savoryrill::testing
