#include "gateway/internal/leadertask.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "gateway/internal/promptevidencecodec.h"
#include "gateway/types/gatewayevents.h"
#include "serving/successor.h"

// The messages between the leader and the other hosts: demand and loads to the leader;
// replica views, expected times and total loads from it.

namespace savoryrill::gateway {

namespace {

// The status is sent after each read of the upstream list, and after this time without
// one. Replica views are sent when they change.
constexpr Duration kStatusPeriod = 600ms;
// Hosts to which each host connects while there is no leader. With three random ones,
// news that is passed on reaches all hosts even if some are away.
constexpr std::size_t kSubstitutes = 3;
// Hosts assumed to share the rate of an upstream until a leader has told their number.
constexpr std::uint32_t kUnknownHostCount = 12;
// The leader names them anew in this period, since hosts come and go.
constexpr Duration kSubstitutesPeriod = 5s;
// Minimum time between two messages with changed views, per receiving host.
constexpr Duration kViewsPausePerHost = 1ms;

} // namespace

void
LeaderTask::peerJoined(const transport::RemotePeer& aPeer)
{
  mPeerHosts[aPeer.id].peer = aPeer;
  sendPromptEvidence({ aPeer.id }, mHandlers.promptEvidence());
  if (mLeading) {
    mLastStatus.reset();
    publishReplicas();
  } else if (aPeer.outgoing) {
    reportDemand();
  }
  mDependencies.quotas.exchange();
}

void
LeaderTask::peerLost(const transport::RemotePeer& aPeer)
{
  mPeerHosts.erase(aPeer.id);
  setHostLoads(aPeer.host, {});
  mDependencies.quotas.exchange();
}

void
LeaderTask::deltaReceived(const transport::RemotePeer& aPeer, const peer::Delta& aDelta)
{
  for (const auto& entry : aDelta.entries()) {
    if (entry.kind() == peer::ENTRY_KIND_DEMAND && mLeading) {
      const auto demand = decodeDemand(entry.payload());
      if (!demand) {
        recordBadEntry(aPeer, demand.error());
        continue;
      }
      receiveDemand(aPeer, demand.value());
    } else if (entry.kind() == peer::ENTRY_KIND_PROMPT) {
      receivePromptEvidence(aPeer, entry.payload());
    } else if (entry.kind() == peer::ENTRY_KIND_PERMIT) {
      receivePermits(aPeer, entry.payload());
    } else if (entry.kind() == peer::ENTRY_KIND_CONFIRMATION && !mLeading) {
      receiveConfirmation(aPeer, entry.payload());
    } else if (entry.kind() == peer::ENTRY_KIND_QUOTA) {
      receiveQuotas(aPeer, entry.payload());
    }
  }
  if (!mLeading && mKnownLeader == aPeer.host) {
    receiveLeaderEntries(aPeer, aDelta);
  }
}

void
LeaderTask::sharePromptEvidence(const std::vector<serving::PartEvidence>& aEvidence)
{
  std::vector<std::uint64_t> peers;
  for (const auto& [id, peer_host] : mPeerHosts) {
    peers.push_back(id);
  }
  sendPromptEvidence(peers, aEvidence);
}

void
LeaderTask::sendPromptEvidence(const std::vector<std::uint64_t>& aPeers,
                               const std::vector<serving::PartEvidence>& aEvidence)
{
  if (aEvidence.empty() || aPeers.empty()) {
    return;
  }
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_PROMPT);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodePromptEvidence(aEvidence, mDependencies.loop.now()));
  // A host that does not receive it gets all evidence with the next connection.
  mPeers->send(aPeers, delta);
}

void
LeaderTask::receivePromptEvidence(const transport::RemotePeer& aPeer,
                                  const std::string& aPayload)
{
  const auto evidence = decodePromptEvidence(aPayload, mDependencies.loop.now());
  if (!evidence) {
    recordBadEntry(aPeer, evidence.error());
    return;
  }
  const auto merged = mHandlers.onPromptEvidenceReceived(evidence.value());
  std::vector<std::uint64_t> others;
  for (const auto& [id, peer_host] : mPeerHosts) {
    if (id != aPeer.id) {
      others.push_back(id);
    }
  }
  sendPromptEvidence(others, merged.changed);
  sendPromptEvidence({ aPeer.id }, merged.newer);
}

