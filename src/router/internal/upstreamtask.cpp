#include "router/internal/upstreamtask.h"

#include <utility>

namespace savoryrill::router {

namespace {

constexpr Duration kCancelTimeout = 2s;
// Cancel requests above the limit are dropped: the engine also notices the closed
// connection.
constexpr std::size_t kMaxCancelRequests = 256;

} // namespace

UpstreamTask::UpstreamTask(http::Client& aClient,
                           event::Mailbox<DispatchMessage>& aDispatch)
  : mClient(aClient)
  , mDispatch(aDispatch)
{
}

void
UpstreamTask::handle(UpstreamMessage aMessage)
{
  std::visit([this](auto& aTyped) { on(aTyped); }, aMessage);
}

void
UpstreamTask::on(StartAttempt& aMessage)
{
  const std::uint64_t attempt = aMessage.attempt;
  http::ClientCallbacks callbacks;
  if (aMessage.streamBody) {
    callbacks.onHeaders = [this, attempt](const http::Response& aResponse) {
      mDispatch.send(AttemptHeaders{ attempt, aResponse });
    };
    callbacks.onData = [this, attempt](std::string_view aData) {
      mDispatch.send(AttemptData{ attempt, std::string(aData) });
    };
  }
  callbacks.onDone = [this, attempt](http::ClientOutcome aOutcome) {
    mDispatch.send(AttemptDone{ attempt, std::move(aOutcome) });
    mAttempts.erase(attempt);
  };
  mAttempts[attempt] = mClient.start(std::move(aMessage.request), std::move(callbacks));
}

void
UpstreamTask::on(const CancelAttempt& aMessage)
{
  mAttempts.erase(aMessage.attempt);
  if (aMessage.cancelUrl.empty() || mCancelRequests.size() >= kMaxCancelRequests) {
    return;
  }
  const std::uint64_t cancel = ++mLastCancelRequest;
  http::ClientRequest request;
  request.method = "DELETE";
  request.url = aMessage.cancelUrl;
  request.totalTimeout = kCancelTimeout;
  http::ClientCallbacks callbacks;
  callbacks.onDone = [this, cancel](const http::ClientOutcome&) {
    mCancelRequests.erase(cancel);
  };
  mCancelRequests[cancel] = mClient.start(std::move(request), std::move(callbacks));
}

} // namespace savoryrill::router
