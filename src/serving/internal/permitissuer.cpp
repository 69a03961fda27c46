#include "serving/permitissuer.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

// Permits that may be saved up while no host asks: what the upstream takes in this time,
// but at least one.
constexpr double kBurstSeconds = 1;
// An ask that its host has not repeated for this long is no longer needed.
constexpr Duration kAskTime = 2 * PermitIssuer::kRepeatTime;
// A limit that no host has mentioned for this long is forgotten.
constexpr Duration kLimitMemory = 10s;
// Hosts that have not sent a request since a limit was lifted learn it within this time.
constexpr Duration kLiftedMemory = 60s;
constexpr std::size_t kMaxUpstreams = 4096;
// Of one upstream; a host has one at a time.
constexpr std::size_t kMaxAsks = 4096;

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
    return aNow - aItem.second.lastAsk > kLimitMemory;
  });
  std::erase_if(mLifted,
                [&](const auto& aItem) { return aNow - aItem.second > kLiftedMemory; });
}

bool
PermitIssuer::ask(const std::string& aHost, const PermitAsk& aAsk, Instant aNow)
{
  const auto named = aAsk.age ? std::optional<Instant>(aNow - *aAsk.age) : std::nullopt;
  const auto lifted = mLifted.find(aAsk.upstream);
  const bool outdated = lifted != mLifted.end() && (!named || *named <= lifted->second);
  const bool known = mUpstreams.contains(aAsk.upstream);
  if (outdated && !known) {
    return false;
  }
  if (!known) {
    expire(aNow);
    if (mUpstreams.size() >= kMaxUpstreams) {
      return true; // the host asks again
    }
    mUpstreams[aAsk.upstream].refilled = aNow;
  }
  auto& upstream = mUpstreams[aAsk.upstream];
  if (!known || (named && (!upstream.named || *named > *upstream.named))) {
    upstream.perSecond = aAsk.perSecond;
    upstream.named = named;
  }
  upstream.lastAsk = aNow;
  const auto earlier = std::ranges::find(upstream.asks, aHost, &Ask::host);
  if (earlier != upstream.asks.end()) {
    earlier->at = aNow;
  } else if (upstream.asks.size() < kMaxAsks) {
    upstream.asks.push_back({ aHost, aNow });
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
    std::erase_if(upstream.asks,
                  [&](const Ask& aAsk) { return aNow - aAsk.at > kAskTime; });
    while (upstream.permits >= 1 && !upstream.asks.empty()) {
      upstream.permits -= 1;
      issued.push_back({ upstream.asks.front().host, { id, 1 } });
      upstream.asks.pop_front();
    }
  }
  return issued;
}

std::map<std::string, double>
PermitIssuer::limits(Instant aNow) const
{
  std::map<std::string, double> limits;
  for (const auto& [id, upstream] : mUpstreams) {
    if (aNow - upstream.lastAsk <= kLimitMemory) {
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
