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

namespace savoryrill::gateway {

/// What this host knows about the upstreams when it sends a request: the platform's list,
/// what the leader of placement said more recently, and its own stats. Not thread
/// safe; no I/O.
class UpstreamSelector
{
public:
  /// `aDataCentre` is this host's. `aSeed` starts the random choice.
  UpstreamSelector(std::string aDataCentre, std::uint64_t aSeed);

  serving::UpstreamDirectory& directory() { return mDirectory; }
  const serving::UpstreamDirectory& directory() const { return mDirectory; }

  /// The leader's view of an engine; used while it is fresh.
  void setReplicas(const std::string& aUpstream,
                   std::vector<serving::ReplicaView> aReplicas);
  void leaderUpdateReceived(Instant aNow) { mLastLeaderUpdate = aNow; }
  /// True if the leader has been silent for longer than a change of leaders takes, as
  /// when the store is away: nobody orders loads then, and nobody knows for how long.
  bool leaderIsUnavailable(Instant aNow) const;
  /// This host has read the list itself, with what engines hold.
  void upstreamListRead(Instant aNow) { mLastListRead = aNow; }
  /// Drops the views of a leader that another one has followed.
  void clearReplicas();
  /// Expected times until models are ready, from the leader.
  void setReadyTimes(const std::map<std::string, Duration>& aReadyTimes, Instant aNow);
  /// Expected times until the backlogs of models with full copies are worked off, from
  /// the leader.
  void setBacklogs(const std::map<std::string, Duration>& aBacklogs, Instant aNow);

  /// Requests in progress at each upstream, of all hosts, from the leader.
  void setLoads(const std::map<std::string, std::uint32_t>& aLoads);
  /// Requests of this host in progress at each upstream.
  std::map<std::string, std::uint32_t> ownLoads() const;

  struct Query
  {
    const serving::UpstreamGroup* group = nullptr;
    serving::ModelKey model;        // empty for plain services
    std::string sharedPrefix;       // names prompt parts that other requests share
    std::set<std::string> excluded; // upstreams that have failed this request
  };

  /// Chooses an upstream that can run the request now; nothing if there is none.
  std::optional<std::string> choose(const Query& aQuery, Instant aNow);

  /// Expected time until some upstream can run it: zero if one can, except for its load;
  /// nothing if it is not known.
  std::optional<Duration> timeUntilReady(const Query& aQuery, Instant aNow) const;

  /// Time in which the requests that wait for a model of full copies are worked off, as
  /// far as the leader told it lately.
  std::optional<Duration> backlogTime(const std::string& aModel, Instant aNow) const;

  /// True if any upstream of the group is listed and not leaving.
  bool anyUpstream(const std::string& aGroup) const;

  // UpstreamStats with an upstream.
  void recordStart(const std::string& aUpstream, Instant aNow);
  void recordEnd(const std::string& aUpstream);
  void recordSuccess(const std::string& aUpstream);
  void recordFailure(const std::string& aUpstream, Instant aNow);
  /// It answered that it does not run this model, or is full: not chosen for a while.
  void recordDecline(const std::string& aUpstream,
                     const serving::ModelKey& aModel,
                     Instant aNow);

  std::uint32_t inFlight(const std::string& aUpstream) const;
  /// Forgets upstreams that have vanished.
  void removeUpstream(const std::string& aUpstream);

private:
  struct UpstreamStats
  {
    std::uint32_t inFlight = 0;
    routing::CircuitBreaker circuit;
    double failureShare = 0; // moving share of failed requests
    std::map<serving::ModelKey, Instant> declinedUntil;
  };
  bool hasModel(const serving::UpstreamEntry& aEntry,
                const serving::ModelKey& aModel,
                Instant aNow) const;
  bool leaderIsFresh(Instant aNow) const;
  /// True if the leader's views count, and not the list: they are fresh, or the list has
  /// not been read since. Load pattern: the store is away, so there is no leader and no
  /// newer list, and engines go on with what they were last ordered to hold.
  bool usesLeaderViews(Instant aNow) const;
  std::uint32_t loadOfOtherHosts(const std::string& aUpstream, Instant aNow) const;
  /// Upstreams of the group that hold the model, without leaving ones. Costs grow with
  /// the copies of a model, not with the upstreams, while the leader is fresh.
  std::vector<const serving::UpstreamEntry*> upstreamsWithModel(
    const std::string& aGroup,
    const serving::ModelKey& aModel,
    Instant aNow) const;
  void removeFromIndex(const std::string& aUpstream);
  /// Precondition: it is one of the holders.
  bool usable(const serving::UpstreamEntry& aEntry,
              const Query& aQuery,
              Instant aNow) const;

  std::string mDataCentre;
  std::mt19937_64 mRandom;
  serving::UpstreamDirectory mDirectory;
  std::map<std::string, std::vector<serving::ReplicaView>> mReplicas; // of the leader
  std::unordered_map<std::string, std::set<std::string>>
    mUpstreamsByModel; // ready ones, by model
  std::map<std::string, UpstreamStats> mStats;
  std::map<std::string, Instant> mReadyAt;          // by model, from the leader
  std::map<std::string, Instant> mBacklogUntil;     // by model, from the leader
  std::map<std::string, std::uint32_t> mOtherLoads; // of other hosts, by upstream
  std::map<std::string, std::string> mPrefixUpstream;
  std::optional<Instant> mLastLeaderUpdate;
  std::optional<Instant> mLastListRead;
  routing::ChoicePolicy mPolicy;
};

} // namespace savoryrill::gateway
