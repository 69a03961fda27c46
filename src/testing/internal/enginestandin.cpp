#include "testing/enginestandin.h"

#include <chrono>
#include <cstdlib>
#include <map>
#include <utility>

#include "http/server.h"
#include "testing/internal/inferenceapi.h"
#include "testing/internal/json.h"
#include "testing/internal/orderdesk.h"

namespace savoryrill::testing {

namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;

constexpr std::string_view kRequestsPath = "/v1/requests/";

/// Differs between restarts of an engine.
std::uint64_t
newIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

class EngineStandInImpl final : public EngineStandIn
{
public:
  EngineStandInImpl(event::Loop& aLoop,
                    EngineOptions aOptions,
                    std::unique_ptr<Recorder> aRecorder,
                    std::unique_ptr<http::Client> aClient)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
    , mRecorder(std::move(aRecorder))
    , mClient(std::move(aClient))
    , mCheckpoints(mOptions.loadTimes.hostCacheMb, mOptions.loadTimes.diskCacheMb)
    , mLoader(mLoop, *mClient, mOptions.loadTimes, mCheckpoints)
    , mPrefixes(mOptions.prefixCache)
    , mBatch(mLoop,
             mOptions.batch,
             mPrefixes,
             [this](const GenerationPtr& aGeneration) { mApi.progressed(aGeneration); })
    , mModels(
        mOptions,
        mLoader,
        mCheckpoints,
        *mRecorder,
        { [this](const auto& aModel, const auto& aAdapter) {
           return mBatch.uses(aModel, aAdapter);
         },
          [this](const auto& aModel) { mPrefixes.evictModel(aModel, mLoop.now()); } })
    , mOrders(mOptions, mModels, *mRecorder)
    , mApi(mLoop, mOptions, mBatch, mModels, *mRecorder)
  {
  }

  Result<void> start();

  std::uint16_t port() const override { return mServer->port(); }
  const Recorder& recorder() const override { return *mRecorder; }

private:
  void handle(const ExchangePtr& aExchange);
  void handleControl(const ExchangePtr& aExchange);
  void handleOrder(const ExchangePtr& aExchange);
  void carryOutOrder(const ExchangePtr& aExchange, Instant aReceived);
  void answerInventory(http::Exchange& aExchange);
  void answerCacheEvents(http::Exchange& aExchange);
  void answerNonsense(http::Exchange& aExchange);
  void setControl(http::Exchange& aExchange);
  void sampleLoad();

