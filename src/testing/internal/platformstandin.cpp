#include "testing/platformstandin.h"

#include <algorithm>
#include <map>
#include <utility>

#include "http/server.h"
#include "testing/internal/hostlist.h"
#include "testing/internal/json.h"
#include "testing/internal/tablejson.h"
#include "testing/internal/tablestore.h"
#include "testing/internal/weightstore.h"

namespace savoryrill::testing {

namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;

constexpr std::string_view kObjectsPath = "/objects/";

struct Faults
{
  bool tableDown = false;
  bool objectsDown = false;
  bool hostsDown = false;
  Duration tableDelay = Duration::zero();
  std::uint64_t loseWriteAnswers = 0;
  std::string loseWritesMatching;
};

class PlatformStandInImpl final : public PlatformStandIn
{
public:
  PlatformStandInImpl(event::Loop& aLoop,
                      PlatformOptions aOptions,
                      std::unique_ptr<Recorder> aRecorder)
    : mLoop(aLoop)
    , mRecorder(std::move(aRecorder))
    , mWeights(aLoop, aOptions.weights, *mRecorder)
    , mHosts(std::move(aOptions.hosts), aOptions.hostLag)
  {
  }

  Result<void> start(const ListenOptions& aListen)
  {
    http::ServerOptions options{ aListen.address, aListen.port, {} };
    options.limits.maxBodyBytes = 16 * 1024 * 1024;
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
  void handle(const ExchangePtr& aExchange);
  void handleTable(const ExchangePtr& aExchange);
  void serveTable(const ExchangePtr& aExchange);
  void transact(const ExchangePtr& aExchange);
  bool losesAnswer(const platform::Transaction& aTransaction, bool aCommitted);
  void handleObjects(const ExchangePtr& aExchange);
  void handleFetch(const ExchangePtr& aExchange);
  void setHosts(const ExchangePtr& aExchange);
  void setFaults(const ExchangePtr& aExchange);

  event::Loop& mLoop;
  std::unique_ptr<Recorder> mRecorder;
  TableStore mTable;
  WeightStore mWeights;
  HostList mHosts;
  std::map<std::string, std::string, std::less<>> mObjects;
  Faults mFaults;
  std::uint64_t mNextDelayed = 0;
  std::map<std::uint64_t, event::Watch> mDelayed;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::unique_ptr<http::Server> mServer; // last, so that it goes first
};

void
PlatformStandInImpl::handle(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->request();
  if (request.path.starts_with("/table/")) {
    handleTable(aExchange);
  } else if (request.path.starts_with(kObjectsPath)) {
    handleObjects(aExchange);
  } else if (request.path == "/hosts" && request.method == "GET") {
    if (mFaults.hostsDown) {
      respondProblem(*aExchange, 503, "down", "the host list is down");
      return;
    }
    respondJson(*aExchange, 200, toJson(mHosts.visible(mLoop.now())));
  } else if (request.path == "/weights/fetch" && request.method == "POST") {
    handleFetch(aExchange);
  } else if (request.path == "/testbed/hosts" && request.method == "POST") {
    setHosts(aExchange);
  } else if (request.path == "/testbed/faults" && request.method == "POST") {
    setFaults(aExchange);
  } else if (request.path == "/healthz") {
    aExchange->respond({ 200, {}, "ok\n" });
  } else {
    respondProblem(*aExchange, 404, "not_found", request.method + " " + request.path);
  }
}

void
PlatformStandInImpl::handleTable(const ExchangePtr& aExchange)
{
  if (mFaults.tableDown) {
    respondProblem(*aExchange, 503, "down", "the table is down");
    return;
  }
  if (mFaults.tableDelay <= Duration::zero()) {
    serveTable(aExchange);
    return;
  }
  // A call that its caller has given up in the meantime still takes effect.
  const std::uint64_t id = ++mNextDelayed;
  mDelayed[id] = mLoop.after(mFaults.tableDelay, [this, id, aExchange] {
    serveTable(aExchange);
    mDelayed.erase(id);
  });
}

void
PlatformStandInImpl::serveTable(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->request();
  const auto parameter = [&](const char* aName) {
    const auto found = request.query.find(aName);
    return found == request.query.end() ? std::string() : found->second;
  };
  if (request.path == "/table/transact" && request.method == "POST") {
    transact(aExchange);
  } else if (request.path == "/table/row" && request.method == "GET") {
    const auto row = mTable.row(parameter("key"), mLoop.now());
    if (row) {
      respondJson(*aExchange, 200, toJson(*row));
    } else {
      respondProblem(*aExchange, 404, "no_row", parameter("key"));
    }
  } else if (request.path == "/table/rows" && request.method == "GET") {
    Json::Value answer;
    answer["rows"] = Json::arrayValue;
    for (const auto& row : mTable.rows(parameter("prefix"), mLoop.now())) {
      answer["rows"].append(toJson(row));
    }
    respondJson(*aExchange, 200, answer);
  } else {
    respondProblem(*aExchange, 404, "not_found", request.method + " " + request.path);
  }
}

void
PlatformStandInImpl::transact(const ExchangePtr& aExchange)
{
  const auto body = parseObject(aExchange->request().body);
  const auto transaction =
    body ? readTransaction(body.value()) : Result<platform::Transaction>(body.error());
  if (!transaction) {
    respondProblem(*aExchange, 400, "malformed", transaction.error().message);
    return;
  }
  const auto result = mTable.transact(transaction.value(), mLoop.now());
  const bool lost = losesAnswer(transaction.value(), result.committed);
  auto entry = toJson(result);
  entry["checks"] = body.value()["checks"];
  entry["writes"] = body.value()["writes"];
  entry["answer_lost"] = lost || aExchange->closed();
  mRecorder->write("transaction", entry);
  if (lost) {
    aExchange->drop();
    return;
  }
  respondJson(*aExchange, result.committed ? 200 : 409, toJson(result));
}

bool
PlatformStandInImpl::losesAnswer(const platform::Transaction& aTransaction,
                                 bool aCommitted)
{
  const auto matches = [&](const platform::RowWrite& aWrite) {
    return aWrite.key.starts_with(mFaults.loseWritesMatching);
  };
  const auto& writes = aTransaction.writes;
  if (!aCommitted || mFaults.loseWriteAnswers == 0 ||
      std::none_of(writes.begin(), writes.end(), matches)) {
    return false;
  }
  --mFaults.loseWriteAnswers;
  return true;
}

void
PlatformStandInImpl::handleObjects(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->request();
  const std::string key = request.path.substr(kObjectsPath.size());
  if (mFaults.objectsDown) {
    respondProblem(*aExchange, 503, "down", "the object store is down");
  } else if (key.empty()) {
    respondProblem(*aExchange, 400, "malformed", "the object key is empty");
  } else if (request.method == "PUT") {
    mObjects[key] = request.body;
    mRecorder->write(
      "object_put",
      fields({ { "key", key }, { "bytes", Json::UInt64(request.body.size()) } }));
    respondJson(*aExchange, 200, fields({ { "stored", true } }));
  } else if (request.method == "GET") {
    const auto found = mObjects.find(key);
    if (found == mObjects.end()) {
      respondProblem(*aExchange, 404, "no_object", key);
      return;
    }
    aExchange->respond(
      { 200, { { "Content-Type", "application/octet-stream" } }, found->second });
  } else {
    respondProblem(*aExchange, 405, "not_allowed", request.method);
  }
}

void
PlatformStandInImpl::handleFetch(const ExchangePtr& aExchange)
{
  const auto body = parseObject(aExchange->request().body);
  const Json::Value order = body ? body.value() : Json::Value(Json::objectValue);
  const auto kind = fromName<FetchClass>(textMember(order, "class"));
  const double size_mb = realMember(order, "size_mb", -1);
  const std::string model = textMember(order, "model");
  if (!kind || size_mb < 0 || model.empty()) {
    respondProblem(
      *aExchange, 400, "malformed", "a fetch needs \"model\", \"size_mb\" and \"class\"");
    return;
  }
  const std::uint64_t id = mWeights.fetch(model, size_mb, *kind, [aExchange, model] {
    respondJson(*aExchange, 200, fields({ { "model", model }, { "fetched", true } }));
  });
  aExchange->onClosed([this, id, alive = std::weak_ptr(mAlive)](bool aWhole) {
    if (!aWhole && !alive.expired()) {
      mWeights.cancel(id);
    }
  });
}

void
PlatformStandInImpl::setHosts(const ExchangePtr& aExchange)
{
  const auto body = parseObject(aExchange->request().body);
  auto hosts = body ? readHosts(body.value())
                    : Result<std::vector<platform::HostEntry>>(body.error());
  if (!hosts) {
    respondProblem(*aExchange, 400, "malformed", hosts.error().message);
    return;
  }
  mRecorder->write("hosts_set", toJson(hosts.value()));
  mHosts.set(std::move(hosts.value()), mLoop.now());
  respondJson(*aExchange, 200, fields({ { "set", true } }));
}

void
PlatformStandInImpl::setFaults(const ExchangePtr& aExchange)
{
  const auto body = parseObject(aExchange->request().body);
  const double slow = body ? realMember(body.value(), "weights_slow_factor", 1) : 0;
  if (!body || slow <= 0) {
    respondProblem(*aExchange,
                   400,
                   "malformed",
                   body ? "\"weights_slow_factor\" must be above 0"
                        : body.error().message);
    return;
  }
  const Json::Value& faults = body.value();
  mFaults.tableDown = flagMember(faults, "table_down", mFaults.tableDown);
  mFaults.objectsDown = flagMember(faults, "objects_down", mFaults.objectsDown);
  mFaults.hostsDown = flagMember(faults, "hosts_down", mFaults.hostsDown);
  mFaults.tableDelay = std::chrono::milliseconds(
    numberMember(faults, "table_delay_ms", toMs(mFaults.tableDelay)));
  mFaults.loseWriteAnswers =
    numberMember(faults, "lose_write_answers", mFaults.loseWriteAnswers);
  mFaults.loseWritesMatching =
    textMember(faults, "lose_writes_matching", mFaults.loseWritesMatching);
  if (faults.isMember("weights_slow_factor")) {
    mWeights.setSlowFactor(slow);
  }
  mRecorder->write("faults_set", fields({ { "faults", faults } }));
  respondJson(*aExchange, 200, fields({ { "set", true } }));
}

} // namespace

Result<std::unique_ptr<PlatformStandIn>>
PlatformStandIn::create(event::Loop& aLoop, PlatformOptions aOptions)
{
  const ListenOptions listen = aOptions.listen;
  BOOST_OUTCOME_TRY(recorder, Recorder::create(listen.recordPath));
  auto platform = std::make_unique<PlatformStandInImpl>(
    aLoop, std::move(aOptions), std::move(recorder));
  BOOST_OUTCOME_TRYV(platform->start(listen));
  return std::unique_ptr<PlatformStandIn>(std::move(platform));
}

} // namespace savoryrill::testing
