#include "testing/faultproxy.h"

#include <map>
#include <optional>
#include <utility>

#include "http/server.h"
#include "testing/internal/json.h"
#include "testing/internal/proxylistener.h"

namespace savoryrill::testing {

namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;

Result<ProxyFault>
readFault(const Json::Value& aBody)
{
  const auto kind = fromName<FaultKind>(textMember(aBody, "fault"));
  const auto direction = fromName<Direction>(textMember(aBody, "direction", "both"));
  if (!kind || !direction) {
    return fail(ErrorCode::Malformed, "unknown \"fault\" or \"direction\"");
  }
  ProxyFault fault;
  fault.kind = *kind;
  fault.direction = *direction;
  fault.afterBytes = numberMember(aBody, "after_bytes");
  fault.delay = std::chrono::milliseconds(numberMember(aBody, "delay_ms"));
  fault.count = numberMember(aBody, "count");
  return fault;
}

class FaultProxyImpl final : public FaultProxy
{
public:
  FaultProxyImpl(event::Loop& aLoop, std::unique_ptr<Recorder> aRecorder)
    : mLoop(aLoop)
    , mRecorder(std::move(aRecorder))
  {
  }

  Result<void> start(const FaultProxyOptions& aOptions);

  std::uint16_t controlPort() const override { return mServer->port(); }

  std::uint16_t port(const std::string& aRoute) const override
  {
    const auto found = mListeners.find(aRoute);
    return found == mListeners.end() ? 0 : found->second->port();
  }

  Result<void> setFault(const std::string& aRoute, const ProxyFault& aFault) override
  {
    const auto found = mListeners.find(aRoute);
    if (found == mListeners.end()) {
      return fail(ErrorCode::NotFound, "no route " + aRoute);
    }
    return found->second->setFault(aFault);
  }

  const Recorder& recorder() const override { return *mRecorder; }

private:
  void handle(http::Exchange& aExchange);
  Result<void> apply(const Json::Value& aBody);
  Json::Value describe() const;

  event::Loop& mLoop;
  std::unique_ptr<Recorder> mRecorder;
  std::map<std::string, std::unique_ptr<ProxyListener>> mListeners;
  std::unique_ptr<http::Server> mServer; // last, so that it goes first
};

Result<void>
FaultProxyImpl::start(const FaultProxyOptions& aOptions)
{
  for (const auto& route : aOptions.routes) {
    auto listener = std::make_unique<ProxyListener>(mLoop, route, *mRecorder);
    BOOST_OUTCOME_TRYV(listener->open());
    if (!mListeners.emplace(route.name, std::move(listener)).second) {
      return fail(ErrorCode::InvalidArgument, "two routes are named " + route.name);
    }
  }
  const http::ServerOptions options{ aOptions.control.address,
                                     aOptions.control.port,
                                     {} };
  BOOST_OUTCOME_TRY(
    server, http::Server::create(mLoop, options, [this](const ExchangePtr& aExchange) {
      handle(*aExchange);
    }));
  mServer = std::move(server);
  return outcome::success();
}

void
FaultProxyImpl::handle(http::Exchange& aExchange)
{
  const auto& request = aExchange.request();
  if (request.path == "/healthz") {
    aExchange.respond({ 200, {}, "ok\n" });
    return;
  }
  if (request.path != "/faults") {
    respondProblem(aExchange, 404, "not_found", request.path);
    return;
  }
  if (request.method == "POST") {
    const auto body = parseObject(request.body);
    const auto applied = body ? apply(body.value()) : Result<void>(body.error());
    if (!applied) {
      respondProblem(aExchange, 400, "malformed", applied.error().message);
      return;
    }
  }
  respondJson(aExchange, 200, describe());
}

Result<void>
FaultProxyImpl::apply(const Json::Value& aBody)
{
  BOOST_OUTCOME_TRY(fault, readFault(aBody));
  if (aBody.isMember("route")) {
    return setFault(textMember(aBody, "route"), fault);
  }
  for (const auto& [name, listener] : mListeners) {
    BOOST_OUTCOME_TRYV(listener->setFault(fault));
  }
  return outcome::success();
}

Json::Value
FaultProxyImpl::describe() const
{
  Json::Value answer;
  answer["routes"] = Json::objectValue;
  for (const auto& [name, listener] : mListeners) {
    const auto& fault = listener->fault();
    answer["routes"][name] =
      fields({ { "port", listener->port() },
               { "fault", std::string(nameOf(fault.kind)) },
               { "direction", std::string(nameOf(fault.direction)) },
               { "after_bytes", Json::UInt64(fault.afterBytes) },
               { "delay_ms", Json::Int64(toMs(fault.delay)) },
               { "count", Json::UInt64(fault.count) },
               { "connections", Json::UInt64(listener->connections()) } });
  }
  return answer;
}

} // namespace

Result<std::unique_ptr<FaultProxy>>
FaultProxy::create(event::Loop& aLoop, FaultProxyOptions aOptions)
{
  BOOST_OUTCOME_TRY(recorder, Recorder::create(aOptions.control.recordPath));
  auto proxy = std::make_unique<FaultProxyImpl>(aLoop, std::move(recorder));
  BOOST_OUTCOME_TRYV(proxy->start(aOptions));
  return std::unique_ptr<FaultProxy>(std::move(proxy));
}

} // namespace savoryrill::testing
