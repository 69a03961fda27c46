#include "serving/leadership.h"

#include <algorithm>

namespace savoryrill::serving {

LeadershipStep
Leadership::next(Instant aNow, bool aStopping) const
{
  if (mInFlight) {
    return LeadershipStep::None;
  }
  if (mFailed && aNow - *mFailed < mOptions.retryPause) {
    return LeadershipStep::None;
  }
  const bool pause_over = !mLastCall || aNow - *mLastCall >= mOptions.readPeriod;
  if (mMustRead) {
    return pause_over ? LeadershipStep::Read : LeadershipStep::None;
  }
  if (ownRow() && mFencing != 0) {
    if (mRow->released) {
      return LeadershipStep::None;
    }
    if (aStopping) {
      return LeadershipStep::Release;
    }
    if (aNow >= mValidUntil && !mConfirmed) {
      // The row may have been taken by another host meanwhile.
      return pause_over ? LeadershipStep::Read : LeadershipStep::None;
    }
    return aNow - mRenewed >= mOptions.renewPeriod ? LeadershipStep::Renew
                                                   : LeadershipStep::None;
  }
  if (aStopping) {
    return LeadershipStep::None;
  }
  const bool heard = mHeard && aNow - *mHeard < mOptions.silence;
  const bool free = !mRow || mRow->released || mReleasedVersion == mRow->version;
  if (heard && !free) {
    return LeadershipStep::None;
  }
  if (mayTake(aNow)) {
    return LeadershipStep::Take;
  }
  return pause_over ? LeadershipStep::Read : LeadershipStep::None;
}

bool
Leadership::mayTake(Instant aNow) const
{
  if (!mRow || mRow->released) {
    return aNow - mUnchangedSince >= mOptions.takeDelay;
  }
  if (mReleasedVersion == mRow->version) {
    return aNow - mHeardVersionSince >= mOptions.takeDelay;
  }
  // Load pattern: all hosts lost power together. A process at the address of the holder
  // that is not the holder is its successor, so the holder has ended.
  if (mRow->host == mOptions.host && mRow->endpoint == mOptions.endpoint && !ownRow()) {
    return true;
  }
  return aNow - mUnchangedSince >= mOptions.lease + mOptions.margin + mOptions.takeDelay;
}

LeaderRow
Leadership::rowFor(LeadershipStep aStep, const std::string& aTerm) const
{
  LeaderRow row;
  row.host = mOptions.host;
  row.endpoint = mOptions.endpoint;
  row.term = aStep == LeadershipStep::Take ? aTerm : mTerm;
  row.released = aStep == LeadershipStep::Release;
  return row;
}

void
Leadership::sent(LeadershipStep aStep, const std::string& aTerm, Instant aNow)
{
  mInFlight = true;
  if (aStep == LeadershipStep::Take) {
    mTerm = aTerm;
    mFencing = 0;
  }
  mLastCall = aNow;
  mSent = aNow;
  if (aStep == LeadershipStep::Release) {
    mValidUntil = aNow; // no order may follow the release
  }
}

void
Leadership::written(LeadershipStep aStep,
                    const LeaderRow& aRow,
                    std::uint64_t aVersion,
                    Instant aNow)
{
  mInFlight = false;
  mFailed.reset();
  mConfirmed = false;
  const auto previous = mRow;
  mRow = aRow;
  mRow->version = aVersion;
  if (aStep == LeadershipStep::Release) {
    mUnchangedSince = aNow;
    return;
  }
  mValidUntil = mSent + mOptions.lease;
  mRenewed = mSent;
  if (aStep == LeadershipStep::Take) {
    mTerm = aRow.term;
    mFencing = aVersion;
    if (!previous || previous->host == mOptions.host) {
      // Nobody has ordered before, or this host has, whose orders need no distance.
      mOrderFrom = aNow;
    } else {
      const bool released = previous->released || mReleasedVersion == previous->version;
      const Duration authority = released ? Duration::zero() : mOptions.lease;
      mOrderFrom = mUnchangedSince + authority + mOptions.turnTime + mOptions.margin;
    }
  }
  mUnchangedSince = aNow;
}

void
Leadership::observed(const std::optional<LeaderRow>& aRow, Instant aNow)
{
  mInFlight = false;
  mMustRead = false;
  mFailed.reset();
  const bool changed = !mRowRead || aRow.has_value() != mRow.has_value() ||
                       (aRow && mRow && aRow->version != mRow->version);
  if (aRow && mRow && aRow->version < mRow->version) {
    return; // an old read
  }
  mRowRead = true;
  if (changed) {
    // The renewal that wrote this version was sent before the leader told of it.
    const bool heard = aRow && aRow->version == mHeardVersion;
    mUnchangedSince = heard ? mHeardVersionSince : aNow;
    mRow = aRow;
  }
  if (!ownRow()) {
    mFencing = 0;
  } else if (changed && mFencing == 0) {
    // A take whose response was lost has been applied. Its predecessor is not known any
    // more, so the longest distance is kept.
    mFencing = mRow->version;
    mOrderFrom = aNow + mOptions.lease + mOptions.turnTime + mOptions.margin;
    mRenewed = aNow - mOptions.renewPeriod;
    mValidUntil = aNow;
  }
  mConfirmed = ownRow();
}

void
Leadership::leaderHeard(std::uint64_t aVersion, Instant aNow)
{
  mHeard = aNow;
  if (aVersion != mHeardVersion) {
    mHeardVersion = aVersion;
    mHeardVersionSince = aNow;
  }
}

void
Leadership::leaderReleased(std::uint64_t aVersion, Instant aNow)
{
  mHeard.reset();
  mReleasedVersion = aVersion;
  mHeardVersion = aVersion;
  mHeardVersionSince = aNow; // its last order may have been sent just now
  mMustRead = true;
  mLastCall.reset();
}

void
Leadership::uncertain(Instant aNow)
{
  mInFlight = false;
  mMustRead = true;
  mConfirmed = false;
  mLastCall = aNow - mOptions.readPeriod;
}

void
Leadership::failed(Instant aNow)
{
  mInFlight = false;
  mFailed = aNow;
}

bool
Leadership::leads(Instant aNow) const
{
  return ownRow() && mFencing != 0 && !mRow->released && aNow < mValidUntil;
}

bool
Leadership::mayOrder(Instant aNow) const
{
  return leads(aNow) && aNow >= mOrderFrom;
}

} // namespace savoryrill::serving
