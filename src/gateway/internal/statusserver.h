#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/loop.h"
#include "link/listener.h"

namespace savoryrill::gateway {

/// Responds to requests for one path with a status and text, for the load balancer and
/// the metrics collector. Not thread safe.
class StatusServer : private link::IInboundHandler
{
public:
  struct Response
  {
    int status = 200;
    std::string text;
  };

  /// Fails with Unavailable if the address cannot be bound. An empty path matches every
  /// path. `aRespond` makes the response to each matching request.
  static Result<std::unique_ptr<StatusServer>> create(event::Loop& aLoop,
                                                      const link::Endpoint& aEndpoint,
                                                      std::string aPath,
                                                      std::function<Response()> aRespond);
  ~StatusServer() override = default;

  std::size_t connections() const { return mListener->connections(); }

private:
  StatusServer(std::string aPath, std::function<Response()> aRespond);

  void requestReceived(const std::shared_ptr<link::InboundConnection>& aConnection,
                       link::RequestMessage aRequest) override;
  void requestRejected(int, std::string_view) override {}
  const link::InboundLimits& limits() const override { return mLimits; }
  bool closesConnections() const override { return false; }

  std::string mPath;
  std::function<Response()> mRespond;
  link::InboundLimits mLimits;
  std::unique_ptr<link::Listener> mListener;
};

} // namespace savoryrill::gateway
