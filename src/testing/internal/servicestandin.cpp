#include "testing/servicestandin.h"

#include <cstdio>
#include <map>
#include <string>
#include <utility>

#include "http/server.h"
#include "testing/internal/json.h"
#include "testing/tokens.h"

namespace savoryrill::testing {

namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;

std::string
bookingOf(const http::Request& aRequest)
{
  const auto header = aRequest.header("X-Booking-Id");
  if (!header.empty()) {
    return std::string(header);
  }
  const auto body = parseObject(aRequest.body);
  return body ? textMember(body.value(), "booking") : std::string();
}

std::string
digestOf(const std::string& aBody)
{
  char text[20];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(fnv1a(aBody)));
  return text;
}

class ServiceStandInImpl final : public ServiceStandIn
{
public:
  ServiceStandInImpl(event::Loop& aLoop,
                     Duration aDelay,
                     std::unique_ptr<Recorder> aRecorder)
    : mLoop(aLoop)
    , mDelay(aDelay)
    , mRecorder(std::move(aRecorder))
  {
  }

  Result<void> start(const ListenOptions& aListen)
  {
    const http::ServerOptions options{ aListen.address, aListen.port, {} };
    BOOST_OUTCOME_TRY(
      server, http::Server::create(mLoop, options, [this](const ExchangePtr& aExchange) {
        handle(aExchange);
      }));
    mServer = std::move(server);
    return outcome::success();
  }

  std::uint16_t port() const override { return mServer->port(); }
  const Recorder& recorder() const override { return *mRecorder; }

private:
  struct Call
  {
    std::uint64_t number = 0;
    std::string booking;
    std::uint64_t runs = 0; // of the booking, this one included
    event::Watch timer;
  };

  void handle(const ExchangePtr& aExchange);
  void begin(const ExchangePtr& aExchange);
  void end(const ExchangePtr& aExchange, const Call& aCall);
  void setFaults(http::Exchange& aExchange);
  Json::Value describe(const http::Request& aRequest, std::uint64_t aNumber) const;

  event::Loop& mLoop;
  Duration mDelay;
  std::unique_ptr<Recorder> mRecorder;
  std::uint64_t mLoseAnswers = 0;
  std::uint64_t mFailBefore = 0;
  std::uint64_t mCalls = 0;
  std::map<std::string, std::uint64_t> mRuns; // by booking
  std::map<std::uint64_t, Call> mInProgress;  // by number
  std::unique_ptr<http::Server> mServer;      // last, so that it goes first
};

void
ServiceStandInImpl::handle(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->request();
  if (request.path == "/testbed/faults") {
    setFaults(*aExchange);
  } else if (request.path == "/healthz") {
    aExchange->respond({ 200, {}, "ok\n" });
  } else if (mFailBefore > 0) {
    --mFailBefore;
    mRecorder->write("call_refused", describe(request, 0));
    respondProblem(*aExchange, 503, "not_run", "the service refuses calls");
  } else {
    begin(aExchange);
  }
}

Json::Value
ServiceStandInImpl::describe(const http::Request& aRequest, std::uint64_t aNumber) const
{
  return fields({ { "call", Json::UInt64(aNumber) },
                  { "method", aRequest.method },
                  { "path", aRequest.path },
                  { "booking", bookingOf(aRequest) },
                  { "idempotency_key", std::string(aRequest.header("Idempotency-Key")) },
                  { "request_id", std::string(aRequest.header("X-Request-Id")) },
                  { "body_digest", digestOf(aRequest.body) } });
}

void
ServiceStandInImpl::begin(const ExchangePtr& aExchange)
{
  const std::uint64_t number = ++mCalls;
  mRecorder->write("call_begin", describe(aExchange->request(), number));
  Call& call = mInProgress[number];
  call.number = number;
  call.booking = bookingOf(aExchange->request());
  call.runs = ++mRuns[call.booking];
  if (mDelay <= Duration::zero()) {
    end(aExchange, call);
    mInProgress.erase(number);
    return;
  }
  call.timer = mLoop.after(mDelay, [this, aExchange, number] {
    end(aExchange, mInProgress.at(number));
    mInProgress.erase(number);
  });
}

void
ServiceStandInImpl::end(const ExchangePtr& aExchange, const Call& aCall)
{
  const bool loses = mLoseAnswers > 0;
  const bool gone = aExchange->closed();
  mRecorder->write("call_end",
                   fields({ { "call", Json::UInt64(aCall.number) },
                            { "booking", aCall.booking },
                            { "number", Json::UInt64(aCall.runs) },
                            { "answer_lost", loses || gone } }));
  if (loses) {
    --mLoseAnswers;
    aExchange->drop();
    return;
  }
  respondJson(
    *aExchange,
    200,
    fields({ { "booking", aCall.booking }, { "number", Json::UInt64(aCall.runs) } }));
}

void
ServiceStandInImpl::setFaults(http::Exchange& aExchange)
{
  const auto body = parseObject(aExchange.request().body);
  if (!body) {
    respondProblem(aExchange, 400, "malformed", body.error().message);
    return;
  }
  const Json::Value& faults = body.value();
  mLoseAnswers = numberMember(faults, "lose_answers", mLoseAnswers);
  mFailBefore = numberMember(faults, "fail_before", mFailBefore);
  mDelay = std::chrono::milliseconds(numberMember(faults, "delay_ms", toMs(mDelay)));
  mRecorder->write("faults_set", fields({ { "faults", faults } }));
  respondJson(aExchange, 200, fields({ { "set", true } }));
}

} // namespace

Result<std::unique_ptr<ServiceStandIn>>
ServiceStandIn::create(event::Loop& aLoop, ServiceOptions aOptions)
{
  BOOST_OUTCOME_TRY(recorder, Recorder::create(aOptions.listen.recordPath));
  auto service =
    std::make_unique<ServiceStandInImpl>(aLoop, aOptions.delay, std::move(recorder));
  BOOST_OUTCOME_TRYV(service->start(aOptions.listen));
  return std::unique_ptr<ServiceStandIn>(std::move(service));
}

} // namespace savoryrill::testing
