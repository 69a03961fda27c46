#include "serving/permitissuer.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

// Permits that may be saved up while no host needs one: what the upstream takes in this
// time, but at least one.
constexpr double kBurstSeconds = 1;
// A request for a permit that its host has not repeated for this long is no longer
// needed.
constexpr Duration kPendingTime = 2 * PermitIssuer::kRepeatTime;
// A limit that no host has mentioned for this long is forgotten.
constexpr Duration kLimitMemory = 10s;
// Hosts that have not sent a request since a limit was lifted learn it within this time.
constexpr Duration kLiftedMemory = 60s;
constexpr std::size_t kMaxUpstreams = 4096;
// Of one upstream; a host has one at a time.
constexpr std::size_t kMaxPending = 4096;

} // namespace

double
PermitIssuer::mostPermits(const Upstream& aUpstream)
{
  return std::max(1.0, aUpstream.perSecond * kBurstSeconds);
}

void
PermitIssuer::expire(Instant aNow)
{
  std::erase_if(mUpstreams, [&](const auto& aItem) {
    return aNow - aItem.second.lastRequest > kLimitMemory;
  });
  std::erase_if(mLifted,
                [&](const auto& aItem) { return aNow - aItem.second > kLiftedMemory; });
}

bool
PermitIssuer::request(const std::string& aHost,
                      const PermitRequest& aRequest,
                      Instant aNow)
{
  const auto named =
    aRequest.age ? std::optional<Instant>(aNow - *aRequest.age) : std::nullopt;
  const auto lifted = mLifted.find(aRequest.upstream);
  const bool outdated = lifted != mLifted.end() && (!named || *named <= lifted->second);
  const bool known = mUpstreams.contains(aRequest.upstream);
  if (outdated && !known) {
    return false;
  }
  if (!known) {
    expire(aNow);
    if (mUpstreams.size() >= kMaxUpstreams) {
      return true; // the host repeats its request
    }
    mUpstreams[aRequest.upstream].refilled = aNow;
  }
  auto& upstream = mUpstreams[aRequest.upstream];
  if (!known || (named && (!upstream.named || *named > *upstream.named))) {
    upstream.perSecond = aRequest.perSecond;
    upstream.named = named;
  }
  upstream.lastRequest = aNow;
  const auto earlier = std::ranges::find(upstream.pending, aHost, &Pending::host);
  if (earlier != upstream.pending.end()) {
    earlier->at = aNow;
  } else if (upstream.pending.size() < kMaxPending) {
    upstream.pending.push_back({ aHost, aNow });
  }
  return true;
}

void
PermitIssuer::giveBack(const PermitGrant& aUnused)
{
  if (const auto found = mUpstreams.find(aUnused.upstream); found != mUpstreams.end()) {
    auto& upstream = found->second;
    upstream.permits = std::min(mostPermits(upstream), upstream.permits + aUnused.count);
  }
}

std::vector<PermitIssuer::Issued>
PermitIssuer::issue(double aShare, Instant aNow)
{
  std::vector<Issued> issued;
  for (auto& [id, upstream] : mUpstreams) {
    const double added =
      upstream.perSecond * aShare * toSeconds(aNow - upstream.refilled);
    upstream.permits = std::min(mostPermits(upstream), upstream.permits + added);
    upstream.refilled = aNow;
    std::erase_if(upstream.pending, [&](const Pending& aPending) {
      return aNow - aPending.at > kPendingTime;
    });
    while (upstream.permits >= 1 && !upstream.pending.empty()) {
      upstream.permits -= 1;
      issued.push_back({ upstream.pending.front().host, { id, 1 } });
      upstream.pending.pop_front();
    }
  }
  return issued;
}

std::map<std::string, double>
PermitIssuer::limits(Instant aNow) const
{
  std::map<std::string, double> limits;
  for (const auto& [id, upstream] : mUpstreams) {
    if (aNow - upstream.lastRequest <= kLimitMemory) {
      limits[id] = upstream.perSecond;
    }
  }
  return limits;
}

void
PermitIssuer::lift(const std::string& aUpstream, Instant aNow)
{
  mUpstreams.erase(aUpstream);
  expire(aNow);
  if (mLifted.size() < kMaxUpstreams || mLifted.contains(aUpstream)) {
    mLifted[aUpstream] = aNow;
  }
}

} // namespace savoryrill::serving
