#include "link/callset.h"

#include <algorithm>

namespace savoryrill::link {

class CallSet::Running
  : public IExchangeHandler
  , public std::enable_shared_from_this<Running>
{
public:
  Running(CallSet& aSet, WholeCall aCall, Done aDone)
    : mSet(aSet)
    , mCall(std::move(aCall))
    , mDone(std::move(aDone))
  {
  }

  const std::string& key() const { return mCall.key; }

  void start()
  {
    auto lease = mSet.mPool.take(mCall.key, mCall.endpoint, mCall.mostOpen);
    if (!lease.connection) {
      mSet.mLoop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->end(fail(ErrorCode::Unavailable, "no connection can be opened"));
        }
      });
      return;
    }
    mConnection = lease.connection;
    mTimer = mSet.mLoop.after(mCall.timeout, [this] {
      const bool sent = mConnection->requestStarted();
      mConnection->cancel();
      end(fail(sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
               "no response in time"));
    });
    mConnection->sendIf(std::move(mCall.allowed), std::move(mCall.request), *this);
  }

  void abandon()
  {
    mDone = nullptr;
    release(true);
  }

private:
  bool ownsResponse(const ResponseHead&) override { return true; }
  void responseStarted(const ResponseHead& aHead) override { mResponse.head = aHead; }
  void responseData(std::string_view aData) override
  {
    if (mResponse.body.size() + aData.size() > mCall.maxBodyBytes) {
      mConnection->cancel();
      end(fail(ErrorCode::LimitExceeded, "response is too large"));
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
      mSet.mPool.giveBack(mCall.key, mConnection);
      mConnection.reset();
    }
  }

  void end(Result<WholeResponse> aResult)
  {
    const auto self = shared_from_this();
    release(false);
    const auto done = std::exchange(mDone, nullptr);
    mSet.remove(this);
    if (done) {
      done(std::move(aResult));
    }
  }

  CallSet& mSet;
  WholeCall mCall;
  Done mDone;
  std::shared_ptr<Outbound> mConnection;
  event::Watch mTimer;
  WholeResponse mResponse;
};

CallSet::CallSet(event::Loop& aLoop, OutboundPool& aPool)
  : mLoop(aLoop)
  , mPool(aPool)
{
}

CallSet::~CallSet()
{
  for (const auto& call : mRunning) {
    call->abandon();
  }
}

void
CallSet::start(WholeCall aCall, Done aDone)
{
  auto call = std::make_shared<Running>(*this, std::move(aCall), std::move(aDone));
  mRunning.insert(call);
  call->start();
}

void
CallSet::cancel(const std::string& aKey)
{
  std::erase_if(mRunning, [&](const std::shared_ptr<Running>& aCall) {
    if (aCall->key() != aKey) {
      return false;
    }
    aCall->abandon();
    return true;
  });
}

void
CallSet::remove(Running* aCall)
{
  const auto found =
    std::ranges::find_if(mRunning, [&](const std::shared_ptr<Running>& aItem) {
      return aItem.get() == aCall;
    });
  if (found != mRunning.end()) {
    mRunning.erase(found);
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
