#include "http/internal/exchange.h"

#include <utility>

namespace savoryrill::http {

namespace {

class ExchangeImpl final : public Exchange
{
public:
  explicit ExchangeImpl(std::shared_ptr<ExchangeCore> aCore)
    : mCore(std::move(aCore))
  {
  }

  ~ExchangeImpl() override
  {
    if (mCore->state == ResponseState::None) {
      respond(Response{ 500, {}, "The request handler ended without an answer.\n" });
    } else if (mCore->state == ResponseState::Streaming) {
      abort();
    }
  }

  const Request& request() const override { return mCore->request; }

  void respond(Response aResponse) override
  {
    if (mCore->state != ResponseState::None) {
      return;
    }
    mCore->response = std::move(aResponse);
    mCore->state = ResponseState::Buffered;
    wake();
  }

  void startStream(int aStatus, Headers aHeaders) override
  {
    if (mCore->state != ResponseState::None) {
      return;
    }
    mCore->response.status = aStatus;
    mCore->response.headers = std::move(aHeaders);
    mCore->state = ResponseState::Streaming;
    wake();
  }

  void write(std::string_view aData) override
  {
    if (mCore->state == ResponseState::Streaming && !closed()) {
      mCore->buffer.append(aData);
      wake();
    }
  }

  std::size_t unsentBytes() const override { return mCore->buffer.size(); }

  void finish() override { end(ResponseState::Finished); }

  void abort() override { end(ResponseState::Aborted); }

  void drop() override
  {
    if (mCore->state == ResponseState::None) {
      mCore->state = ResponseState::Aborted;
      mCore->callerGone = true;
      wake();
    }
  }

  bool closed() const override { return mCore->closed || mCore->callerGone; }

  void onClosed(std::function<void(bool)> aCallback) override
  {
    mCore->onClosed = std::move(aCallback);
  }

private:
  void end(ResponseState aState)
  {
    if (mCore->state == ResponseState::Streaming) {
      mCore->state = aState;
      wake();
    }
  }

  void wake()
  {
    if (mCore->owner != nullptr) {
      mCore->owner->resume(*mCore);
    }
  }

  std::shared_ptr<ExchangeCore> mCore;
};

} // namespace

std::shared_ptr<Exchange>
makeExchange(std::shared_ptr<ExchangeCore> aCore)
{
  return std::make_shared<ExchangeImpl>(std::move(aCore));
}

} // namespace savoryrill::http
