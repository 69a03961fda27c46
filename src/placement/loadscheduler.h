#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "placement/demandtable.h"

namespace savoryrill::placement {

/// A load of a model that has demand, at an upstream that this controller owns.
struct LoadCandidate
{
  config::Loadable loadable;
  std::string upstream;
  std::uint32_t footprintMb = 0;
  Duration expectedDuration = 10s; // of the load
  bool fromWeightStore = true;     // false: the checkpoint is in memory or on disk
  std::optional<Instant> deadline; // earliest among the waiting requests
  std::uint32_t priority = 0;
  std::uint32_t waiting = 0;
  Instant wantedSince; // when demand first called for the load
};

/// Longest waiting first.
struct FirstInFirstOut
{};
/// Shortest expected load first.
struct ShortestFirst
{};
/// Shortest expected load first, less a credit for the waiting time, so that long loads
/// do not starve.
struct ShortestWithCredit
{
  double creditPerSecond = 0.5; // seconds of expected load per second of waiting
};
/// Least time between the expected end of the load and the earliest deadline first.
struct LeastSlackFirst
{};
using LoadPolicy =
  std::variant<FirstInFirstOut, ShortestFirst, ShortestWithCredit, LeastSlackFirst>;

/// A replica that may be evicted.
struct EvictionCandidate
{
  config::Loadable loadable;
  std::uint32_t footprintMb = 0;
  bool busy = false;          // has running or waiting requests
  std::uint32_t priority = 0; // highest among its waiting requests
  double retentionValue = 0;  // from `KeepAliveTracker`
};

/// An upstream to which a loadable is assigned, as one controller sees it.
struct ReplicaCandidate
{
  std::string upstream;
  std::string dataCentre;
  bool started = false;   // loading or loaded
  bool ready = false;     // loaded
  bool available = false; // reachable and not leaving, and its place is active
  int localityRank = 2;   // 0 memory, 1 disk, 2 remote
  std::uint32_t freeMb = 0;
};

/// Sorts loads, decides how many replicas the demand justifies and which replicas to
/// evict for them. No I/O; thread safe.
class LoadScheduler
{
public:
  /// Waiting requests per replica; the number of replicas is rounded up.
  static constexpr std::uint32_t kWaitingPerReplica = 16;
  /// If a preferred upstream has not started the load within this time, a further one is
  /// chosen: the owner of the first may have failed or be unreachable.
  static constexpr Duration kPreferenceTimeout = 3s;

  explicit LoadScheduler(LoadPolicy aPolicy);

  /// Sorts by priority, then by the policy, then by name.
  std::vector<LoadCandidate> sorted(std::vector<LoadCandidate> aCandidates,
                                    Instant aNow) const;

  /// Upstreams of all owners at which a load of the loadable should start now. Owners
  /// with the same view choose the same upstreams without exchanging messages.
  static std::set<std::string> selectUpstreams(
    const std::vector<ReplicaCandidate>& aCandidates,
    const MergedDemand& aDemand,
    const config::Deployment& aDeployment,
    const std::string& aDataCentre,
    Instant aNow);

  /// Replicas to evict so that `aNeededMb` become free, idle ones before busy ones and
  /// lower retention values first; nothing if that is not possible. Busy replicas are
  /// evicted only for demand of higher priority.
  static std::optional<std::vector<config::Loadable>> selectEvictions(
    std::vector<EvictionCandidate> aCandidates,
    std::uint32_t aFreeMb,
    std::uint32_t aNeededMb,
    std::uint32_t aPriority);

private:
  LoadPolicy mPolicy;
};

} // namespace savoryrill::placement
