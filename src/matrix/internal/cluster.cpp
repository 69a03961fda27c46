#include "matrix/cluster.h"

#include <csignal>
#include <ctime>
#include <filesystem>

#include "matrix/internal/recordaccess.h"

namespace savoryrill::matrix {

namespace {

using testing::fields;

constexpr Duration kPollPeriod = 200ms;
constexpr Duration kTurn = 5ms;
constexpr Duration kReadyLimit = 20s;
constexpr Duration kCallLimit = 2s;
constexpr Duration kStopLimit = 15s;

using Outages = std::map<std::string, std::vector<Outage>>;

void
openOutage(Outages& aOutages, const std::string& aProcess)
{
  auto& list = aOutages[aProcess];
  if (list.empty() || list.back().toUs != Outage{}.toUs) {
    list.push_back({ Cluster::nowUs() });
  }
}

void
closeOutage(Outages& aOutages, const std::string& aProcess)
{
  auto& list = aOutages[aProcess];
  if (!list.empty() && list.back().toUs == Outage{}.toUs) {
    list.back().toUs = Cluster::nowUs();
  }
}

} // namespace

Cluster::Cluster(ClusterOptions aOptions,
                 testing::Processes aProcesses,
                 std::unique_ptr<event::Loop> aLoop,
                 std::unique_ptr<http::Client> aClient)
  : mOptions(std::move(aOptions))
  , mTopology(mOptions.block)
  , mProcesses(std::move(aProcesses))
  , mLoop(std::move(aLoop))
  , mClient(std::move(aClient))
  , mToken("matrix-" + std::to_string(mOptions.seed))
{
  for (const auto& part : mTopology.parts()) {
    mParts[part.name] = part;
  }
  for (const auto& model : kModels) {
    mEvidence.maxReplicas[std::string(model.name) + "@1"] = model.maxReplicas;
  }
}

Result<std::unique_ptr<Cluster>>
Cluster::create(ClusterOptions aOptions)
{
  BOOST_OUTCOME_TRY(processes, testing::Processes::create(aOptions.folder));
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  BOOST_OUTCOME_TRY(client, http::Client::create(*loop));
  return std::unique_ptr<Cluster>(new Cluster(
    std::move(aOptions), std::move(processes), std::move(loop), std::move(client)));
}

std::vector<std::string>
Cluster::names(Role aRole) const
{
  std::vector<std::string> names;
  for (const auto& [name, part] : mParts) {
    if (part.role == aRole) {
      names.push_back(name);
    }
  }
  return names;
}

Result<std::vector<std::string>>
Cluster::arguments(const Part& aPart)
{
  if (aPart.isDaemon()) {
    BOOST_OUTCOME_TRYV(mProcesses.writeFile(aPart.name, "token", mToken + "\n"));
    BOOST_OUTCOME_TRY(settings,
                      mProcesses.writeFile(
                        aPart.name, "settings.jsonc", mTopology.settings(aPart.index)));
    return std::vector<std::string>{ "--settings", settings };
  }
  BOOST_OUTCOME_TRY(folder, mProcesses.folder(aPart.name));
  mRecords.try_emplace(aPart.name, folder + "/records");
  const auto words = [&](std::vector<std::string> aFirst,
                         const std::vector<std::string>& aMore) {
    aFirst.insert(aFirst.end(), { aPart.address, "--record", folder + "/records" });
    aFirst.insert(aFirst.end(), aMore.begin(), aMore.end());
    return aFirst;
  };
  std::vector<std::string> more;
  switch (aPart.role) {
    case Role::Platform:
      more = { "--loads-per-second", "8", "--bandwidth-mb-s", "20000" };
      for (const auto& host : Topology::kHosts) {
        more.push_back("--host=" + std::string(host.name) + ":" +
                       std::string(Topology::kDataCentres[host.dataCentre]));
      }
      return words({ "platform", "--listen" }, more);
    case Role::Proxy:
      for (const auto& route : mTopology.routes()) {
        more.push_back("--route=" + route);
      }
      return words({ "fault-proxy", "--control" }, more);
    case Role::Engine:
      // Only the system itself may keep the limits: an engine that refused what it cannot
      // hold, or work while it leaves, would hide that it was asked to.
      more = { "--memory-mb",           std::to_string(Topology::kEngineMemoryMb),
               "--weights-url",         "http://" + part("platform").address,
               "--unsafe-memory",       "--serve-while-leaving",
               "--disconnect-grace-ms", "1500" };
      if (!aPart.checksFencing) {
        more.emplace_back("--ignore-fencing");
      }
      return words({ "engine", "--listen" }, more);
    default:
      return words({ "service", "--listen" }, more);
  }
}

Result<void>
Cluster::startProcess(const Part& aPart)
{
  const char* program = aPart.role == Role::Router       ? "/savoryrill-router"
                        : aPart.role == Role::Controller ? "/savoryrill-controller"
                                                         : "/savoryrill-testbed";
  const std::string path = mOptions.programs + program;
  if (!std::filesystem::exists(path)) {
    return fail(ErrorCode::NotFound, "there is no program " + path);
  }
  BOOST_OUTCOME_TRY(words, arguments(aPart));
  return mProcesses.start(aPart.name, path, words);
}

Result<void>
Cluster::startStandIns()
{
  for (const auto& [name, part] : mParts) {
    if (!part.isDaemon()) {
      BOOST_OUTCOME_TRYV(startProcess(part));
      BOOST_OUTCOME_TRYV(mProcesses.waitListening(name, kReadyLimit));
    }
  }
  return outcome::success();
}

Result<void>
Cluster::startSystem()
{
  for (const auto& [name, part] : mParts) {
    if (part.isDaemon()) {
      BOOST_OUTCOME_TRYV(startProcess(part));
      openOutage(mEvidence.outages, name); // until it is ready
    }
  }
  mPolling = mLoop->every(kPollPeriod, [this] { pollVersions(); });
  BOOST_OUTCOME_TRY(apply, beginApply());
  BOOST_OUTCOME_TRY(status, waitApply(apply));
  if (status != 0) {
    return fail(ErrorCode::Unavailable, "apply failed: " + mProcesses.log(apply));
  }
  for (const auto& [name, part] : mParts) {
    if (!waitFor([&, &daemon = part] { return isReady(daemon); }, kReadyLimit)) {
      return fail(ErrorCode::Timeout, name + " does not become ready");
    }
    closeOutage(mEvidence.outages, name);
  }
  return outcome::success();
}

std::int64_t
Cluster::nowUs()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::int64_t{ time.tv_sec } * 1000000 + time.tv_nsec / 1000;
}

