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
  /// FIFO had the lowest tail of cold-start times (docs/decisions/0002).
  placement::LoadPolicy loadOrder = placement::FirstInFirstOut{};
  /// Time since 1970 in UTC, for pre-warm times and report buckets; no other decision
  /// uses it. The default reads the system clock.
  std::function<Duration()> wallTime;
};

/// The controller of one host: follows the configuration, owns upstreams, assigns and
/// loads models, and publishes what routers need. Runs on the loop. Not thread safe.
class Controller
{
public:
  /// Preconditions: all references outlive the result. Never fails; what cannot be
  /// reached yet is tried again.
  static std::unique_ptr<Controller> create(event::Loop& aLoop,
                                            const config::Settings& aSettings,
                                            platform::IPlatform& aPlatform,
                                            upstream::IEngineControl& aEngines,
                                            gossip::StateSync& aSync,
                                            EventLog& aLog,
                                            Metrics& aMetrics,
                                            ControllerOptions aOptions);
  virtual ~Controller() = default;

  /// True once a configuration is in force and until `drain`.
  virtual bool ready() const = 0;

  /// Content of `/admin/v1/status`.
  virtual Json::Value status() const = 0;

  /// Records of `/admin/v1/report`.
  virtual Json::Value report() const = 0;

  /// Starts the graceful shutdown: hands over all upstreams, tells peers that this
  /// process leaves, and calls `aDone` once that is finished or the drain limit of the
  /// settings has passed; its argument is true if everything was handed over. Later calls
  /// have no effect.
  virtual void drain(std::function<void(bool)> aDone) = 0;
};

} // namespace savoryrill::controller
