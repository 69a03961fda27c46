#include "gateway/upstreamboard.h"

#include <algorithm>

namespace savoryrill::gateway {

namespace {

// Age up to which the leader's view of engines goes before the platform's list, which is
// older by up to two heartbeats.
constexpr Duration kLeaderLife = 2500ms;
// A change of leaders takes about 3 s until the new one tells its views.
constexpr Duration kLeaderAway = 4s;
// Time for which an upstream that declined a request is not asked for the same again.
constexpr Duration kDeclinedPause = 150ms;
// Weight of the latest result in the moving share of failures.
constexpr double kFailureWeight = 0.1;
// Failed share above which an upstream is used only if no better one exists. A healthy
// service fails 14 in 100 requests at the clock house.
constexpr double kSuspectShare = 0.35;
// Requests in progress that an upstream with a kept prefix may have more than others: a
// shared prefix saves about a quarter of a prompt's reading, that is less than one
// request.
constexpr std::uint32_t kAffinitySlack = 1;
// Remembered prompt prefixes; the oldest half is dropped above it.
constexpr std::size_t kMostPrefixes = 4096;
// Requests of all hosts at one upstream, in batches of it. What is beyond waits here,
// where it can still go to another upstream.
constexpr std::uint32_t kMostBatches = 1;

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

UpstreamBoard::UpstreamBoard(std::string aDataCentre, std::uint64_t aSeed)
  : mDataCentre(std::move(aDataCentre))
  , mRandom(aSeed)
  , mPolicy(routing::PowerOfTwoChoices{ kAffinitySlack })
{
}

void
UpstreamBoard::setReplicas(const std::string& aUpstream,
                           std::vector<serving::ReplicaView> aReplicas)
{
  dropCopies(aUpstream);
  for (const auto& replica : aReplicas) {
    if (replica.phase == serving::ReplicaPhase::Ready) {
      mCopies[replica.model].insert(aUpstream);
    }
  }
  mReplicas[aUpstream] = std::move(aReplicas);
  if (const auto found = mExperience.find(aUpstream); found != mExperience.end()) {
    found->second.declinedUntil.clear();
  }
}

void
UpstreamBoard::dropCopies(const std::string& aUpstream)
{
  const auto known = mReplicas.find(aUpstream);
  if (known == mReplicas.end()) {
    return;
  }
  for (const auto& replica : known->second) {
    const auto copies = mCopies.find(replica.model);
    if (copies != mCopies.end() && copies->second.erase(aUpstream) > 0 &&
        copies->second.empty()) {
      mCopies.erase(copies);
    }
  }
}

void
UpstreamBoard::forgetReplicas()
{
  mReplicas.clear();
  mCopies.clear();
}

void
UpstreamBoard::setWaits(const std::map<std::string, Duration>& aWaits, Instant aNow)
{
  mReadyAt = instantsOf(aWaits, aNow);
}

void
UpstreamBoard::setQueues(const std::map<std::string, Duration>& aQueues, Instant aNow)
{
  mBacklogUntil = instantsOf(aQueues, aNow);
}

std::optional<Duration>
UpstreamBoard::backlogTime(const std::string& aModel, Instant aNow) const
{
  const auto found = mBacklogUntil.find(aModel);
  if (found == mBacklogUntil.end() || !leaderIsFresh(aNow)) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), found->second - aNow);
}

void
UpstreamBoard::setLoads(const std::map<std::string, std::uint32_t>& aLoads)
{
  mOtherLoads.clear();
  for (const auto& [upstream, in_flight] : aLoads) {
    const std::uint32_t own = inFlight(upstream);
    mOtherLoads[upstream] = in_flight > own ? in_flight - own : 0;
  }
}

std::map<std::string, std::uint32_t>
UpstreamBoard::ownLoads() const
{
  std::map<std::string, std::uint32_t> loads;
  for (const auto& [upstream, experience] : mExperience) {
    if (experience.inFlight > 0) {
      loads[upstream] = experience.inFlight;
    }
  }
  return loads;
}

