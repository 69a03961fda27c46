#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types/time.h"
#include "routing/circuitbreaker.h"
#include "routing/upstreamchoice.h"
#include "serving/types/placement.h"
#include "serving/types/servingconfig.h"
#include "serving/upstreamdirectory.h"
#include "serving/upstreamlimits.h"

namespace savoryrill::gateway {

/// Chooses upstreams for requests, from the platform's upstream list, the more recent
/// status updates of the placement leader, and this host's own statistics. Not thread
/// safe; no I/O.
class UpstreamSelector
{
public:
  /// `aDataCentre` is that of this host. `aSeed` seeds the random choice.
  UpstreamSelector(std::string aDataCentre, std::uint64_t aSeed);

  serving::UpstreamDirectory& directory() { return mDirectory; }
  const serving::UpstreamDirectory& directory() const { return mDirectory; }

  /// Sets the leader's view of an engine. Views are used while the leader's last update
  /// is recent, and later if the upstream list has not been read since that update.
  void setReplicas(const std::string& aUpstream,
                   std::vector<serving::ReplicaView> aReplicas);
  void recordLeaderUpdate(Instant aNow) { mLastLeaderUpdate = aNow; }
  /// True if no update of a leader has arrived for longer than a change of leaders takes,
  /// as when the store is unreachable. No host orders loads then, and for how long is
  /// unknown. False before the first update.
  bool leaderIsUnavailable(Instant aNow) const;
  /// Notes that this host has read the upstream list from the store, with the models that
  /// engines hold.
  void recordListRead(Instant aNow) { mLastListRead = aNow; }
  /// Drops the replica views of the previous leader after a change of leaders.
  void clearReplicas();
  /// Sets the expected times until models are ready, as reported by the leader.
  void setReadyTimes(const std::map<std::string, Duration>& aReadyTimes, Instant aNow);
  /// Sets the expected times until the backlogs of models whose replicas have no free
  /// slot are worked off, as reported by the leader.
  void setBacklogs(const std::map<std::string, Duration>& aBacklogs, Instant aNow);

  /// Sets the requests in progress at each upstream, of all hosts, as reported by the
  /// leader.
  void setLoads(const std::map<std::string, std::uint32_t>& aLoads);
  /// Requests of this host in progress at each upstream.
  std::map<std::string, std::uint32_t> ownLoads() const;

  struct Query
  {
    const serving::UpstreamGroup* group = nullptr;
    serving::ModelKey model;        // empty for plain services
    std::string sharedPrefix;       // identifies a prompt prefix that others share
    std::set<std::string> excluded; // upstreams at which this request has failed
  };

  /// Chooses an upstream that can run the request now; nullopt if there is none.
  std::optional<std::string> choose(const Query& aQuery, Instant aNow);

  /// Expected time until an upstream has the model: zero if one has it, even without a
  /// free slot; nullopt if unknown.
  std::optional<Duration> timeUntilReady(const Query& aQuery, Instant aNow) const;

  /// Time until an upstream that has the model takes a request from this host: after the
  /// pause that it has asked for and, while no leader issues permits, with a permit. Zero
  /// if unknown or if no upstream has the model.
  Duration timeUntilTaken(const Query& aQuery, Instant aNow) const;

  /// Expected time until the backlog of a model whose replicas have no free slot is
  /// worked off; nullopt if the leader has not reported one recently.
  std::optional<Duration> backlogTime(const std::string& aModel, Instant aNow) const;

  /// Number of upstreams that could run the request if this host had a permit.
  std::size_t countWithoutPermit(const Query& aQuery, Instant aNow) const;

  /// True if the upstream list has an upstream of the group that is not leaving.
  bool anyUpstream(const std::string& aGroup) const;

  // Statistics of an upstream: start and end of an attempt, and its result.
  void recordStart(const std::string& aUpstream, Instant aNow);
  void recordEnd(const std::string& aUpstream);
  void recordSuccess(const std::string& aUpstream);
  void recordFailure(const std::string& aUpstream, Instant aNow);
  /// Notes that the upstream declined a request because it is full or does not run the
  /// model, or that this host may open no further connection to it. The upstream is not
  /// chosen for the model for a short time.
  void recordDecline(const std::string& aUpstream,
                     const serving::ModelKey& aModel,
                     Instant aNow);

  /// Notes that an incarnation of an upstream wants no request from this host for a time.
  void recordPause(const std::string& aUpstream,
                   std::int64_t aBornMs,
                   Duration aTime,
                   Instant aNow);

  /// The rates that upstreams take, and the permits to send requests to these.
  serving::UpstreamLimits& limits() { return mLimits; }

  std::uint32_t inFlight(const std::string& aUpstream) const;
  /// Drops all data about an upstream that has left the upstream list.
  void removeUpstream(const std::string& aUpstream);

private:
  struct UpstreamStats
  {
    std::uint32_t inFlight = 0;
    routing::CircuitBreaker circuit;
    double failureShare = 0; // exponential moving average, 0 to 1
    std::map<serving::ModelKey, Instant> declinedUntil;
    Instant pausedUntil{}; // by the incarnation below
    std::int64_t pausedBornMs = 0;
  };
  bool hasModel(const serving::UpstreamEntry& aEntry,
                const serving::ModelKey& aModel,
                Instant aNow) const;
  bool leaderIsFresh(Instant aNow) const;
  /// True if the leader's views are used instead of the upstream list: its last update is
  /// recent, or the list has not been read since that update. Load pattern: the store is
  /// unreachable, so there is no leader and no newer list, and engines keep the models
  /// that they were last ordered to load.
  bool usesLeaderViews(Instant aNow) const;
  std::uint32_t loadOfOtherHosts(const std::string& aUpstream, Instant aNow) const;
  /// Upstreams of the group that hold the model and are not leaving. While the leader's
  /// views are used, the cost grows with the replicas of the model, not with the
  /// upstreams.
  std::vector<const serving::UpstreamEntry*> upstreamsWithModel(
    const std::string& aGroup,
    const serving::ModelKey& aModel,
    Instant aNow) const;
  void removeFromIndex(const std::string& aUpstream);
  /// Time until the end of the pause that the upstream has asked this host for.
  Duration pauseOf(const serving::UpstreamEntry& aEntry, Instant aNow) const;
  /// True if the upstream has a free slot and may be chosen for the request.
  /// Precondition: it holds the model.
  bool isUsable(const serving::UpstreamEntry& aEntry,
                const Query& aQuery,
                Instant aNow) const;

  std::string mDataCentre;
  std::mt19937_64 mRandom;
  serving::UpstreamDirectory mDirectory;
  std::map<std::string, std::vector<serving::ReplicaView>>
    mReplicas; // by upstream, from the leader
  std::unordered_map<std::string, std::set<std::string>>
    mUpstreamsByModel; // ready replicas
  std::map<std::string, UpstreamStats> mStats;
  serving::UpstreamLimits mLimits;
  std::map<std::string, Instant> mReadyAt;            // by model, from the leader
  std::map<std::string, Instant> mBacklogUntil;       // by model, from the leader
  std::map<std::string, std::uint32_t> mOtherLoads;   // of other hosts, by upstream
  std::map<std::string, std::string> mPrefixUpstream; // last choice, by prefix
  std::optional<Instant> mLastLeaderUpdate;
  std::optional<Instant> mLastListRead;
  routing::ChoicePolicy mPolicy;
};

} // namespace savoryrill::gateway
