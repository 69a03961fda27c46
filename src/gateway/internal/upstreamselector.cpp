#include "gateway/upstreamselector.h"

#include <algorithm>

namespace savoryrill::gateway {

namespace {

// Age up to which the leader's views of engines are preferred to the platform's upstream
// list, which is older by up to two heartbeats.
constexpr Duration kLeaderViewTimeToLive = 2500ms;
// A change of leaders takes about 3 s until the new leader publishes its views.
constexpr Duration kLeaderUnavailableAfter = 4s;
// Time for which an upstream that declined a request is not chosen for the same model.
constexpr Duration kDeclineBackoff = 150ms;
// Weight of the latest result in the moving average of failures.
constexpr double kFailureWeight = 0.1;
// Share of failures above which an upstream is used only if no better one exists. Healthy
// services of a large deployment fail 14 in 100 requests.
constexpr double kSuspectFailureShare = 0.35;
// An upstream with a cached prefix is preferred while it has at most this number of
// requests more in progress than the upstream with the fewest: a shared prefix saves
// about a quarter of a prompt's prefill, which is less work than one request.
constexpr std::uint32_t kAffinitySlack = 1;
// Remembered prompt prefixes; all are dropped when the maximum is reached.
constexpr std::size_t kMaxPrefixes = 4096;
// Requests of all hosts at one upstream, in multiples of its concurrency. Further
// requests wait at this host, where they can still go to another upstream.
constexpr std::uint32_t kMaxLoadPerConcurrency = 1;

std::map<std::string, Instant>
instantsOf(const std::map<std::string, Duration>& aTimes, Instant aNow)
{
  std::map<std::string, Instant> instants;
  for (const auto& [name, time] : aTimes) {
    instants[name] = aNow + time;
  }
  return instants;
}

} // namespace

UpstreamSelector::UpstreamSelector(std::string aDataCentre, std::uint64_t aSeed)
  : mDataCentre(std::move(aDataCentre))
  , mRandom(aSeed)
  , mLimits(std::uniform_real_distribution<double>(0, 1)(mRandom))
  , mPolicy(routing::PowerOfTwoChoices{ kAffinitySlack })
{
}

void
UpstreamSelector::setReplicas(const std::string& aUpstream,
                              std::vector<serving::ReplicaView> aReplicas)
{
  removeFromIndex(aUpstream);
  for (const auto& replica : aReplicas) {
    if (replica.phase == serving::ReplicaPhase::Ready) {
      mUpstreamsByModel[replica.model].insert(aUpstream);
    }
  }
  mReplicas[aUpstream] = std::move(aReplicas);
  if (const auto found = mStats.find(aUpstream); found != mStats.end()) {
    found->second.declinedUntil.clear();
  }
}

void
UpstreamSelector::removeFromIndex(const std::string& aUpstream)
{
  const auto known = mReplicas.find(aUpstream);
  if (known == mReplicas.end()) {
    return;
  }
  for (const auto& replica : known->second) {
    const auto upstreams = mUpstreamsByModel.find(replica.model);
    if (upstreams != mUpstreamsByModel.end() && upstreams->second.erase(aUpstream) > 0 &&
        upstreams->second.empty()) {
      mUpstreamsByModel.erase(upstreams);
    }
  }
}

void
UpstreamSelector::clearReplicas()
{
  mReplicas.clear();
  mUpstreamsByModel.clear();
}

void
UpstreamSelector::setReadyTimes(const std::map<std::string, Duration>& aReadyTimes,
                                Instant aNow)
{
  mReadyAt = instantsOf(aReadyTimes, aNow);
}

void
UpstreamSelector::setBacklogs(const std::map<std::string, Duration>& aBacklogs,
                              Instant aNow)
{
  mBacklogUntil = instantsOf(aBacklogs, aNow);
}

std::optional<Duration>
UpstreamSelector::backlogTime(const std::string& aModel, Instant aNow) const
{
  const auto found = mBacklogUntil.find(aModel);
  if (found == mBacklogUntil.end() || !leaderIsFresh(aNow)) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), found->second - aNow);
}

void
UpstreamSelector::setLoads(const std::map<std::string, std::uint32_t>& aLoads)
{
  mOtherLoads.clear();
  for (const auto& [upstream, in_flight] : aLoads) {
    const std::uint32_t own = inFlight(upstream);
    mOtherLoads[upstream] = in_flight > own ? in_flight - own : 0;
  }
}

std::map<std::string, std::uint32_t>
UpstreamSelector::ownLoads() const
{
  std::map<std::string, std::uint32_t> loads;
  for (const auto& [upstream, stats] : mStats) {
    if (stats.inFlight > 0) {
      loads[upstream] = stats.inFlight;
    }
  }
  return loads;
}

