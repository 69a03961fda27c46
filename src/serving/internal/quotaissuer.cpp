#include "serving/quotaissuer.h"

#include <algorithm>
#include <cmath>

namespace savoryrill::serving {

namespace {

// Of one organisation; a host has one at a time.
constexpr std::size_t kMaxPendingQuotaRequests = 1024;
// Below this rate, in units a second, the time until there is room is not computed.
constexpr double kMinRate = 1e-6;

Duration
timeFor(double aAmount, double aPerSecond)
{
  const double limit = toSeconds(QuotaIssuer::kWindow);
  const double seconds = aPerSecond > kMinRate ? aAmount / aPerSecond : limit;
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::chrono::duration<double>(std::clamp(seconds, 0.0, limit)));
}

} // namespace

double
QuotaIssuer::debt(const Quota& aQuota)
{
  return aQuota.unit == QuotaUnit::Tokens ? kDebtTokens : kDebtRequests;
}

double
QuotaIssuer::capacity(const Quota& aQuota) const
{
  return aQuota.burst * mShare + debt(aQuota);
}

double
QuotaIssuer::mostForOneRequest(const Quota& aQuota) const
{
  // A dearer request exceeds the quota of a window alone.
  return std::max(capacity(aQuota),
                  (aQuota.perSecond * toSeconds(kWindow) + aQuota.burst) * mShare);
}

void
QuotaIssuer::setQuotas(const std::map<std::string, Quota>& aQuotas)
{
  std::erase_if(mBuckets,
                [&](const auto& aItem) { return !aQuotas.contains(aItem.first); });
  std::erase_if(mWithPending,
                [&](const auto& aName) { return !aQuotas.contains(aName); });
  for (const auto& [name, quota] : aQuotas) {
    const auto [found, added] = mBuckets.try_emplace(name);
    auto& bucket = found->second;
    bucket.quota = quota;
    bucket.spare = 0;
    bucket.level = std::min(bucket.level, quota.burst + debt(quota));
    if (added) {
      bucket.refilled = mIssuedSeconds;
    }
  }
}

void
QuotaIssuer::restart(Instant aNow)
{
  for (auto& [name, bucket] : mBuckets) {
    bucket = Bucket{ bucket.quota };
    bucket.refilled = mIssuedSeconds;
  }
  mWithPending.clear();
  mUnlimited.clear();
  mLastIssue = aNow;
}

void
QuotaIssuer::restartAfterPause(Instant aNow)
{
  if (!mLastIssue || aNow - *mLastIssue > kMaxPause) {
    restart(aNow);
  }
}

void
QuotaIssuer::request(const std::string& aHost, const QuotaRequest& aRequest, Instant aNow)
{
  restartAfterPause(aNow);
  const auto found = mBuckets.find(aRequest.organisation);
  if (found == mBuckets.end()) {
    // The hosts learn of a changed configuration at different times.
    mUnlimited.push_back(
      { aHost,
        { aRequest.organisation, aRequest.amount, ++mLastNumber, aRequest.number } });
    return;
  }
  auto& pending = found->second.pending;
  const auto earlier = std::ranges::find(pending, aHost, &Pending::host);
  if (earlier != pending.end()) {
    earlier->request = aRequest;
  } else if (pending.size() < kMaxPendingQuotaRequests) {
    pending.push_back({ aHost, aRequest, aNow });
  }
  mWithPending.insert(aRequest.organisation);
}

void
QuotaIssuer::giveBack(const QuotaGrant& aUnused, Instant aNow)
{
  const auto found = mBuckets.find(aUnused.organisation);
  if (found == mBuckets.end()) {
    return;
  }
  restartAfterPause(aNow);
  auto& bucket = found->second;
  refill(bucket, aNow);
  const auto grant = bucket.grants.find(aUnused.number);
  if (grant == bucket.grants.end()) {
    return; // given back before, or too late
  }
  const double amount = grant->second.amount;
  bucket.level = std::min(capacity(bucket.quota),
                          bucket.level + std::clamp(aUnused.amount, 0.0, amount));
  bucket.unsettled -= amount;
  bucket.grants.erase(grant);
}

