#include "controller/daemon.h"

#include <csignal>
#include <random>

#include "admin/operatorserver.h"
#include "base/types/baseevents.h"
#include "controller/controller.h"
#include "daemon/startup.h"
#include "platform/platformclient.h"
#include "upstream/enginecontrol.h"

namespace savoryrill::controller {

namespace {

constexpr const char* kProcess = "savoryrill-controller";
constexpr Duration kEngineTimeout = 1s;
// Below a third of the shortest useful lease, so that the lease survives one lost
// response.
constexpr Duration kPlatformTimeout = 1s;

gossip::SyncOptions
syncOptions(const config::Settings& aSettings, std::uint64_t aIncarnation)
{
  gossip::SyncOptions options;
  options.local = { peer::ROLE_CONTROLLER,
                    aSettings.host,
                    aSettings.dataCentre,
                    aIncarnation,
                    aSettings.peerAddress.address + ":" +
                      std::to_string(aSettings.peerAddress.port) };
  options.keys = { aSettings.curveSecretKeyFile, aSettings.curvePublicKeyFile };
  for (const auto& peer : aSettings.peers) {
    if (peer.host != aSettings.host) {
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
  if (!log.has_value()) {
    return daemon::reportStartFailure(kProcess, log.error());
  }
  auto loop = event::Loop::create();
  if (!loop.has_value()) {
    return daemon::reportStartFailure(kProcess, loop.error());
  }
  auto& events = *log.value();
  auto& reactor = *loop.value();
  Metrics metrics;
  const std::uint64_t incarnation = daemon::processIncarnation();
  events.write(kProcessStarted,
               { { "host", aSettings.host }, { "data_centre", aSettings.dataCentre } });

  auto client = http::Client::create(reactor);
  if (!client.has_value()) {
    return daemon::reportStartFailure(kProcess, client.error());
  }
  platform::PlatformOptions platform_options;
  platform_options.endpoints = aSettings.platform;
  platform_options.timeout = kPlatformTimeout;
  auto platform = platform::PlatformClient::create(*client.value(), platform_options);
  if (!platform.has_value()) {
    return daemon::reportStartFailure(kProcess, platform.error());
  }
  const auto engines = upstream::EngineControl::create(*client.value(), kEngineTimeout);
  auto sync = gossip::StateSync::create(
    reactor, syncOptions(aSettings, incarnation), events, metrics);
  if (!sync.has_value()) {
    return daemon::reportStartFailure(kProcess, sync.error());
  }
  ControllerOptions options;
  options.incarnation = incarnation;
  const auto controller = Controller::create(reactor,
                                             aSettings,
                                             *platform.value(),
                                             *engines,
                                             *sync.value(),
                                             events,
                                             metrics,
                                             options);
  int status = 1;
  const auto drain = [&] {
    controller->drain([&](bool aHandedOver) {
      status = aHandedOver ? 0 : 1;
      events.write(kProcessStopped,
                   { { "reason", aHandedOver ? "drained" : "drain limit has passed" } });
      reactor.stop();
    });
  };
  http::ServerOptions server;
  server.address = aSettings.controllerOperatorAddress.address;
  server.port = aSettings.controllerOperatorAddress.port;
  auto admin = admin::OperatorServer::create(reactor,
                                             server,
                                             aSettings.operatorTokenFile,
                                             kProcess,
                                             events,
                                             metrics,
                                             { [&] { return controller->ready(); },
                                               [&] { return controller->status(); },
                                               [&] { return controller->report(); },
                                               drain });
  if (!admin.has_value()) {
    return daemon::reportStartFailure(kProcess, admin.error());
  }
  int signals = 0;
  const auto signalled = [&] {
    if (++signals == 1) {
      drain();
      return;
    }
    events.write(kProcessStopped, { { "reason", "second signal" } });
    reactor.stop();
  };
  const auto terminate = reactor.onSignal(SIGTERM, signalled);
  const auto interrupt = reactor.onSignal(SIGINT, signalled);
  reactor.run();
  return status;
}

} // namespace savoryrill::controller
