#include "gossip/statesync.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "gossip/internal/controllerchoice.h"
#include "gossip/internal/controllerdirectory.h"
#include "gossip/internal/pushqueue.h"
#include "gossip/types/gossipevents.h"

namespace savoryrill::gossip {

namespace {

constexpr Duration kHousekeepingPeriod = 100ms;
// Number of digest periods after which the choice of a controller is rotated.
constexpr std::uint32_t kDigestsPerRotation = 10;
// Maximum number of deltas sent in response to one digest. A new process needs several to
// receive all entries.
constexpr int kMaxDeltasPerDigest = 16;
constexpr const char* kEntriesSeries = "savoryrill_state_entries";

using transport::RemotePeer;
using PeersByDataCentre = std::map<std::string, std::vector<RemotePeer>>;

class StateSyncImpl final
  : public StateSync
  , private transport::IPeerListener
{
public:
  StateSyncImpl(event::Loop& aLoop,
                SyncOptions aOptions,
                EventLog& aLog,
                Metrics& aMetrics)
    : mLoop(aLoop)
    , mOptions(std::move(aOptions))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mRandom(mOptions.randomSeed)
  {
  }

  Result<void> start();

  void publish(peer::EntryKind aKind,
               const std::string& aKey,
               std::uint64_t aEpoch,
               std::uint64_t aSequence,
               std::string aPayload,
               Duration aTimeToLive) override;
  std::string endpoint() const override { return mNetwork->endpoint(); }
  const state::StateMap& entries() const override { return mMap; }
  void onChange(ChangeCallback aCallback) override
  {
    mChangeCallback = std::move(aCallback);
  }
  std::vector<RemotePeer> peers() const override { return mNetwork->peers(); }
  void leave() override;

private:
  void peerJoined(const RemotePeer& aPeer) override;
  void peerLost(const RemotePeer& aPeer) override;
  void digestReceived(const RemotePeer& aPeer, const peer::Digest& aDigest) override;
  void deltaReceived(const RemotePeer& aPeer, const peer::Delta& aDelta) override;

  bool isController() const { return mOptions.local.role == peer::ROLE_CONTROLLER; }
  bool isOwnDataCentre(const std::string& aDataCentre) const
  {
    return aDataCentre == mOptions.local.dataCentre;
  }
  bool choosesOneController(const std::string& aDataCentre) const;
  ControllerChoice& choiceOf(const std::string& aDataCentre);
  void addController(const ControllerAddress& aAddress);
  void removeController(const ControllerAddress& aAddress);
  void applyChange(const ChoiceChange& aChange);
  void applyEntry(const peer::Entry& aEntry, const RemotePeer* aSource);
  void notifyChange(const peer::Entry& aEntry);
  void queuePush(const state::EntryKey& aKey, const RemotePeer* aSource);
  void flushPushes();
  void pushTo(const RemotePeer& aPeer, PushTargets aGroups);
  void sendDigest(const RemotePeer& aPeer);
  void summaryReceived(const RemotePeer& aPeer, const peer::Digest& aSummary);
  void sendDigests();
  void doHousekeeping();
  std::vector<RemotePeer> ownControllers() const;
  PeersByDataCentre otherDataCentres() const;
  const RemotePeer& pushPeerOf(const std::string& aDataCentre,
                               const std::vector<RemotePeer>& aPeers) const;

  event::Loop& mLoop;
  SyncOptions mOptions;
  EventLog& mLog;
  Metrics& mMetrics;
  std::mt19937_64 mRandom;
  state::StateMap mMap;
  ControllerDirectory mDirectory;
  std::map<std::string, ControllerChoice> mChoices; // by data centre
  PushQueue mPushes;
  ChangeCallback mChangeCallback;
  std::uint32_t mDigestRounds = 0;
  std::unique_ptr<transport::PeerNetwork> mNetwork;
  event::Watch mPushTimer;
  event::Watch mDigestTimer;
  event::Watch mHousekeepingTimer;
};

Result<void>
StateSyncImpl::start()
{
  BOOST_OUTCOME_TRY(network,
                    transport::PeerNetwork::create(
                      mLoop, mOptions.local, mOptions.keys, mLog, mMetrics, *this));
  mNetwork = std::move(network);
  // A router first tries the controller on its own host, whatever its position in the
  // list.
  std::stable_partition(
    mOptions.seeds.begin(), mOptions.seeds.end(), [&](const SyncOptions::Seed& aSeed) {
      return aSeed.host == mOptions.local.host;
    });
  for (const auto& seed : mOptions.seeds) {
    const ControllerAddress address{ seed.dataCentre, seed.host, seed.endpoint };
    mDirectory.addSeed(address);
    addController(address);
  }
  mDigestTimer = mLoop.every(mOptions.digestPeriod, [this] { sendDigests(); });
  mHousekeepingTimer = mLoop.every(kHousekeepingPeriod, [this] { doHousekeeping(); });
  return outcome::success();
}

/// Returns whether this process connects to only one controller of a data centre. A
/// controller connects to all controllers of its own data centre and to one of each other
/// data centre. A router connects to one of its own data centre.
bool
StateSyncImpl::choosesOneController(const std::string& aDataCentre) const
{
  return isController() != isOwnDataCentre(aDataCentre);
}

ControllerChoice&
StateSyncImpl::choiceOf(const std::string& aDataCentre)
{
  const ChoiceOrder order = isController() ? ChoiceOrder::Random : ChoiceOrder::AsListed;
  const auto found = mChoices.find(aDataCentre);
  return found != mChoices.end()
           ? found->second
           : mChoices.emplace(aDataCentre, ControllerChoice(order, mRandom()))
               .first->second;
}

void
StateSyncImpl::addController(const ControllerAddress& aAddress)
{
  const bool own_host =
    isOwnDataCentre(aAddress.dataCentre) && aAddress.host == mOptions.local.host;
  if (choosesOneController(aAddress.dataCentre)) {
    applyChange(
      choiceOf(aAddress.dataCentre).add(aAddress.endpoint, own_host, mLoop.now()));
  } else if (isController() && !own_host) {
    mNetwork->connect(aAddress.endpoint);
  }
}

void
StateSyncImpl::removeController(const ControllerAddress& aAddress)
{
  if (choosesOneController(aAddress.dataCentre)) {
    applyChange(choiceOf(aAddress.dataCentre).remove(aAddress.endpoint, mLoop.now()));
  } else {
    mNetwork->disconnect(aAddress.endpoint);
  }
}

void
StateSyncImpl::applyChange(const ChoiceChange& aChange)
{
  for (const auto& endpoint : aChange.connect) {
    mNetwork->connect(endpoint);
  }
  for (const auto& endpoint : aChange.disconnect) {
    mNetwork->disconnect(endpoint);
  }
}

void
StateSyncImpl::publish(peer::EntryKind aKind,
                       const std::string& aKey,
                       std::uint64_t aEpoch,
                       std::uint64_t aSequence,
                       std::string aPayload,
                       Duration aTimeToLive)
{
  peer::Entry entry;
  entry.set_kind(aKind);
  entry.set_key(aKey);
  entry.set_origin(mOptions.local.host);
  entry.set_epoch(aEpoch);
  entry.set_sequence(aSequence);
  entry.set_payload(std::move(aPayload));
  if (aTimeToLive > Duration::zero()) {
    // At least 1 ms, because 0 would mean that the entry does not expire.
    entry.set_ttl_ms(
      static_cast<std::uint32_t>(std::max<std::int64_t>(1, toMs(aTimeToLive))));
  }
  applyEntry(entry, nullptr);
}

/// Stores an entry; if it is new or newer than the stored one, queues it for peers and
/// reports it.
void
StateSyncImpl::applyEntry(const peer::Entry& aEntry, const RemotePeer* aSource)
{
  if (!mMap.apply(aEntry, mLoop.now())) {
    return;
  }
  queuePush({ aEntry.kind(), aEntry.key() }, aSource);
  notifyChange(aEntry);
}

void
StateSyncImpl::notifyChange(const peer::Entry& aEntry)
{
  if (aEntry.kind() == peer::ENTRY_KIND_MEMBER) {
    const DirectoryChange change = mDirectory.update(aEntry);
    if (change.removed) {
      mLog.write(kControllerForgotten, { { "endpoint", change.removed->endpoint } });
      removeController(*change.removed);
    }
    if (change.added) {
      mLog.write(kControllerLearnt,
                 { { "host", change.added->host },
                   { "data_centre", change.added->dataCentre },
                   { "endpoint", change.added->endpoint } });
      addController(*change.added);
    }
  }
  if (mChangeCallback) {
    mChangeCallback(aEntry);
  }
}

void
StateSyncImpl::queuePush(const state::EntryKey& aKey, const RemotePeer* aSource)
{
  if (!isController() && aSource != nullptr) {
    return; // routers do not forward entries
  }
  mPushes.add(aKey,
              pushTargetsFor(aSource, mOptions.local.dataCentre),
              aSource == nullptr ? 0 : aSource->id);
  if (!mPushTimer) {
    mPushTimer = mLoop.after(mOptions.pushDelay, [this] { flushPushes(); });
  }
}

/// Returns the connected controllers of the own data centre, each once. If there are two
/// connections to one, the outgoing one is returned.
std::vector<RemotePeer>
StateSyncImpl::ownControllers() const
{
  std::map<std::string, RemotePeer> by_host;
  for (const auto& peer : mNetwork->peers()) {
    const bool wanted = peer.role == peer::ROLE_CONTROLLER &&
                        isOwnDataCentre(peer.dataCentre) &&
                        (peer.outgoing || by_host.count(peer.host) == 0);
    if (wanted) {
      by_host[peer.host] = peer;
    }
  }
  std::vector<RemotePeer> result;
  for (const auto& [host, peer] : by_host) {
    result.push_back(peer);
  }
  return result;
}

PeersByDataCentre
StateSyncImpl::otherDataCentres() const
{
  PeersByDataCentre controllers;
  for (const auto& peer : mNetwork->peers()) {
    if (peer.role == peer::ROLE_CONTROLLER && !isOwnDataCentre(peer.dataCentre)) {
      controllers[peer.dataCentre].push_back(peer);
    }
  }
  return controllers;
}

/// Returns the chosen controller of a data centre if it is connected, otherwise the first
/// of `aPeers`, for example one that has connected to this process.
const RemotePeer&
StateSyncImpl::pushPeerOf(const std::string& aDataCentre,
                          const std::vector<RemotePeer>& aPeers) const
{
  const auto choice = mChoices.find(aDataCentre);
  for (const auto& peer : aPeers) {
    const bool chosen = peer.outgoing && choice != mChoices.end() &&
                        choice->second.chosen() == peer.endpoint;
    if (chosen) {
      return peer;
    }
  }
  return aPeers.front();
}

void
StateSyncImpl::flushPushes()
{
  mPushTimer.reset();
  for (const auto& peer : ownControllers()) {
    pushTo(peer, { .ownControllers = true });
  }
  for (const auto& peer : mNetwork->peers()) {
    if (peer.role == peer::ROLE_ROUTER) {
      pushTo(peer, { .routers = true });
    }
  }
  for (const auto& [data_centre, peers] : otherDataCentres()) {
    pushTo(pushPeerOf(data_centre, peers), { .otherDataCentres = true });
  }
  mPushes.clear();
}

void
StateSyncImpl::pushTo(const RemotePeer& aPeer, PushTargets aGroups)
{
  const auto deltas =
    mPushes.deltasFor(aPeer.id, aGroups, mMap, mLoop.now(), mOptions.maxDeltaBytes);
  for (const auto& delta : deltas) {
    mNetwork->send(aPeer.id, delta);
  }
}

void
StateSyncImpl::sendDigest(const RemotePeer& aPeer)
{
  peer::Digest digest = mMap.digest();
  digest.set_reply_wanted(true);
  mNetwork->send(aPeer.id, digest);
}

/// Sends a summary to one random controller of each data centre to repair lost messages.
/// Rotates the chosen controllers every `kDigestsPerRotation` calls.
void
StateSyncImpl::sendDigests()
{
  const peer::Digest summary = mMap.summary();
  const auto own = ownControllers();
  if (!own.empty()) {
    mNetwork->send(own[mRandom() % own.size()].id, summary);
  }
  for (const auto& [data_centre, peers] : otherDataCentres()) {
    mNetwork->send(peers[mRandom() % peers.size()].id, summary);
  }
  if (++mDigestRounds % kDigestsPerRotation == 0) {
    for (auto& [data_centre, choice] : mChoices) {
      applyChange(choice.rotate(mLoop.now()));
    }
  }
}

void
StateSyncImpl::doHousekeeping()
{
  for (const auto& key : mMap.expire(mLoop.now())) {
    peer::Entry expired;
    expired.set_kind(key.kind);
    expired.set_key(key.key);
    notifyChange(expired);
  }
  for (auto& [data_centre, choice] : mChoices) {
    applyChange(choice.tick(mLoop.now()));
  }
  mMetrics.set(kEntriesSeries, static_cast<double>(mMap.size()));
}

void
StateSyncImpl::leave()
{
  flushPushes();
  mNetwork->leave();
}

void
StateSyncImpl::peerJoined(const RemotePeer& aPeer)
{
  if (!aPeer.outgoing) {
    return; // the side that made the connection sends its digest
  }
  sendDigest(aPeer);
  const auto choice = mChoices.find(aPeer.dataCentre);
  if (choice == mChoices.end()) {
    return;
  }
  applyChange(choice->second.joined(aPeer.endpoint));
  if (choice->second.chosen() == aPeer.endpoint) {
    mLog.write(kControllerChosen,
               { { "data_centre", aPeer.dataCentre }, { "host", aPeer.host } });
  }
}

void
StateSyncImpl::peerLost(const RemotePeer& aPeer)
{
  const auto choice = mChoices.find(aPeer.dataCentre);
  if (aPeer.outgoing && choice != mChoices.end()) {
    applyChange(choice->second.lost(aPeer.endpoint, mLoop.now()));
  }
}

void
StateSyncImpl::digestReceived(const RemotePeer& aPeer, const peer::Digest& aDigest)
{
  if (aDigest.fingerprints_size() > 0) {
    summaryReceived(aPeer, aDigest);
    return;
  }
  peer::Digest known = aDigest;
  for (int count = 0; count < kMaxDeltasPerDigest; ++count) {
    const auto delta = mMap.deltaFor(known, mLoop.now(), mOptions.maxDeltaBytes);
    if (delta.entries_size() == 0) {
      break;
    }
    mNetwork->send(aPeer.id, delta);
    for (const auto& entry : delta.entries()) {
      auto* item = known.add_items();
      item->set_kind(entry.kind());
      item->set_key(entry.key());
      item->set_epoch(entry.epoch());
      item->set_sequence(entry.sequence());
    }
  }
  // If the peer has nothing newer, it would have nothing to send in return.
  if (aDigest.reply_wanted() && mMap.isBehind(aDigest)) {
    const std::vector<std::uint32_t> buckets(aDigest.buckets().begin(),
                                             aDigest.buckets().end());
    mNetwork->send(aPeer.id,
                   buckets.empty() ? mMap.digest() : mMap.digestOfBuckets(buckets));
  }
}

/// Responds with a digest of the buckets that differ, and requests the same in return.
void
StateSyncImpl::summaryReceived(const RemotePeer& aPeer, const peer::Digest& aSummary)
{
  const auto buckets = mMap.differingBuckets(aSummary);
  if (buckets.empty()) {
    return;
  }
  peer::Digest digest = mMap.digestOfBuckets(buckets);
  digest.set_reply_wanted(true);
  mNetwork->send(aPeer.id, digest);
}

void
StateSyncImpl::deltaReceived(const RemotePeer& aPeer, const peer::Delta& aDelta)
{
  for (const auto& entry : aDelta.entries()) {
    applyEntry(entry, &aPeer);
  }
}

} // namespace

Result<std::unique_ptr<StateSync>>
StateSync::create(event::Loop& aLoop,
                  SyncOptions aOptions,
                  EventLog& aLog,
                  Metrics& aMetrics)
{
  auto sync = std::make_unique<StateSyncImpl>(aLoop, std::move(aOptions), aLog, aMetrics);
  BOOST_OUTCOME_TRYV(sync->start());
  return std::unique_ptr<StateSync>(std::move(sync));
}

} // namespace savoryrill::gossip
