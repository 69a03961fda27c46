#include "serving/quotaledger.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "serving/quotaissuer.h"

namespace savoryrill::serving {

namespace {

// A caller is not told to return later than after a window.
constexpr double kMostReturnSeconds = 8;

// Time over which the recent use of an organisation is averaged.
constexpr Duration kUseTime = 1s;
// Use for which a host asks ahead. A grant lasts for most of it.
constexpr Duration kAheadTime = 500ms;
// Requests a second of one organisation from which a host asks ahead: two in the time
// ahead. Less frequent requests cost one quota request each.
constexpr double kBusyPerSecond = 4;
// After a denial, nothing is asked for ahead for this long, so that the hosts get equal
// parts of what is short.
constexpr Duration kNothingAheadTime = 1s;

double
fraction(double aValue)
{
  return aValue - std::floor(aValue);
}

} // namespace

QuotaLedger::Account*
QuotaLedger::accountOf(const std::string& aOrganisation)
{
  const auto found = mAccounts.find(aOrganisation);
  return found == mAccounts.end() ? nullptr : &found->second;
}

void
QuotaLedger::setQuotas(const std::map<std::string, Quota>& aQuotas, Instant aNow)
{
  for (auto account = mAccounts.begin(); account != mAccounts.end();) {
    if (aQuotas.contains(account->first)) {
      ++account;
      continue;
    }
    for (const auto& waiting : account->second.waiting) {
      decide(account->first, waiting, Admitted{ 0, aNow }); // there is no limit any more
    }
    mToRequest.erase(account->first);
    account = mAccounts.erase(account);
  }
  for (const auto& [name, quota] : aQuotas) {
    auto& account = mAccounts[name];
    account.quota = quota;
    account.deniedUntil = {}; // there may be room now
  }
}

void
QuotaLedger::setSharing(const std::string& aIssuer,
                        std::uint32_t aHostCount,
                        Instant aNow)
{
  mHostCount = aHostCount > 0 ? aHostCount : kUnknownHostCount;
  if (mIssuer == aIssuer && (!mIssuer.empty() || mIssuerLost)) {
    return;
  }
  const bool lost = aIssuer.empty() && !mIssuerLost;
  mIssuer = aIssuer;
  mIssuerLost = lost ? aNow : std::optional<Instant>();
  mUnansweredSince.reset();
  // The former issuer's answers may not arrive any more.
  for (const auto& [id, organisation] : mWaiting) {
    mAccounts.at(organisation).requested.reset();
    mToRequest.insert(organisation);
  }
}

double
QuotaLedger::held(const Account& aAccount)
{
  double sum = 0;
  for (const auto& grant : aAccount.grants) {
    sum += grant.rest;
  }
  return sum;
}

std::optional<QuotaLedger::Admitted>
QuotaLedger::spend(Account& aAccount, double aCost, Instant aNow)
{
  double available = 0;
  for (const auto& grant : aAccount.grants) {
    available += grant.ends > aNow ? grant.rest : 0;
  }
  if (available < aCost) {
    return std::nullopt;
  }
  // Those that end first are spent first; the charge can be refunded until the first of
  // them ends.
  std::optional<Instant> ends;
  double missing = aCost;
  for (auto& grant : aAccount.grants) {
    if (grant.ends <= aNow || grant.rest <= 0) {
      continue;
    }
    const double part = std::min(missing, grant.rest);
    grant.rest -= part;
    missing -= part;
    ends = std::min(grant.ends, ends.value_or(grant.ends));
    if (missing <= 0) {
      break;
    }
  }
  return Admitted{ aCost, ends.value_or(aNow) };
}

std::optional<Instant>
QuotaLedger::withoutIssuerSince(Instant aNow) const
{
  if (mIssuer.empty()) {
    return mIssuerLost.value_or(aNow);
  }
  if (mUnansweredSince && aNow - *mUnansweredSince >= kSilence) {
    return *mUnansweredSince + kSilence;
  }
  return std::nullopt;
}

double
QuotaLedger::ownRate(const Account& aAccount) const
{
  return aAccount.quota.perSecond * kUsedShare / mHostCount;
}

void
QuotaLedger::accrue(const std::string& aOrganisation,
                    Account& aAccount,
                    double aCost,
                    Instant aNow)
{
  if (aCost > aAccount.largest) {
    // A random part of the largest request is missing at first, so that the hosts spend
    // requests of that cost at different times.
    const auto hash = static_cast<double>(std::hash<std::string>{}(aOrganisation) % 1024);
    aAccount.own -= fraction(mPhase + hash / 1024) * (aCost - aAccount.largest);
    aAccount.largest = aCost;
  }
  const Instant since = withoutIssuerSince(aNow).value_or(aNow);
  if (aAccount.ownSince != since) {
    // Nothing is saved up from an earlier time without an issuer: in the time between,
    // the issuer gave away the whole rate.
    if (aAccount.own > 0) {
      aAccount.own -= aAccount.largest * std::ceil(aAccount.own / aAccount.largest);
    }
    aAccount.ownSince = since;
    aAccount.ownUntil = since;
  }
  aAccount.own += ownRate(aAccount) * toSeconds(aNow - aAccount.ownUntil);
  aAccount.ownUntil = aNow;
  // What can be saved up is this host's part of the burst. A host that does not need its
  // share loses the amount of a request at a time, which keeps the phases of the hosts
  // apart: otherwise all could spend a request at once after an idle time.
  const double most = aAccount.quota.burst / mHostCount;
  if (aAccount.own > most) {
    aAccount.own -=
      aAccount.largest * std::ceil((aAccount.own - most) / aAccount.largest);
  }
}

std::optional<QuotaLedger::Admitted>
QuotaLedger::spendOwn(const std::string& aOrganisation,
                      Account& aAccount,
                      double aCost,
                      Instant aNow)
{
  const double most =
    std::max(aAccount.quota.burst,
             aAccount.quota.unit == QuotaUnit::Tokens ? QuotaIssuer::kDebtTokens
                                                      : QuotaIssuer::kDebtRequests);
  if (!withoutIssuerSince(aNow) || aCost > most) {
    return std::nullopt;
  }
  accrue(aOrganisation, aAccount, aCost, aNow);
  if (aAccount.own <= 0) {
    return std::nullopt;
  }
  aAccount.own -= aCost;
  return Admitted{ aCost, aNow + kGrantTime };
}

Duration
QuotaLedger::ownRoomIn(const Account& aAccount) const
{
  constexpr double kMostSeconds = 8; // a window; an issuer may be reached before
  const double rate = ownRate(aAccount);
  const double seconds = rate > 0 ? std::max(0.0, -aAccount.own) / rate : kMostSeconds;
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::chrono::duration<double>(std::min(seconds, kMostSeconds)));
}

