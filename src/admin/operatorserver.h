#pragma once

#include <cstdint>
#include <functional>
#include <json/json.h>
#include <memory>
#include <string>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "base/result.h"
#include "event/loop.h"
#include "http/server.h"

namespace savoryrill::admin {

/// What a daemon offers on its operator port.
struct OperatorHooks
{
  /// `/readyz`: 200 if true, else 503.
  std::function<bool()> ready;
  /// `GET /admin/v1/status`.
  std::function<Json::Value()> status;
  /// `GET /admin/v1/report`: records for `savoryrill report`. Optional.
  std::function<Json::Value()> report;
  /// `POST /admin/v1/drain`: starts a graceful shutdown of this process. Optional.
  std::function<void()> drain;
};

/// The operator port of a daemon: `/healthz` and `/readyz` without a token; `/metrics`
/// and
/// `/admin/v1/*` with `Authorization: Bearer <token>`. `GET
/// /admin/v1/events?after=<sequence>` or `?key=<field>&value=<value>` answers recorded
/// events. Errors are problem JSON. Not thread safe.
class OperatorServer
{
public:
  /// `aTokenFile` holds the token (surrounding white space is dropped). Fails with
  /// InvalidArgument if it cannot be read or is empty, with Unavailable if the address
  /// cannot be bound. Preconditions: all references outlive the result.
  static Result<std::unique_ptr<OperatorServer>> create(event::Loop& aLoop,
                                                        http::ServerOptions aOptions,
                                                        const std::string& aTokenFile,
                                                        std::string aProcess,
                                                        EventLog& aLog,
                                                        Metrics& aMetrics,
                                                        OperatorHooks aHooks);
  virtual ~OperatorServer() = default;

  /// The bound port.
  virtual std::uint16_t port() const = 0;
};

} // namespace savoryrill::admin
