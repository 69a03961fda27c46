#pragma once

#include <functional>
#include <json/json.h>
#include <memory>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "config/settings.h"
#include "event/loop.h"
#include "gossip/statesync.h"
#include "placement/loadscheduler.h"
#include "platform/iplatform.h"
#include "upstream/iengine.h"

namespace savoryrill::controller {

struct ControllerOptions
{
  std::uint64_t incarnation = 0; // of this process, as in its gossip identity
  /// First in, first out gives the lowest tail of cold-start times
  /// (docs/decisions/0002).
  placement::LoadPolicy loadPolicy = placement::FirstInFirstOut{};
  /// Time since 1970 in UTC, for pre-warm times and report buckets; no other decision
  /// uses it. The default reads the system clock.
  std::function<Duration()> wallTime;
};

/// The controller of one host: adopts new configurations, owns upstreams, assigns models
/// to upstreams and loads them, and publishes the state that routers need. Runs on the
/// loop. Not thread safe.
class Controller
{
public:
  /// Never fails: requests to the platform or to engines that cannot be reached are
  /// repeated. Precondition: all references outlive the result.
  static std::unique_ptr<Controller> create(event::Loop& aLoop,
                                            const config::Settings& aSettings,
                                            platform::IPlatform& aPlatform,
                                            upstream::IEngineControl& aEngines,
                                            gossip::StateSync& aSync,
                                            EventLog& aLog,
                                            Metrics& aMetrics,
                                            ControllerOptions aOptions);
  virtual ~Controller() = default;

  /// True from the adoption of the first configuration until `drain` is called.
  virtual bool ready() const = 0;

  /// The response body of `/admin/v1/status`.
  virtual Json::Value status() const = 0;

  /// The response body of `/admin/v1/report`.
  virtual Json::Value report() const = 0;

  /// Starts the graceful shutdown: announces to peers that this process is leaving,
  /// hands over all upstreams, and calls `aDone` once that is finished or the drain limit
  /// of the settings has passed. The argument of `aDone` is true if all upstreams were
  /// handed over. Later calls have no effect.
  virtual void drain(std::function<void(bool)> aDone) = 0;
};

} // namespace savoryrill::controller
