#include "controller/internal/enginetask.h"

#include <algorithm>
#include <utility>

#include "controller/internal/enginereport.h"
#include "controller/types/controllerevents.h"

namespace savoryrill::controller {

using upstream::ReplicaState;

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kPollPeriod = 1s;
constexpr Duration kChangingPollPeriod = 100ms; // while a model is loading or unloading
// An engine that is missing from the host list and unreachable for this time counts as
// removed: updates of the list are delayed, but a host that is only disconnected stays
// listed.
constexpr Duration kHostRemovalTime = 30s;
constexpr double kSlowdownSmoothing = 0.3; // weight of the newest load time
constexpr std::size_t kMaxPrefixes = 256;
constexpr std::int64_t kReadyTimeStepMs = 500; // of published remaining load times

} // namespace

EngineTask::EngineTask(TaskContext aContext, MayOrder aMayOrder)
  : mContext(aContext)
  , mMayOrder(std::move(aMayOrder))
{
}

void
EngineTask::start()
{
  mTimer = mContext.loop.every(kTick, [this] { tick(); });
}

void
EngineTask::handle(EngineMessage&& aMessage)
{
  std::visit([this](auto& aBody) { on(std::move(aBody)); }, aMessage);
}

EngineTask::Engine*
EngineTask::find(const std::string& aName)
{
  const auto found = mEngines.find(aName);
  return found == mEngines.end() ? nullptr : &found->second;
}

std::vector<const placement::OwnedEngine*>
EngineTask::engines() const
{
  std::vector<const placement::OwnedEngine*> result;
  for (const auto& [name, engine] : mEngines) {
    result.push_back(engine.state.get());
  }
  return result;
}

bool
EngineTask::mayLoad(const placement::OwnedEngine& aEngine) const
{
  return aEngine.ready() && mAssignmentsReadAt &&
         *mAssignmentsReadAt >= aEngine.ownership().takenAt;
}

std::size_t
EngineTask::loadsRunning() const
{
  std::size_t count = 0;
  for (const auto& [name, engine] : mEngines) {
    count += engine.loads.size();
  }
  return count;
}

std::map<config::ModelReference, std::uint32_t>
EngineTask::adapterSizes() const
{
  std::map<config::ModelReference, std::uint32_t> sizes;
  for (const auto& [name, deployment] : mConfiguration->deployments) {
    for (const auto& version : deployment.versions) {
      for (const auto& [adapter, properties] : deployment.adapters) {
        sizes[{ { name, version }, adapter }] = properties.sizeMb;
      }
    }
  }
  return sizes;
}

void
EngineTask::on(ConfigAdopted&& aMessage)
{
  mConfiguration = aMessage.configuration;
  mView.configuration = mConfiguration.get();
  for (auto& [name, engine] : mEngines) {
    const auto found = mConfiguration->upstreams.find(name);
    if (found != mConfiguration->upstreams.end()) {
      engine.state->configure(found->second);
    }
  }
}

void
EngineTask::on(OwnershipChanged&& aMessage)
{
  mEngines.erase(aMessage.upstream);
  if (!aMessage.owned || !mConfiguration) {
    auto ended = std::make_shared<EngineReport>();
    ended->upstream = aMessage.upstream;
    mContext.outbox.load(EngineReported{ ended });
    return;
  }
  const auto found = mConfiguration->upstreams.find(aMessage.upstream);
  if (found == mConfiguration->upstreams.end()) {
    return;
  }
  const auto& settings = mContext.settings;
  const Duration order_expiry = settings.orderTimeToLive + settings.clockMargin;
  auto& engine = mEngines[aMessage.upstream];
  engine.state = std::make_unique<placement::OwnedEngine>(
    aMessage.upstream,
    found->second,
    aMessage.ownership,
    placement::OwnedEngine::Timing{
      settings.orderTimeToLive, order_expiry, settings.leaseTime + order_expiry });
  engine.unreachableSince = mContext.loop.now();
  poll(engine);
}

void
EngineTask::on(AssignmentsUpdated&& aMessage)
{
  mView.assignments = *aMessage.assignments;
  mView.slots = *aMessage.slots;
  const auto before = std::exchange(mAssignmentsReadAt, aMessage.readSentAt);
  for (auto& [name, engine] : mEngines) {
    if (!before || *before < engine.state->ownership().takenAt) {
      report(engine);
    }
  }
}

void
EngineTask::on(QuiesceUpstream&& aMessage)
{
  if (auto* engine = find(aMessage.upstream)) {
    engine->state->quiesce();
    engine->quiesceRequested = true;
  }
}

void
EngineTask::on(HostListRead&& aMessage)
{
  for (auto& [name, engine] : mEngines) {
    if (aMessage.names.contains(name)) {
      engine.unlistedSince.reset();
    } else if (!engine.unlistedSince) {
      engine.unlistedSince = aMessage.sentAt;
    }
  }
}

