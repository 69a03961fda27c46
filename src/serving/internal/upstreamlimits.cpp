#include "serving/upstreamlimits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "serving/permitissuer.h"

namespace savoryrill::serving {

namespace {

// An upstream that takes next to nothing gets a request now and then all the same, since
// only its response can say that the limit is lifted.
constexpr double kMinPerSecond = 0.1;
// A limit that no response has confirmed for this long is forgotten.
constexpr Duration kNamedMemory = 60s;
// After a response without a limit, reports of the limit by the issuing host are outdated
// for this long.
constexpr Duration kReportDelay = 2s;
// Part of its equal share that a host uses without an issuing host, since hosts differ in
// how many others they know of.
constexpr double kUsedShare = 0.8;
// A permit that was not needed for this long goes back, so that another host can use it.
constexpr Duration kUnusedTime = 100ms;
constexpr std::size_t kMaxLimits = 4096;

} // namespace

bool
UpstreamLimits::setNamed(const std::string& aUpstream,
                         std::optional<double> aPerSecond,
                         Instant aNow)
{
  const auto known = mLimits.find(aUpstream);
  if (!aPerSecond) {
    if (!lift(aUpstream, aNow)) {
      return false;
    }
    mNewlyLifted.push_back(aUpstream);
    return true;
  }
  if (known == mLimits.end() && mLimits.size() >= kMaxLimits) {
    return false;
  }
  auto& limit = mLimits[aUpstream];
  const double rate = std::max(kMinPerSecond, *aPerSecond);
  const bool changed = !limit.named || limit.perSecond != rate;
  limit.perSecond = rate;
  limit.named = aNow;
  mLifted.erase(aUpstream);
  return changed;
}

bool
UpstreamLimits::lift(const std::string& aUpstream, Instant aNow)
{
  mRequested.erase(aUpstream);
  if (mLimits.erase(aUpstream) == 0) {
    return false;
  }
  mLifted[aUpstream] = aNow;
  return true;
}

void
UpstreamLimits::setReported(const std::map<std::string, double>& aLimits, Instant aNow)
{
  for (const auto& [id, per_second] : aLimits) {
    const auto lifted = mLifted.find(id);
    if ((lifted != mLifted.end() && aNow - lifted->second < kReportDelay) ||
        (!mLimits.contains(id) && mLimits.size() >= kMaxLimits)) {
      continue;
    }
    auto& limit = mLimits[id];
    limit.reported = aNow;
    if (!limit.named) {
      limit.perSecond = std::max(kMinPerSecond, per_second);
    }
  }
  std::erase_if(mLimits, [&](const auto& aItem) {
    return !aItem.second.named && !aLimits.contains(aItem.first);
  });
}

bool
UpstreamLimits::permits(const std::string& aUpstream, Instant aNow) const
{
  const auto found = mLimits.find(aUpstream);
  if (found == mLimits.end()) {
    return true;
  }
  return std::ranges::any_of(found->second.permits, [&](Instant aReceived) {
    return aNow - aReceived < PermitIssuer::kPermitTime;
  });
}

void
UpstreamLimits::use(const std::string& aUpstream, Instant aNow)
{
  const auto found = mLimits.find(aUpstream);
  if (found == mLimits.end()) {
    return;
  }
  auto& permits = found->second.permits;
  std::erase_if(permits, [&](Instant aReceived) {
    return aNow - aReceived >= PermitIssuer::kPermitTime;
  });
  if (!permits.empty()) {
    permits.erase(permits.begin());
  }
}

void
UpstreamLimits::requestOneOf(const std::vector<std::string>& aUpstreams, Instant aNow)
{
  for (const auto& id : aUpstreams) {
    const auto found = mLimits.find(id);
    if (found == mLimits.end()) {
      continue;
    }
    const auto& requested = found->second.requested;
    if (!mRequested.contains(id) &&
        (!requested || aNow - *requested >= PermitIssuer::kRepeatTime)) {
      mRequested.insert(id);
      return;
    }
  }
}

std::vector<PermitRequest>
UpstreamLimits::takeRequests(Instant aNow)
{
  std::vector<PermitRequest> requests;
  for (const auto& id : std::exchange(mRequested, {})) {
    const auto found = mLimits.find(id);
    if (found == mLimits.end()) {
      continue;
    }
    auto& limit = found->second;
    limit.requested = aNow;
    requests.push_back({ id, limit.perSecond, std::nullopt });
    if (limit.named) {
      requests.back().age = aNow - *limit.named;
    }
  }
  return requests;
}

void
UpstreamLimits::grant(const PermitGrant& aGrant, Instant aNow)
{
  const auto found = mLimits.find(aGrant.upstream);
  if (found == mLimits.end()) {
    return; // lifted meanwhile
  }
  found->second.requested.reset();
  found->second.permits.insert(found->second.permits.end(), aGrant.count, aNow);
}

std::vector<PermitGrant>
UpstreamLimits::takeUnused(Instant aNow)
{
  std::vector<PermitGrant> unused;
  for (auto& [id, limit] : mLimits) {
    const auto count = std::erase_if(
      limit.permits, [&](Instant aReceived) { return aNow - aReceived >= kUnusedTime; });
    if (count > 0) {
      unused.push_back({ id, static_cast<std::uint32_t>(count) });
    }
  }
  return unused;
}

void
UpstreamLimits::accrueOwnShare(std::uint32_t aHostCount, Instant aNow)
{
  mRequested.clear();
  const double share = kUsedShare / std::max(1U, aHostCount);
  for (auto& [id, limit] : mLimits) {
    // Accrues nothing for the time in which another host issued permits.
    const Instant since = limit.accruedUntil.value_or(aNow);
    const bool accrued_lately = aNow - since < PermitIssuer::kPermitTime;
    limit.accruedPerSecond = limit.perSecond * share;
    const double added =
      accrued_lately ? limit.accruedPerSecond * toSeconds(aNow - since) : 0;
    limit.accrued = limit.accrued.value_or(mPhase) + added;
    limit.accruedUntil = aNow;
    if (*limit.accrued >= 1) {
      // Not saved up, so that many hosts cannot use what they saved at the same time.
      limit.accrued = *limit.accrued - std::floor(*limit.accrued);
      limit.permits.push_back(aNow);
    }
  }
}

std::optional<Duration>
UpstreamLimits::timeUntilPermit(const std::string& aUpstream, Instant aNow) const
{
  if (permits(aUpstream, aNow)) {
    return Duration::zero();
  }
  const auto& limit = mLimits.at(aUpstream);
  if (!limit.accruedUntil || aNow - *limit.accruedUntil >= PermitIssuer::kPermitTime) {
    return std::nullopt;
  }
  const double missing = 1 - limit.accrued.value_or(0);
  return *limit.accruedUntil - aNow +
         std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(missing / limit.accruedPerSecond));
}

std::vector<std::string>
UpstreamLimits::takeLifted()
{
  return std::exchange(mNewlyLifted, {});
}

void
UpstreamLimits::remove(const std::string& aUpstream)
{
  mLimits.erase(aUpstream);
  mLifted.erase(aUpstream);
  mRequested.erase(aUpstream);
}

void
UpstreamLimits::expire(Instant aNow)
{
  std::erase_if(mLimits, [&](const auto& aItem) {
    const auto& limit = aItem.second;
    const Instant last =
      std::max(limit.named.value_or(Instant{}), limit.reported.value_or(Instant{}));
    return aNow - last > kNamedMemory;
  });
  std::erase_if(mLifted,
                [&](const auto& aItem) { return aNow - aItem.second > kReportDelay; });
}

} // namespace savoryrill::serving
