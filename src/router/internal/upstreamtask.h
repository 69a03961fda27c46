#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "event/loop.h"
#include "http/client.h"
#include "router/types/messages.h"

namespace savoryrill::router {

/// Owns the attempts in progress at upstreams. Not thread safe.
class UpstreamTask
{
public:
  /// Preconditions: both references outlive the task.
  UpstreamTask(http::Client& aClient, event::Mailbox<DispatchMessage>& aDispatch);

  /// Handles a message.
  void handle(UpstreamMessage aMessage);

private:
  void on(StartAttempt& aMessage);
  void on(const CancelAttempt& aMessage);

  http::Client& mClient;
  event::Mailbox<DispatchMessage>& mDispatch;
  std::map<std::uint64_t, std::unique_ptr<http::RequestHandle>> mAttempts;
  std::uint64_t mLastCancelRequest = 0;
  std::map<std::uint64_t, std::unique_ptr<http::RequestHandle>> mCancelRequests;
};

} // namespace savoryrill::router
