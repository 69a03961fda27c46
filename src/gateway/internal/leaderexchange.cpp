#include "gateway/internal/leadertask.h"

#include "gateway/types/gatewayevents.h"

// What the leader and the other hosts tell each other: demand and loads one way, replica
// views, expected times and sums of loads the other.

namespace savoryrill::gateway {

namespace {

// Replica views are sent when they change. A message without any is the sign of life.
constexpr Duration kNewsPeriod = 500ms;
// Views that changed within this time are sent to a host that connects; older changes are
// in the platform's list.
constexpr Duration kRecentViews = 6s;
// Pause between two messages with changed views, for each host that receives them.
constexpr Duration kViewsPausePerHost = 1ms;

} // namespace

void
LeaderTask::peerJoined(const transport::RemotePeer& aPeer)
{
  mRemote[aPeer.id] = aPeer;
  if (mLeading) {
    sendRecentViews(aPeer.id);
  } else if (aPeer.outgoing) {
    reportDemand();
  }
}

void
LeaderTask::peerLost(const transport::RemotePeer& aPeer)
{
  mRemote.erase(aPeer.id);
  mLoads.erase(aPeer.host);
}

void
LeaderTask::deltaReceived(const transport::RemotePeer& aPeer, const peer::Delta& aDelta)
{
  for (const auto& entry : aDelta.entries()) {
    if (entry.kind() == peer::ENTRY_KIND_DEMAND && mLeading) {
      const auto demand = decodeDemand(entry.payload());
      if (!demand) {
        noteBadEntry(aPeer, demand.error());
        continue;
      }
      takeDemand(aPeer.host, demand.value());
    }
  }
  if (!mLeading && mKnownLeader == aPeer.host) {
    takeReplicas(aPeer, aDelta);
  }
}

void
LeaderTask::noteBadEntry(const transport::RemotePeer& aPeer, const Error& aError)
{
  mDependencies.metrics.add("savoryrill_gateway_bad_peer_entries_total");
  mDependencies.log.write(kPeerEntryBad,
                          { { "host", aPeer.host }, { "reason", aError.message } });
}

void
LeaderTask::demandAppeared()
{
  if (mDemandPosted) {
    return;
  }
  mDemandPosted = true;
  mDependencies.loop.post([this] {
    mDemandPosted = false;
    reportDemand();
  });
}

void
LeaderTask::reportDemand()
{
  const HostDemand demand{ mHandlers.demand(), mDependencies.board.ownLoads() };
  mDemandSent = mDependencies.loop.now();
  if (mLeading) {
    takeDemand(mSettings.host, demand);
    return;
  }
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_DEMAND);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeDemand(demand));
  for (const auto& [id, remote] : mRemote) {
    if (remote.outgoing) {
      mPeers->send(id, delta);
    }
  }
}

void
LeaderTask::takeDemand(const std::string& aHost, const HostDemand& aDemand)
{
  mLoads[aHost] = aDemand.loads;
  const auto now = mDependencies.loop.now();
  bool waiting = false;
  for (auto& [group, planner] : mPlanners) {
    const auto& models = mProfiles[group].models;
    std::vector<serving::DemandItem> own;
    for (const auto& item : aDemand.items) {
      if (models.contains(item.model.model)) {
        own.push_back(item);
        waiting = waiting || item.waiting > 0;
      }
    }
    planner->reportDemand(aHost, own, now);
  }
  if (waiting) {
    planSoon();
  }
}

void
LeaderTask::takeReplicas(const transport::RemotePeer& aPeer, const peer::Delta& aDelta)
{
  const auto now = mDependencies.loop.now();
  mDependencies.board.leaderHeard(now);
  for (const auto& entry : aDelta.entries()) {
    if (entry.epoch() > mFollowedFencing) {
      // Views of an earlier leader may be wrong by now; the list counts until news come.
      mFollowedFencing = entry.epoch();
      mDependencies.board.forgetReplicas();
    }
    if (entry.kind() == peer::ENTRY_KIND_UPSTREAM) {
      if (auto replicas = decodeReplicas(entry.payload())) {
        mDependencies.board.setReplicas(entry.key(), std::move(replicas.value()), now);
      } else {
        noteBadEntry(aPeer, replicas.error());
      }
    } else if (entry.kind() == peer::ENTRY_KIND_LEADER) {
      if (auto news = decodeLeaderNews(entry.payload())) {
        if (news.value().released) {
          mLeadership.leaderReleased(news.value().rowVersion, now);
          stepLease();
          continue;
        }
        mLeadership.leaderHeard(news.value().rowVersion, now);
        takeNews(news.value(), now);
      } else {
        noteBadEntry(aPeer, news.error());
      }
    }
  }
  mHandlers.replicasChanged();
}

void
LeaderTask::addTimes(LeaderNews& aNews)
{
  const auto now = mDependencies.loop.now();
  for (auto& [group, planner] : mPlanners) {
    for (const auto& model : planner->wantedModels()) {
      if (const auto time = planner->timeUntilReady(model, now)) {
        aNews.waits[model] = *time;
      }
      if (const auto time = planner->backlogTime(model, now)) {
        aNews.queues[model] = *time;
      }
    }
  }
}