void
LeaderTask::onPermitRequested()
{
  mPermitExchangeCall.request();
}

void
LeaderTask::exchangePermits()
{
  mPermits.exchange(permitRole());
}

PermitExchange::Role
LeaderTask::permitRole() const
{
  PermitExchange::Role role;
  role.issues = mLeading;
  role.hostCount = mSharingHosts.count() > 0 ? mSharingHosts.count() : kUnknownHostCount;
  for (const auto& [id, peer_host] : mPeerHosts) {
    const auto& peer = peer_host.peer;
    if (!mLeading && peer.outgoing && peer.endpoint == mConnectedTo) {
      role.issuer = peer.host;
    }
  }
  // Not the whole rate, also for a leader: hosts that it does not reach use a part, or
  // have permits of a former leader or of one that it has not heard of.
  role.share = mSharingHosts.shareOf(countServedHosts());
  return role;
}

std::uint32_t
LeaderTask::countServedHosts() const
{
  // Hosts report their demand only to the host that they request permits from.
  const auto others = std::ranges::count_if(mPeerHosts, [](const auto& aItem) {
    return !aItem.second.peer.outgoing && aItem.second.reportNumber > 0;
  });
  return static_cast<std::uint32_t>(others) + (mLeading ? 1 : 0);
}

void
LeaderTask::setHostCount(std::uint32_t aCount)
{
  mHostCount = aCount;
  mSharingHosts.record(aCount, mDependencies.loop.now());
  mQuotaShare.record(aCount, false, mDependencies.loop.now());
}

void
LeaderTask::receivePermits(const transport::RemotePeer& aPeer,
                           const std::string& aPayload)
{
  const auto message = decodePermits(aPayload);
  if (!message) {
    recordBadEntry(aPeer, message.error());
    return;
  }
  mPermits.received(aPeer.host, message.value(), permitRole());
}

void
LeaderTask::sendPermits(const std::string& aHost, const PermitMessage& aMessage)
{
  const auto found = std::ranges::find_if(
    mPeerHosts, [&](const auto& aItem) { return aItem.second.peer.host == aHost; });
  if (found == mPeerHosts.end()) {
    return; // the host asks again once it is connected
  }
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_PERMIT);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodePermits(aMessage));
  mPeers->send(found->first, delta);
}

void
LeaderTask::receiveSubstitutes(const std::vector<std::string>& aEndpoints)
{
  if (!mSubstitutesInUse) {
    mSubstitutes = aEndpoints;
  }
}

void
LeaderTask::addSubstitutes(peer::Delta& aDelta, std::uint64_t aPeerId)
{
  std::vector<std::string> others;
  for (const auto& [id, peer_host] : mPeerHosts) {
    if (id != aPeerId && !peer_host.peer.listensAt.empty()) {
      others.push_back(peer_host.peer.listensAt);
    }
  }
  std::vector<std::string> chosen;
  std::ranges::sample(others, std::back_inserter(chosen), kSubstitutes, mRandom);
  for (const auto& endpoint : chosen) {
    auto* entry = aDelta.add_entries();
    entry->set_kind(peer::ENTRY_KIND_MEMBER);
    entry->set_key(endpoint);
    entry->set_epoch(mLeadership.fencingNumber());
    entry->set_sequence(++mSequence);
  }
}

void
LeaderTask::recordBadEntry(const transport::RemotePeer& aPeer, const Error& aError)
{
  mDependencies.metrics.add("savoryrill_gateway_bad_peer_entries_total");
  mDependencies.log.write(kPeerEntryBad,
                          { { "host", aPeer.host }, { "reason", aError.message } });
}

void
LeaderTask::onDemandIncreased()
{
  mDemandReportCall.request();
}