bool
UpstreamBoard::holds(const serving::UpstreamEntry& aEntry,
                     const serving::ModelKey& aModel,
                     Instant aNow) const
{
  if (aModel.model.empty()) {
    return true;
  }
  const auto replicas = mReplicas.find(aEntry.id);
  if (replicas != mReplicas.end() && viewsCount(aNow)) {
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
UpstreamBoard::leaderIsFresh(Instant aNow) const
{
  return mLeaderHeard && aNow - *mLeaderHeard < kLeaderLife;
}

bool
UpstreamBoard::leaderIsAway(Instant aNow) const
{
  return mLeaderHeard && aNow - *mLeaderHeard > kLeaderAway;
}

bool
UpstreamBoard::viewsCount(Instant aNow) const
{
  return leaderIsFresh(aNow) ||
         (mLeaderHeard && (!mEnginesRead || *mEnginesRead <= *mLeaderHeard));
}

std::uint32_t
UpstreamBoard::othersLoad(const std::string& aUpstream, Instant aNow) const
{
  const auto found = mOtherLoads.find(aUpstream);
  return found == mOtherLoads.end() || !leaderIsFresh(aNow) ? 0 : found->second;
}

std::vector<const serving::UpstreamEntry*>
UpstreamBoard::holders(const std::string& aGroup,
                       const serving::ModelKey& aModel,
                       Instant aNow) const
{
  std::vector<const serving::UpstreamEntry*> found;
  const auto consider = [&](const serving::UpstreamEntry& aEntry) {
    if (aEntry.group == aGroup && !aEntry.leaving && holds(aEntry, aModel, aNow)) {
      found.push_back(&aEntry);
    }
  };
  // The leader tells of every engine that is listed, but of new ones a moment later.
  const bool indexed = !aModel.model.empty() && viewsCount(aNow) && !mReplicas.empty();
  if (!indexed) {
    for (const auto& [id, entry] : mDirectory.entries()) {
      consider(entry);
    }
    return found;
  }
  const auto copies = mCopies.find(aModel.model);
  if (copies == mCopies.end()) {
    return found;
  }
  for (const auto& id : copies->second) {
    if (const auto* entry = mDirectory.find(id)) {
      consider(*entry);
    }
  }
  return found;
}

bool
UpstreamBoard::usable(const serving::UpstreamEntry& aEntry,
                      const Query& aQuery,
                      Instant aNow) const
{
  if (aQuery.excluded.contains(aEntry.id)) {
    return false;
  }
  const std::uint32_t others_load = othersLoad(aEntry.id, aNow);
  const std::uint32_t most = std::max(1U, aEntry.concurrency) * kMostBatches;
  const auto found = mExperience.find(aEntry.id);
  if (found == mExperience.end()) {
    return others_load < most;
  }
  const auto& experience = found->second;
  const auto declined = experience.declinedUntil.find(aQuery.model);
  return experience.circuit.allows(aNow) && experience.inFlight + others_load < most &&
         (declined == experience.declinedUntil.end() || aNow >= declined->second);
}

std::optional<std::string>
UpstreamBoard::choose(const Query& aQuery, Instant aNow)
{
  std::vector<routing::Candidate> candidates;
  std::vector<routing::Candidate> suspects;
  const auto prefix = mPrefixUpstream.find(aQuery.sharedPrefix);
  for (const auto* entry : holders(aQuery.group->name, aQuery.model, aNow)) {
    if (!usable(*entry, aQuery, aNow)) {
      continue;
    }
    const auto& id = entry->id;
    const auto experience = mExperience.find(id);
    routing::Candidate candidate;
    candidate.upstream = id;
    candidate.reportedLoad = othersLoad(id, aNow);
    candidate.sameDataCentre = entry->dataCentre == mDataCentre;
    if (experience != mExperience.end()) {
      candidate.ownInFlight = experience->second.inFlight;
    }
    if (!aQuery.sharedPrefix.empty() && prefix != mPrefixUpstream.end() &&
        prefix->second == id) {
      candidate.cachedPrefixBlocks = 1;
    }
    const bool suspect =
      experience != mExperience.end() && experience->second.failureShare > kSuspectShare;
    (suspect ? suspects : candidates).push_back(std::move(candidate));
  }
  if (candidates.empty()) {
    candidates = std::move(suspects);
  }
  const auto index = routing::choose(mPolicy, candidates, mRandom);
  if (!index) {
    return std::nullopt;
  }
  const auto& chosen = candidates[*index].upstream;
  if (!aQuery.sharedPrefix.empty()) {
    if (mPrefixUpstream.size() >= kMostPrefixes) {
      mPrefixUpstream.clear();
    }
    mPrefixUpstream[aQuery.sharedPrefix] = chosen;
  }
  return chosen;
}

std::optional<Duration>
UpstreamBoard::readyIn(const Query& aQuery, Instant aNow) const
{
  if (!holders(aQuery.group->name, aQuery.model, aNow).empty()) {
    return Duration::zero();
  }
  const auto found = mReadyAt.find(aQuery.model.model);
  if (found == mReadyAt.end() || !leaderIsFresh(aNow)) {
    return std::nullopt; // nobody may be loading it any more
  }
  return std::max(Duration::zero(), found->second - aNow);
}

bool
UpstreamBoard::anyUpstream(const std::string& aGroup) const
{
  return std::ranges::any_of(mDirectory.entries(), [&](const auto& aItem) {
    return aItem.second.group == aGroup && !aItem.second.leaving;
  });
}

void
UpstreamBoard::sent(const std::string& aUpstream, Instant aNow)
{
  auto& experience = mExperience[aUpstream];
  ++experience.inFlight;
  if (experience.circuit.allows(aNow)) {
    experience.circuit.dispatched(aNow);
  }
}

void
UpstreamBoard::ended(const std::string& aUpstream)
{
  auto& experience = mExperience[aUpstream];
  experience.inFlight -= experience.inFlight > 0 ? 1 : 0;
  experience.circuit.abandoned();
}

void
UpstreamBoard::succeeded(const std::string& aUpstream)
{
  auto& experience = mExperience[aUpstream];
  experience.circuit.succeeded();
  experience.failureShare *= 1 - kFailureWeight;
}

void
UpstreamBoard::failed(const std::string& aUpstream, Instant aNow)
{
  auto& experience = mExperience[aUpstream];
  experience.circuit.failed(aNow);
  experience.failureShare =
    experience.failureShare * (1 - kFailureWeight) + kFailureWeight;
}

void
UpstreamBoard::declined(const std::string& aUpstream,
                        const serving::ModelKey& aModel,
                        Instant aNow)
{
  mExperience[aUpstream].declinedUntil[aModel] = aNow + kDeclinedPause;
}

std::uint32_t
UpstreamBoard::inFlight(const std::string& aUpstream) const
{
  const auto found = mExperience.find(aUpstream);
  return found == mExperience.end() ? 0 : found->second.inFlight;
}

void
UpstreamBoard::forget(const std::string& aUpstream)
{
  dropCopies(aUpstream);
  mReplicas.erase(aUpstream);
  mExperience.erase(aUpstream);
}

} // namespace savoryrill::gateway
