#include "upstream/enginecontrol.h"

#include <algorithm>
#include <map>
#include <utility>

#include "upstream/internal/enginejson.h"

namespace savoryrill::upstream {

namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

Error
readError(const http::ClientOutcome& aOutcome)
{
  const Error& error = aOutcome.response.error();
  switch (error.code) {
    case ErrorCode::Timeout:
      return aOutcome.requestSent ? error
                                  : Error{ ErrorCode::Unavailable, error.message };
    case ErrorCode::LimitExceeded:
      return { ErrorCode::Malformed, error.message };
    default:
      return { ErrorCode::Unavailable, error.message };
  }
}

/// Returns the body of a successful read, or the error.
Result<std::string>
bodyOf(const http::ClientOutcome& aOutcome)
{
  if (!aOutcome.response) {
    return outcome::failure(readError(aOutcome));
  }
  const http::Response& response = aOutcome.response.value();
  if (response.status == kOk) {
    return response.body;
  }
  const bool busy =
    response.status >= kFirstServerError || response.status == kTooManyRequests;
  return fail(busy ? ErrorCode::Unavailable : ErrorCode::Malformed,
              "the engine answered " + std::to_string(response.status));
}

OrderOutcome
orderOutcomeOf(const http::ClientOutcome& aOutcome)
{
  if (aOutcome.response) {
    const auto& response = aOutcome.response.value();
    return decodeOrderResponse(response.status, response.body);
  }
  return aOutcome.requestSent ? OrderOutcome::Unknown : OrderOutcome::NotSent;
}

class EngineControlImpl final : public IEngineControl
{
public:
  EngineControlImpl(http::Client& aClient, Duration aTimeout)
    : mClient(aClient)
    , mTimeout(aTimeout)
  {
  }

  void order(std::string aAddress,
             Order aOrder,
             std::function<bool()> aMaySend,
             std::function<void(OrderOutcome)> aDone) override;
  void readInventory(std::string aAddress, Completion<Inventory> aDone) override;
  void readCacheEvents(std::string aAddress,
                       std::uint64_t aAfter,
                       Completion<std::vector<CacheEvent>> aDone) override;

private:
  using RequestDone = std::function<void(http::ClientOutcome)>;

  void get(const std::string& aAddress, const std::string& aPath, RequestDone aDone);
  void start(http::ClientRequest aRequest,
             std::function<bool()> aMaySend,
             RequestDone aDone);

  http::Client& mClient;
  Duration mTimeout;
  std::uint64_t mNextId = 0;
  std::map<std::uint64_t, std::unique_ptr<http::RequestHandle>> mCalls;
};

void
EngineControlImpl::start(http::ClientRequest aRequest,
                         std::function<bool()> aMaySend,
                         RequestDone aDone)
{
  aRequest.totalTimeout = mTimeout;
  aRequest.connectTimeout = std::min(mTimeout, aRequest.connectTimeout);
  const std::uint64_t id = ++mNextId;
  http::ClientCallbacks callbacks;
  callbacks.maySend = std::move(aMaySend);
  callbacks.onDone = [this, id, ended = std::move(aDone)](http::ClientOutcome aOutcome) {
    // The completion may destroy this object, so no member is used after it.
    mCalls.erase(id);
    ended(std::move(aOutcome));
  };
  mCalls[id] = mClient.start(std::move(aRequest), std::move(callbacks));
}

void
EngineControlImpl::get(const std::string& aAddress,
                       const std::string& aPath,
                       RequestDone aDone)
{
  http::ClientRequest request;
  request.url = "http://" + aAddress + aPath;
  start(std::move(request), nullptr, std::move(aDone));
}

void
EngineControlImpl::order(std::string aAddress,
                         Order aOrder,
                         std::function<bool()> aMaySend,
                         std::function<void(OrderOutcome)> aDone)
{
  http::ClientRequest request;
  request.method = "POST";
  request.url = "http://" + aAddress + "/control/orders";
  request.headers["Content-Type"] = "application/json";
  request.body = encodeOrder(aOrder);
  request.freshConnection = true;
  auto ended = [done = std::move(aDone)](const http::ClientOutcome& aOutcome) {
    done(orderOutcomeOf(aOutcome));
  };
  start(std::move(request), std::move(aMaySend), std::move(ended));
}

void
EngineControlImpl::readInventory(std::string aAddress, Completion<Inventory> aDone)
{
  auto ended = [done = std::move(aDone)](const http::ClientOutcome& aOutcome) {
    const auto body = bodyOf(aOutcome);
    done(body ? decodeInventory(body.value()) : outcome::failure(body.error()));
  };
  get(aAddress, "/control/inventory", std::move(ended));
}

void
EngineControlImpl::readCacheEvents(std::string aAddress,
                                   std::uint64_t aAfter,
                                   Completion<std::vector<CacheEvent>> aDone)
{
  auto ended = [aAfter, done = std::move(aDone)](const http::ClientOutcome& aOutcome) {
    const auto body = bodyOf(aOutcome);
    done(body ? decodeCacheEvents(body.value(), aAfter) : outcome::failure(body.error()));
  };
  get(
    aAddress, "/control/cache-events?after=" + std::to_string(aAfter), std::move(ended));
}

} // namespace

std::unique_ptr<IEngineControl>
EngineControl::create(http::Client& aClient, Duration aTimeout)
{
  return std::make_unique<EngineControlImpl>(aClient, aTimeout);
}

} // namespace savoryrill::upstream
