#include "router/internal/callertask.h"

#include <utility>

#include "router/internal/problems.h"
#include "router/internal/requestreader.h"
#include "router/types/routerevents.h"

namespace savoryrill::router {

CallerTask::CallerTask(event::Loop& aLoop,
                       CallerTaskOptions aOptions,
                       Dispatch& aDispatch,
                       EventLog& aLog,
                       Metrics& aMetrics)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mDispatch(aDispatch)
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

Result<std::unique_ptr<CallerTask>>
CallerTask::create(event::Loop& aLoop,
                   CallerTaskOptions aOptions,
                   Dispatch& aDispatch,
                   EventLog& aLog,
                   Metrics& aMetrics)
{
  std::unique_ptr<CallerTask> task(
    new CallerTask(aLoop, std::move(aOptions), aDispatch, aLog, aMetrics));
  BOOST_OUTCOME_TRY(server,
                    http::Server::create(aLoop,
                                         task->mOptions.server,
                                         [self = task.get()](const auto& aExchange) {
                                           self->receive(aExchange);
                                         }));
  task->mServer = std::move(server);
  return std::unique_ptr<CallerTask>(std::move(task));
}

void
CallerTask::handle(const CallerMessage& aMessage)
{
  std::visit([this](const auto& aTyped) { on(aTyped); }, aMessage);
}

void
CallerTask::refuse(http::Exchange& aExchange,
                   const routing::Refusal& aRefusal,
                   const std::string& aId)
{
  const std::string reason(nameOf(aRefusal.reason));
  mMetrics.add("savoryrill_router_refusals_total{reason=\"" + reason + "\"}");
  mLog.write(kRequestRefused,
             { { "request", aId },
               { "reason", reason },
               { "detail", aRefusal.detail },
               { "ran", nameOf(aRefusal.ran) } });
  aExchange.respond(problemResponse(aRefusal, aId));
}

void
CallerTask::receive(const ExchangePtr& aExchange)
{
  const std::uint64_t number = ++mLastNumber;
  const std::string id = mOptions.idPrefix + std::to_string(number);
  mMetrics.add("savoryrill_router_requests_total");
  if (!mConfiguration) {
    const routing::Refusal not_ready{ routing::RefusalReason::NotReady,
                                      "no configuration has been received",
                                      routing::Ran::No,
                                      std::nullopt };
    refuse(*aExchange, not_ready, id);
    return;
  }
  const auto& request = aExchange->request();
  if (request.path == "/v1/models" && request.method == "GET") {
    const auto caller = identifyCaller(request, *mConfiguration);
    if (const auto* refused = std::get_if<routing::Refusal>(&caller)) {
      refuse(*aExchange, *refused, id);
      return;
    }
    aExchange->respond(
      { 200,
        { { "Content-Type", "application/json" }, { "X-Request-Id", id } },
        modelList(*mConfiguration) });
    return;
  }
  auto read = readRequest(request, *mConfiguration, mLoop.now());
  if (const auto* refused = std::get_if<routing::Refusal>(&read)) {
    refuse(*aExchange, *refused, id);
    return;
  }
  auto& valid = std::get<CallerRequest>(read);
  valid.number = number;
  valid.id = id;
  mExchanges[number] = aExchange;
  aExchange->onClosed([this, number, alive = std::weak_ptr(mAlive)](bool aComplete) {
    if (alive.expired()) {
      return;
    }
    const bool open = mExchanges.erase(number) > 0;
    if (open && !aComplete) {
      mDispatch.send(CallerDisconnected{ number });
    }
  });
  mDispatch.send(RequestArrived{ std::move(valid) });
}

CallerTask::ExchangePtr
CallerTask::find(std::uint64_t aRequest) const
{
  const auto found = mExchanges.find(aRequest);
  return found == mExchanges.end() ? nullptr : found->second;
}

void
CallerTask::on(const ConfigurationAdopted& aMessage)
{
  mConfiguration = aMessage.configuration;
}

void
CallerTask::on(const SendResponse& aMessage)
{
  if (const auto exchange = find(aMessage.request)) {
    mExchanges.erase(aMessage.request);
    exchange->respond(aMessage.response);
  }
}

void
CallerTask::on(const StartResponseStream& aMessage)
{
  if (const auto exchange = find(aMessage.request)) {
    exchange->startStream(200, aMessage.headers);
  }
}

void
CallerTask::on(const SendStreamData& aMessage)
{
  const auto exchange = find(aMessage.request);
  if (!exchange) {
    return;
  }
  if (exchange->unsentBytes() + aMessage.data.size() > mOptions.maxUnsentBytes) {
    mExchanges.erase(aMessage.request);
    exchange->abort();
    mDispatch.send(CallerDisconnected{ aMessage.request, true });
    return;
  }
  exchange->write(aMessage.data);
}

void
CallerTask::on(const EndResponseStream& aMessage)
{
  const auto exchange = find(aMessage.request);
  if (!exchange) {
    return;
  }
  mExchanges.erase(aMessage.request);
  if (aMessage.complete) {
    exchange->finish();
  } else {
    exchange->abort();
  }
}

} // namespace savoryrill::router