  event::Loop& mLoop;
  EngineOptions mOptions;
  std::unique_ptr<Recorder> mRecorder;
  std::unique_ptr<http::Client> mClient;
  CheckpointCache mCheckpoints;
  CheckpointLoader mLoader;
  PrefixCache mPrefixes;
  Batch mBatch;
  ModelStore mModels;
  OrderDesk mOrders;
  InferenceApi mApi;
  std::uint64_t mIncarnation = newIncarnation();
  bool mLeaving = false;
  bool mNonsense = false;
  std::uint64_t mNonsenseAnswers = 0;
  Duration mOrderDelay = Duration::zero();
  std::uint64_t mNextDelayed = 0;
  std::map<std::uint64_t, event::Watch> mDelayed;
  Json::Value mLoadReport;
  event::Watch mSampling;
  std::unique_ptr<http::Server> mServer; // last, so that it goes first
};

Result<void>
EngineStandInImpl::start()
{
  const http::ServerOptions options{ mOptions.listen.address, mOptions.listen.port, {} };
  BOOST_OUTCOME_TRY(
    server, http::Server::create(mLoop, options, [this](const ExchangePtr& aExchange) {
      handle(aExchange);
    }));
  mServer = std::move(server);
  mRecorder->write("engine_started",
                   fields({ { "incarnation", Json::UInt64(mIncarnation) } }));
  for (const auto& model : mOptions.models) {
    mCheckpoints.put(model.model, model.sizeMb, model.locality);
    if (model.loaded) {
      mModels.place(model.model, model.sizeMb);
    }
  }
  sampleLoad();
  mSampling = mLoop.every(mOptions.loadReportPeriod, [this] { sampleLoad(); });
  return outcome::success();
}

void
EngineStandInImpl::sampleLoad()
{
  mLoadReport = fields({ { "running", mBatch.running() },
                         { "waiting", mBatch.waiting() },
                         { "kv_cache_used", mBatch.kvCacheUsed() } });
}

void
EngineStandInImpl::handle(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->request();
  const bool post = request.method == "POST";
  if (request.path == "/testbed/control" && post) {
    setControl(*aExchange);
  } else if (request.path == "/healthz") {
    aExchange->respond({ 200, {}, "ok\n" });
  } else if (mNonsense) {
    answerNonsense(*aExchange);
  } else if (request.path.starts_with("/control/")) {
    handleControl(aExchange);
  } else if (post && (request.path == "/v1/completions" ||
                      request.path == "/v1/chat/completions")) {
    mApi.handle(aExchange, mLeaving && mOptions.refusesWhenLeaving);
  } else if (request.method == "DELETE" && request.path.starts_with(kRequestsPath)) {
    mApi.handleCancel(*aExchange, request.path.substr(kRequestsPath.size()));
  } else {
    respondProblem(*aExchange, 404, "not_found", request.method + " " + request.path);
  }
}

void
EngineStandInImpl::handleControl(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->request();
  const std::string route = request.method + " " + request.path;
  if (route == "POST /control/orders") {
    handleOrder(aExchange);
  } else if (route == "GET /control/inventory") {
    answerInventory(*aExchange);
  } else if (route == "GET /control/cache-events") {
    answerCacheEvents(*aExchange);
  } else if (route == "POST /control/kv/export") {
    mApi.handleExport(*aExchange);
  } else if (route == "POST /control/kv/import") {
    mApi.handleImport(*aExchange);
  } else {
    respondProblem(*aExchange, 404, "not_found", route);
  }
}

void
EngineStandInImpl::handleOrder(const ExchangePtr& aExchange)
{
  const Instant received = mLoop.now();
  if (mOrderDelay <= Duration::zero()) {
    carryOutOrder(aExchange, received);
    return;
  }
  const std::uint64_t id = ++mNextDelayed;
  mDelayed[id] = mLoop.after(mOrderDelay, [this, id, aExchange, received] {
    carryOutOrder(aExchange, received);
    mDelayed.erase(id);
  });
}

void
EngineStandInImpl::carryOutOrder(const ExchangePtr& aExchange, Instant aReceived)
{
  const auto body = parseObject(aExchange->request().body);
  if (!body) {
    respondProblem(*aExchange, 400, "malformed", body.error().message);
    return;
  }
  const auto refusal = mOrders.handle(body.value(), mLoop.now() - aReceived, mLeaving);
  if (refusal) {
    respondProblem(*aExchange, refusal->status, refusal->code, refusal->detail);
    return;
  }
  respondJson(*aExchange, 202, fields({ { "accepted", true } }));
}

void
EngineStandInImpl::answerInventory(http::Exchange& aExchange)
{
  respondJson(aExchange,
              200,
              fields({ { "incarnation", Json::UInt64(mIncarnation) },
                       { "fencing_number", Json::UInt64(mOrders.fencingNumber()) },
                       { "memory_mb", mOptions.memoryMb },
                       { "leaving", mLeaving },
                       { "role", mOrders.role() },
                       { "models", mModels.describe() },
                       { "load", mLoadReport } }));
}

void
EngineStandInImpl::answerCacheEvents(http::Exchange& aExchange)
{
  const auto& query = aExchange.request().query;
  const auto after = query.find("after");
  const std::string text = after == query.end() ? "0" : after->second;
  const std::uint64_t sequence = std::strtoull(text.c_str(), nullptr, 10);
  respondJson(aExchange, 200, mPrefixes.eventsAfter(sequence, mLoop.now()));
}

/// Answers of the right status with the wrong content: no JSON, JSON of another type, and
/// members of the wrong type.
void
EngineStandInImpl::answerNonsense(http::Exchange& aExchange)
{
  static constexpr std::string_view kAnswers[] = {
    "\x01\xff{{{ nonsense", "[1,2,3]", R"({"models":42,"choices":"x","incarnation":"y"})"
  };
  const auto answer = kAnswers[mNonsenseAnswers++ % std::size(kAnswers)];
  aExchange.respond(
    { 200, { { "Content-Type", "application/json" } }, std::string(answer) });
}

void
EngineStandInImpl::setControl(http::Exchange& aExchange)
{
  const auto body = parseObject(aExchange.request().body);
  const double slow = body ? realMember(body.value(), "slow_factor", 1) : 0;
  if (!body || slow <= 0) {
    respondProblem(aExchange,
                   400,
                   "malformed",
                   body ? "\"slow_factor\" must be above 0" : body.error().message);
    return;
  }
  const Json::Value& control = body.value();
  mLeaving = flagMember(control, "leaving", mLeaving);
  mNonsense = flagMember(control, "nonsense", mNonsense);
  mOrderDelay =
    std::chrono::milliseconds(numberMember(control, "order_delay_ms", toMs(mOrderDelay)));
  if (control.isMember("step_ms")) {
    mBatch.setStep(std::chrono::milliseconds(numberMember(control, "step_ms", 10)));
  }
  if (control.isMember("slow_factor")) {
    mBatch.setSlowFactor(slow);
  }
  if (control.isMember("cut_streams_after")) {
    const auto tokens = numberMember(control, "cut_streams_after");
    mApi.setCutAfter(static_cast<std::uint32_t>(tokens));
  }
  mRecorder->write("control_set", fields({ { "control", control } }));
  respondJson(aExchange, 200, fields({ { "set", true } }));
}

} // namespace

Result<std::unique_ptr<EngineStandIn>>
EngineStandIn::create(event::Loop& aLoop, EngineOptions aOptions)
{
  BOOST_OUTCOME_TRY(recorder, Recorder::create(aOptions.listen.recordPath));
  BOOST_OUTCOME_TRY(client, http::Client::create(aLoop));
  auto engine = std::make_unique<EngineStandInImpl>(
    aLoop, std::move(aOptions), std::move(recorder), std::move(client));
  BOOST_OUTCOME_TRYV(engine->start());
  return std::unique_ptr<EngineStandIn>(std::move(engine));
}

} // namespace savoryrill::testing
