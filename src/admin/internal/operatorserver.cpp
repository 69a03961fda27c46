#include "admin/operatorserver.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <openssl/crypto.h>
#include <utility>
#include <vector>

#include "admin/types/adminevents.h"
#include "base/jsontext.h"

namespace savoryrill::admin {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kBearer = "Bearer ";
constexpr const char* kWhiteSpace = " \t\r\n";

http::Response
text(int aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "text/plain; charset=utf-8" } },
           std::move(aBody) };
}

http::Response
json(int aStatus, const Json::Value& aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           toCompactJson(aBody) + "\n" };
}

/// Problem details of RFC 9457.
http::Response
problem(int aStatus, const std::string& aTitle)
{
  Json::Value body(Json::objectValue);
  body["type"] = "about:blank";
  body["title"] = aTitle;
  body["status"] = aStatus;
  auto response = json(aStatus, body);
  response.headers["Content-Type"] = "application/problem+json";
  return response;
}

std::string
trimmed(const std::string& aText)
{
  const auto first = aText.find_first_not_of(kWhiteSpace);
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(kWhiteSpace) - first + 1);
}

Result<std::string>
readToken(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  const std::string content{ std::istreambuf_iterator<char>(file), {} };
  if (!file) {
    return fail(ErrorCode::InvalidArgument, "cannot read operator token file " + aPath);
  }
  std::string token = trimmed(content);
  if (token.empty()) {
    return fail(ErrorCode::InvalidArgument, "operator token file " + aPath + " is empty");
  }
  return token;
}

class OperatorServerImpl final : public OperatorServer
{
public:
  OperatorServerImpl(std::string aToken,
                     std::string aProcess,
                     EventLog& aLog,
                     Metrics& aMetrics,
                     OperatorHooks aHooks)
    : mToken(std::move(aToken))
    , mProcess(std::move(aProcess))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mHooks(std::move(aHooks))
  {
  }

  Result<void> listen(event::Loop& aLoop, http::ServerOptions aOptions)
  {
    BOOST_OUTCOME_TRY(
      server,
      http::Server::create(aLoop, std::move(aOptions), [this](const auto& aExchange) {
        aExchange->respond(answer(aExchange->request()));
      }));
    mServer = std::move(server);
    return outcome::success();
  }

  std::uint16_t port() const override { return mServer->port(); }

private:
  struct Route
  {
    std::string_view method;
    std::string_view path;
    bool needsToken;
    http::Response (OperatorServerImpl::*handle)(const http::Request&);
  };
  static const std::vector<Route>& routes();

  http::Response answer(const http::Request& aRequest);
  bool hasToken(const http::Request& aRequest) const;

  http::Response health(const http::Request& aRequest);
  http::Response readiness(const http::Request& aRequest);
  http::Response metrics(const http::Request& aRequest);
  http::Response status(const http::Request& aRequest);
  http::Response events(const http::Request& aRequest);
  http::Response report(const http::Request& aRequest);
  http::Response drain(const http::Request& aRequest);

  std::string mToken;
  std::string mProcess;
  EventLog& mLog;
  Metrics& mMetrics;
  OperatorHooks mHooks;
  std::unique_ptr<http::Server> mServer;
};

const std::vector<OperatorServerImpl::Route>&
OperatorServerImpl::routes()
{
  using Self = OperatorServerImpl;
  static const std::vector<Route> sRoutes{
    { "GET", "/healthz", false, &Self::health },
    { "GET", "/readyz", false, &Self::readiness },
    { "GET", "/metrics", true, &Self::metrics },
    { "GET", "/admin/v1/status", true, &Self::status },
    { "GET", "/admin/v1/events", true, &Self::events },
    { "GET", "/admin/v1/report", true, &Self::report },
    { "POST", "/admin/v1/drain", true, &Self::drain },
  };
  return sRoutes;
}

