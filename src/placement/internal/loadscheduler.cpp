#include "placement/loadscheduler.h"

#include <algorithm>
#include <tuple>

namespace savoryrill::placement {

namespace {

// Sort key of a load under each policy, in seconds; the smallest key comes first.
struct SortKey
{
  const LoadCandidate& candidate;
  Instant now;

  double waited() const { return toSeconds(now - candidate.wantedSince); }
  double operator()(const FirstInFirstOut&) const { return -waited(); }
  double operator()(const ShortestFirst&) const
  {
    return toSeconds(candidate.expectedDuration);
  }
  double operator()(const ShortestWithCredit& aPolicy) const
  {
    return toSeconds(candidate.expectedDuration) - aPolicy.creditPerSecond * waited();
  }
  double operator()(const LeastSlackFirst&) const
  {
    // Only pre-warming has no deadline; no request is waiting for it, so that it comes
    // last.
    constexpr double kNoDeadline = 1e9;
    return candidate.deadline
             ? toSeconds(*candidate.deadline - now - candidate.expectedDuration)
             : kNoDeadline;
  }
};

} // namespace

LoadScheduler::LoadScheduler(LoadPolicy aPolicy)
  : mPolicy(aPolicy)
{
}

std::vector<LoadCandidate>
LoadScheduler::sorted(std::vector<LoadCandidate> aCandidates, Instant aNow) const
{
  const auto key = [&](const LoadCandidate& aCandidate) {
    return std::tuple(-static_cast<std::int64_t>(aCandidate.priority),
                      std::visit(SortKey{ aCandidate, aNow }, mPolicy),
                      std::tie(aCandidate.loadable, aCandidate.upstream));
  };
  std::sort(
    aCandidates.begin(), aCandidates.end(), [&](const auto& aLeft, const auto& aRight) {
      return key(aLeft) < key(aRight);
    });
  return aCandidates;
}

std::set<std::string>
LoadScheduler::selectUpstreams(const std::vector<ReplicaCandidate>& aCandidates,
                               const MergedDemand& aDemand,
                               const config::Deployment& aDeployment,
                               const std::string& aDataCentre,
                               Instant aNow)
{
  if (aDemand.waiting == 0) {
    return {};
  }
  std::uint32_t started = 0;
  bool started_here = false;
  std::vector<const ReplicaCandidate*> available;
  for (const auto& candidate : aCandidates) {
    if (candidate.started) {
      ++started;
      started_here =
        started_here || (candidate.dataCentre == aDataCentre && candidate.started);
    } else if (candidate.available) {
      available.push_back(&candidate);
    }
  }
  std::uint32_t desired = 1 + (aDemand.waiting - 1) / LoadScheduler::kWaitingPerReplica;
  // While requests in this data centre wait and no upstream here has started a load, one
  // upstream is added each time that the wait limit has passed again: replicas in other
  // data centres may be unreachable, or the owner of a chosen upstream may be unable to
  // load. If no load has started anywhere, these upstreams are added on top of `desired`,
  // since those chosen before may never start one.
  const auto waited = aNow - aDemand.waitingSince;
  const Duration wait_limit =
    kPreferenceTimeout + (started > 0 ? aDeployment.loadTime * 2 : Duration::zero());
  std::uint32_t extra = 0;
  if (!started_here && aDemand.waitingLocally > 0) {
    extra = static_cast<std::uint32_t>(waited / wait_limit);
  }
  desired = std::min(desired + (started > 0 ? extra : 0), aDeployment.maxReplicas);
  if (started >= desired) {
    return {};
  }
  const auto key = [](const ReplicaCandidate& aCandidate) {
    return std::tuple(aCandidate.localityRank,
                      -static_cast<std::int64_t>(aCandidate.freeMb),
                      aCandidate.upstream);
  };
  std::sort(
    available.begin(), available.end(), [&](const auto* aLeft, const auto* aRight) {
      return key(*aLeft) < key(*aRight);
    });
  const std::size_t count = std::min<std::size_t>(
    available.size(), desired - started + (started > 0 ? 0 : extra));
  std::set<std::string> result;
  for (std::size_t index = 0; index < count; ++index) {
    result.insert(available[index]->upstream);
  }
  return result;
}

std::optional<std::vector<config::Loadable>>
LoadScheduler::selectEvictions(std::vector<EvictionCandidate> aCandidates,
                               std::uint32_t aFreeMb,
                               std::uint32_t aNeededMb,
                               std::uint32_t aPriority)
{
  std::erase_if(aCandidates, [&](const EvictionCandidate& aCandidate) {
    return aCandidate.busy && aCandidate.priority >= aPriority;
  });
  std::sort(
    aCandidates.begin(), aCandidates.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.busy, aLeft.retentionValue, aLeft.loadable) <
             std::tie(aRight.busy, aRight.retentionValue, aRight.loadable);
    });
  std::vector<config::Loadable> chosen;
  std::uint64_t free = aFreeMb;
  for (const auto& candidate : aCandidates) {
    if (free >= aNeededMb) {
      break;
    }
    chosen.push_back(candidate.loadable);
    free += candidate.footprintMb;
  }
  if (free < aNeededMb) {
    return std::nullopt;
  }
  return chosen;
}

} // namespace savoryrill::placement
