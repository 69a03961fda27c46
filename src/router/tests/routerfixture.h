#pragma once

#include <CppUTest/TestHarness.h>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/jsontext.h"
#include "config/bundle.h"
#include "platform/platformclient.h"
#include "router/router.h"
#include "testing/enginestandin.h"
#include "testing/platformstandin.h"
#include "testing/servicestandin.h"
#include "testing/tests/standinfixture.h"

namespace savoryrill::router {

/// State exchange without a network: records what the router publishes.
class FakeSync final : public gossip::StateSync
{
public:
  struct Published
  {
    peer::EntryKind kind;
    std::string key;
    std::string payload;
  };

  explicit FakeSync(std::vector<Published>& aPublished, ChangeCallback& aCallback)
    : mPublished(aPublished)
    , mCallback(aCallback)
  {
  }
  void publish(peer::EntryKind aKind,
               const std::string& aKey,
               std::uint64_t,
               std::uint64_t,
               std::string aPayload,
               Duration) override
  {
    mPublished.push_back({ aKind, aKey, std::move(aPayload) });
  }
  const state::StateMap& entries() const override { return mEntries; }
  void onChange(ChangeCallback aCallback) override { mCallback = std::move(aCallback); }
  std::vector<transport::RemotePeer> peers() const override { return {}; }
  void leave() override {}

private:
  std::vector<Published>& mPublished;
  ChangeCallback& mCallback;
  state::StateMap mEntries;
};

/// A router with stand-ins for the platform and the upstreams, in one process and on one
/// event loop.
struct RouterFixture
{
  testing::StandInFixture net;
  std::unique_ptr<EventLog> log = EventLog::createInMemory();
  Metrics metrics;
  std::unique_ptr<testing::PlatformStandIn> platformStandIn;
  std::unique_ptr<platform::IPlatform> platform;
  std::vector<FakeSync::Published> published;
  gossip::StateSync::ChangeCallback change;
  std::unique_ptr<Router> router;
  std::string callers;                       // JSON members added to the configuration
  std::string limits = R"("max_queue": 4,)"; // JSON members of the deployment
  std::uint64_t sequence = 0;
  std::map<std::string, std::uint16_t> upstreams; // ports by name
  config::Settings settings;

  RouterFixture()
  {
    settings.host = "entry-1";
    settings.dataCentre = "xela";
    settings.balancerDelay = 1ms;
    platformStandIn = std::move(testing::PlatformStandIn::create(*net.loop, {}).value());
    platform::PlatformOptions options;
    options.endpoints = { "127.0.0.1:" + std::to_string(platformStandIn->port()) };
    platform = std::move(platform::PlatformClient::create(*net.client, options).value());
  }

  std::unique_ptr<testing::EngineStandIn> engine(bool aLoaded, Duration aStep = 1ms)
  {
    testing::EngineOptions options;
    options.batch.step = aStep;
    options.batch.stepPerRequest = 0ms;
    options.batch.prefillPerKb = 0ms;
    options.disconnectGrace = 60s;
    if (aLoaded) {
      options.models = { { "m@1", 1000, upstream::CheckpointLocality::Memory, true } };
    }
    return std::move(testing::EngineStandIn::create(*net.loop, options).value());
  }

  void start()
  {
    RouterDependencies dependencies{ *net.loop, *net.client, *platform,
                                     nullptr,   *log,        metrics };
    dependencies.sync = std::make_unique<FakeSync>(published, change);
    dependencies.incarnation = 7;
    router = std::move(Router::create(std::move(dependencies), settings).value());
  }

