#include "gateway/internal/leadertask.h"

#include "gateway/types/gatewayevents.h"

// What the leader and the other hosts tell each other: demand and loads one way, replica
// views, expected times and sums of loads the other.

namespace savoryrill::gateway {

namespace {

// News are sent after each read of the list, and after this time without one. Replica
// views are sent when they change.
constexpr Duration kNewsPeriod = 600ms;
// Reports whose answer by the leader is waited for: some seconds of them.
constexpr std::size_t kMostStamps = 64;
// Pause between two messages with changed views, for each host that receives them.
constexpr Duration kViewsPausePerHost = 1ms;

} // namespace

void
LeaderTask::peerJoined(const transport::RemotePeer& aPeer)
{
  mRemote[aPeer.id].peer = aPeer;
  if (mLeading) {
    mNewsSent.reset();
    publishReplicas();
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
      takeRemoteDemand(aPeer, demand.value());
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
  HostDemand demand;
  demand.items = mHandlers.demand();
  demand.loads = mDependencies.board.ownLoads();
  mDemandSent = mDependencies.loop.now();
  if (mLeading) {
    takeDemand(mSettings.host, demand);
    return;
  }
  demand.stamp = ++mStamp;
  demand.listVersion = mHandlers.listVersion();
  mStampSent[mStamp] = *mDemandSent;
  if (mStampSent.size() > kMostStamps) {
    mStampSent.erase(mStampSent.begin());
  }
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_DEMAND);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeDemand(demand));
  for (const auto& [id, remote] : mRemote) {
    if (remote.peer.outgoing) {
      mPeers->send(id, delta);
    }
  }
}

void
LeaderTask::takeRemoteDemand(const transport::RemotePeer& aPeer,
                             const HostDemand& aDemand)
{
  if (const auto remote = mRemote.find(aPeer.id); remote != mRemote.end()) {
    remote->second.stamp = aDemand.stamp;
    remote->second.listVersion = aDemand.listVersion;
  }
  takeDemand(aPeer.host, aDemand);
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
      // Views of an earlier leader may be wrong by now; this one has sent all of its own.
      mFollowedFencing = entry.epoch();
      mDependencies.board.forgetReplicas();
    }
    if (entry.kind() == peer::ENTRY_KIND_UPSTREAM) {
      if (auto replicas = decodeReplicas(entry.payload())) {
        mDependencies.board.setReplicas(entry.key(), std::move(replicas.value()));
      } else {
        noteBadEntry(aPeer, replicas.error());
      }
    } else if (entry.kind() == peer::ENTRY_KIND_LIST) {
      if (const auto news = decodeListNews(entry.payload())) {
        takeListNews(news.value());
      } else {
        noteBadEntry(aPeer, news.error());
      }
    } else if (entry.kind() == peer::ENTRY_KIND_LEADER) {
      if (auto news = decodeLeaderNews(entry.payload())) {
        if (news.value().released) {
          mLeadership.leadershipReleased(news.value().rowVersion, now);
          stepLease();
          continue;
        }
        mLeadership.leaderUpdateReceived(news.value().rowVersion, now);
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
    for (const auto& model : planner->modelsWithWaitingRequests()) {
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
  mHandlers.configTold(aNews.configVersion);
}

void
LeaderTask::takeListNews(const ListNews& aNews)
{
  // The leader had this report of ours when it began to read, so the list is known as of
  // the moment at which we sent it, however long the messages took.
  const auto sent = mStampSent.find(aNews.stamp);
  if (sent != mStampSent.end()) {
    mHandlers.listTold(aNews.update, sent->second);
  }
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
  news.fencing = mLeadership.fencingNumber();
  news.rowVersion = mLeadership.baseVersion();
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
    entry->set_epoch(mLeadership.fencingNumber());
    entry->set_sequence(++mSequence);
    entry->set_payload(encodeReplicas(mPublished[id]));
  }
}

LeaderNews
LeaderTask::makeNews()
{
  LeaderNews news;
  news.host = mSettings.host;
  news.fencing = mLeadership.fencingNumber();
  news.hosts = mHosts;
  addTimes(news);
  news.loads = loadsOfAll();
  news.configVersion = mHandlers.configVersion();
  news.rowVersion = mLeadership.baseVersion();
  return news;
}

void
LeaderTask::addNews(peer::Delta& aDelta, const LeaderNews& aNews)
{
  auto* entry = aDelta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_LEADER);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_epoch(mLeadership.fencingNumber());
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeLeaderNews(aNews));
}

