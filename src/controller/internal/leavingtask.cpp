#include "controller/internal/leavingtask.h"

#include <algorithm>
#include <chrono>

#include "controller/types/controllerevents.h"

namespace savoryrill::controller {

namespace {

constexpr Duration kPollPeriod = 1s;

} // namespace

LeavingTask::LeavingTask(TaskContext aContext)
  : mContext(aContext)
{
}

void
LeavingTask::start()
{
  mTimer = mContext.loop.every(kPollPeriod, [this] { poll(); });
  poll();
}

void
LeavingTask::handle(LeavingMessage&& aMessage)
{
  std::visit([this](auto& aBody) { on(std::move(aBody)); }, aMessage);
}

void
LeavingTask::on(ConfigAdopted&& aMessage)
{
  mConfiguration = aMessage.configuration;
}

void
LeavingTask::on(EntryChanged&& aMessage)
{
  const auto& entry = aMessage.entry;
  if (entry.kind() == peer::ENTRY_KIND_UPSTREAM) {
    peer::UpstreamContent content;
    if (!entry.payload().empty() && content.ParseFromString(entry.payload())) {
      mIncarnations[entry.key()] = content.upstream_incarnation();
    }
  } else if (entry.kind() == peer::ENTRY_KIND_LEAVING) {
    // The epoch of a leaving mark is the incarnation of its upstream.
    mKnownLeaving.insert({ entry.key(), entry.epoch() });
    auto& incarnation = mServiceIncarnations[entry.key()];
    incarnation = std::max(incarnation, entry.epoch());
  }
}

void
LeavingTask::on(EngineLeaving&& aMessage)
{
  publish(aMessage.upstream, aMessage.incarnation, "inventory");
}

void
LeavingTask::poll()
{
  const Instant sent_at = mContext.loop.now();
  if (!mReadingHosts) {
    mReadingHosts = true;
    mContext.platform.readHosts(mGuard.wrap(
      [this, sent_at](const Result<std::vector<platform::HostEntry>>& aHosts) {
        mReadingHosts = false;
        if (aHosts.has_value()) {
          hostsRead(aHosts.value(), sent_at);
        }
      }));
  }
  if (!mReadingDrains) {
    mReadingDrains = true;
    mContext.platform.readRows(
      std::string(placement::kDrainPrefix),
      mGuard.wrap([this](const Result<std::vector<platform::Row>>& aRows) {
        mReadingDrains = false;
        if (aRows.has_value()) {
          drainsRead(aRows.value());
        }
      }));
  }
}

void
LeavingTask::hostsRead(const std::vector<platform::HostEntry>& aHosts, Instant aSentAt)
{
  HostListRead read;
  read.sentAt = aSentAt;
  mLeavingHosts.clear();
  for (const auto& host : aHosts) {
    read.names.insert(host.name);
    if (host.state == platform::HostState::Leaving) {
      mLeavingHosts.insert(host.name);
      leavingSeen(host.name, "host-list");
    }
  }
  mContext.outbox.engine(read);
  reconcileServices();
}

void
LeavingTask::drainsRead(const std::vector<platform::Row>& aRows)
{
  mDrained.clear();
  for (const auto& row : aRows) {
    const std::string name = row.key.substr(placement::kDrainPrefix.size());
    mDrained.insert(name);
    leavingSeen(name, "drain");
  }
  reconcileServices();
}

bool
LeavingTask::isService(const std::string& aUpstream) const
{
  const auto upstream = mConfiguration->upstreams.find(aUpstream);
  if (upstream == mConfiguration->upstreams.end()) {
    return false;
  }
  const auto pool = mConfiguration->pools.find(upstream->second.pool);
  return pool != mConfiguration->pools.end() && pool->second == config::PoolKind::Service;
}

/// Publishes the start and the end of drains of plain services in the own data centre, as
/// shown by the host list and the drain rows.
void
LeavingTask::reconcileServices()
{
  if (!mConfiguration) {
    return;
  }
  for (const auto& [name, properties] : mConfiguration->upstreams) {
    if (properties.dataCentre != mContext.settings.dataCentre || !isService(name)) {
      continue;
    }
    const bool listed = mLeavingHosts.count(name) > 0;
    const bool drained = mDrained.count(name) > 0;
    const bool leaving = mLeavingServices.count(name) > 0;
    if ((listed || drained) && !leaving) {
      mLeavingServices.insert(name);
      publish(name, nextServiceIncarnation(name), drained ? "drain" : "host-list");
    } else if (!listed && !drained && leaving) {
      mLeavingServices.erase(name);
      publishServiceReturned(name);
    }
  }
}

/// The incarnation is based on the wall clock, so that processes that have not received
/// each other's numbers do not use the same ones.
std::uint64_t
LeavingTask::nextServiceIncarnation(const std::string& aService)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto wall_time = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  auto& incarnation = mServiceIncarnations[aService];
  incarnation = std::max(wall_time, incarnation + 1);
  return incarnation;
}

/// Publishes an upstream entry with a newer incarnation, which ends the leaving mark of
/// the older one at the routers.
void
LeavingTask::publishServiceReturned(const std::string& aService)
{
  const std::uint64_t incarnation = nextServiceIncarnation(aService);
  mContext.log.write(kServiceReturned, { { "upstream", aService } });
  peer::UpstreamContent content;
  content.set_upstream(aService);
  content.set_owner(mContext.settings.host);
  content.set_upstream_incarnation(incarnation);
  content.set_reachable(true);
  mContext.sync.publish(
    peer::ENTRY_KIND_UPSTREAM, aService, incarnation, 1, content.SerializeAsString());
}

void
LeavingTask::leavingSeen(const std::string& aName, const std::string& aSource)
{
  if (aName == mContext.settings.host) {
    if (!mHostDrained) {
      mHostDrained = true;
      mContext.outbox.session(HostDrainRequested{ aSource });
    }
    return;
  }
  // All controllers read the same lists; only those of the upstream's data centre publish
  // the leaving mark.
  const auto incarnation = mIncarnations.find(aName);
  if (!mConfiguration || isService(aName) || incarnation == mIncarnations.end()) {
    return;
  }
  const auto properties = mConfiguration->upstreams.find(aName);
  if (properties != mConfiguration->upstreams.end() &&
      properties->second.dataCentre == mContext.settings.dataCentre) {
    publish(aName, incarnation->second, aSource);
  }
}

void
LeavingTask::publish(const std::string& aUpstream,
                     std::uint64_t aIncarnation,
                     const std::string& aSource)
{
  if (!mKnownLeaving.insert({ aUpstream, aIncarnation }).second) {
    return;
  }
  mContext.log.write(kUpstreamLeaving,
                     { { "upstream", aUpstream }, { "source", aSource } });
  peer::LeavingContent content;
  content.set_upstream(aUpstream);
  content.set_upstream_incarnation(aIncarnation);
  content.set_source(aSource);
  mContext.sync.publish(
    peer::ENTRY_KIND_LEAVING, aUpstream, aIncarnation, 1, content.SerializeAsString());
}

} // namespace savoryrill::controller
