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

/// One process a host that answers callers and, if it leads, places models: the router's
/// and the controller's work for hosts on which two processes cost too much. All that
/// must last is in the platform's store. Not thread safe.
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

  /// Takes the limits of changed settings; addresses stay as they are until a restart.
  virtual void updateSettings(const config::GatewaySettings& aSettings) = 0;

  /// Starts a graceful shutdown: readiness turns false, requests go on, connections end
  /// with their response. `aDone` runs when nothing is left or the limit has passed.
  virtual void drain(std::function<void()> aDone) = 0;
};

} // namespace savoryrill::gateway