void
Cluster::pump(Duration aTime)
{
  waitFor([] { return false; }, aTime);
}

bool
Cluster::waitFor(const std::function<bool()>& aCondition, Duration aLimit)
{
  const Instant end = mLoop->now() + aLimit;
  const auto turn = mLoop->every(kTurn, [] {});
  while (!aCondition()) {
    if (mLoop->now() >= end) {
      return false;
    }
    mLoop->runOnce(true);
  }
  return true;
}

std::optional<http::Response>
Cluster::ask(http::ClientRequest aRequest)
{
  aRequest.freshConnection = true;
  aRequest.totalTimeout = kCallLimit;
  std::optional<http::ClientOutcome> ended;
  http::ClientCallbacks callbacks;
  callbacks.onDone = [&](http::ClientOutcome aOutcome) { ended = std::move(aOutcome); };
  const auto call = mClient->start(std::move(aRequest), std::move(callbacks));
  waitFor([&] { return ended.has_value(); }, 2 * kCallLimit);
  return ended && ended->response ? std::optional(ended->response.value()) : std::nullopt;
}

Result<void>
Cluster::post(const std::string& aUrl, const Json::Value& aBody)
{
  http::ClientRequest request;
  request.method = "POST";
  request.url = "http://" + aUrl;
  request.body = testing::toText(aBody);
  const auto response = ask(request);
  if (!response || response->status / 100 != 2) {
    return fail(ErrorCode::Unavailable,
                "POST " + aUrl + " " + request.body + ": " +
                  (response ? response->body : "no answer"));
  }
  return outcome::success();
}

Result<void>
Cluster::set(const std::string& aStandIn, const Json::Value& aFaults)
{
  const auto& target = part(aStandIn);
  const bool engine = target.role == Role::Engine;
  return post(target.address + (engine ? "/testbed/control" : "/testbed/faults"),
              aFaults);
}

