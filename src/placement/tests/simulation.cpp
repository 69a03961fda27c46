#include "placement/tests/simulation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace savoryrill::placement {

using upstream::OrderKind;
using upstream::OrderOutcome;
using upstream::ReplicaState;

namespace {

// Time for which a replaced configuration may still be in effect. Within this time all
// controllers adopt the new configuration, and the orders that they sent under the former
// one expire.
constexpr Duration kConfigurationAdoptionTime = 30s;

} // namespace

Simulation::Simulation(std::uint32_t aSeed)
  : random(aSeed)
  , seed(aSeed)
{
  configuration.version = 1;
  configuration.dataCentres = { "dc" };
  configuration.pools["p"] = config::PoolKind::Engine;
  for (const auto* name : { "c1", "c2", "i1", "i2" }) {
    config::Upstream upstream;
    upstream.pool = "p";
    upstream.dataCentre = "dc";
    upstream.memoryMb = 100;
    upstream.checksFencing = name[0] == 'c';
    configuration.upstreams[name] = upstream;
    engines[name] = { upstream.checksFencing, upstream.memoryMb };
  }
  for (const auto& [name, limit, footprint] :
       { std::tuple("m1", 1, 60), std::tuple("m2", 2, 50), std::tuple("m3", 1, 40) }) {
    config::Deployment deployment;
    deployment.pool = "p";
    deployment.maxReplicas = limit;
    deployment.footprintMb = footprint;
    deployment.versions = { "1" };
    configuration.deployments[name] = deployment;
  }
  table.put(std::string(kHeadKey), toJson(HeadRow{ 1, "c", "o", "s" }));
  for (const auto& host : kHosts) {
    restart(host);
  }
}

bool
Simulation::chance(int aPercent)
{
  return static_cast<int>(random() % 100) < aPercent;
}

Duration
Simulation::randomDuration(Duration aLimit)
{
  return Duration(random() % static_cast<std::uint64_t>(aLimit.count()));
}

void
Simulation::schedule(Duration aDelay,
                     const std::string& aHost,
                     std::function<void()> aAction)
{
  if (aHost.empty()) {
    events.insert({ now + aDelay, { "", std::move(aAction) } });
    return;
  }
  const std::weak_ptr<int> lifetime = controllers.at(aHost)->lifetime;
  events.insert({ now + aDelay, { aHost, [lifetime, action = std::move(aAction)] {
                                   if (!lifetime.expired()) {
                                     action();
                                   }
                                 } } });
}

void
Simulation::restart(const std::string& aHost)
{
  controllers.erase(aHost);
  controllers[aHost] = std::make_unique<SimController>(*this, aHost);
  controllers[aHost]->configuration = configuration;
}

void
Simulation::changeConfiguration()
{
  auto& deployment = configuration.deployments[chance(50) ? "m1" : "m2"];
  const config::Loadable loadable{ &deployment == &configuration.deployments["m1"] ? "m1"
                                                                                   : "m2",
                                   "1" };
  formerMaxReplicas[loadable] = { maxReplicasOf(loadable),
                                  now + kConfigurationAdoptionTime };
  deployment.maxReplicas = 1 + random() % 3;
  ++configuration.version;
  table.put(std::string(kHeadKey),
            toJson(HeadRow{ configuration.version, "c", "o", "s" }));
}

std::uint32_t
Simulation::maxReplicasOf(const config::Loadable& aLoadable) const
{
  std::uint32_t limit = configuration.deployments.at(aLoadable.deployment).maxReplicas;
  const auto former = formerMaxReplicas.find(aLoadable);
  if (former != formerMaxReplicas.end() && now < former->second.second) {
    limit = std::max(limit, former->second.first);
  }
  return limit;
}

void
Simulation::deliver(const std::string& aUpstream,
                    const upstream::Order& aOrder,
                    Instant aSentAt,
                    const std::function<void(OrderOutcome)>& aRespond)
{
  auto& engine = engines.at(aUpstream);
  if (now - aSentAt > aOrder.timeToLive) {
    aRespond(OrderOutcome::Expired);
    return;
  }
  if (engine.checksFencing && aOrder.fencingNumber < engine.fencing) {
    aRespond(OrderOutcome::StaleFencing);
    return;
  }
  if (engine.checksFencing) {
    engine.fencing = aOrder.fencingNumber;
  }
  const auto resident = engine.models.find(aOrder.loadable);
  if (aOrder.kind == OrderKind::Load && resident == engine.models.end()) {
    engine.models[aOrder.loadable] = { aOrder.loadable,
                                       ReplicaState::Loading,
                                       aOrder.footprintMb };
    ++loadsAccepted;
    const auto count =
      std::count_if(engines.begin(), engines.end(), [&](const auto& aEngine) {
        return aEngine.second.models.contains(aOrder.loadable);
      });
    if (count > static_cast<std::int64_t>(maxReplicasOf(aOrder.loadable))) {
      FAIL(("replica limit exceeded, seed " + std::to_string(seed)).c_str());
    }
  } else if (aOrder.kind == OrderKind::Unload && resident != engine.models.end()) {
    resident->second.state = ReplicaState::Unloading;
  }
  aRespond(OrderOutcome::Accepted);
}

void
Simulation::completeOrders(SimEngine& aEngine)
{
  for (auto model = aEngine.models.begin(); model != aEngine.models.end();) {
    if (model->second.state == ReplicaState::Unloading) {
      model = aEngine.models.erase(model);
      continue;
    }
    model->second.state = ReplicaState::Loaded;
    ++model;
  }
}

void
Simulation::checkInvariants() const
{
  for (const auto& [name, engine] : engines) {
    std::uint64_t used = 0;
    for (const auto& [loadable, model] : engine.models) {
      used += model.footprintMb;
    }
    if (used > engine.memoryMb) {
      FAIL(("memory overcommitted, seed " + std::to_string(seed)).c_str());
    }
  }
}

void
Simulation::step()
{
  now += randomDuration(300ms);
  while (!events.empty() && events.begin()->first <= now) {
    auto event = events.begin()->second;
    events.erase(events.begin());
    if (!event.host.empty() && now < controllers.at(event.host)->pausedUntil) {
      // A paused process receives its messages when it resumes.
      events.insert({ controllers.at(event.host)->pausedUntil, event });
      continue;
    }
    event.action();
    checkInvariants();
  }
  for (const auto& host : kHosts) {
    if (now >= controllers.at(host)->pausedUntil) {
      controllers.at(host)->step();
      checkInvariants();
    }
  }
  auto& engine = std::next(engines.begin(), static_cast<long>(random() % 4))->second;
  if (chance(30)) {
    completeOrders(engine);
  }
  if (chance(1)) {
    engine.models.clear();
    ++engine.incarnation;
  }
  const std::string host = kHosts[random() % kHosts.size()];
  if (chance(2)) {
    controllers.at(host)->pausedUntil = now + randomDuration(20s);
  } else if (chance(1)) {
    restart(host);
  } else if (chance(1)) {
    changeConfiguration();
  }
}

void
Simulation::run(int aSteps)
{
  for (int count = 0; count < aSteps; ++count) {
    step();
  }
}

} // namespace savoryrill::placement