http::Response
OperatorServerImpl::answer(const http::Request& aRequest)
{
  const auto& all = routes();
  const auto route = std::find_if(all.begin(), all.end(), [&](const Route& aRoute) {
    return aRoute.path == aRequest.path;
  });
  // Unknown paths need the token too, so that they tell nothing to others.
  if ((route == all.end() || route->needsToken) && !hasToken(aRequest)) {
    mLog.write(kOperatorTokenRefused,
               { { "address", aRequest.remoteAddress }, { "path", aRequest.path } });
    auto refusal = problem(kUnauthorized, "A valid operator token is required.");
    refusal.headers["WWW-Authenticate"] = "Bearer";
    return refusal;
  }
  if (route == all.end()) {
    return problem(kNotFound, "There is no such operator resource.");
  }
  if (route->method != aRequest.method) {
    auto refusal = problem(kMethodNotAllowed, "The resource has another method.");
    refusal.headers["Allow"] = std::string(route->method);
    return refusal;
  }
  return (this->*route->handle)(aRequest);
}

bool
OperatorServerImpl::hasToken(const http::Request& aRequest) const
{
  const std::string_view value = aRequest.header("Authorization");
  if (!value.starts_with(kBearer)) {
    return false;
  }
  const std::string_view token = value.substr(kBearer.size());
  // In constant time, so that answer times do not reveal how much of a guess is right.
  return token.size() == mToken.size() &&
         CRYPTO_memcmp(token.data(), mToken.data(), token.size()) == 0;
}

http::Response
OperatorServerImpl::health(const http::Request&)
{
  return text(kOk, "ok\n");
}

http::Response
OperatorServerImpl::readiness(const http::Request&)
{
  const bool ready = mHooks.ready && mHooks.ready();
  return ready ? text(kOk, "ready\n") : text(kServiceUnavailable, "not ready\n");
}

http::Response
OperatorServerImpl::metrics(const http::Request&)
{
  auto response = text(kOk, mMetrics.renderPrometheus());
  response.headers["Content-Type"] = "text/plain; version=0.0.4; charset=utf-8";
  return response;
}

http::Response
OperatorServerImpl::status(const http::Request&)
{
  return mHooks.status ? json(kOk, mHooks.status())
                       : problem(kNotFound, "This process has no status.");
}

http::Response
OperatorServerImpl::report(const http::Request&)
{
  return mHooks.report ? json(kOk, mHooks.report())
                       : problem(kNotFound, "This process has no report.");
}

http::Response
OperatorServerImpl::drain(const http::Request& aRequest)
{
  if (!mHooks.drain) {
    return problem(kNotFound, "This process cannot be drained.");
  }
  mLog.write(kOperatorDrain, { { "address", aRequest.remoteAddress } });
  mHooks.drain();
  Json::Value body(Json::objectValue);
  body["draining"] = true;
  return json(kAccepted, body);
}

http::Response
OperatorServerImpl::events(const http::Request& aRequest)
{
  const auto& query = aRequest.query;
  const auto key = query.find("key");
  const auto value = query.find("value");
  const auto after = query.find("after");
  if ((key == query.end()) != (value == query.end())) {
    return problem(kBadRequest, "key and value belong together.");
  }
  std::uint64_t above = 0;
  if (after != query.end()) {
    const char* end = after->second.data() + after->second.size();
    const auto parsed = std::from_chars(after->second.data(), end, above);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return problem(kBadRequest, "after is not a sequence number.");
    }
  }
  const auto found = key == query.end() ? mLog.eventsAfter(above)
                                        : mLog.eventsWith(key->second, value->second);
  // The events are already JSON; joining them avoids to parse them again.
  std::string list;
  for (const auto& event : found) {
    if (event.sequence > above) {
      list += (list.empty() ? "" : ",") + toJson(event, mProcess);
    }
  }
  auto response = json(kOk, Json::Value());
  response.body = "{\"events\":[" + list + "]}\n";
  return response;
}

} // namespace

Result<std::unique_ptr<OperatorServer>>
OperatorServer::create(event::Loop& aLoop,
                       http::ServerOptions aOptions,
                       const std::string& aTokenFile,
                       std::string aProcess,
                       EventLog& aLog,
                       Metrics& aMetrics,
                       OperatorHooks aHooks)
{
  BOOST_OUTCOME_TRY(token, readToken(aTokenFile));
  auto server = std::make_unique<OperatorServerImpl>(
    token, std::move(aProcess), aLog, aMetrics, std::move(aHooks));
  BOOST_OUTCOME_TRYV(server->listen(aLoop, std::move(aOptions)));
  return std::unique_ptr<OperatorServer>(std::move(server));
}

} // namespace savoryrill::admin