void
EngineTask::tick()
{
  const Instant now = mContext.loop.now();
  for (auto& [name, engine] : mEngines) {
    if (auto adopt = engine.state->adopt(now)) {
      send(engine, *adopt);
    }
    if (now >= engine.nextPoll && !engine.readingInventory) {
      poll(engine);
    }
    const bool host_removed = !engine.reachable && engine.unlistedSince &&
                              now - engine.unreachableSince >= kHostRemovalTime &&
                              now - *engine.unlistedSince >= kHostRemovalTime;
    if (host_removed && !engine.declaredRemoved && engine.state->allOrdersSettled(now)) {
      engine.declaredRemoved = true;
      engine.state->declareHostRemoved(now);
      mContext.log.write(kEngineGone, { { "upstream", name } });
    }
    if (engine.declaredRemoved) {
      reconcileAssignments(engine);
    }
    if (engine.quiesceRequested && engine.state->allOrdersSettled(now)) {
      mContext.outbox.session(UpstreamQuiesced{ name });
    }
  }
}

void
EngineTask::poll(Engine& aEngine)
{
  const Instant sent_at = mContext.loop.now();
  aEngine.readingInventory = true;
  aEngine.nextPoll = sent_at + kPollPeriod;
  const std::string name = aEngine.state->name();
  const std::uint64_t fencing = aEngine.state->ownership().fencingNumber;
  mContext.engines.readInventory(
    aEngine.state->properties().address,
    mGuard.wrap(
      [this, name, fencing, sent_at](const Result<upstream::Inventory>& aInventory) {
        auto* engine = find(name);
        if (engine != nullptr && engine->state->ownership().fencingNumber == fencing) {
          engine->readingInventory = false;
          inventoryRead(name, aInventory, sent_at);
        }
      }));
}

void
EngineTask::markUnreachable(Engine& aEngine)
{
  if (aEngine.reachable || !aEngine.polled) {
    mContext.log.write(kEngineUnreachable, { { "upstream", aEngine.state->name() } });
  }
  if (aEngine.reachable) {
    aEngine.unreachableSince = mContext.loop.now();
  }
  aEngine.polled = true;
  aEngine.reachable = false;
}

void
EngineTask::inventoryRead(const std::string& aName,
                          const Result<upstream::Inventory>& aInventory,
                          Instant aSentAt)
{
  auto& engine = *find(aName);
  const Instant now = mContext.loop.now();
  if (!aInventory.has_value()) {
    markUnreachable(engine);
    report(engine);
    return;
  }
  if (!engine.reachable) {
    mContext.log.write(kEngineReachable, { { "upstream", aName } });
  }
  engine.reachable = true;
  engine.polled = true;
  engine.declaredRemoved = false;
  const auto& inventory = aInventory.value();
  const auto changes =
    engine.state->inventoryReceived(inventory, adapterSizes(), aSentAt, now);
  if (changes.superseded) {
    mContext.outbox.session(OwnerSuperseded{ aName });
    return;
  }
  if (changes.restarted) {
    mContext.log.write(kEngineRestarted, { { "upstream", aName } });
    engine.leavingReported = false;
    engine.lastCacheEvent = 0;
    engine.prefixes.clear();
  }
  if (inventory.leaving && !engine.leavingReported) {
    engine.leavingReported = true;
    mContext.outbox.leaving(EngineLeaving{ aName, inventory.incarnation });
  }
  loadsChanged(engine, changes);
  reconcileAssignments(engine);
  readCacheEvents(engine);
  const bool changing =
    std::any_of(inventory.models.begin(), inventory.models.end(), [](const auto& aModel) {
      return aModel.state == ReplicaState::Loading ||
             aModel.state == ReplicaState::Unloading;
    });
  if (changing || !engine.loads.empty() || !engine.state->ready()) {
    engine.nextPoll = std::min(engine.nextPoll, now + kChangingPollPeriod);
  }
  report(engine);
}

void
EngineTask::loadsChanged(Engine& aEngine, const placement::InventoryChanges& aChanges)
{
  const Instant now = mContext.loop.now();
  const std::string& name = aEngine.state->name();
  for (const auto& loadable : aChanges.loaded) {
    ReplicaLoaded loaded{ loadable, name, Duration::zero(), false };
    const auto load = aEngine.loads.find(loadable);
    if (load != aEngine.loads.end()) {
      loaded.duration = now - load->second.orderedAt;
      loaded.ordered = true;
      if (load->second.fromWeightStore &&
          load->second.expectedDuration > Duration::zero()) {
        const double ratio =
          toSeconds(loaded.duration) / toSeconds(load->second.expectedDuration);
        mWeightStoreSlowdown +=
          kSlowdownSmoothing * (std::max(1.0, ratio) - mWeightStoreSlowdown);
      }
      aEngine.loads.erase(load);
    }
    mContext.log.write(kLoadFinished,
                       { { "model", config::toString(loadable) },
                         { "upstream", name },
                         { "duration_ms", toMs(loaded.duration) } });
    mContext.outbox.load(loaded);
  }
  for (const auto& loadable : aChanges.failed) {
    mContext.log.write(kLoadFailed,
                       { { "model", config::toString(loadable) },
                         { "upstream", name },
                         { "reason", "replica disappeared while loading" } });
  }
  for (const auto& loadable : aChanges.vanished) {
    mContext.log.write(kUnloadConfirmed,
                       { { "model", config::toString(loadable) }, { "upstream", name } });
  }
  std::erase_if(aEngine.loads, [&](const auto& aLoad) {
    return !aEngine.state->ledger().holds(aLoad.first);
  });
}

