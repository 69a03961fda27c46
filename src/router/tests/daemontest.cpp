#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <unistd.h>

#include "router/tests/routerfixture.h"
#include "testing/processes.h"

using namespace savoryrill;
using namespace savoryrill::router;

namespace {

constexpr const char* kSettings = R"({
  "host": "entry-1", "data_centre": "xela",
  "caller_address": "127.13.0.1:18080", "router_operator_address": "127.13.0.1:18081",
  "controller_operator_address": "127.13.0.1:18082", "peer_address": "127.13.0.1:18083",
  "platform": ["127.13.0.9:7000"], "peers": [], "operator_token_file": "token",
  "balancer_delay_ms": 10})";

constexpr const char* kBase = R"({"schema_version":1,"region":"r",
  "data_centres":["xela"],
  "weight_store":{"loads_per_second":4,"full_speed_loads":4},
  "pools":{"advisory":{"kind":"engine"}},
  "upstreams":{"one":{"pool":"advisory","data_centre":"xela","memory_mb":40000,
    "address":"127.13.0.8:9101"}},
  "deployments":{"m":{"pool":"advisory","max_replicas":1,"footprint_mb":1000,
    "load_ms":500,"versions":["1"],"deadline_ms":20000}}})";

} // namespace

TEST_GROUP(RouterDaemon)
{
  const std::string program = SAVORYRILL_BINARY_DIR "/savoryrill-router";
  const std::string base = std::filesystem::temp_directory_path() /
                           ("router-daemon-" + std::to_string(::getpid()));

  void teardown() override
  {
    std::filesystem::remove_all(base);
  }
};

// Guards against a router process that does not connect to a controller started after it,
// is ready without a configuration, or does not stop cleanly on SIGTERM.
TEST(RouterDaemon, startedBeforeController_followsItAndStops)
{
  testing::StandInFixture net;
  const auto log = EventLog::createInMemory();
  Metrics metrics;
  auto processes = std::move(testing::Processes::create(base).value());
  CHECK(processes.writeFile("router", "token", "secret\n").has_value());
  const auto settings = processes.writeFile("router", "settings.json", kSettings);
  CHECK(
    processes.start("router", program, { "--settings", settings.value() }).has_value());
  const std::string operators = "http://127.13.0.1:18081";
  CHECK(testing::Processes::waitReady(operators + "/healthz").has_value());
  CHECK_FALSE(testing::Processes::waitReady(operators + "/readyz", 0ms).has_value());

  gossip::SyncOptions options;
  options.local = { peer::ROLE_CONTROLLER, "entry-1", "xela", 1, "127.13.0.1:18083" };
  const auto controller =
    std::move(gossip::StateSync::create(*net.loop, options, *log, metrics).value());
  config::Bundle bundle;
  bundle.base = { "base.json", kBase };
  peer::ConfigContent content;
  content.set_version(3);
  content.set_bundle(config::serialise(bundle));
  controller->publish(
    peer::ENTRY_KIND_CONFIG, "config", 0, 3, content.SerializeAsString());
  std::uint64_t version = 0;
  controller->onChange([&](const peer::Entry& aEntry) {
    peer::MemberContent member;
    if (aEntry.key() == "router/entry-1" && member.ParseFromString(aEntry.payload())) {
      version = member.config_version();
    }
  });
  while (version != 3) {
    net.loop->runOnce(true);
  }
  CHECK(testing::Processes::waitReady(operators + "/readyz").has_value());
  LONGS_EQUAL(0, processes.stop("router").value());
}

// Guards against a router process that starts with invalid settings or without settings.
TEST(RouterDaemon, badSettings_endWithUsageStatus)
{
  auto processes = std::move(testing::Processes::create(base).value());
  CHECK(processes.start("router", program, {}).has_value());
  LONGS_EQUAL(2, processes.wait("router").value());
  const auto settings = processes.writeFile("router", "settings.json", "{\"host\": 1}");
  CHECK(
    processes.start("router", program, { "--settings", settings.value() }).has_value());
  LONGS_EQUAL(2, processes.wait("router").value());
  CHECK(processes.log("router").find("host") != std::string::npos);
}