void
QuotaLedger::recordUse(Account& aAccount, double aCost, Instant aNow)
{
  const double time = toSeconds(kUseTime);
  const double kept = std::exp(-toSeconds(aNow - aAccount.used) / time);
  aAccount.used = aNow;
  aAccount.amountPerSecond = aAccount.amountPerSecond * kept + aCost / time;
  aAccount.requestsPerSecond = aAccount.requestsPerSecond * kept + 1 / time;
}

double
QuotaLedger::aheadOf(const Account& aAccount, Instant aNow)
{
  const double kept = std::exp(-toSeconds(aNow - aAccount.used) / toSeconds(kUseTime));
  if (aAccount.requestsPerSecond * kept < kBusyPerSecond ||
      aNow - aAccount.denied < kNothingAheadTime) {
    return 0;
  }
  return aAccount.amountPerSecond * kept * toSeconds(kAheadTime);
}

Duration
QuotaLedger::returnIn(Account& aAccount,
                      double aCost,
                      Instant aRoomAt,
                      Instant aNow) const
{
  const Instant at = std::max(aAccount.returnsUntil, aRoomAt);
  const double rate = aAccount.quota.perSecond / mHostCount;
  const auto time = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aCost / rate, kMostReturnSeconds)));
  aAccount.returnsUntil = std::min(at + time, aNow + QuotaIssuer::kWindow);
  return at - aNow;
}

QuotaLedger::Answer
QuotaLedger::admit(const std::string& aOrganisation,
                   double aCost,
                   Instant aUntil,
                   Instant aNow)
{
  auto* account = accountOf(aOrganisation);
  if (account == nullptr || aCost <= 0) {
    return Admitted{ 0, aNow };
  }
  if (account->waiting.empty()) {
    if (const auto charge = spend(*account, aCost, aNow)) {
      recordUse(*account, aCost, aNow);
      if (!mIssuer.empty() && !account->requested &&
          held(*account) < aheadOf(*account, aNow) / 2) {
        mToRequest.insert(aOrganisation);
      }
      return *charge;
    }
  }
  if (const auto charge = spendOwn(aOrganisation, *account, aCost, aNow)) {
    return *charge;
  }
  if (mIssuer.empty() && mIssuerLost && aNow - *mIssuerLost >= kNextIssuerTime) {
    return QuotaDenial{ aOrganisation, ownRoomIn(*account), 0 };
  }
  if (!mIssuer.empty() && aCost >= account->deniedCost && aNow < account->deniedUntil &&
      aNow + QuotaIssuer::kMaxWait < account->deniedRoomAt) {
    // The issuer would deny it.
    return QuotaDenial{ aOrganisation,
                        returnIn(*account, aCost, account->deniedRoomAt, aNow),
                        0 };
  }
  const auto id = ++mLastId;
  account->waiting.push_back({ id, aCost, aUntil });
  mWaiting[id] = aOrganisation;
  mDeadlines.insert({ aUntil, id });
  if (!account->requested) {
    mToRequest.insert(aOrganisation);
  }
  return Waits{ id };
}

