#include "platform/platformclient.h"

#include <algorithm>
#include <map>
#include <utility>

#include "platform/internal/platformjson.h"

namespace savoryrill::platform {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kBodyTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr Duration kMinConnectTimeout = 1ms;

using ResponseResult = Result<http::Response>;

/// True for statuses that state that the platform did not carry out the request.
bool
isRefusal(int aStatus)
{
  return aStatus == kBadRequest || aStatus == kBodyTooLarge ||
         aStatus == kTooManyRequests;
}

Error
unexpectedStatus(int aStatus, bool aIsWrite)
{
  const std::string message =
    "the platform responded with status " + std::to_string(aStatus);
  if (aIsWrite) {
    return { isRefusal(aStatus) ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown,
             message };
  }
  const bool busy = aStatus >= kFirstServerError || aStatus == kTooManyRequests;
  return { busy ? ErrorCode::Unavailable : ErrorCode::Malformed, message };
}

/// Error of a request that ended without a complete response.
Error
transportError(const Error& aError, bool aSent, bool aIsWrite)
{
  if (!aSent) {
    return { ErrorCode::Unavailable, aError.message };
  }
  if (aIsWrite) {
    return { ErrorCode::OutcomeUnknown, aError.message };
  }
  if (aError.code == ErrorCode::LimitExceeded) {
    return { ErrorCode::Malformed, aError.message };
  }
  const bool late = aError.code == ErrorCode::Timeout;
  return { late ? ErrorCode::Timeout : ErrorCode::Unavailable, aError.message };
}

class PlatformClientImpl final : public IPlatform
{
public:
  PlatformClientImpl(http::Client& aClient, PlatformOptions aOptions)
    : mClient(aClient)
    , mOptions(std::move(aOptions))
  {
  }

  void transact(Transaction aTransaction, Completion<TransactionOutcome> aDone) override;
  void readRow(std::string aKey, Completion<std::optional<Row>> aDone) override;
  void readRows(std::string aPrefix, Completion<std::vector<Row>> aDone) override;
  void putObject(std::string aKey, std::string aBytes, Completion<bool> aDone) override;
  void readObject(std::string aKey,
                  Completion<std::optional<std::string>> aDone) override;
  void readHosts(Completion<std::vector<HostEntry>> aDone) override;

private:
  struct PendingRequest
  {
    std::string path;
    http::ClientRequest request;
    bool isWrite = false;
    std::size_t endpoint = 0;
    std::size_t attempts = 0;
    std::function<void(ResponseResult)> done;
    std::unique_ptr<http::RequestHandle> call;
  };

  void get(std::string aPath, std::function<void(ResponseResult)> aDone);
  void start(std::string aPath,
             http::ClientRequest aRequest,
             bool aIsWrite,
             std::function<void(ResponseResult)> aDone);
  void attempt(std::uint64_t aId);
  void ended(std::uint64_t aId, http::ClientOutcome aOutcome);