void
LeaderTask::takeNews(const LeaderNews& aNews, Instant aNow)
{
  mDependencies.board.setWaits(aNews.waits, aNow);
  mDependencies.board.setQueues(aNews.queues, aNow);
  mDependencies.board.setLoads(aNews.loads);
  mHandlers.hostsChanged(aNews.hosts);
}

std::map<std::string, std::uint32_t>
LeaderTask::loadsOfAll() const
{
  std::map<std::string, std::uint32_t> total;
  for (const auto& [host, loads] : mLoads) {
    for (const auto& [upstream, in_flight] : loads) {
      total[upstream] += in_flight;
    }
  }
  return total;
}

void
LeaderTask::announceRelease()
{
  // Lets another host take the row without waiting for the lease to run out.
  LeaderNews news;
  news.host = mSettings.host;
  news.fencing = mLeadership.fencing();
  news.rowVersion = mLeadership.base();
  news.released = true;
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_LEADER);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeLeaderNews(news));
  for (const auto& [id, remote] : mRemote) {
    mPeers->send(id, delta);
  }
}

void
LeaderTask::addViews(peer::Delta& aDelta, const std::vector<std::string>& aUpstreams)
{
  for (const auto& id : aUpstreams) {
    auto* entry = aDelta.add_entries();
    entry->set_kind(peer::ENTRY_KIND_UPSTREAM);
    entry->set_key(id);
    entry->set_epoch(mLeadership.fencing());
    entry->set_sequence(++mSequence);
    entry->set_payload(encodeReplicas(mPublished[id].replicas));
  }
}

LeaderNews
LeaderTask::makeNews()
{
  LeaderNews news;
  news.host = mSettings.host;
  news.fencing = mLeadership.fencing();
  news.hosts = mHosts;
  addTimes(news);
  news.loads = loadsOfAll();
  news.rowVersion = mLeadership.base();
  return news;
}

void
LeaderTask::addNews(peer::Delta& aDelta, const LeaderNews& aNews)
{
  auto* entry = aDelta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_LEADER);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_epoch(mLeadership.fencing());
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeLeaderNews(aNews));
}

void
LeaderTask::sendRecentViews(std::uint64_t aPeerId)
{
  // What has not changed for a while is in the platform's list, which every host reads.
  const auto now = mDependencies.loop.now();
  std::vector<std::string> recent;
  for (const auto& [id, published] : mPublished) {
    if (now - published.changed < kRecentViews) {
      recent.push_back(id);
    }
  }
  peer::Delta delta;
  addViews(delta, recent);
  addNews(delta, makeNews());
  mPeers->send(aPeerId, delta);
}

void
LeaderTask::publishSoon(Duration aDelay)
{
  if (!mPublishTimer) {
    mPublishTimer = mDependencies.loop.after(aDelay, [this] {
      mPublishTimer.reset();
      if (mLeading) {
        publishReplicas();
      }
    });
  }
}

void
LeaderTask::publishReplicas()
{
  const auto now = mDependencies.loop.now();
  bool changed = false;
  for (const auto& [group, planner] : mPlanners) {
    for (const auto& id : planner->engineIds()) {
      auto view = planner->view(id, now);
      // Hosts send requests to ready models only; changes of others are not worth a
      // message.
      std::erase_if(view, [](const serving::ReplicaView& aReplica) {
        return aReplica.phase != serving::ReplicaPhase::Ready;
      });
      const auto [published, added] = mPublished.try_emplace(id);
      if (!added && sameApartFromTimes(view, published->second.replicas)) {
        continue;
      }
      published->second.replicas = std::move(view);
      mDependencies.board.setReplicas(id, published->second.replicas, now);
      changed = true;
      if (!added) {
        published->second.changed = now;
        mUnsent.push_back(id);
      }
    }
  }
  mDependencies.board.leaderHeard(now);
  if (changed) {
    mHandlers.replicasChanged();
  }
  mHosts = static_cast<std::uint32_t>(mRemote.size()) + 1;
  const bool news_due = !mNewsSent || now - *mNewsSent >= kNewsPeriod;
  if (mUnsent.empty() && !news_due) {
    return;
  }
  // Changes within a short time go together, the longer the more hosts there are.
  const Duration pause = kViewsPausePerHost * mHosts;
  if (!news_due && mViewsSent && now - *mViewsSent < pause) {
    publishSoon(pause - (now - *mViewsSent));
    return;
  }
  peer::Delta delta;
  addViews(delta, mUnsent);
  mUnsent.clear();
  mViewsSent = now;
  if (news_due) {
    mNewsSent = now;
    const auto news = makeNews();
    takeNews(news, now);
    addNews(delta, news);
  }
  for (const auto& [id, remote] : mRemote) {
    mPeers->send(id, delta);
  }
}

} // namespace savoryrill::gateway