Result<void>
Cluster::setRoutes(const std::vector<std::string>& aRoutes, Json::Value aFault)
{
  for (const auto& route : aRoutes) {
    aFault["route"] = route;
    BOOST_OUTCOME_TRYV(post(part("proxy").address + "/faults", aFault));
  }
  return outcome::success();
}

Result<void>
Cluster::setLeaving(const std::string& aEngine)
{
  BOOST_OUTCOME_TRYV(set(aEngine, fields({ { "leaving", true } })));
  mEvidence.leaving.push_back({ aEngine, nowUs() });
  return outcome::success();
}

bool
Cluster::isReady(const Part& aPart)
{
  if (aPart.role == Role::Proxy || aPart.role == Role::Platform) {
    return true;
  }
  http::ClientRequest request;
  request.url = "http://" + aPart.address + (aPart.isDaemon() ? "/readyz" : "/healthz");
  const auto response = ask(request);
  return response && response->status == 200;
}

Result<void>
Cluster::kill(const std::string& aProcess)
{
  openOutage(mEvidence.outages, aProcess);
  BOOST_OUTCOME_TRYV(mProcesses.kill(aProcess));
  mStops.erase(aProcess);
  if (mRecords.count(aProcess) != 0) {
    records(aProcess);
    mRecords.at(aProcess).add(
      fields({ { "kind", "process_ended" }, { "t_us", Json::Int64(nowUs()) } }));
  }
  return outcome::success();
}

Result<void>
Cluster::freeze(const std::string& aProcess)
{
  openOutage(mEvidence.outages, aProcess);
  return mProcesses.freeze(aProcess);
}

Result<void>
Cluster::wake(const std::string& aProcess)
{
  BOOST_OUTCOME_TRYV(mProcesses.wake(aProcess));
  waitFor([&] { return isReady(part(aProcess)); }, kReadyLimit);
  closeOutage(mEvidence.outages, aProcess);
  return outcome::success();
}

Result<void>
Cluster::restart(const std::string& aProcess)
{
  BOOST_OUTCOME_TRYV(startProcess(part(aProcess)));
  waitFor([&] { return isReady(part(aProcess)); }, kReadyLimit);
  closeOutage(mEvidence.outages, aProcess);
  return outcome::success();
}

Result<void>
Cluster::beginStop(const std::string& aProcess)
{
  const pid_t id = mProcesses.id(aProcess);
  if (id == 0 || ::kill(id, SIGTERM) != 0) {
    return fail(ErrorCode::NotFound, aProcess + " is not running");
  }
  openOutage(mEvidence.outages, aProcess);
  mStops[aProcess] = { aProcess, nowUs(), 0, Topology::kBalancerDelayMs * 1000, 0 };
  return outcome::success();
}

void
Cluster::finishStops()
{
  for (auto& [process, stop] : mStops) {
    waitFor([&, &name = process] { return !mProcesses.running(name); }, kStopLimit);
    const auto status = mProcesses.wait(process, 0ms);
    stop.endedUs = nowUs();
    stop.exitStatus = status ? status.value() : -1;
    if (mExcused.count(process) == 0) {
      mEvidence.stops.push_back(stop);
    }
  }
  mStops.clear();
}

void
Cluster::excuseStop(const std::string& aProcess)
{
  mExcused.insert(aProcess);
}

void
Cluster::beginCutOff(const std::string& aProcess)
{
  openOutage(mEvidence.cutOff, aProcess);
}

void
Cluster::endCutOff()
{
  for (const auto& [process, outages] : mEvidence.cutOff) {
    closeOutage(mEvidence.cutOff, process);
  }
}

Result<std::string>
Cluster::beginApply()
{
  const std::string name = "apply-" + std::to_string(++mRevision);
  const std::string text = mTopology.configuration(mRevision);
  BOOST_OUTCOME_TRY(base, mProcesses.writeFile(name, "base.jsonc", text));
  const std::string platform = mTopology.operatorPlatform();
  BOOST_OUTCOME_TRYV(mProcesses.start(
    name,
    mOptions.programs + "/savoryrill",
    { "apply", "--base", base, "--platform", platform, "--change-id", name }));
  return name;
}

Result<int>
Cluster::waitApply(const std::string& aProcess)
{
  waitFor([&] { return !mProcesses.running(aProcess); }, kReadyLimit);
  return mProcesses.wait(aProcess, 0ms);
}

} // namespace savoryrill::matrix
