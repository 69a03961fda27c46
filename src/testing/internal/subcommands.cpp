#include "testing/internal/subcommands.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "testing/enginestandin.h"
#include "testing/faultproxy.h"
#include "testing/internal/commandline.h"
#include "testing/internal/socket.h"
#include "testing/loadgenerator.h"
#include "testing/loadplan.h"
#include "testing/platformstandin.h"
#include "testing/servicestandin.h"

namespace savoryrill::testing {

namespace {

void
addListen(CommandLine& aLine, const char* aName, ListenOptions& aListen)
{
  const CommandLine::Setter setter =
    [&aListen](const std::string& aText) -> Result<void> {
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(aText));
    aListen.address = endpoint.address;
    aListen.port = endpoint.port;
    return outcome::success();
  };
  aLine.add(aName, setter, "numeric address:port to listen on (port 0: a free one)");
  aLine.add("record", aListen.recordPath, "file for the records (JSON lines)");
}

/// Says where the process listens, then runs until it is told to stop.
int
runUntilStopped(event::Loop& aLoop, const ListenOptions& aListen, std::uint16_t aPort)
{
  std::cout << "listening on " << aListen.address << ":" << aPort << std::endl;
  const auto terminate = aLoop.onSignal(SIGTERM, [&] { aLoop.stop(); });
  const auto interrupt = aLoop.onSignal(SIGINT, [&] { aLoop.stop(); });
  aLoop.run();
  return 0;
}

/// Splits `aText` at the first `aSeparator`; the second part is empty without one.
std::pair<std::string, std::string>
split(const std::string& aText, char aSeparator)
{
  const auto at = aText.find(aSeparator);
  return { aText.substr(0, at), at == std::string::npos ? "" : aText.substr(at + 1) };
}

Result<std::uint32_t>
readSize(const std::string& aText)
{
  char* end = nullptr;
  const unsigned long size = std::strtoul(aText.c_str(), &end, 10);
  if (aText.empty() || *end != '\0' || size > UINT32_MAX) {
    return fail(ErrorCode::InvalidArgument, "not a size in MB: " + aText);
  }
  return static_cast<std::uint32_t>(size);
}

/// `name:data-centre[:leaving]`
Result<platform::HostEntry>
readHost(const std::string& aText)
{
  const auto [name, rest] = split(aText, ':');
  const auto [data_centre, state] = split(rest, ':');
  const auto known = fromName<platform::HostState>(state.empty() ? "live" : state);
  if (name.empty() || data_centre.empty() || !known) {
    return fail(ErrorCode::InvalidArgument, "not name:data-centre[:leaving]: " + aText);
  }
  return platform::HostEntry{ name, data_centre, *known };
}

/// `deployment@version:MB[:memory|disk]`
Result<InitialModel>
readModel(const std::string& aText, bool aLoaded)
{
  const auto [model, rest] = split(aText, ':');
  const auto [size, locality] = split(rest, ':');
  BOOST_OUTCOME_TRY(size_mb, readSize(size));
  const auto known =
    fromName<upstream::CheckpointLocality>(locality.empty() ? "disk" : locality);
  if (model.find('@') == std::string::npos || !known) {
    return fail(ErrorCode::InvalidArgument,
                "not deployment@version:MB[:memory|disk]: " + aText);
  }
  return InitialModel{ model, size_mb, *known, aLoaded };
}

/// `name=address:port,address:port`
Result<ProxyRoute>
readRoute(const std::string& aText)
{
  const auto [name, rest] = split(aText, '=');
  const auto [listen, target] = split(rest, ',');
  if (name.empty()) {
    return fail(ErrorCode::InvalidArgument, "the route has no name: " + aText);
  }
  BOOST_OUTCOME_TRY(from, parseEndpoint(listen));
  BOOST_OUTCOME_TRY(to, parseEndpoint(target));
  return ProxyRoute{ name, from.address, from.port, to.address, to.port };
}

/// A setter that appends what `aRead` makes of the value.
template<typename T, typename Read>
CommandLine::Setter
appendTo(std::vector<T>& aTarget, Read aRead)
{
  return [&aTarget, aRead](const std::string& aText) -> Result<void> {
    BOOST_OUTCOME_TRY(value, aRead(aText));
    aTarget.push_back(std::move(value));
    return outcome::success();
  };
}

void
addEngineOptions(CommandLine& aLine, EngineOptions& aOptions)
{
  addListen(aLine, "listen", aOptions.listen);
  aLine.add("memory-mb", aOptions.memoryMb, "accelerator memory");
  aLine.add("role", aOptions.role, "role at start");
  aLine.addFlag(
    "ignore-fencing", aOptions.checksFencing, false, "accept old fencing numbers");
  aLine.addFlag(
    "ignore-ttl", aOptions.honoursTimeToLive, false, "accept orders past their ttl_ms");
  aLine.addFlag(
    "unsafe-memory", aOptions.unsafeMemory, true, "accept loads beyond the memory");
  aLine.addFlag("serve-while-leaving",
                aOptions.refusesWhenLeaving,
                false,
                "accept new requests while leaving");
  const auto model = [](bool aLoaded) {
    return [aLoaded](const std::string& aText) { return readModel(aText, aLoaded); };
  };
  aLine.add("checkpoint",
            appendTo(aOptions.models, model(false)),
            "deployment@version:MB[:memory|disk] present at start; repeatable");
  aLine.add("loaded",
            appendTo(aOptions.models, model(true)),
            "deployment@version:MB loaded at start; repeatable");
  auto& times = aOptions.loadTimes;
  aLine.add("weights-url", times.weightsUrl, "http://address:port of the weight store");
  aLine.add("memory-mb-s", times.memoryMbPerS, "load speed from host memory");
  aLine.add("disk-mb-s", times.diskMbPerS, "load speed from disk");
  aLine.add(
    "remote-mb-s", times.remoteMbPerS, "remote load speed without a weight store");
  aLine.add("host-cache-mb", times.hostCacheMb, "checkpoints kept in host memory");
  aLine.add("disk-cache-mb", times.diskCacheMb, "checkpoints kept on disk");
}

void
addInferenceOptions(CommandLine& aLine, EngineOptions& aOptions)
{
  auto& batch = aOptions.batch;
  aLine.add("step-ms", batch.step, "step time of an empty batch");
  aLine.add("step-per-request-ms", batch.stepPerRequest, "added per running request");
  aLine.add("prefill-per-kb-ms", batch.prefillPerKb, "prefill per KB of prompt");
  aLine.add("max-running", batch.maxRunning, "requests in the batch");
  aLine.add("max-waiting", batch.maxWaiting, "requests that may wait");
  aLine.add("kv-tokens", batch.kvCapacityTokens, "tokens that fill the KV cache");
  auto& cache = aOptions.prefixCache;
  std::uint64_t& entries = cache.entries;
  aLine.add("cache-entries", entries, "prefixes in the prefix cache");
  aLine.add("cache-event-delay-ms", cache.eventDelay, "until a cache event shows");
  aLine.add("cache-event-drop", cache.eventDropShare, "share of cache events lost");
  aLine.add("seed", cache.seed, "seed of the lost cache events");
  aLine.add(
    "disconnect-grace-ms", aOptions.disconnectGrace, "until a request is cancelled");
  aLine.add("retention-ms", aOptions.retention, "for which a finished request is kept");
  aLine.add("load-report-ms", aOptions.loadReportPeriod, "period of the load report");
}

void
addLoadOptions(CommandLine& aLine, LoadOptions& aOptions, std::string& aTrace)
{
  aLine.add("target", aOptions.targets, "address:port of a router; repeatable");
  aLine.add("trace", aTrace, "JSON trace file in place of the options below");
  aLine.add("model", aOptions.models, "model to ask; repeatable");
  aLine.add("service", aOptions.services, "<service>/<path> to call; repeatable");
  aLine.add("seed", aOptions.seed, "seed of the plan");
  aLine.add("rate", aOptions.ratePerS, "Poisson arrivals per second");
  aLine.add("duration-ms", aOptions.duration, "length of the plan");
  aLine.add("burst-size", aOptions.burstSize, "requests of a burst, 0: no bursts");
  aLine.add("burst-period-ms", aOptions.burstPeriod, "time between bursts");
  aLine.add("stream-share", aOptions.streamShare, "of model requests, 0 to 1");
  aLine.add("chat-share", aOptions.chatShare, "of model requests, 0 to 1");
  aLine.add("service-share", aOptions.serviceShare, "of all requests, 0 to 1");
  aLine.add("key-share", aOptions.keyShare, "of service calls with Idempotency-Key");
  aLine.add("duplicate-share", aOptions.duplicateShare, "of keyed calls sent twice");
  aLine.add("priority", aOptions.priority, "low, normal or high");
  aLine.add("max-tokens", aOptions.maxTokens, "tokens of an answer");
  aLine.add("prompt-bytes", aOptions.promptBytes, "length of a prompt");
  aLine.add("prefix-groups", aOptions.prefixGroups, "groups of equal prompt prefixes");
  aLine.add("deadline-ms", aOptions.deadlineMs, "X-Request-Deadline-Ms, 0: none");
  aLine.add("max-requests", aOptions.maxRequests, "bound of the plan");
  aLine.add("time-limit-ms", aOptions.timeLimit, "after which the run ends");
  aLine.add("record", aOptions.recordPath, "file for the records (JSON lines)");
}

Result<std::vector<PlannedRequest>>
planLoad(const LoadOptions& aOptions, const std::string& aTrace)
{
  if (aTrace.empty()) {
    return planRequests(aOptions);
  }
  std::ifstream file(aTrace);
  if (!file) {
    return fail(ErrorCode::InvalidArgument, "cannot read " + aTrace);
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return planTrace(text, aOptions);
}

} // namespace

Result<int>
runPlatform(int aCount, const char** aArguments)
{
  PlatformOptions options;
  CommandLine line;
  addListen(line, "listen", options.listen);
  auto& weights = options.weights;
  line.add("loads-per-second", weights.loadsPerSecond, "checkpoint starts, 0: no limit");
  line.add("full-speed-loads", weights.fullSpeedLoads, "checkpoints at full speed");
  line.add("adapters-in-flight", weights.adaptersInFlight, "adapters at full speed");
  line.add("bandwidth-mb-s", weights.bandwidthMbPerS, "of one fetch at full speed");
  line.add("host-lag-ms", options.hostLag, "until a change of the host list shows");
  line.add("host",
           appendTo(options.hosts, &readHost),
           "name:data-centre[:leaving] at start; repeatable");
  BOOST_OUTCOME_TRYV(line.parse(aCount, aArguments));
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  BOOST_OUTCOME_TRY(platform, PlatformStandIn::create(*loop, options));
  return runUntilStopped(*loop, options.listen, platform->port());
}

Result<int>
runEngine(int aCount, const char** aArguments)
{
  EngineOptions options;
  CommandLine line;
  addEngineOptions(line, options);
  addInferenceOptions(line, options);
  BOOST_OUTCOME_TRYV(line.parse(aCount, aArguments));
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  BOOST_OUTCOME_TRY(engine, EngineStandIn::create(*loop, options));
  return runUntilStopped(*loop, options.listen, engine->port());
}

Result<int>
runService(int aCount, const char** aArguments)
{
  ServiceOptions options;
  CommandLine line;
  addListen(line, "listen", options.listen);
  line.add("delay-ms", options.delay, "between begin and end of a call");
  BOOST_OUTCOME_TRYV(line.parse(aCount, aArguments));
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  BOOST_OUTCOME_TRY(service, ServiceStandIn::create(*loop, options));
  return runUntilStopped(*loop, options.listen, service->port());
}

Result<int>
runFaultProxy(int aCount, const char** aArguments)
{
  FaultProxyOptions options;
  CommandLine line;
  addListen(line, "control", options.control);
  line.add("route",
           appendTo(options.routes, &readRoute),
           "name=listen-address:port,target-address:port; repeatable");
  BOOST_OUTCOME_TRYV(line.parse(aCount, aArguments));
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  BOOST_OUTCOME_TRY(proxy, FaultProxy::create(*loop, options));
  return runUntilStopped(*loop, options.control, proxy->controlPort());
}

Result<int>
runLoad(int aCount, const char** aArguments)
{
  LoadOptions options;
  std::vector<std::string> callers;
  std::string trace;
  CommandLine line;
  addLoadOptions(line, options, trace);
  line.add("caller", callers, "X-Caller-Id; repeatable");
  BOOST_OUTCOME_TRYV(line.parse(aCount, aArguments));
  if (!callers.empty()) {
    options.callers = callers;
  }
  BOOST_OUTCOME_TRY(plan, planLoad(options, trace));
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  BOOST_OUTCOME_TRY(load, LoadGenerator::create(*loop, std::move(plan), options));
  load->start([&loop_ref = *loop] { loop_ref.stop(); });
  loop->run();
  const auto summary = load->summary();
  std::cout << summary.toStyledString() << std::flush;
  const auto& outcomes = summary["outcomes"];
  const bool wrong = outcomes.isMember("wrong_answer") || outcomes.isMember("ran_twice");
  return wrong ? 1 : 0;
}

} // namespace savoryrill::testing
