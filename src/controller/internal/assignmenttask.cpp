#include "controller/internal/assignmenttask.h"

#include "controller/types/controllerevents.h"
#include "placement/rendezvous.h"

namespace savoryrill::controller {

namespace {

constexpr Duration kTick = 50ms;
// The periodic read only repairs missed updates: changes arrive as gossip entries, and
// conflicts and new ownerships cause a read at once. Reading 783 rows every second takes
// 3.9% of a core.
constexpr Duration kReadPeriod = 5s;
// Planning begins when the state of all engines is known, or after this time. Planning
// earlier would place too many models on the engines that happen to be known.
constexpr Duration kMaxEngineStateWait = 3s;
// Maximum number of rows planned in one tick, so that a large configuration does not
// stall the loop.
constexpr int kMaxPlansPerTick = 64;

} // namespace

AssignmentTask::AssignmentTask(TaskContext aContext)
  : mContext(aContext)
  , mFleet(aContext.settings.dataCentre)
{
}

void
AssignmentTask::start()
{
  mTimer = mContext.loop.every(kTick, [this] { tick(); });
}

void
AssignmentTask::handle(AssignmentMessage&& aMessage)
{
  std::visit([this](auto& aBody) { on(std::move(aBody)); }, aMessage);
}

void
AssignmentTask::on(ConfigAdopted&& aMessage)
{
  if (!mConfiguration) {
    mPlanAfter = mContext.loop.now() + kMaxEngineStateWait;
  }
  mConfiguration = aMessage.configuration;
  mView.configuration = mConfiguration.get();
  // No transaction is planned until the table's head row is read and names this
  // configuration.
  mView.headRowVersion = 0;
}

void
AssignmentTask::on(HeadConfirmed&& aMessage)
{
  if (mConfiguration && mConfiguration->version == aMessage.configVersion) {
    mView.headRowVersion = aMessage.rowVersion;
  }
}

void
AssignmentTask::on(LiveHostsChanged&& aMessage)
{
  mLiveHosts = aMessage.allDataCentres;
}

void
AssignmentTask::on(OwnershipChanged&& aMessage)
{
  if (aMessage.owned) {
    // Loads require a table read that was sent after the ownership was taken.
    mNextRead = Instant{};
  }
}

void
AssignmentTask::on(EntryChanged&& aMessage)
{
  if (aMessage.entry.kind() == peer::ENTRY_KIND_ASSIGNMENT) {
    applyEntry(aMessage.entry);
  } else {
    mFleet.apply(aMessage.entry, mContext.loop.now());
  }
}

void
AssignmentTask::applyEntry(const peer::Entry& aEntry)
{
  peer::AssignmentContent content;
  if (aEntry.payload().empty() || !content.ParseFromString(aEntry.payload()) ||
      content.deployment().empty() || content.version().empty()) {
    return;
  }
  placement::AssignmentRow row;
  for (const auto& place : content.places()) {
    if (row.find(place.upstream()) == nullptr) {
      row.places.push_back({ place.upstream(),
                             place.releasing() ? placement::PlaceState::Releasing
                                               : placement::PlaceState::Active });
    }
  }
  const config::Loadable loadable{ content.deployment(), content.version() };
  const auto known = mCache.assignments().find(loadable);
  const bool newer = known == mCache.assignments().end()
                       ? !row.places.empty()
                       : content.row_version() > known->second.version;
  if (newer) {
    mNextRead = Instant{}; // the slots row may have changed as well
  }
  if (mCache.gossipReceived(loadable, content.row_version(), row, mContext.loop.now())) {
    sendAssignments();
  }
}

void
AssignmentTask::tick()
{
  const Instant now = mContext.loop.now();
  if (now >= mNextRead && !mReading) {
    readRows();
  }
  if (mayPlan(now)) {
    planNext();
  }
}

void
AssignmentTask::readRows()
{
  const Instant sent_at = mContext.loop.now();
  mNextRead = sent_at + kReadPeriod;
  mReading = true;
  mContext.platform.readRows(
    std::string(placement::kSlotsPrefix),
    mGuard.wrap([this, sent_at](const Result<std::vector<platform::Row>>& aSlots) {
      if (!aSlots.has_value()) {
        mReading = false;
        return;
      }
      mContext.platform.readRows(
        std::string(placement::kAssignmentPrefix),
        mGuard.wrap([this, sent_at, slots = aSlots.value()](
                      const Result<std::vector<platform::Row>>& aRows) {
          mReading = false;
          if (aRows.has_value()) {
            rowsRead(slots, aRows.value(), sent_at);
          }
        }));
    }));
}

void
AssignmentTask::rowsRead(const std::vector<platform::Row>& aSlots,
                         const std::vector<platform::Row>& aAssignments,
                         Instant aSentAt)
{
  const auto changes = mCache.tableRead(aSlots, aAssignments, aSentAt);
  for (const auto& loadable : changes.newer) {
    const auto& row = mCache.assignments().at(loadable);
    publish(loadable, row.version, row.value);
  }
  sendAssignments();
}

void
AssignmentTask::publish(const config::Loadable& aLoadable,
                        std::uint64_t aVersion,
                        const placement::AssignmentRow& aRow)
{
  peer::AssignmentContent content;
  content.set_deployment(aLoadable.deployment);
  content.set_version(aLoadable.version);
  content.set_row_version(aVersion);
  for (const auto& place : aRow.places) {
    auto* item = content.add_places();
    item->set_upstream(place.upstream);
    item->set_releasing(place.state == placement::PlaceState::Releasing);
  }
  mContext.sync.publish(peer::ENTRY_KIND_ASSIGNMENT,
                        config::toString(aLoadable),
                        0,
                        aVersion,
                        content.SerializeAsString());
}

void
AssignmentTask::sendAssignments()
{
  mView.assignments = mCache.assignments();
  mView.slots = mCache.slots();
  const AssignmentsUpdated updated{ std::make_shared<const Assignments>(
                                      mView.assignments),
                                    std::make_shared<const SlotsRows>(mView.slots),
                                    mCache.readSentAt() };
  mContext.outbox.engine(updated);
  mContext.outbox.load(updated);
}

bool
AssignmentTask::mayPlan(Instant aNow) const
{
  if (!mConfiguration || mView.headRowVersion == 0 || !mCache.readSentAt() || mPlanning) {
    return false;
  }
  if (aNow >= mPlanAfter) {
    return true;
  }
  for (const auto& name : placement::enginesOf(*mConfiguration, "")) {
    if (!mFleet.upstreams().contains(name)) {
      return false;
    }
  }
  return true;
}

bool
AssignmentTask::isResponsibleFor(const config::Loadable& aLoadable) const
{
  return placement::rendezvousWinner(mLiveHosts, config::toString(aLoadable)) ==
         mContext.settings.host;
}

std::optional<placement::AssignmentChange>
AssignmentTask::planOne(const config::Loadable& aLoadable)
{
  if (!isResponsibleFor(aLoadable) || mRemoving.contains(aLoadable)) {
    return std::nullopt;
  }
  if (auto change = mPlanner.planOrphanRemoval(mView, aLoadable)) {
    return change;
  }
  return mPlanner.plan(mView, aLoadable);
}

void
AssignmentTask::planNext()
{
  mView.upstreams = mFleet.upstreams();
  mView.demand.clear();
  for (const auto& [loadable, demand] : mFleet.demand()) {
    mView.demand[loadable] = { demand.waiting, demand.inFlight };
  }
  std::set<config::Loadable> loadables;
  for (const auto& [name, deployment] : mConfiguration->deployments) {
    const auto pool = mConfiguration->pools.find(deployment.pool);
    if (pool == mConfiguration->pools.end() || pool->second != config::PoolKind::Engine) {
      continue;
    }
    for (const auto& version : deployment.versions) {
      loadables.insert({ name, version });
    }
  }
  for (const auto& [loadable, row] : mView.assignments) {
    loadables.insert(loadable);
  }
  // Loadables with waiting requests come first, the others in round-robin order.
  for (const auto& [loadable, demand] : mFleet.demand()) {
    if (demand.waiting > 0 && loadables.contains(loadable)) {
      if (auto change = planOne(loadable)) {
        commit(std::move(*change));
        return;
      }
    }
  }
  auto next = loadables.upper_bound(mCursor);
  for (int count = 0; count < kMaxPlansPerTick && !loadables.empty(); ++count) {
    if (next == loadables.end()) {
      next = loadables.begin();
    }
    mCursor = *next++;
    if (auto change = planOne(mCursor)) {
      commit(std::move(*change));
      return;
    }
    if (static_cast<std::size_t>(count) + 1 >= loadables.size()) {
      return;
    }
  }
}

void
AssignmentTask::on(PlaceFreed&& aMessage)
{
  if (mRemoving.contains(aMessage.loadable) || mPlanning) {
    return; // the engine task reports the place again after the next inventory
  }
  if (auto change = mPlanner.planRemoval(
        mView, aMessage.loadable, aMessage.upstream, aMessage.ownership)) {
    commit(std::move(*change));
  }
}

void
AssignmentTask::commit(placement::AssignmentChange aChange)
{
  const bool removal = aChange.kind == placement::ChangeKind::Remove;
  if (removal) {
    mRemoving.insert(aChange.loadable);
  } else {
    mPlanning = true;
  }
  auto transaction = aChange.transaction;
  mContext.platform.transact(
    std::move(transaction),
    mGuard.wrap(
      [this, removal, aChange](const Result<platform::TransactionOutcome>& aOutcome) {
        if (removal) {
          mRemoving.erase(aChange.loadable);
        } else {
          mPlanning = false;
        }
        if (aOutcome.has_value() && aOutcome.value().committed) {
          committed(aChange, aOutcome.value());
          return;
        }
        mContext.log.write(kAssignmentConflict,
                           { { "model", config::toString(aChange.loadable) },
                             { "upstream", aChange.upstream },
                             { "reason",
                               aOutcome.has_value() ? std::string("conflict")
                                                    : aOutcome.error().message } });
        // A read shows whether the transaction took effect and what the rows are now.
        mNextRead = std::min(mNextRead, mContext.loop.now());
        mPlanAfter = std::max(mPlanAfter, mContext.loop.now() + kTick * 4);
      }));
}

void
AssignmentTask::committed(const placement::AssignmentChange& aChange,
                          const platform::TransactionOutcome& aOutcome)
{
  mContext.log.write(kAssignmentChanged,
                     { { "model", config::toString(aChange.loadable) },
                       { "upstream", aChange.upstream },
                       { "kind", nameOf(aChange.kind) },
                       { "reason", aChange.reason } });
  mContext.metrics.add("savoryrill_controller_assignment_changes_total{kind=\"" +
                       std::string(nameOf(aChange.kind)) + "\"}");
  const std::uint64_t version = mCache.committed(aChange, aOutcome, mContext.loop.now());
  publish(aChange.loadable, version, aChange.row);
  sendAssignments();
}

} // namespace savoryrill::controller