bool
UpstreamSelector::hasModel(const serving::UpstreamEntry& aEntry,
                           const serving::ModelKey& aModel,
                           Instant aNow) const
{
  if (aModel.model.empty()) {
    return true;
  }
  const auto replicas = mReplicas.find(aEntry.id);
  if (replicas != mReplicas.end() && usesLeaderViews(aNow)) {
    return std::ranges::any_of(replicas->second, [&](const auto& aReplica) {
      return aReplica.model == aModel.model &&
             aReplica.phase == serving::ReplicaPhase::Ready &&
             (aModel.adapter.empty() ||
              std::ranges::find(aReplica.adapters, aModel.adapter) !=
                aReplica.adapters.end());
    });
  }
  return std::ranges::any_of(aEntry.engine.models, [&](const auto& aResident) {
    return aResident.model == aModel.model &&
           (aModel.adapter.empty() || aResident.adapters.contains(aModel.adapter));
  });
}

bool
UpstreamSelector::leaderIsFresh(Instant aNow) const
{
  return mLastLeaderUpdate && aNow - *mLastLeaderUpdate < kLeaderViewTimeToLive;
}

bool
UpstreamSelector::leaderIsUnavailable(Instant aNow) const
{
  return mLastLeaderUpdate && aNow - *mLastLeaderUpdate > kLeaderUnavailableAfter;
}

bool
UpstreamSelector::usesLeaderViews(Instant aNow) const
{
  return leaderIsFresh(aNow) ||
         (mLastLeaderUpdate && (!mLastListRead || *mLastListRead <= *mLastLeaderUpdate));
}

std::uint32_t
UpstreamSelector::loadOfOtherHosts(const std::string& aUpstream, Instant aNow) const
{
  const auto found = mOtherLoads.find(aUpstream);
  return found == mOtherLoads.end() || !leaderIsFresh(aNow) ? 0 : found->second;
}

std::vector<const serving::UpstreamEntry*>
UpstreamSelector::upstreamsWithModel(const std::string& aGroup,
                                     const serving::ModelKey& aModel,
                                     Instant aNow) const
{
  std::vector<const serving::UpstreamEntry*> found;
  const auto consider = [&](const serving::UpstreamEntry& aEntry) {
    if (aEntry.group == aGroup && !aEntry.leaving && hasModel(aEntry, aModel, aNow)) {
      found.push_back(&aEntry);
    }
  };
  // The leader publishes views of all listed engines, of new ones with a short delay.
  const bool indexed =
    !aModel.model.empty() && usesLeaderViews(aNow) && !mReplicas.empty();
  if (!indexed) {
    for (const auto& [id, entry] : mDirectory.entries()) {
      consider(entry);
    }
    return found;
  }
  const auto upstreams = mUpstreamsByModel.find(aModel.model);
  if (upstreams == mUpstreamsByModel.end()) {
    return found;
  }
  for (const auto& id : upstreams->second) {
    if (const auto* entry = mDirectory.find(id)) {
      consider(*entry);
    }
  }
  return found;
}

Duration
UpstreamSelector::pauseOf(const serving::UpstreamEntry& aEntry, Instant aNow) const
{
  const auto found = mStats.find(aEntry.id);
  if (found == mStats.end() || found->second.pausedBornMs != aEntry.bornMs) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), found->second.pausedUntil - aNow);
}

bool
UpstreamSelector::isUsable(const serving::UpstreamEntry& aEntry,
                           const Query& aQuery,
                           Instant aNow) const
{
  if (aQuery.excluded.contains(aEntry.id)) {
    return false;
  }
  const std::uint32_t other_load = loadOfOtherHosts(aEntry.id, aNow);
  const std::uint32_t capacity =
    std::max(1U, aEntry.concurrency) * kMaxLoadPerConcurrency;
  const auto found = mStats.find(aEntry.id);
  if (found == mStats.end()) {
    return other_load < capacity;
  }
  const auto& stats = found->second;
  const auto declined = stats.declinedUntil.find(aQuery.model);
  return pauseOf(aEntry, aNow) == Duration::zero() && stats.circuit.allows(aNow) &&
         stats.inFlight + other_load < capacity &&
         (declined == stats.declinedUntil.end() || aNow >= declined->second);
}

