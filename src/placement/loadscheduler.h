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

/// A load that demand asks for at an upstream of this controller.
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
  Instant wantedSince; // since when it has been wanted
};

/// First wanted, first loaded; the baseline.
struct FirstInFirstOut
{};
/// Shortest expected load first.
struct ShortestFirst
{};
/// Shortest first, less a credit for the time it has waited, so that long loads do not
/// starve.
struct ShortestWithCredit
{
  double creditPerSecond = 0.5; // seconds of expected load per second of waiting
};
/// Least time left between the expected end of the load and the earliest deadline.
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
  std::uint32_t priority = 0; // of its demand
  double retentionValue = 0;  // of keeping it, from `KeepAliveTracker`
};

/// Where a loadable may be or become resident, seen by one owner.
struct ReplicaCandidate
{
  std::string upstream;
  std::string dataCentre;
  bool started = false;   // loading or loaded
  bool ready = false;     // loaded
  bool available = false; // reachable, active and not leaving
  int localityRank = 2;   // 0 memory, 1 disk, 2 remote
  std::uint32_t freeMb = 0;
};

/// Orders loads, decides how many replicas demand justifies and what to evict for them.
/// No I/O; thread safe.
class LoadScheduler
{
public:
  /// Waiting requests that justify a further replica, each.
  static constexpr std::uint32_t kWaitingPerReplica = 16;
  /// A preferred upstream that has not started within this time is not waited for any
  /// longer: its owner may be gone or cut off.
  static constexpr Duration kPreferenceTimeout = 3s;

  explicit LoadScheduler(LoadPolicy aPolicy);

  /// Sorts by priority, then by the policy, then by name.
  std::vector<LoadCandidate> sorted(std::vector<LoadCandidate> aCandidates,
                                    Instant aNow) const;

  /// Upstreams at which the loadable should be started now, over all owners. Owners with
  /// the same view choose the same ones, without exchanging messages.
  static std::set<std::string> selectUpstreams(
    const std::vector<ReplicaCandidate>& aChoices,
    const MergedDemand& aDemand,
    const config::Deployment& aDeployment,
    const std::string& aDataCentre,
    Instant aNow);

  /// Replicas to evict so that `aNeededMb` becomes free, cheapest first; nothing if that
  /// is not possible. Busy replicas are only taken for demand of higher priority.
  static std::optional<std::vector<config::Loadable>> selectEvictions(
    std::vector<EvictionCandidate> aCandidates,
    std::uint32_t aFreeMb,
    std::uint32_t aNeededMb,
    std::uint32_t aPriority);

private:
  LoadPolicy mPolicy;
};

} // namespace savoryrill::placement
