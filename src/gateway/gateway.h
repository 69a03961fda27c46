#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "base/result.h"
#include "config/gatewaysettings.h"
#include "event/loop.h"
#include "gateway/iprotocol.h"
#include "gateway/irowstore.h"

namespace savoryrill::gateway {

/// The single process of a host that serves callers and, while it is the leader, places
/// models. It combines the router and the controller, for hosts on which two processes
/// would cost too much. All durable state is in the platform's store. Not thread safe.
class Gateway
{
public:
  struct Dependencies
  {
    event::Loop& loop;
    EventLog& log;
    Metrics& metrics;
    const IRequestProtocol& requestProtocol;
    const IControlProtocol& controlProtocol;
    const IRecordFormat& recordFormat;
    IRowStore& store;
    std::string readinessPath;
    std::uint64_t seed = 0;
  };

  /// Fails with Unavailable if an address cannot be bound. Preconditions: all references
  /// outlive the result.
  static Result<std::unique_ptr<Gateway>> create(Dependencies aDependencies,
                                                 config::GatewaySettings aSettings);
  virtual ~Gateway() = default;

  virtual bool ready() const = 0;

  /// Applies the drain limit, the retry limits and the scheduling of changed settings
  /// and ignores the others, which need a restart.
  virtual void updateSettings(const config::GatewaySettings& aSettings) = 0;

  /// Starts a graceful shutdown: readiness turns false, requests in progress continue,
  /// and each connection is closed after its response. `aDone` runs when no request is
  /// left or the drain limit has passed.
  virtual void drain(std::function<void()> aDone) = 0;
};

} // namespace savoryrill::gateway
