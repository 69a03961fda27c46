#include "serving/leadership.h"

#include <algorithm>

namespace savoryrill::serving {

void
Leadership::setStoreEra(std::uint64_t aEra)
{
  if (aEra <= mStoreEra) {
    return;
  }
  mStoreEra = aEra;
  mReadNeeded = true;
  // An absent row has no version that would differ from that of the earlier era.
  mRowRead = mRowRead && mRow.has_value();
}

LeadershipStep
Leadership::next(Instant aNow, bool aStopping) const
{
  if (mInFlight) {
    return LeadershipStep::None;
  }
  if (mLastFailure && aNow - *mLastFailure < mOptions.retryPause) {
    return LeadershipStep::None;
  }
  const bool read_due = !mLastCall || aNow - *mLastCall >= mOptions.readPeriod;
  if (mReadNeeded) {
    return read_due ? LeadershipStep::Read : LeadershipStep::None;
  }
  if (ownRow() && mFencingNumber != 0) {
    if (mRow->released) {
      return LeadershipStep::None;
    }
    if (aStopping) {
      return LeadershipStep::Release;
    }
    if (aNow >= mValidUntil && !mOwnRowConfirmed) {
      // Another host may have taken the row since the lease lapsed.
      return read_due ? LeadershipStep::Read : LeadershipStep::None;
    }
    return aNow - mLastRenewal >= mOptions.renewPeriod ? LeadershipStep::Renew
                                                       : LeadershipStep::None;
  }
  if (aStopping) {
    return LeadershipStep::None;
  }
  const bool leader_active = mLastUpdate && aNow - *mLastUpdate < mOptions.leaderTimeout;
  const bool free = !mayBeOutdated(mRow) &&
                    (!mRow || mRow->released || mReleasedVersion == mRow->version);
  if (leader_active && !free) {
    return LeadershipStep::None;
  }
  if (mayTake(aNow)) {
    return LeadershipStep::Take;
  }
  return read_due ? LeadershipStep::Read : LeadershipStep::None;
}

bool
Leadership::mayBeOutdated(const std::optional<LeaderRow>& aRow) const
{
  return aRow ? aRow->era < storeEraOf(aRow->version) : mStoreEra > kFirstStoreEra;
}

bool
Leadership::mayTake(Instant aNow) const
{
  if (mayBeOutdated(mRow)) {
    return aNow - mUnchangedSince >=
           mOptions.lease + mOptions.margin + mOptions.takeDelay;
  }
  if (!mRow || mRow->released) {
    return aNow - mUnchangedSince >= releasedTakeDelay(mRow ? mRow->successor : "");
  }
  if (mReleasedVersion == mRow->version) {
    return aNow - mUpdateVersionSince >= releasedTakeDelay(mReleasedTo);
  }
  // The row names the address of this process but not its term, so an earlier process of
  // this host wrote it and has ended. Without this rule no host would send orders for a
  // whole lease after all hosts lost power together.
  if (mRow->host == mOptions.host && mRow->endpoint == mOptions.endpoint && !ownRow()) {
    return true;
  }
  return aNow - mUnchangedSince >= mOptions.lease + mOptions.margin + mOptions.takeDelay;
}

/// True if another host may have taken the row and ordered before the store came back
/// from the copy that names this process. None has while the lease of this one lasts.
bool
Leadership::mayHaveLostRow(Instant aNow) const
{
  return storeEraOf(mRow->version) > storeEraOf(mFencingNumber) && aNow >= mValidUntil;
}

Duration
Leadership::releasedTakeDelay(const std::string& aSuccessor) const
{
  if (aSuccessor == mOptions.host) {
    return Duration::zero();
  }
  return aSuccessor.empty() ? mOptions.takeDelay
                            : mOptions.takeDelay + mOptions.successorHeadStart;
}

LeaderRow
Leadership::rowFor(LeadershipStep aStep, const std::string& aTerm, Instant aNow) const
{
  LeaderRow row;
  row.host = mOptions.host;
  row.endpoint = mOptions.endpoint;
  row.term = aStep == LeadershipStep::Take ? aTerm : mTerm;
  row.released = aStep == LeadershipStep::Release;
  row.successor = row.released ? mSuccessor : "";
  row.era = mStoreEra;
  row.pausing =
    aNow < (aStep == LeadershipStep::Take ? firstOrderAfter(mRow, aNow) : mMayOrderFrom);
  return row;
}

void
Leadership::callSent(LeadershipStep aStep, const std::string& aTerm, Instant aNow)
{
  mInFlight = true;
  if (aStep == LeadershipStep::Take) {
    mTerm = aTerm;
    mFencingNumber = 0;
  }
  mLastCall = aNow;
  mCallSentAt = aNow;
  if (aStep == LeadershipStep::Release) {
    mValidUntil = aNow; // no order may be sent after the release
  }
}

void
Leadership::writeApplied(LeadershipStep aStep,
                         const LeaderRow& aRow,
                         std::uint64_t aVersion,
                         Instant aNow)
{
  mInFlight = false;
  mLastFailure.reset();
  mOwnRowConfirmed = false;
  const auto previous = mRow;
  mRow = aRow;
  mRow->version = aVersion;
  if (aStep == LeadershipStep::Release) {
    mUnchangedSince = aNow;
    return;
  }
  mValidUntil = mCallSentAt + mOptions.lease;
  mLastRenewal = mCallSentAt;
  if (aStep == LeadershipStep::Take) {
    mTerm = aRow.term;
    mFencingNumber = aVersion;
    const bool announced = previous && mReleasedVersion == previous->version;
    mSkippedSuccessor = !previous ? "" : announced ? mReleasedTo : previous->successor;
    if (mSkippedSuccessor == mOptions.host) {
      mSkippedSuccessor.clear();
    }
    mMayOrderFrom = firstOrderAfter(previous, aNow);
  }
  mUnchangedSince = aNow;
}

Instant
Leadership::firstOrderAfter(const std::optional<LeaderRow>& aPrevious, Instant aNow) const
{
  const Duration gap = mOptions.handoverGap + mOptions.margin;
  if (mayBeOutdated(aPrevious)) {
    return mUnchangedSince + mOptions.lease + gap;
  }
  if (!aPrevious) {
    return aNow; // there was no holder
  }
  if (aPrevious->host != mOptions.host) {
    return lastOrderOf(*aPrevious) + gap;
  }
  // Orders of one host need no gap between them. A process of this host that was pausing
  // had taken the row from another host, whose last order came before that.
  return aPrevious->pausing ? mUnchangedSince + gap : aNow;
}

Instant
Leadership::lastOrderOf(const LeaderRow& aRow) const
{
  if (aRow.released) {
    return mUnchangedSince;
  }
  const Instant lease_end = mUnchangedSince + mOptions.lease;
  if (mReleasedVersion != aRow.version) {
    return lease_end;
  }
  // The holder could send orders until it announced the end of its lease, long after this
  // host had read the row.
  return std::clamp(mReleaseAnnounced, mUnchangedSince, lease_end);
}

void
Leadership::rowRead(const std::optional<LeaderRow>& aRow, Instant aNow)
{
  mInFlight = false;
  mReadNeeded = false;
  mLastFailure.reset();
  const bool changed = !mRowRead || aRow.has_value() != mRow.has_value() ||
                       (aRow && mRow && aRow->version != mRow->version);
  if (aRow && mRow && aRow->version < mRow->version) {
    return; // an outdated read
  }
  mRowRead = true;
  if (changed) {
    // If the leader has reported this version, it sent the renewal that wrote the version
    // before the report arrived here.
    const bool reported = aRow && aRow->version == mUpdateVersion;
    mUnchangedSince = reported ? mUpdateVersionSince : aNow;
    mRow = aRow;
  }
  if (ownRow() && mRow->released) {
    mTerm.clear(); // it does not hold the row any more, so it may take it like others
  }
  if (!ownRow()) {
    mFencingNumber = 0;
  } else if (changed && (mFencingNumber == 0 || mayHaveLostRow(aNow))) {
    // A take whose response was lost has been applied, or another host may have held the
    // row before the store came back from a copy. The predecessor is not known, so the
    // longest possible wait applies.
    mFencingNumber = mRow->version;
    mMayOrderFrom = aNow + mOptions.lease + mOptions.handoverGap + mOptions.margin;
    mLastRenewal = aNow - mOptions.renewPeriod;
    mValidUntil = aNow;
  }
  mOwnRowConfirmed = ownRow();
}

void
Leadership::leaderUpdateReceived(std::uint64_t aVersion, Instant aNow)
{
  mLastUpdate = aNow;
  if (aVersion != mUpdateVersion) {
    mUpdateVersion = aVersion;
    mUpdateVersionSince = aNow;
  }
}

void
Leadership::leadershipReleased(std::uint64_t aVersion,
                               const std::string& aSuccessor,
                               Instant aNow)
{
  mLastUpdate.reset();
  mReleasedVersion = aVersion;
  mReleasedTo = aSuccessor;
  mReleaseAnnounced = aNow;
  mUpdateVersion = aVersion;
  mUpdateVersionSince = aNow; // the last order may have been sent just before
  mReadNeeded = true;
  mLastCall.reset();
}

void
Leadership::writeUncertain(Instant aNow)
{
  mInFlight = false;
  mReadNeeded = true;
  mOwnRowConfirmed = false;
  mLastCall = aNow - mOptions.readPeriod;
}

void
Leadership::callFailed(Instant aNow)
{
  mInFlight = false;
  mLastFailure = aNow;
}

bool
Leadership::leads(Instant aNow) const
{
  return ownRow() && mFencingNumber != 0 && !mRow->released && aNow < mValidUntil;
}

bool
Leadership::mayOrder(Instant aNow) const
{
  return leads(aNow) && aNow >= mMayOrderFrom;
}

} // namespace savoryrill::serving