void
LeaderTask::reportDemand()
{
  HostDemand demand;
  demand.items = mHandlers.takeDemand();
  demand.loads = mDependencies.selector.ownLoads();
  mLastDemandReport = mDependencies.loop.now();
  if (mLeading) {
    applyDemand(mSettings.host, demand);
    return;
  }
  demand.reportNumber = mReportTimes.add(*mLastDemandReport);
  demand.listVersion = mHandlers.listVersion();
  if (mSuitedToLead) {
    demand.uptime = *mLastDemandReport - mStarted;
  }
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_DEMAND);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeDemand(demand));
  for (const auto& [id, peer_host] : mPeerHosts) {
    if (peer_host.peer.outgoing && peer_host.peer.endpoint == mConnectedTo) {
      mPeers->send(id, delta);
    }
  }
}

void
LeaderTask::receiveDemand(const transport::RemotePeer& aPeer, const HostDemand& aDemand)
{
  if (const auto peer_host = mPeerHosts.find(aPeer.id); peer_host != mPeerHosts.end()) {
    peer_host->second.reportNumber = aDemand.reportNumber;
    peer_host->second.listVersion = aDemand.listVersion;
    if (aDemand.uptime > Duration::zero()) {
      peer_host->second.startedAt = mDependencies.loop.now() - aDemand.uptime;
    }
  }
  if (!mSuitedToLead && aDemand.uptime > Duration::zero() &&
      aPeer.host != mLeadership.skippedSuccessor()) {
    // A host behind a slow link loses its lease again and again under load, so it hands
    // over to the first suited host that it hears of, once.
    releaseTo(aPeer.host);
  }
  applyDemand(aPeer.host, aDemand);
}

void
LeaderTask::applyDemand(const std::string& aHost, const HostDemand& aDemand)
{
  setHostLoads(aHost, aDemand.loads);
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
    planAfterPause();
  }
}

void
LeaderTask::receiveLeaderEntries(const transport::RemotePeer& aPeer,
                                 const peer::Delta& aDelta)
{
  const auto now = mDependencies.loop.now();
  std::vector<std::string> substitutes;
  const bool from_leader = std::ranges::any_of(aDelta.entries(), [](const auto& aEntry) {
    return aEntry.kind() != peer::ENTRY_KIND_PROMPT &&
           aEntry.kind() != peer::ENTRY_KIND_PERMIT &&
           aEntry.kind() != peer::ENTRY_KIND_CONFIRMATION &&
           aEntry.kind() != peer::ENTRY_KIND_QUOTA;
  });
  if (!from_leader) {
    return; // sent by hosts that do not lead, too, or by a leader without any views yet
  }
  mDependencies.selector.recordLeaderUpdate(now);
  for (const auto& entry : aDelta.entries()) {
    if (entry.kind() == peer::ENTRY_KIND_MEMBER) {
      substitutes.push_back(entry.key());
      continue;
    }
    if (entry.epoch() > mFollowedFencingNumber) {
      // Views of an earlier leader may be outdated; the new leader sends all of its
      // views.
      mFollowedFencingNumber = entry.epoch();
      mDependencies.selector.clearReplicas();
    }
    if (entry.kind() == peer::ENTRY_KIND_UPSTREAM) {
      if (auto replicas = decodeReplicas(entry.payload())) {
        mDependencies.selector.setReplicas(entry.key(), std::move(replicas.value()));
      } else {
        recordBadEntry(aPeer, replicas.error());
      }
    } else if (entry.kind() == peer::ENTRY_KIND_LIST) {
      if (const auto list_update = decodeListUpdate(entry.payload())) {
        applyListUpdate(list_update.value());
      } else {
        recordBadEntry(aPeer, list_update.error());
      }
    } else if (entry.kind() == peer::ENTRY_KIND_LEADER) {
      if (auto status = decodeLeaderStatus(entry.payload())) {
        if (status.value().released) {
          mLeadership.leadershipReleased(
            status.value().rowVersion, status.value().successor, now);
          stepLease();
          continue;
        }
        mLeadership.leaderUpdateReceived(status.value().rowVersion, now);
        mQuotaShare.record(status.value().hostCount, true, now);
        applyStatus(status.value(), now);
      } else {
        recordBadEntry(aPeer, status.error());
      }
    }
  }
  if (!substitutes.empty()) {
    receiveSubstitutes(substitutes);
  }
  mHandlers.onReplicasChanged();
}

