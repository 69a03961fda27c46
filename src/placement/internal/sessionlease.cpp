#include "placement/sessionlease.h"

#include <utility>

namespace savoryrill::placement {

namespace {

// Three renewals per lease, so that a single lost response does not end the lease.
constexpr int kRenewalsPerLease = 3;
// The pause after a failed request is the lease divided by this.
constexpr int kRetriesPerLease = 12;

} // namespace

SessionLease::SessionLease(Options aOptions, std::function<std::uint64_t()> aIncarnations)
  : mOptions(std::move(aOptions))
  , mIncarnations(std::move(aIncarnations))
  , mIncarnation(mIncarnations())
{
}

SessionLease::Command
SessionLease::next(Instant aNow)
{
  if (aNow < mRetryAt) {
    return {};
  }
  if (mPhase == Phase::Unknown) {
    mPhase = Phase::Reading;
    return ReadRow{};
  }
  const bool leaving_due = mLeaving && !mLeavingCommitted;
  if (mPhase == Phase::Idle && (!mEstablished || aNow >= mNextRenewal || leaving_due)) {
    mPhase = Phase::Writing;
    return renewal(aNow);
  }
  return {};
}

platform::Transaction
SessionLease::renewal(Instant aNow)
{
  ++mAttempt;
  mSentRenewals[mAttempt] = { aNow, mLeaving };
  platform::Transaction transaction;
  const std::string key = sessionKey(mOptions.host);
  transaction.checks.push_back({ key, mVersion });
  const SessionRow row{ mOptions.dataCentre, mIncarnation, mAttempt, mLeaving };
  transaction.writes.push_back({ key, toJson(row) });
  return transaction;
}

SessionLease::Change
SessionLease::confirm(std::uint64_t aVersion, std::uint64_t aAttempt, Instant aNow)
{
  mPhase = Phase::Idle;
  mVersion = aVersion;
  const auto sent = mSentRenewals.find(aAttempt);
  if (sent == mSentRenewals.end()) {
    return Change::None;
  }
  // If the lease had expired before this response, another controller may have taken over
  // before the renewal took effect, so that the owner rows have to be read again.
  const bool gap = !valid(aNow);
  const bool first = !mEstablished;
  mEstablished = true;
  mValidUntil = sent->second.at + mOptions.lease;
  mNextRenewal = sent->second.at + mOptions.lease / kRenewalsPerLease;
  mLeavingCommitted = sent->second.leaving;
  if (gap) {
    mContinuousSince = aNow;
  }
  mSentRenewals.erase(mSentRenewals.begin(), sent);
  return first ? Change::Established : Change::None;
}

SessionLease::Change
SessionLease::handleLoss()
{
  const bool had = mEstablished;
  mEstablished = false;
  mLeavingCommitted = false;
  mSentRenewals.clear();
  mAttempt = 0;
  mIncarnation = mIncarnations();
  return had ? Change::Lost : Change::None;
}

SessionLease::Change
SessionLease::rowRead(const Result<std::optional<platform::Row>>& aRow, Instant aNow)
{
  if (!aRow.has_value()) {
    mPhase = Phase::Unknown;
    mRetryAt = aNow + mOptions.lease / kRetriesPerLease;
    return Change::None;
  }
  const auto& row = aRow.value();
  mPhase = Phase::Idle;
  if (row) {
    const auto parsed = parseSession(row->value);
    if (parsed.has_value() && parsed.value().incarnation == mIncarnation) {
      return confirm(row->version, parsed.value().attempt, aNow);
    }
  }
  mVersion = row ? row->version : 0;
  // The first write of this incarnation may still reach the table after this read. When
  // it or the next write has been committed, the other fails its version check, so that
  // the incarnation can stay.
  return mEstablished ? handleLoss() : Change::None;
}

SessionLease::Change
SessionLease::transactionDone(const Result<platform::TransactionOutcome>& aOutcome,
                              Instant aNow)
{
  if (aOutcome.has_value() && aOutcome.value().committed) {
    const auto version = aOutcome.value().versions.find(sessionKey(mOptions.host));
    if (version != aOutcome.value().versions.end()) {
      return confirm(version->second, mAttempt, aNow);
    }
  }
  if (!aOutcome.has_value() && aOutcome.error().code == ErrorCode::Unavailable) {
    mPhase = Phase::Idle;
    mRetryAt = aNow + mOptions.lease / kRetriesPerLease;
    return Change::None;
  }
  // After a conflict or an unknown outcome the row has to be read.
  mPhase = Phase::Unknown;
  return Change::None;
}

} // namespace savoryrill::placement