void
EngineTask::readCacheEvents(Engine& aEngine)
{
  if (aEngine.readingEvents) {
    return;
  }
  aEngine.readingEvents = true;
  const std::string name = aEngine.state->name();
  const std::uint64_t fencing = aEngine.state->ownership().fencingNumber;
  mContext.engines.readCacheEvents(
    aEngine.state->properties().address,
    aEngine.lastCacheEvent,
    mGuard.wrap(
      [this, name, fencing](const Result<std::vector<upstream::CacheEvent>>& aEvents) {
        auto* engine = find(name);
        if (engine == nullptr || engine->state->ownership().fencingNumber != fencing) {
          return;
        }
        engine->readingEvents = false;
        if (aEvents.has_value()) {
          cacheEventsRead(*engine, aEvents.value());
        }
      }));
}

void
EngineTask::cacheEventsRead(Engine& aEngine,
                            const std::vector<upstream::CacheEvent>& aEvents)
{
  for (const auto& event : aEvents) {
    aEngine.lastCacheEvent = std::max(aEngine.lastCacheEvent, event.sequence);
    std::erase(aEngine.prefixes, event.prefixHash);
    if (event.stored) {
      aEngine.prefixes.push_front(event.prefixHash);
    }
  }
  if (aEngine.prefixes.size() > kMaxPrefixes) {
    aEngine.prefixes.resize(kMaxPrefixes);
  }
  if (!aEvents.empty()) {
    publish(aEngine);
  }
}

// Unloads replicas that have no active place any more, and reports releasing places whose
// replica is gone.
void
EngineTask::reconcileAssignments(Engine& aEngine)
{
  if (!mAssignmentsReadAt) {
    return;
  }
  const std::string name = aEngine.state->name();
  std::vector<config::Loadable> unassigned;
  for (const auto& [loadable, row] : mView.assignments) {
    const auto* place = row.value.find(name);
    if (place != nullptr && place->state == placement::PlaceState::Releasing &&
        aEngine.state->confirmedAbsent(loadable)) {
      mContext.outbox.assignment(
        PlaceFreed{ name, loadable, aEngine.state->ownership() });
    }
  }
  if (!aEngine.state->inventory()) {
    return;
  }
  for (const auto& model : aEngine.state->inventory()->models) {
    const auto row = mView.assignments.find(model.loadable);
    const auto* place =
      row == mView.assignments.end() ? nullptr : row->second.value.find(name);
    if (model.state != ReplicaState::Absent &&
        (place == nullptr || place->state == placement::PlaceState::Releasing)) {
      unassigned.push_back(model.loadable);
    }
  }
  for (const auto& loadable : unassigned) {
    on(OrderUnload{ name, loadable, "assignment" });
  }
}

void
EngineTask::report(Engine& aEngine)
{
  auto engine_report = std::make_shared<EngineReport>(reportOf(*aEngine.state));
  engine_report->ready = mayLoad(*aEngine.state) && aEngine.reachable;
  engine_report->weightStoreSlowdown = mWeightStoreSlowdown;
  for (auto& [loadable, replica] : engine_report->replicas) {
    const auto load = aEngine.loads.find(loadable);
    replica.fromWeightStore = load != aEngine.loads.end() && load->second.fromWeightStore;
  }
  mContext.outbox.load(EngineReported{ engine_report });
  publish(aEngine);
}

void
EngineTask::publish(Engine& aEngine)
{
  const auto& state = *aEngine.state;
  if (!state.inventory()) {
    return;
  }
  auto content = contentOf(state);
  content.set_owner(mContext.settings.host);
  content.set_reachable(aEngine.reachable);
  content.set_leaving(aEngine.leavingReported);
  for (const auto prefix : aEngine.prefixes) {
    content.add_cached_prefixes(prefix);
  }
  const Instant now = mContext.loop.now();
  for (auto& replica : *content.mutable_replicas()) {
    const auto load = aEngine.loads.find({ replica.deployment(), replica.version() });
    if (load == aEngine.loads.end()) {
      continue;
    }
    const Duration expected = load->second.fromWeightStore
                                ? std::chrono::duration_cast<Duration>(
                                    load->second.expectedDuration * mWeightStoreSlowdown)
                                : load->second.expectedDuration;
    const auto remaining = toMs(load->second.orderedAt + expected - now);
    // Rounded down to a multiple, so that the entry does not change with every poll.
    replica.set_ready_in_ms(static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, remaining / kReadyTimeStepMs * kReadyTimeStepMs)));
  }
  auto payload = content.SerializeAsString();
  if (payload == aEngine.publishedPayload) {
    return;
  }
  aEngine.publishedPayload = payload;
  mContext.sync.publish(peer::ENTRY_KIND_UPSTREAM,
                        state.name(),
                        state.ownership().fencingNumber,
                        ++aEngine.sequence,
                        std::move(payload));
}

} // namespace savoryrill::controller