void
LeaderTask::addExpectedTimes(LeaderStatus& aStatus)
{
  const auto now = mDependencies.loop.now();
  for (auto& [group, planner] : mPlanners) {
    for (const auto& model : planner->modelsWithWaitingRequests()) {
      if (const auto time = planner->timeUntilReady(model, now)) {
        aStatus.readyTimes[model] = *time;
      }
      if (const auto time = planner->backlogTime(model, now)) {
        aStatus.backlogs[model] = *time;
      }
    }
  }
}

void
LeaderTask::applyStatus(const LeaderStatus& aStatus, Instant aNow)
{
  mDependencies.selector.setReadyTimes(aStatus.readyTimes, aNow);
  mDependencies.selector.setBacklogs(aStatus.backlogs, aNow);
  mDependencies.selector.setLoads(aStatus.loads);
  mDependencies.selector.limits().setReported(aStatus.limits, aNow);
  setHostCount(aStatus.hostCount);
  mHandlers.onHostCountReceived(aStatus.hostCount);
  mHandlers.onConfigVersionReceived(aStatus.configVersion);
}

void
LeaderTask::applyListUpdate(const HostListUpdate& aUpdate)
{
  // The leader had received this host's report with that number when it began to read the
  // list, so the update is at least as recent as the report, whatever the delays were.
  if (const auto sent = mReportTimes.sentAt(aUpdate.reportNumber)) {
    mHandlers.onUpstreamListReceived(aUpdate.update, *sent);
  }
}

void
LeaderTask::setHostLoads(const std::string& aHost,
                         const std::map<std::string, std::uint32_t>& aLoads)
{
  auto& known = mLoads[aHost];
  std::set<std::string> changed;
  for (const auto& [upstream, in_flight] : known) {
    mTotalLoads[upstream] -= in_flight;
    changed.insert(upstream);
  }
  for (const auto& [upstream, in_flight] : aLoads) {
    mTotalLoads[upstream] += in_flight;
    changed.insert(upstream);
  }
  known = aLoads;
  if (known.empty()) {
    mLoads.erase(aHost);
  }
  for (const auto& upstream : changed) {
    const auto total = mTotalLoads.find(upstream);
    for (auto& [group, planner] : mPlanners) {
      planner->setEngineLoad(upstream, total->second);
    }
    if (total->second == 0) {
      mTotalLoads.erase(total);
    }
  }
}

void
LeaderTask::nameSuccessor()
{
  const auto now = mDependencies.loop.now();
  std::vector<serving::SuccessorCandidate> candidates;
  for (const auto& [id, peer_host] : mPeerHosts) {
    if (peer_host.startedAt && peer_host.peer.host != mLeadership.skippedSuccessor()) {
      candidates.push_back({ peer_host.peer.host, now - *peer_host.startedAt });
    }
  }
  mSuccessor = serving::chooseSuccessor(candidates, now - mStarted);
  mLeadership.setSuccessor(mSuccessor);
}

void
LeaderTask::releaseTo(const std::string& aHost)
{
  if (mHandingOver) {
    return;
  }
  mHandingOver = true;
  nameSuccessor();
  if (mSuccessor.empty()) {
    mSuccessor = aHost;
    mLeadership.setSuccessor(aHost);
  }
  stepLease();
  updateLeadership();
}

void
LeaderTask::announceRelease()
{
  // Lets another host take the lease without waiting for its expiry.
  LeaderStatus status;
  status.host = mSettings.host;
  status.fencingNumber = mLeadership.fencingNumber();
  status.rowVersion = mLeadership.baseVersion();
  status.released = true;
  status.successor = mSuccessor;
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_LEADER);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeLeaderStatus(status));
  for (const auto& [id, peer_host] : mPeerHosts) {
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

LeaderStatus
LeaderTask::makeStatus()
{
  LeaderStatus status;
  status.host = mSettings.host;
  status.fencingNumber = mLeadership.fencingNumber();
  status.hostCount = mHostCount;
  addExpectedTimes(status);
  status.loads = mTotalLoads;
  status.limits = mPermits.limits();
  status.configVersion = mHandlers.configVersion();
  status.rowVersion = mLeadership.baseVersion();
  return status;
}

void
LeaderTask::addStatus(peer::Delta& aDelta, const LeaderStatus& aStatus)
{
  auto* entry = aDelta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_LEADER);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_epoch(mLeadership.fencingNumber());
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeLeaderStatus(aStatus));
}

