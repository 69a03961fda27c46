#include "link/requestclient.h"

#include <algorithm>

namespace savoryrill::link {

class RequestClient::PendingRequest
  : public IExchangeHandler
  , public std::enable_shared_from_this<PendingRequest>
{
public:
  PendingRequest(RequestClient& aClient, BufferedRequest aRequest, Done aDone)
    : mClient(aClient)
    , mRequest(std::move(aRequest))
    , mDone(std::move(aDone))
  {
  }

  const std::string& key() const { return mRequest.key; }

  void start()
  {
    auto pooled =
      mClient.mPool.take(mRequest.key, mRequest.endpoint, mRequest.maxConnections);
    if (!pooled.connection) {
      const bool full = mClient.mPool.open(mRequest.key) >= mRequest.maxConnections;
      std::string reason = full ? "all " + std::to_string(mRequest.maxConnections) +
                                    " connections of " + mRequest.key + " are in use"
                                : "no connection is available";
      mClient.mLoop.post([weak = weak_from_this(), reason = std::move(reason)] {
        if (const auto self = weak.lock()) {
          self->end(fail(ErrorCode::Unavailable, reason));
        }
      });
      return;
    }
    mConnection = pooled.connection;
    mTimer = mClient.mLoop.after(mRequest.timeout, [this] {
      const bool sent = mConnection->requestStarted();
      mConnection->cancel();
      if (sent) {
        // What has cut this connection off from its peer has probably cut off the idle
        // ones, too; each would cost the next request its whole timeout.
        mClient.mPool.closeIdle(mRequest.key);
      }
      end(fail(sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
               "no complete response within the timeout"));
    });
    mConnection->sendIfPermitted(
      std::move(mRequest.isPermitted), std::move(mRequest.request), *this);
  }

  void cancel()
  {
    mDone = nullptr;
    release(true);
  }

private:
  bool matchesResponse(const ResponseHead&) override { return true; }
  void responseStarted(const ResponseHead& aHead) override { mResponse.head = aHead; }
  void responseData(std::string_view aData) override
  {
    if (mResponse.body.size() + aData.size() > mRequest.maxBodyBytes) {
      mConnection->cancel();
      end(fail(ErrorCode::LimitExceeded, "response body is above the limit"));
      return;
    }
    mResponse.body.append(aData);
  }
  void responseFinished() override { end(std::move(mResponse)); }
  void exchangeFailed(ExchangeFault aFault) override
  {
    const bool sent =
      aFault == ExchangeFault::Broken || aFault == ExchangeFault::Malformed;
    end(fail(sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
             "connection failed: " + std::string(nameOf(aFault))));
  }

  void release(bool aCancel)
  {
    mTimer.reset();
    if (mConnection) {
      if (aCancel) {
        mConnection->cancel();
      }
      mClient.mPool.giveBack(mRequest.key, mConnection);
      mConnection.reset();
    }
  }

  void end(Result<BufferedResponse> aResult)
  {
    const auto self = shared_from_this();
    release(false);
    const auto done = std::exchange(mDone, nullptr);
    mClient.remove(this);
    if (done) {
      done(std::move(aResult));
    }
  }

  RequestClient& mClient;
  BufferedRequest mRequest;
  Done mDone;
  std::shared_ptr<OutboundConnection> mConnection;
  event::Watch mTimer;
  BufferedResponse mResponse;
};

RequestClient::RequestClient(event::Loop& aLoop, OutboundPool& aPool)
  : mLoop(aLoop)
  , mPool(aPool)
{
}

RequestClient::~RequestClient()
{
  for (const auto& request : mPending) {
    request->cancel();
  }
}

void
RequestClient::start(BufferedRequest aRequest, Done aDone)
{
  auto request =
    std::make_shared<PendingRequest>(*this, std::move(aRequest), std::move(aDone));
  mPending.insert(request);
  request->start();
}

void
RequestClient::cancel(const std::string& aKey)
{
  std::erase_if(mPending, [&](const std::shared_ptr<PendingRequest>& aRequest) {
    if (aRequest->key() != aKey) {
      return false;
    }
    aRequest->cancel();
    return true;
  });
}

void
RequestClient::remove(PendingRequest* aRequest)
{
  const auto found =
    std::ranges::find_if(mPending, [&](const std::shared_ptr<PendingRequest>& aItem) {
      return aItem.get() == aRequest;
    });
  if (found != mPending.end()) {
    mPending.erase(found);
  }
}

std::string
jsonRequest(std::string_view aMethod,
            std::string_view aTarget,
            const Endpoint& aEndpoint,
            std::string_view aBody,
            const HeaderList& aHeaders)
{
  std::string text;
  text.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\nHost: ");
  text.append(toString(aEndpoint)).append("\r\n");
  for (const auto& header : aHeaders) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!aBody.empty()) {
    text.append("Content-Type: application/json\r\nContent-Length: ");
    text.append(std::to_string(aBody.size())).append("\r\n");
  }
  text.append("\r\n").append(aBody);
  return text;
}

} // namespace savoryrill::link
