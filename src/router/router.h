#pragma once

#include <cstdint>
#include <functional>
#include <json/json.h>
#include <memory>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "base/result.h"
#include "config/settings.h"
#include "event/loop.h"
#include "gossip/statesync.h"
#include "http/client.h"
#include "platform/iplatform.h"
#include "routing/upstreamchoice.h"

namespace savoryrill::router {

/// The objects that a router uses. Precondition: the references outlive the router.
struct RouterDependencies
{
  event::Loop& loop;
  http::Client& client;
  platform::IPlatform& platform;
  std::unique_ptr<gossip::StateSync> sync;
  EventLog& log;
  Metrics& metrics;
  std::uint64_t incarnation = 0; // grows with each start of this host's router
  std::uint64_t randomSeed = 1;
  routing::ChoicePolicy policy = routing::PowerOfTwoChoices{};
};

/// The router process without its operator port: responds to callers, dispatches requests
/// to upstreams and follows the state that controllers publish. Not thread safe.
class Router
{
public:
  /// Fails with Unavailable if the callers' address cannot be bound.
  static Result<std::unique_ptr<Router>> create(RouterDependencies aDependencies,
                                                const config::Settings& aSettings);
  virtual ~Router() = default;

  /// The bound port for callers.
  virtual std::uint16_t port() const = 0;

  /// True if a configuration is in force and no shutdown is in progress.
  virtual bool ready() const = 0;

  /// The bodies of `/admin/v1/status` and `/admin/v1/report`.
  virtual Json::Value status() const = 0;
  virtual Json::Value report() const = 0;

  /// Starts a graceful shutdown: `ready` is false at once, new connections are accepted
  /// until `balancerDelay` has passed, and the router stops when all requests have ended
  /// or been refused at `drainLimit`. Later calls do nothing.
  virtual void drain() = 0;

  /// Ends a shutdown early by refusing all remaining requests; starts one if none is in
  /// progress.
  virtual void stopNow() = 0;

  /// `aDone` runs once, when the router has stopped; its argument is false if requests
  /// had to be refused for the shutdown.
  virtual void onStopped(std::function<void(bool)> aDone) = 0;
};

} // namespace savoryrill::router