void
QuotaLedger::withdraw(std::uint64_t aId, Instant aNow)
{
  const auto found = mWaiting.find(aId);
  if (found == mWaiting.end()) {
    const auto decided = std::ranges::find(mDecisions, aId, &Decision::id);
    if (decided != mDecisions.end()) {
      const auto decision = *decided;
      mDecisions.erase(decided);
      if (const auto* charge = std::get_if<Admitted>(&decision.outcome)) {
        refund(decision.organisation, *charge, aNow);
      }
    }
    return;
  }
  const auto organisation = found->second;
  auto& account = mAccounts.at(organisation);
  const auto item = std::ranges::find(account.waiting, aId, &Waiting::id);
  mDeadlines.erase({ item->until, aId });
  account.waiting.erase(item);
  mWaiting.erase(found);
  // What is held may cover the requests behind it.
  serveWaiting(organisation, account, aNow);
}

void
QuotaLedger::refund(const std::string& aOrganisation,
                    const Admitted& aCharge,
                    Instant aNow)
{
  auto* account = accountOf(aOrganisation);
  if (account == nullptr || aNow >= aCharge.refundableUntil) {
    return;
  }
  const auto grant =
    std::ranges::find(account->grants, aCharge.refundableUntil, &Grant::ends);
  if (grant != account->grants.end()) {
    grant->rest += aCharge.amount;
    serveWaiting(aOrganisation, *account, aNow);
  } else {
    account->own += aCharge.amount;
  }
}

void
QuotaLedger::decide(const std::string& aOrganisation, Waiting aWaiting, Outcome aOutcome)
{
  mDeadlines.erase({ aWaiting.until, aWaiting.id });
  mWaiting.erase(aWaiting.id);
  mDecisions.push_back({ aWaiting.id, aOrganisation, std::move(aOutcome) });
}

std::vector<QuotaLedger::Decision>
QuotaLedger::takeDecisions()
{
  return std::exchange(mDecisions, {});
}

void
QuotaLedger::dropEnded(const std::string& aOrganisation, Account& aAccount, Instant aNow)
{
  std::erase_if(aAccount.grants, [&](const Grant& aGrant) {
    if (aGrant.ends > aNow) {
      return false;
    }
    if (aGrant.rest > 0) {
      mUnused.push_back({ aOrganisation, aGrant.rest, aGrant.number, 0 });
    }
    return true;
  });
}

void
QuotaLedger::expire(Instant aNow)
{
  while (!mGrantEnds.empty() && mGrantEnds.begin()->first <= aNow) {
    const auto organisation = mGrantEnds.begin()->second;
    mGrantEnds.erase(mGrantEnds.begin());
    if (auto* account = accountOf(organisation)) {
      dropEnded(organisation, *account, aNow);
    }
  }
  while (!mSent.empty() && aNow - mSent.begin()->second.at > kAnswerTime) {
    const auto& [number, sent] = *mSent.begin();
    if (auto* account = accountOf(sent.organisation);
        account != nullptr && account->requested == number) {
      requestAgain(sent.organisation, *account);
    }
    mSent.erase(mSent.begin());
  }
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const auto [until, id] = *mDeadlines.begin();
    mDeadlines.erase(mDeadlines.begin());
    const auto found = mWaiting.find(id);
    if (found == mWaiting.end()) {
      continue;
    }
    const auto organisation = found->second;
    auto& account = mAccounts.at(organisation);
    const auto item = std::ranges::find(account.waiting, id, &Waiting::id);
    const auto waiting = *item;
    account.waiting.erase(item);
    if (const auto charge = spendOwn(organisation, account, waiting.cost, aNow)) {
      decide(organisation, waiting, *charge);
    } else {
      decide(organisation, waiting, QuotaDenial{ organisation, ownRoomIn(account), 0 });
    }
  }
}