std::optional<std::string>
UpstreamSelector::choose(const Query& aQuery, Instant aNow)
{
  std::vector<routing::Candidate> candidates;
  std::vector<routing::Candidate> suspects;
  std::vector<std::string> without_permit;
  const auto prefix = mPrefixUpstream.find(aQuery.sharedPrefix);
  for (const auto* entry : upstreamsWithModel(aQuery.group->name, aQuery.model, aNow)) {
    if (!isUsable(*entry, aQuery, aNow)) {
      continue;
    }
    const auto& id = entry->id;
    if (!mLimits.permits(id, aNow)) {
      without_permit.push_back(id);
      continue;
    }
    const auto stats = mStats.find(id);
    routing::Candidate candidate;
    candidate.upstream = id;
    candidate.reportedLoad = loadOfOtherHosts(id, aNow);
    candidate.sameDataCentre = entry->dataCentre == mDataCentre;
    if (stats != mStats.end()) {
      candidate.ownInFlight = stats->second.inFlight;
    }
    if (!aQuery.sharedPrefix.empty() && prefix != mPrefixUpstream.end() &&
        prefix->second == id) {
      candidate.cachedPrefixBlocks = 1;
    }
    const bool suspect =
      stats != mStats.end() && stats->second.failureShare > kSuspectFailureShare;
    (suspect ? suspects : candidates).push_back(std::move(candidate));
  }
  if (candidates.empty()) {
    candidates = std::move(suspects);
  }
  const auto index = routing::choose(mPolicy, candidates, mRandom);
  if (!index) {
    std::ranges::shuffle(without_permit, mRandom);
    mLimits.requestOneOf(without_permit, aNow);
    return std::nullopt;
  }
  const auto& chosen = candidates[*index].upstream;
  if (!aQuery.sharedPrefix.empty()) {
    if (mPrefixUpstream.size() >= kMaxPrefixes) {
      mPrefixUpstream.clear();
    }
    mPrefixUpstream[aQuery.sharedPrefix] = chosen;
  }
  return chosen;
}

std::optional<Duration>
UpstreamSelector::timeUntilReady(const Query& aQuery, Instant aNow) const
{
  if (!upstreamsWithModel(aQuery.group->name, aQuery.model, aNow).empty()) {
    return Duration::zero();
  }
  const auto found = mReadyAt.find(aQuery.model.model);
  if (found == mReadyAt.end() || !leaderIsFresh(aNow)) {
    return std::nullopt; // possibly no engine is loading it any more
  }
  return std::max(Duration::zero(), found->second - aNow);
}

Duration
UpstreamSelector::timeUntilTaken(const Query& aQuery, Instant aNow) const
{
  std::optional<Duration> shortest;
  for (const auto* entry : upstreamsWithModel(aQuery.group->name, aQuery.model, aNow)) {
    const auto permit = mLimits.timeUntilPermit(entry->id, aNow);
    const Duration time =
      std::max(pauseOf(*entry, aNow), permit.value_or(Duration::zero()));
    shortest = shortest ? std::min(*shortest, time) : time;
  }
  return shortest.value_or(Duration::zero());
}

std::size_t
UpstreamSelector::countWithoutPermit(const Query& aQuery, Instant aNow) const
{
  const auto upstreams = upstreamsWithModel(aQuery.group->name, aQuery.model, aNow);
  return static_cast<std::size_t>(
    std::ranges::count_if(upstreams, [&](const auto* aEntry) {
      return isUsable(*aEntry, aQuery, aNow) && !mLimits.permits(aEntry->id, aNow);
    }));
}

bool
UpstreamSelector::anyUpstream(const std::string& aGroup) const
{
  return std::ranges::any_of(mDirectory.entries(), [&](const auto& aItem) {
    return aItem.second.group == aGroup && !aItem.second.leaving;
  });
}

void
UpstreamSelector::recordStart(const std::string& aUpstream, Instant aNow)
{
  mLimits.use(aUpstream, aNow);
  auto& stats = mStats[aUpstream];
  ++stats.inFlight;
  if (stats.circuit.allows(aNow)) {
    stats.circuit.dispatched(aNow);
  }
}

void
UpstreamSelector::recordEnd(const std::string& aUpstream)
{
  auto& stats = mStats[aUpstream];
  stats.inFlight -= stats.inFlight > 0 ? 1 : 0;
  stats.circuit.abandoned();
}

void
UpstreamSelector::recordSuccess(const std::string& aUpstream)
{
  auto& stats = mStats[aUpstream];
  stats.circuit.succeeded();
  stats.failureShare *= 1 - kFailureWeight;
}

void
UpstreamSelector::recordFailure(const std::string& aUpstream, Instant aNow)
{
  auto& stats = mStats[aUpstream];
  stats.circuit.failed(aNow);
  stats.failureShare = stats.failureShare * (1 - kFailureWeight) + kFailureWeight;
}

void
UpstreamSelector::recordDecline(const std::string& aUpstream,
                                const serving::ModelKey& aModel,
                                Instant aNow)
{
  mStats[aUpstream].declinedUntil[aModel] = aNow + kDeclineBackoff;
}

void
UpstreamSelector::recordPause(const std::string& aUpstream,
                              std::int64_t aBornMs,
                              Duration aTime,
                              Instant aNow)
{
  auto& stats = mStats[aUpstream];
  stats.pausedUntil = aNow + aTime;
  stats.pausedBornMs = aBornMs;
}

std::uint32_t
UpstreamSelector::inFlight(const std::string& aUpstream) const
{
  const auto found = mStats.find(aUpstream);
  return found == mStats.end() ? 0 : found->second.inFlight;
}

void
UpstreamSelector::removeUpstream(const std::string& aUpstream)
{
  removeFromIndex(aUpstream);
  mReplicas.erase(aUpstream);
  mStats.erase(aUpstream);
  mLimits.remove(aUpstream);
}

} // namespace savoryrill::gateway