void
LeaderTask::addListUpdate(peer::Delta& aDelta, std::uint64_t aPeerId)
{
  const auto& peer_host = mPeerHosts.at(aPeerId);
  if (peer_host.reportBeforeLastRead == 0 || peer_host.listVersion == 0) {
    return; // no read since the host's first report, or the host has no list yet
  }
  auto update = mDependencies.listChanges.since(peer_host.listVersion);
  if (!update) {
    return;
  }
  auto* entry = aDelta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_LIST);
  entry->set_epoch(mLeadership.fencingNumber());
  entry->set_sequence(++mSequence);
  entry->set_payload(
    encodeListUpdate({ peer_host.reportBeforeLastRead, std::move(*update) }));
}

void
LeaderTask::publishLater(Duration aDelay)
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
    return; // this leader has not read the engines' states yet
  }
  const auto now = mDependencies.loop.now();
  collectChangedViews(now);
  mDependencies.selector.recordLeaderUpdate(now);
  setHostCount(static_cast<std::uint32_t>(mPeerHosts.size()) + 1);
  sendViews(now);
  if (!mLastStatus || now - *mLastStatus >= kStatusPeriod) {
    mLastStatus = now;
    sendStatus();
  }
}

void
LeaderTask::sendViews(Instant aNow)
{
  // Changes are batched; the interval grows with the number of hosts.
  const Duration pause = kViewsPausePerHost * mHostCount;
  if (mUnsentViews.empty()) {
    return;
  }
  if (mLastViews && aNow - *mLastViews < pause) {
    publishLater(pause - (aNow - *mLastViews));
    return;
  }
  mLastViews = aNow;
  std::vector<std::uint64_t> hosts;
  for (const auto& [id, peer_host] : mPeerHosts) {
    if (!peer_host.needsAllViews) {
      hosts.push_back(id);
    }
  }
  peer::Delta delta;
  addViews(delta, mUnsentViews);
  mUnsentViews.clear();
  for (const auto id : mPeers->send(hosts, delta)) {
    mPeerHosts[id].needsAllViews = true;
  }
}

void
LeaderTask::sendStatus()
{
  const auto status = makeStatus();
  applyStatus(status, mDependencies.loop.now());
  peer::Delta common;
  addStatus(common, status);
  std::vector<std::string> engines;
  for (const auto& [id, replicas] : mPublished) {
    engines.push_back(id);
  }
  const auto now = mDependencies.loop.now();
  const bool names_substitutes =
    !mSubstitutesSent || now - *mSubstitutesSent >= kSubstitutesPeriod;
  if (names_substitutes) {
    mSubstitutesSent = now;
  }
  for (auto& [id, peer_host] : mPeerHosts) {
    peer::Delta delta = common;
    if (names_substitutes || peer_host.needsAllViews) {
      addSubstitutes(delta, id);
    }
    if (peer_host.needsAllViews) {
      addViews(delta, engines);
    }
    addListUpdate(delta, id);
    peer_host.needsAllViews = !mPeers->send(std::vector{ id }, delta).empty();
  }
}

void
LeaderTask::collectChangedViews(Instant aNow)
{
  bool changed = false;
  for (const auto& [group, planner] : mPlanners) {
    for (const auto& id : planner->engineIds()) {
      auto view = planner->replicas(id, aNow);
      // Hosts send requests only to ready replicas, so changes of other replicas need no
      // message.
      std::erase_if(view, [](const serving::ReplicaView& aReplica) {
        return aReplica.phase != serving::ReplicaPhase::Ready;
      });
      const auto [published, added] = mPublished.try_emplace(id);
      if (!added && sameApartFromTimes(view, published->second)) {
        continue;
      }
      published->second = std::move(view);
      mDependencies.selector.setReplicas(id, published->second);
      mUnsentViews.push_back(id);
      changed = true;
    }
  }
  if (changed) {
    mHandlers.onReplicasChanged();
  }
}

} // namespace savoryrill::gateway
