#include "router/daemon.h"

#include <csignal>
#include <random>

#include "admin/operatorserver.h"
#include "base/types/baseevents.h"
#include "daemon/startup.h"
#include "platform/platformclient.h"
#include "router/router.h"

namespace savoryrill::router {

namespace {

constexpr const char* kProcess = "savoryrill-router";
// If the platform does not respond in this time, a request with an idempotency key is
// refused as not run; the limit is short to leave the caller time for a retry.
constexpr Duration kPlatformTimeout = 1s;

/// The seeds are only the controllers of this data centre; the one on this host comes
/// first.
gossip::SyncOptions
syncOptions(const config::Settings& aSettings, std::uint64_t aIncarnation)
{
  gossip::SyncOptions options;
  options.local = {
    peer::ROLE_ROUTER, aSettings.host, aSettings.dataCentre, aIncarnation, ""
  };
  options.keys = { aSettings.curveSecretKeyFile, aSettings.curvePublicKeyFile };
  options.seeds.push_back(
    { aSettings.peerAddress.address + ":" + std::to_string(aSettings.peerAddress.port),
      aSettings.host,
      aSettings.dataCentre });
  for (const auto& peer : aSettings.peers) {
    if (peer.host != aSettings.host && peer.dataCentre == aSettings.dataCentre) {
      options.seeds.push_back({ peer.endpoint, peer.host, peer.dataCentre });
    }
  }
  options.randomSeed = std::random_device{}();
  return options;
}

} // namespace

int
runDaemon(const config::Settings& aSettings)
{
  auto log = EventLog::create(kProcess, aSettings.logFile, aSettings.logLevel);
  if (!log) {
    return daemon::reportStartFailure(kProcess, log.error());
  }
  auto loop = event::Loop::create();
  if (!loop) {
    return daemon::reportStartFailure(kProcess, loop.error());
  }
  auto& events = *log.value();
  auto& reactor = *loop.value();
  Metrics metrics;
  const std::uint64_t incarnation = daemon::processIncarnation();
  events.write(kProcessStarted,
               { { "host", aSettings.host }, { "data_centre", aSettings.dataCentre } });
  auto client = http::Client::create(reactor);
  if (!client) {
    return daemon::reportStartFailure(kProcess, client.error());
  }
  auto platform = platform::PlatformClient::create(
    *client.value(), { aSettings.platform, kPlatformTimeout });
  if (!platform) {
    return daemon::reportStartFailure(kProcess, platform.error());
  }
  auto sync = gossip::StateSync::create(
    reactor, syncOptions(aSettings, incarnation), events, metrics);
  if (!sync) {
    return daemon::reportStartFailure(kProcess, sync.error());
  }
  RouterDependencies dependencies{
    reactor, *client.value(), *platform.value(), std::move(sync.value()), events, metrics
  };
  dependencies.incarnation = incarnation;
  dependencies.randomSeed = std::random_device{}();
  auto created = Router::create(std::move(dependencies), aSettings);
  if (!created) {
    return daemon::reportStartFailure(kProcess, created.error());
  }
  auto& router = *created.value();
  http::ServerOptions server;
  server.address = aSettings.routerOperatorAddress.address;
  server.port = aSettings.routerOperatorAddress.port;
  auto admin = admin::OperatorServer::create(reactor,
                                             server,
                                             aSettings.operatorTokenFile,
                                             kProcess,
                                             events,
                                             metrics,
                                             { [&] { return router.ready(); },
                                               [&] { return router.status(); },
                                               [&] { return router.report(); },
                                               [&] { router.drain(); } });
  if (!admin) {
    return daemon::reportStartFailure(kProcess, admin.error());
  }
  int status = 1;
  router.onStopped([&](bool aClean) {
    status = aClean ? 0 : 1;
    reactor.stop();
  });
  int signals = 0;
  const auto signalled = [&] {
    if (++signals == 1) {
      router.drain();
    } else {
      router.stopNow();
    }
  };
  const auto terminate = reactor.onSignal(SIGTERM, signalled);
  const auto interrupt = reactor.onSignal(SIGINT, signalled);
  reactor.run();
  return status;
}

} // namespace savoryrill::router