void
QuotaIssuer::refill(Bucket& aBucket, Instant aNow) const
{
  auto& grants = aBucket.grants;
  while (!grants.empty() && aNow - grants.begin()->second.at > kReturnTime) {
    aBucket.unsettled -= grants.begin()->second.amount;
    grants.erase(grants.begin());
  }
  if (grants.empty()) {
    aBucket.unsettled = 0; // without rounding errors
  }
  const auto& quota = aBucket.quota;
  const double added = quota.perSecond * (mIssuedSeconds - aBucket.refilled);
  aBucket.refilled = mIssuedSeconds;
  // What may still be spent or returned counts as held. A burst that is shorter than the
  // time of a return must not lower the rate, so the part of the debt always refills.
  const double allowed = quota.perSecond * mShare * toSeconds(kUnsettledTime);
  const double limit = std::clamp(
    capacity(quota) + allowed - aBucket.unsettled, debt(quota), capacity(quota));
  aBucket.level = std::min(aBucket.level, capacity(quota)); // the share may have shrunk
  const double accepted = std::clamp(limit - aBucket.level, 0.0, added);
  aBucket.level += accepted;
  aBucket.spare = aBucket.unsettled > 0
                    ? 0
                    : std::min(mostForOneRequest(quota) - capacity(quota),
                               aBucket.spare + added - accepted);
}

double
QuotaIssuer::affordable(const Bucket& aBucket, const QuotaRequest& aRequest) const
{
  const double level = aBucket.level;
  if (level >= aRequest.waiting) {
    // What is asked for ahead does not overdraw the bucket.
    return std::max(aRequest.waiting,
                    std::min(aRequest.amount, level - debt(aBucket.quota)));
  }
  if (level >= aRequest.first) {
    return level;
  }
  // Larger than the bucket: passes if the bucket has been full for long enough to have
  // accrued the rest as well.
  return level + aBucket.spare >= aRequest.first &&
             aRequest.first > capacity(aBucket.quota)
           ? aRequest.first
           : 0;
}

void
QuotaIssuer::take(Bucket& aBucket,
                  const Pending& aPending,
                  double aAmount,
                  Instant aNow,
                  Issued& aIssued)
{
  aBucket.level = std::max(0.0, aBucket.level - aAmount);
  aBucket.spare = 0;
  aBucket.unsettled += aAmount;
  aBucket.grants[++mLastNumber] = { aAmount, aNow };
  aIssued.grants.push_back(
    { aPending.host,
      { aPending.request.organisation, aAmount, mLastNumber, aPending.request.number } });
}

Duration
QuotaIssuer::roomIn(const Bucket& aBucket, double aAmount) const
{
  const auto& quota = aBucket.quota;
  if (aAmount > mostForOneRequest(quota)) {
    return kWindow;
  }
  const double spare = aAmount > capacity(quota) ? aBucket.spare : 0;
  return timeFor(aAmount - aBucket.level - spare, quota.perSecond * mShare);
}

void
QuotaIssuer::issueFrom(const std::string& aOrganisation,
                       Bucket& aBucket,
                       Instant aNow,
                       Issued& aIssued)
{
  refill(aBucket, aNow);
  double before = 0; // what requests that stay pending wait for
  std::vector<Pending> pending;
  for (auto& item : aBucket.pending) {
    const auto& request = item.request;
    const double amount = before > 0 ? 0 : affordable(aBucket, request);
    if (amount > 0) {
      take(aBucket, item, amount, aNow, aIssued);
      continue;
    }
    const Duration room_in = roomIn(aBucket, before + request.first);
    if (request.waiting <= 0 || aNow + room_in > item.at + kMaxWait) {
      aIssued.denials.push_back(
        { item.host, { aOrganisation, room_in, request.number } });
      continue;
    }
    if (!aIssued.again || room_in < *aIssued.again) {
      aIssued.again = room_in;
    }
    before += request.first; // gets what is there then, and asks again for its others
    pending.push_back(std::move(item));
  }
  aBucket.pending = std::move(pending);
}

QuotaIssuer::Issued
QuotaIssuer::issue(double aShare, Instant aNow)
{
  restartAfterPause(aNow);
  mShare = aShare;
  mIssuedSeconds += mShare * toSeconds(aNow - *mLastIssue);
  mLastIssue = aNow;
  Issued issued;
  issued.grants = std::move(mUnlimited);
  mUnlimited.clear();
  std::erase_if(mWithPending, [&](const std::string& aName) {
    auto& bucket = mBuckets.at(aName);
    issueFrom(aName, bucket, aNow, issued);
    return bucket.pending.empty();
  });
  return issued;
}

} // namespace savoryrill::serving
