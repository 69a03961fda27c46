#include "placement/tests/simulation.h"

namespace savoryrill::placement {

using upstream::OrderOutcome;

namespace {

OwnershipTracker::Options
trackerOptions(const std::string& aHost)
{
  return { aHost, "dc", kLease, kOrderTimeToLive, kClockMargin, 4s };
}

} // namespace

SimController::SimController(Simulation& aSimulation, std::string aHost)
  : simulation(aSimulation)
  , host(aHost)
  , session({ aHost, "dc", kLease },
            [&aSimulation] { return ++aSimulation.incarnations; })
  , tracker(trackerOptions(aHost))
{
}

const Ownership&
SimController::ownershipOf(const std::string& aUpstream) const
{
  return engines.at(aUpstream).ownership();
}

void
SimController::transact(
  const platform::Transaction& aTransaction,
  std::function<void(const Result<platform::TransactionOutcome>&)> aDone)
{
  // Both the request and the response may be delayed or lost.
  const bool lost = simulation.chance(5);
  const bool response_lost = simulation.chance(10);
  const Duration request_delay = simulation.chance(10) ? simulation.randomDuration(12s)
                                                       : simulation.randomDuration(100ms);
  const Duration timeout = 1500ms;
  auto finished = std::make_shared<bool>(false);
  const auto finish = [finished, aDone](const Result<platform::TransactionOutcome>& aR) {
    if (!std::exchange(*finished, true)) {
      aDone(aR);
    }
  };
  simulation.schedule(
    timeout, host, [finish] { finish(fail(ErrorCode::OutcomeUnknown, "timeout")); });
  if (lost) {
    return;
  }
  const std::string self = host;
  auto& sim = simulation;
  const std::weak_ptr<int> alive = lifetime;
  simulation.schedule(
    request_delay, "", [&sim, self, alive, aTransaction, response_lost, finish] {
      const auto outcome = sim.table.transact(aTransaction);
      if (!response_lost && !alive.expired()) {
        sim.schedule(
          sim.randomDuration(50ms), self, [finish, outcome] { finish(outcome); });
      }
    });
}

void
SimController::step()
{
  if (simulation.chance(20)) {
    configuration = simulation.configuration;
  }
  sessionStep();
  if (!reading && simulation.chance(15)) {
    readRows();
  }
  if (simulation.chance(20)) {
    gossip();
  }
  ownershipStep();
  engineStep();
  planStep();
}

void
SimController::sessionStep()
{
  const auto apply_change = [this](SessionLease::Change aChange) {
    if (aChange == SessionLease::Change::Lost) {
      quiescing.clear();
      apply(tracker.sessionLost());
    }
  };
  auto command = session.next(simulation.now);
  if (std::holds_alternative<SessionLease::ReadRow>(command)) {
    simulation.schedule(simulation.randomDuration(100ms), host, [this, apply_change] {
      apply_change(
        session.rowRead(simulation.table.read(sessionKey(host)), simulation.now));
    });
  } else if (const auto* renewal = std::get_if<platform::Transaction>(&command)) {
    transact(*renewal, [this, apply_change](const auto& aOutcome) {
      apply_change(session.transactionDone(aOutcome, simulation.now));
    });
  }
}

void
SimController::readRows()
{
  reading = true;
  const Instant sent = simulation.now;
  // The rows are read at one time, and the response arrives later.
  const auto& table = simulation.table;
  const auto sessions = table.readAll(kSessionPrefix);
  const auto owners = table.readAll(kOwnerPrefix);
  const auto slots = table.readAll(kSlotsPrefix);
  const auto assignments = table.readAll(kAssignmentPrefix);
  const auto head = *table.read(std::string(kHeadKey));
  const Duration delay = simulation.chance(5) ? simulation.randomDuration(5s)
                                              : simulation.randomDuration(200ms);
  simulation.schedule(
    delay, host, [this, sent, sessions, owners, slots, assignments, head] {
      reading = false;
      tracker.sessionsRead(sessions, simulation.now);
      apply(tracker.ownersRead(owners, session, sent, simulation.now));
      view.headRowVersion =
        parseHead(head.value).value().version == configuration.version ? head.version : 0;
      cache.tableRead(slots, assignments, sent);
    });
}

// Receives a row from another controller, possibly with a long delay.
void
SimController::gossip()
{
  const auto& other =
    simulation.controllers.at(kHosts[simulation.random() % kHosts.size()]);
  const auto& rows = other->cache.assignments();
  if (rows.empty()) {
    return;
  }
  const auto [loadable, row] =
    *std::next(rows.begin(), static_cast<long>(simulation.random() % rows.size()));
  simulation.schedule(simulation.chance(20) ? simulation.randomDuration(10s)
                                            : simulation.randomDuration(50ms),
                      host,
                      [this, loadable = loadable, row = row] {
                        cache.gossipReceived(
                          loadable, row.version, row.value, simulation.now);
                      });
}

void
SimController::apply(const std::vector<OwnershipChange>& aChanges)
{
  for (const auto& change : aChanges) {
    engines.erase(change.upstream);
    if (const auto* ownership = tracker.find(change.upstream)) {
      engines.insert({ change.upstream,
                       OwnedEngine(change.upstream,
                                   configuration.upstreams.at(change.upstream),
                                   *ownership,
                                   { kOrderTimeToLive,
                                     kOrderTimeToLive + kClockMargin,
                                     kLease + kOrderTimeToLive + kClockMargin }) });
    }
  }
}

void
SimController::ownershipStep()
{
  for (const auto& claim :
       tracker.claims(enginesOf(configuration, "dc"), session, simulation.now)) {
    simulation.takeovers += claim.reason == ClaimReason::Takeover ? 1 : 0;
    transact(claim.transaction, [this, claim](const auto& aOutcome) {
      if (const auto change =
            tracker.claimDone(claim, aOutcome, session, simulation.now)) {
        apply({ *change });
      }
    });
  }
  if (quiescing.empty()) {
    if (const auto upstream = tracker.upstreamToHandOver(simulation.now)) {
      quiescing = *upstream;
      engines.at(quiescing).quiesce();
    }
    return;
  }
  const auto engine = engines.find(quiescing);
  if (engine == engines.end()) {
    quiescing.clear();
  } else if (engine->second.allOrdersSettled(simulation.now)) {
    const std::string upstream = std::exchange(quiescing, "");
    const auto release = tracker.release(upstream);
    engines.erase(engine);
    transact(release, [this, upstream](const auto& aOutcome) {
      tracker.releaseDone(upstream, aOutcome, simulation.now);
    });
  }
}

void
SimController::sendOrder(const std::string& aUpstream, const upstream::Order& aOrder)
{
  const auto done = [this, aUpstream, aOrder](OrderOutcome aOutcome) {
    const auto engine = engines.find(aUpstream);
    if (engine != engines.end() &&
        engine->second.ownership().fencingNumber == aOrder.fencingNumber &&
        engine->second.orderDone(aOrder, aOutcome, simulation.now)) {
      if (const auto change = tracker.superseded(aUpstream)) {
        apply({ *change });
      }
    }
  };
  const bool checks = simulation.engines.at(aUpstream).checksFencing;
  if (!tracker.mayOrder(aUpstream, checks, session, simulation.now)) {
    done(OrderOutcome::NotSent);
    return;
  }
  const Instant sent = simulation.now;
  const bool lost = simulation.chance(5);
  const bool response_lost = simulation.chance(10);
  const Duration request_delay = simulation.chance(20) ? simulation.randomDuration(3s)
                                                       : simulation.randomDuration(50ms);
  auto finished = std::make_shared<bool>(false);
  const auto finish = [finished, done](OrderOutcome aOutcome) {
    if (!std::exchange(*finished, true)) {
      done(aOutcome);
    }
  };
  simulation.schedule(1s, host, [finish] { finish(OrderOutcome::Unknown); });
  if (lost) {
    return;
  }
  auto& sim = simulation;
  const std::string self = host;
  const std::weak_ptr<int> alive = lifetime;
  simulation.schedule(request_delay, "", [=, &sim] {
    sim.deliver(aUpstream, aOrder, sent, [&](OrderOutcome aOutcome) {
      if (!response_lost && !alive.expired()) {
        sim.schedule(
          sim.randomDuration(50ms), self, [finish, aOutcome] { finish(aOutcome); });
      }
    });
  });
}

void
SimController::poll(const std::string& aUpstream)
{
  const Instant sent = simulation.now;
  const std::uint64_t fencing = ownershipOf(aUpstream).fencingNumber;
  auto& sim = simulation;
  const std::string self = host;
  const std::weak_ptr<int> alive = lifetime;
  // The inventory is taken at a random time between sending and receipt.
  simulation.schedule(
    simulation.randomDuration(200ms),
    "",
    [this, &sim, self, alive, aUpstream, sent, fencing] {
      const auto& engine = sim.engines.at(aUpstream);
      upstream::Inventory inventory;
      inventory.incarnation = engine.incarnation;
      inventory.fencingNumber = engine.fencing;
      inventory.memoryMb = engine.memoryMb;
      for (const auto& [loadable, model] : engine.models) {
        inventory.models.push_back(model);
      }
      if (alive.expired()) {
        return;
      }
      sim.schedule(
        sim.randomDuration(300ms), self, [this, aUpstream, inventory, sent, fencing] {
          const auto found = engines.find(aUpstream);
          if (found == engines.end() ||
              found->second.ownership().fencingNumber != fencing) {
            return;
          }
          if (found->second.inventoryReceived(inventory, {}, sent, simulation.now)
                .superseded) {
            if (const auto change = tracker.superseded(aUpstream)) {
              apply({ *change });
            }
          }
        });
    });
}

void
SimController::engineStep()
{
  view.configuration = &configuration;
  view.assignments = cache.assignments();
  view.slots = cache.slots();
  std::vector<std::pair<std::string, upstream::Order>> orders;
  for (auto& [name, engine] : engines) {
    if (auto adopt = engine.adopt(simulation.now)) {
      orders.emplace_back(name, *adopt);
    }
    if (simulation.chance(25)) {
      poll(name);
    }
    for (const auto& [model, deployment] : configuration.deployments) {
      const config::Loadable loadable{ model, "1" };
      const auto row = view.assignments.find(loadable);
      const auto* place =
        row == view.assignments.end() ? nullptr : row->second.value.find(name);
      const bool active = place != nullptr && place->state == PlaceState::Active;
      std::optional<upstream::Order> order;
      const bool fresh =
        cache.readSentAt() && *cache.readSentAt() >= engine.ownership().takenAt;
      if (active && fresh && simulation.chance(30) &&
          AssignmentPlanner::mayLoad(view, loadable, name)) {
        order = engine.load(loadable, deployment.footprintMb, simulation.now);
      } else if (!active || simulation.chance(5)) {
        order = engine.unload(loadable, simulation.now);
      }
      if (order) {
        orders.emplace_back(name, *order);
      }
    }
  }
  for (const auto& [name, order] : orders) {
    sendOrder(name, order);
  }
}

void
SimController::planStep()
{
  if (writing || view.headRowVersion == 0 || !simulation.chance(40)) {
    return;
  }
  view.upstreams.clear();
  for (const auto& [name, properties] : configuration.upstreams) {
    view.upstreams[name].reachable = true;
    // An upstream is leaving occasionally, so that places move.
    view.upstreams[name].leaving = simulation.chance(3);
  }
  const config::Loadable loadable{ "m" + std::to_string(1 + simulation.random() % 3),
                                   "1" };
  view.demand = { { loadable, { 1, 0 } } };
  auto change = planner.plan(view, loadable);
  for (const auto& [name, engine] : engines) {
    if (engine.confirmedAbsent(loadable)) {
      if (auto removal = planner.planRemoval(view, loadable, name, engine.ownership())) {
        change = removal;
      }
    }
  }
  if (!change) {
    return;
  }
  writing = true;
  transact(change->transaction, [this, change](const auto& aOutcome) {
    writing = false;
    if (!aOutcome.has_value() || !aOutcome.value().committed) {
      return;
    }
    simulation.removals += change->kind == ChangeKind::Remove ? 1 : 0;
    cache.committed(*change, aOutcome.value(), simulation.now);
  });
}

} // namespace savoryrill::placement