  http::Client& mClient;
  PlatformOptions mOptions;
  std::size_t mPreferred = 0; // endpoint that was last reached; tried first
  std::uint64_t mNextId = 0;
  std::map<std::uint64_t, PendingRequest> mPending;
};

void
PlatformClientImpl::start(std::string aPath,
                          http::ClientRequest aRequest,
                          bool aIsWrite,
                          std::function<void(ResponseResult)> aDone)
{
  const std::uint64_t id = ++mNextId;
  PendingRequest& pending = mPending[id];
  pending.path = std::move(aPath);
  pending.request = std::move(aRequest);
  pending.request.totalTimeout = mOptions.timeout;
  // Divides the timeout among the endpoints, so that connecting to all of them in turn
  // takes no longer than the time limit of one request.
  pending.request.connectTimeout =
    std::max(kMinConnectTimeout,
             mOptions.timeout / static_cast<Duration::rep>(mOptions.endpoints.size()));
  pending.isWrite = aIsWrite;
  pending.endpoint = mPreferred;
  pending.done = std::move(aDone);
  attempt(id);
}

void
PlatformClientImpl::get(std::string aPath, std::function<void(ResponseResult)> aDone)
{
  start(std::move(aPath), http::ClientRequest{}, false, std::move(aDone));
}

void
PlatformClientImpl::attempt(std::uint64_t aId)
{
  PendingRequest& pending = mPending.at(aId);
  ++pending.attempts;
  http::ClientRequest request = pending.request;
  request.url = "http://" + mOptions.endpoints[pending.endpoint] + pending.path;
  http::ClientCallbacks callbacks;
  callbacks.onDone = [this, aId](http::ClientOutcome aOutcome) {
    ended(aId, std::move(aOutcome));
  };
  pending.call = mClient.start(std::move(request), std::move(callbacks));
}

void
PlatformClientImpl::ended(std::uint64_t aId, http::ClientOutcome aOutcome)
{
  PendingRequest& pending = mPending.at(aId);
  const bool reached = aOutcome.requestSent || aOutcome.response.has_value();
  if (!reached && pending.attempts < mOptions.endpoints.size()) {
    pending.endpoint = (pending.endpoint + 1) % mOptions.endpoints.size();
    attempt(aId);
    return;
  }
  if (reached) {
    mPreferred = pending.endpoint;
  }
  // The completion may destroy this client, so no member is used after it.
  const auto done = std::move(pending.done);
  const bool is_write = pending.isWrite;
  mPending.erase(aId);
  if (aOutcome.response.has_value()) {
    done(std::move(aOutcome.response));
    return;
  }
  const Error& error = aOutcome.response.error();
  done(outcome::failure(transportError(error, aOutcome.requestSent, is_write)));
}

void
PlatformClientImpl::transact(Transaction aTransaction,
                             Completion<TransactionOutcome> aDone)
{
  http::ClientRequest request;
  request.method = "POST";
  request.headers["Content-Type"] = "application/json";
  request.body = encodeTransaction(aTransaction);
  request.freshConnection = true;
  auto finish = [done = std::move(aDone),
                 transaction = std::move(aTransaction)](const ResponseResult& aResult) {
    if (!aResult) {
      done(outcome::failure(aResult.error()));
      return;
    }
    const http::Response& response = aResult.value();
    if (response.status != kOk && response.status != kConflict) {
      done(outcome::failure(unexpectedStatus(response.status, true)));
      return;
    }
    auto decoded = decodeOutcome(response.status, response.body, transaction);
    if (!decoded) {
      done(fail(ErrorCode::OutcomeUnknown, decoded.error().message));
      return;
    }
    done(std::move(decoded));
  };
  start("/table/transact", std::move(request), true, std::move(finish));
}

void
PlatformClientImpl::readRow(std::string aKey, Completion<std::optional<Row>> aDone)
{
  std::string path = "/table/row?key=" + percentEncode(aKey);
  auto finish = [done = std::move(aDone),
                 key = std::move(aKey)](const ResponseResult& aResult) {
    if (!aResult) {
      done(outcome::failure(aResult.error()));
    } else if (aResult.value().status == kNotFound) {
      done(std::optional<Row>());
    } else if (aResult.value().status != kOk) {
      done(outcome::failure(unexpectedStatus(aResult.value().status, false)));
    } else if (auto row = decodeRow(aResult.value().body, key)) {
      done(std::optional<Row>(std::move(row).value()));
    } else {
      done(outcome::failure(row.error()));
    }
  };
  get(std::move(path), std::move(finish));
}

void
PlatformClientImpl::readRows(std::string aPrefix, Completion<std::vector<Row>> aDone)
{
  std::string path = "/table/rows?prefix=" + percentEncode(aPrefix);
  auto finish = [done = std::move(aDone),
                 prefix = std::move(aPrefix)](const ResponseResult& aResult) {
    if (!aResult) {
      done(outcome::failure(aResult.error()));
    } else if (aResult.value().status != kOk) {
      done(outcome::failure(unexpectedStatus(aResult.value().status, false)));
    } else {
      done(decodeRows(aResult.value().body, prefix));
    }
  };
  get(std::move(path), std::move(finish));
}

void
PlatformClientImpl::putObject(std::string aKey,
                              std::string aBytes,
                              Completion<bool> aDone)
{
  http::ClientRequest request;
  request.method = "PUT";
  request.headers["Content-Type"] = "application/octet-stream";
  request.body = std::move(aBytes);
  auto finish = [done = std::move(aDone)](const ResponseResult& aResult) {
    if (!aResult) {
      done(outcome::failure(aResult.error()));
      return;
    }
    const int status = aResult.value().status;
    if (status != kOk && status != kCreated && status != kNoContent) {
      done(outcome::failure(unexpectedStatus(status, true)));
      return;
    }
    done(true);
  };
  start(
    "/objects/" + percentEncode(aKey, "/"), std::move(request), true, std::move(finish));
}

void
PlatformClientImpl::readObject(std::string aKey,
                               Completion<std::optional<std::string>> aDone)
{
  auto finish = [done = std::move(aDone)](const ResponseResult& aResult) {
    if (!aResult) {
      done(outcome::failure(aResult.error()));
    } else if (aResult.value().status == kNotFound) {
      done(std::optional<std::string>());
    } else if (aResult.value().status != kOk) {
      done(outcome::failure(unexpectedStatus(aResult.value().status, false)));
    } else {
      done(std::optional<std::string>(aResult.value().body));
    }
  };
  get("/objects/" + percentEncode(aKey, "/"), std::move(finish));
}

void
PlatformClientImpl::readHosts(Completion<std::vector<HostEntry>> aDone)
{
  auto finish = [done = std::move(aDone)](const ResponseResult& aResult) {
    if (!aResult) {
      done(outcome::failure(aResult.error()));
    } else if (aResult.value().status != kOk) {
      done(outcome::failure(unexpectedStatus(aResult.value().status, false)));
    } else {
      done(decodeHosts(aResult.value().body));
    }
  };
  get("/hosts", std::move(finish));
}

} // namespace

Result<std::unique_ptr<IPlatform>>
PlatformClient::create(http::Client& aClient, PlatformOptions aOptions)
{
  if (aOptions.endpoints.empty()) {
    return fail(ErrorCode::InvalidArgument, "no platform endpoints are set");
  }
  return std::unique_ptr<IPlatform>(
    std::make_unique<PlatformClientImpl>(aClient, std::move(aOptions)));
}

} // namespace savoryrill::platform
