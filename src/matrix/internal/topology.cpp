#include "matrix/topology.h"

#include "testing/internal/json.h"

namespace savoryrill::matrix {

using testing::fields;

namespace {

// Last number of the addresses, to which the index of the part is added.
constexpr std::size_t kPlatform = 10;
constexpr std::size_t kPlatformRoutes = 12;
constexpr std::size_t kHosts = 20;
constexpr std::size_t kEngines = 100;
constexpr std::size_t kServices = 120;
constexpr std::size_t kToRoute = 50; // from an upstream to its route
constexpr std::size_t kPeerRoutes = 200;

std::string
text(std::string_view aText)
{
  return std::string(aText);
}

std::string
peerRouteName(std::size_t aDataCentre, std::size_t aHost)
{
  return "peer-" + text(Topology::kDataCentres[aDataCentre]) + "-" +
         text(Topology::kHosts[aHost].name);
}

} // namespace

std::string
Topology::at(std::size_t aHost, unsigned aPort) const
{
  return "127.40." + std::to_string(mBlock) + "." + std::to_string(aHost) + ":" +
         std::to_string(aPort);
}

std::string
Topology::peerRoute(std::size_t aDataCentre, std::size_t aHost) const
{
  return at(kPeerRoutes + 10 * aDataCentre + aHost, 7000);
}

std::vector<Part>
Topology::parts() const
{
  std::vector<Part> parts{ { "platform", Role::Platform, 0, at(kPlatform, 7100) },
                           { "proxy", Role::Proxy, 0, at(kPlatform + 1, 7000) } };
  for (std::size_t index = 0; index < kEngines.size(); ++index) {
    const auto name = kEngines[index].name;
    parts.push_back({ text(name),
                      Role::Engine,
                      index,
                      at(matrix::kEngines + index, 9000),
                      {},
                      name != kUnfencedEngine });
  }
  for (std::size_t index = 0; index < kServices.size(); ++index) {
    parts.push_back({ text(kServices[index].name),
                      Role::Service,
                      index,
                      at(matrix::kServices + index, 9000) });
  }
  for (std::size_t index = 0; index < kHosts.size(); ++index) {
    const std::string name = text(kHosts[index].name);
    const std::size_t host = matrix::kHosts + index;
    parts.push_back({ "controller-" + name, Role::Controller, index, at(host, 8082) });
    parts.push_back(
      { "router-" + name, Role::Router, index, at(host, 8081), caller(index) });
  }
  return parts;
}

std::vector<std::string>
Topology::routes() const
{
  const std::string platform = at(kPlatform, 7100);
  std::vector<std::string> routes{ "platform-operator=" + operatorPlatform() + "," +
                                   platform };
  for (std::size_t centre = 0; centre < kDataCentres.size(); ++centre) {
    routes.push_back("platform-" + text(kDataCentres[centre]) + "=" +
                     at(kPlatformRoutes + centre, 7100) + "," + platform);
    for (std::size_t host = 0; host < kHosts.size(); ++host) {
      if (kHosts[host].dataCentre != centre) {
        routes.push_back(peerRouteName(centre, host) + "=" + peerRoute(centre, host) +
                         "," + peer(host));
      }
    }
  }
  for (std::size_t index = 0; index < kEngines.size(); ++index) {
    const std::size_t engine = matrix::kEngines + index;
    routes.push_back(text(kEngines[index].name) + "=" + at(engine + kToRoute, 9000) +
                     "," + at(engine, 9000));
  }
  for (std::size_t index = 0; index < kServices.size(); ++index) {
    const std::size_t service = matrix::kServices + index;
    routes.push_back(text(kServices[index].name) + "=" + at(service + kToRoute, 9000) +
                     "," + at(service, 9000));
  }
  return routes;
}

std::vector<std::string>
Topology::peerRoutes(std::size_t aDataCentre)
{
  std::vector<std::string> names;
  for (std::size_t centre = 0; centre < kDataCentres.size(); ++centre) {
    for (std::size_t host = 0; host < kHosts.size(); ++host) {
      const std::size_t other = kHosts[host].dataCentre;
      if (centre != other && (centre == aDataCentre || other == aDataCentre)) {
        names.push_back(peerRouteName(centre, host));
      }
    }
  }
  return names;
}

std::string
Topology::settings(std::size_t aHost) const
{
  const auto& [name, data_centre] = kHosts[aHost];
  auto settings =
    fields({ { "host", text(name) },
             { "data_centre", text(kDataCentres[data_centre]) },
             { "caller_address", caller(aHost) },
             { "router_operator_address", at(matrix::kHosts + aHost, 8081) },
             { "controller_operator_address", at(matrix::kHosts + aHost, 8082) },
             { "peer_address", peer(aHost) },
             { "operator_token_file", "token" },
             { "log_level", "info" },
             { "balancer_delay_ms", kBalancerDelayMs },
             { "drain_limit_ms", 10000 },
             { "lease_ms", kLeaseMs },
             { "order_ttl_ms", kOrderMs },
             { "clock_margin_ms", kMarginMs } });
  settings["platform"].append(at(kPlatformRoutes + data_centre, 7100));
  for (std::size_t other = 0; other < kHosts.size(); ++other) {
    const bool near = kHosts[other].dataCentre == data_centre;
    settings["peers"].append(
      fields({ { "host", text(kHosts[other].name) },
               { "data_centre", text(kDataCentres[kHosts[other].dataCentre]) },
               { "endpoint", near ? peer(other) : peerRoute(data_centre, other) } }));
  }
  return testing::toText(settings);
}

std::string
Topology::configuration(unsigned aRevision) const
{
  auto root = fields({ { "schema_version", 1 }, { "region", "occidente" } });
  root["weight_store"] = fields({ { "loads_per_second", 8 },
                                  { "full_speed_loads", 4 },
                                  { "adapters_in_flight", 32 } });
  root["pools"]["engines"]["kind"] = "engine";
  root["pools"]["dispatch"]["kind"] = "service";
  for (const auto name : kDataCentres) {
    root["data_centres"].append(text(name));
  }
  for (const auto& part : parts()) {
    if (part.role != Role::Engine && part.role != Role::Service) {
      continue;
    }
    const bool engine = part.role == Role::Engine;
    const auto& placed = engine ? kEngines[part.index] : kServices[part.index];
    const std::size_t base = engine ? matrix::kEngines : matrix::kServices;
    auto& upstream = root["upstreams"][part.name];
    upstream = fields({ { "pool", engine ? "engines" : "dispatch" },
                        { "data_centre", text(kDataCentres[placed.dataCentre]) },
                        { "address", at(base + part.index + kToRoute, 9000) } });
    if (engine) {
      upstream["memory_mb"] = kEngineMemoryMb;
      upstream["adapter_memory_mb"] = 1000;
      upstream["checks_fencing"] = part.checksFencing;
    }
  }
  for (const auto& model : kModels) {
    auto& deployment = root["deployments"][text(model.name)];
    deployment = fields({ { "pool", "engines" },
                          { "max_replicas", model.maxReplicas },
                          { "footprint_mb", model.footprintMb },
                          { "load_ms", 1000 },
                          { "deadline_ms", 30000 + aRevision } });
    deployment["versions"].append("1");
    deployment["keep_alive"] = fields({ { "policy", "fixed" }, { "idle_s", 5 } });
  }
  auto& service = root["services"][text(kBookingService)];
  service = fields({ { "pool", "dispatch" },
                     { "path", "/visits" },
                     { "repeatable", false },
                     { "deadline_ms", 30000 } });
  service["methods"].append("POST");
  return testing::toText(root);
}

} // namespace savoryrill::matrix