std::optional<Instant>
QuotaLedger::nextDue() const
{
  if (mDeadlines.empty()) {
    return std::nullopt;
  }
  return mDeadlines.begin()->first;
}

void
QuotaLedger::requestAgain(const std::string& aOrganisation, Account& aAccount)
{
  aAccount.requested.reset();
  if (!aAccount.waiting.empty()) {
    mToRequest.insert(aOrganisation);
  }
}

std::vector<QuotaRequest>
QuotaLedger::takeRequests(Instant aNow)
{
  // Repeats those that were not answered and are still needed.
  for (const auto& [number, sent] : mSent) {
    auto* account = accountOf(sent.organisation);
    if (account != nullptr && account->requested == number &&
        aNow - sent.at >= kRepeatTime) {
      requestAgain(sent.organisation, *account);
    }
  }
  std::vector<QuotaRequest> requests;
  for (const auto& organisation : std::exchange(mToRequest, {})) {
    auto& account = mAccounts.at(organisation);
    QuotaRequest request;
    request.organisation = organisation;
    double available = held(account);
    for (const auto& waiting : account.waiting) {
      request.waiting += waiting.cost;
    }
    if (!account.waiting.empty()) {
      request.first = std::max(0.0, account.waiting.front().cost - available);
    }
    request.waiting = std::max(0.0, request.waiting - available);
    request.amount = request.waiting + std::max(0.0, aheadOf(account, aNow) - available);
    if (request.amount <= 0) {
      continue;
    }
    request.number = ++mLastNumber;
    account.requested = request.number;
    mSent[request.number] = { organisation, aNow, false };
    if (!mUnansweredSince) {
      mUnansweredSince = aNow;
    }
    requests.push_back(std::move(request));
  }
  return requests;
}

std::vector<QuotaGrant>
QuotaLedger::takeUnused()
{
  return std::exchange(mUnused, {});
}

void
QuotaLedger::serveWaiting(const std::string& aOrganisation,
                          Account& aAccount,
                          Instant aNow)
{
  auto& waiting = aAccount.waiting;
  while (!waiting.empty()) {
    const auto charge = spend(aAccount, waiting.front().cost, aNow);
    if (!charge) {
      break;
    }
    recordUse(aAccount, waiting.front().cost, aNow);
    const auto item = waiting.front();
    waiting.pop_front();
    decide(aOrganisation, item, *charge);
  }
  if (!waiting.empty() && !aAccount.requested) {
    mToRequest.insert(aOrganisation);
  }
}

void
QuotaLedger::grant(const QuotaGrant& aGrant, Instant aNow)
{
  auto* account = accountOf(aGrant.organisation);
  const auto sent = mSent.find(aGrant.request);
  if (sent == mSent.end() || account == nullptr ||
      aNow - sent->second.at >= kAnswerTime) {
    // Too late to be spent. The issuer takes it back if it still counts it.
    mUnused.push_back(aGrant);
    return;
  }
  if (sent->second.granted) {
    return; // repeated
  }
  sent->second.granted = true;
  mUnansweredSince.reset();
  if (account->requested == aGrant.request) {
    account->requested.reset();
  }
  const Instant ends = std::min(aNow + kGrantTime, sent->second.at + kAnswerTime);
  account->grants.push_back({ aGrant.number, aGrant.amount, ends });
  mGrantEnds.insert({ ends, aGrant.organisation });
  serveWaiting(aGrant.organisation, *account, aNow);
}

void
QuotaLedger::deny(const QuotaDenial& aDenial, Instant aNow)
{
  mUnansweredSince.reset();
  auto* account = accountOf(aDenial.organisation);
  if (account == nullptr || account->requested != aDenial.request) {
    return; // of an earlier quota request
  }
  account->requested.reset();
  account->denied = aNow;
  auto& waiting = account->waiting;
  if (waiting.empty()) {
    return;
  }
  const double cost = waiting.front().cost;
  account->deniedUntil = aNow + std::min(aDenial.roomIn, QuotaLedger::kDenialTime);
  account->deniedRoomAt = aNow + aDenial.roomIn;
  account->deniedCost = cost;
  // Smaller ones may have room.
  std::list<Waiting> smaller;
  for (const auto& item : std::exchange(waiting, {})) {
    if (item.cost >= cost) {
      decide(aDenial.organisation,
             item,
             QuotaDenial{ aDenial.organisation,
                          returnIn(*account, item.cost, account->deniedRoomAt, aNow),
                          0 });
    } else {
      smaller.push_back(item);
    }
  }
  waiting = std::move(smaller);
  serveWaiting(aDenial.organisation, *account, aNow);
}

} // namespace savoryrill::serving