  void configure()
  {
    // Every pool of the configuration needs an upstream; nothing listens on ports 1
    // and 2.
    upstreams.try_emplace("desk-1", std::uint16_t(2));
    upstreams.try_emplace("one", std::uint16_t(1));
    std::string list;
    for (const auto& [name, port] : upstreams) {
      const std::string pool = name.starts_with("desk") ? "desk" : "advisory";
      list += (list.empty() ? "" : ",") + ("\"" + name) + R"(":{"pool":")" + pool +
              R"(","data_centre":"xela","memory_mb":40000,"address":"127.0.0.1:)" +
              std::to_string(port) + "\"}";
    }
    config::Bundle bundle;
    bundle.base = { "base.json",
                    R"({"schema_version":1,"region":"r",
      "data_centres":["xela"],
      "weight_store":{"loads_per_second":4,"full_speed_loads":4},
      "pools":{"advisory":{"kind":"engine"},"desk":{"kind":"service"}},
      "upstreams":{)" +
                      list + R"(},
      "deployments":{"m":{"pool":"advisory","max_replicas":2,"footprint_mb":1000,
        "load_ms":500,"versions":["1"],"priority":"normal",)" +
                      limits +
                      R"("deadline_ms":20000}},
      "services":{"book":{"pool":"desk","path":"/visits","methods":["POST"]},
        "read":{"pool":"desk","path":"/logs","methods":["GET"],"repeatable":true}})" +
                      callers + "}" };
    peer::ConfigContent content;
    content.set_version(1);
    content.set_change_id("change");
    content.set_bundle(config::serialise(bundle));
    deliverEntry(peer::ENTRY_KIND_CONFIG, "config", content.SerializeAsString());
  }

  /// Starts the router with the configuration and no loaded replica.
  void startConfigured()
  {
    start();
    configure();
    if (!router->ready()) {
      const auto rejected = log->eventsWith("version", "1");
      FAIL(rejected.empty() ? "no configuration was adopted"
                            : toJson(rejected.front(), "router").c_str());
    }
  }

  void deliverEntry(peer::EntryKind aKind,
                    const std::string& aKey,
                    const std::string& aPayload)
  {
    peer::Entry entry;
    entry.set_kind(aKind);
    entry.set_key(aKey);
    entry.set_sequence(++sequence);
    entry.set_payload(aPayload);
    change(entry);
  }

  /// Delivers a status update that reports model m@1 at an upstream.
  void report(const std::string& aUpstream,
              peer::ReplicaState aState = peer::REPLICA_STATE_LOADED,
              std::uint32_t aReadyInMs = 0)
  {
    peer::UpstreamContent content;
    content.set_upstream(aUpstream);
    content.set_upstream_incarnation(1);
    content.set_reachable(true);
    auto& replica = *content.add_replicas();
    replica.set_deployment("m");
    replica.set_version("1");
    replica.set_state(aState);
    replica.set_ready_in_ms(aReadyInMs);
    deliverEntry(peer::ENTRY_KIND_UPSTREAM, aUpstream, content.SerializeAsString());
  }

  using Running = std::shared_ptr<testing::StandInFixture::Running>;

  Running startCompletion(const std::string& aPrompt,
                          const std::string& aMembers = "",
                          http::Headers aHeaders = {})
  {
    aHeaders["Content-Type"] = "application/json";
    return net.start("POST",
                     router->port(),
                     "/v1/completions",
                     R"({"model":"m","prompt":")" + aPrompt + "\"" + aMembers + "}",
                     aHeaders);
  }

  testing::StandInFixture::Answer complete(const std::string& aPrompt,
                                           const std::string& aMembers = "",
                                           http::Headers aHeaders = {})
  {
    return net.wait(startCompletion(aPrompt, aMembers, std::move(aHeaders)));
  }

  Running startBooking(const std::string& aBooking, const std::string& aKey)
  {
    http::Headers headers{ { "Content-Type", "application/json" } };
    if (!aKey.empty()) {
      headers["Idempotency-Key"] = aKey;
    }
    return net.start("POST",
                     router->port(),
                     "/v1/services/book/new",
                     R"({"booking":")" + aBooking + "\"}",
                     headers);
  }

  testing::StandInFixture::Answer book(const std::string& aBooking,
                                       const std::string& aKey)
  {
    return net.wait(startBooking(aBooking, aKey));
  }

  void runUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      net.loop->runOnce(true);
    }
  }

  bool logged(std::string_view aName) const
  {
    for (const auto& event : log->eventsAfter(0)) {
      if (event.name == aName) {
        return true;
      }
    }
    return false;
  }

  /// The problem type of a refusal and whether the request ran, e.g. "shed/no".
  static std::string problem(const testing::StandInFixture::Answer& aAnswer)
  {
    const std::string type = stringMember(aAnswer.json, "type").value_or("");
    return type.substr(type.rfind(':') + 1) + "/" +
           stringMember(aAnswer.json, "ran").value_or("");
  }

  void injectFault(std::uint16_t aPort,
                   const std::string& aPath,
                   const std::string& aBody)
  {
    net.call("POST", aPort, aPath, aBody);
  }
};

} // namespace savoryrill::router