void
LeaderTask::addListNews(peer::Delta& aDelta, std::uint64_t aPeerId)
{
  const auto& remote = mRemote.at(aPeerId);
  if (remote.stampRead == 0 || remote.listVersion == 0) {
    return; // nothing was read since the host connected, or it has read nothing itself
  }
  auto update = mDependencies.list.since(remote.listVersion);
  if (!update) {
    return;
  }
  auto* entry = aDelta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_LIST);
  entry->set_epoch(mLeadership.fencingNumber());
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeListNews({ remote.stampRead, std::move(*update) }));
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
  if (!mListRead) {
    return; // nothing is known yet that hosts could use
  }
  const auto now = mDependencies.loop.now();
  collectChangedViews(now);
  mDependencies.board.leaderHeard(now);
  mHosts = static_cast<std::uint32_t>(mRemote.size()) + 1;
  sendViews(now);
  if (!mNewsSent || now - *mNewsSent >= kNewsPeriod) {
    mNewsSent = now;
    sendNews();
  }
}

void
LeaderTask::sendViews(Instant aNow)
{
  // Changes within a short time go together, the longer the more hosts there are.
  const Duration pause = kViewsPausePerHost * mHosts;
  if (mUnsent.empty()) {
    return;
  }
  if (mViewsSent && aNow - *mViewsSent < pause) {
    publishSoon(pause - (aNow - *mViewsSent));
    return;
  }
  mViewsSent = aNow;
  std::vector<std::uint64_t> hosts;
  for (const auto& [id, remote] : mRemote) {
    if (!remote.needsAllViews) {
      hosts.push_back(id);
    }
  }
  peer::Delta delta;
  addViews(delta, mUnsent);
  mUnsent.clear();
  for (const auto id : mPeers->send(hosts, delta)) {
    mRemote[id].needsAllViews = true;
  }
}

void
LeaderTask::sendNews()
{
  const auto news = makeNews();
  takeNews(news, mDependencies.loop.now());
  peer::Delta common;
  addNews(common, news);
  std::vector<std::string> engines;
  for (const auto& [id, replicas] : mPublished) {
    engines.push_back(id);
  }
  for (auto& [id, remote] : mRemote) {
    peer::Delta delta = common;
    if (remote.needsAllViews) {
      addViews(delta, engines);
    }
    addListNews(delta, id);
    remote.needsAllViews = !mPeers->send(std::vector{ id }, delta).empty();
  }
}

void
LeaderTask::collectChangedViews(Instant aNow)
{
  bool changed = false;
  for (const auto& [group, planner] : mPlanners) {
    for (const auto& id : planner->engineIds()) {
      auto view = planner->replicas(id, aNow);
      // Hosts send requests to ready models only; changes of others are not worth a
      // message.
      std::erase_if(view, [](const serving::ReplicaView& aReplica) {
        return aReplica.phase != serving::ReplicaPhase::Ready;
      });
      const auto [published, added] = mPublished.try_emplace(id);
      if (!added && sameApartFromTimes(view, published->second)) {
        continue;
      }
      published->second = std::move(view);
      mDependencies.board.setReplicas(id, published->second);
      mUnsent.push_back(id);
      changed = true;
    }
  }
  if (changed) {
    mHandlers.replicasChanged();
  }
}

} // namespace savoryrill::gateway
