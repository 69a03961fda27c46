#include "controller/internal/sessiontask.h"

#include <algorithm>
#include <random>

#include "controller/types/controllerevents.h"

namespace savoryrill::controller {

namespace {

constexpr Duration kTick = 100ms;
constexpr Duration kReadPeriod = 1s; // or a sixth of the lease, if that is shorter

// Incarnation of the session row, other than the one of the process in gossip.
std::uint64_t
newIncarnation()
{
  std::random_device source;
  // 63 bits, so that JSON parsers with signed integers can represent it.
  return ((static_cast<std::uint64_t>(source()) << 32U) | source()) >> 1U;
}

} // namespace

SessionTask::SessionTask(TaskContext aContext)
  : mContext(aContext)
  , mSession({ aContext.settings.host,
               aContext.settings.dataCentre,
               aContext.settings.leaseTime },
             newIncarnation)
  , mTracker({ aContext.settings.host,
               aContext.settings.dataCentre,
               aContext.settings.leaseTime,
               aContext.settings.orderTimeToLive,
               aContext.settings.clockMargin,
               /* joinDelay= */ aContext.settings.leaseTime * 2 })
{
}

void
SessionTask::start()
{
  mTimer = mContext.loop.every(kTick, [this] { tick(); });
}

void
SessionTask::tick()
{
  advanceSession();
  updateLeaseValidity();
  if (mContext.loop.now() >= mNextRead) {
    readRows();
  }
  claim();
  rebalance();
}

void
SessionTask::advanceSession()
{
  auto command = mSession.next(mContext.loop.now());
  if (std::holds_alternative<placement::SessionLease::ReadRow>(command)) {
    mContext.platform.readRow(
      placement::sessionKey(mContext.settings.host),
      mGuard.wrap([this](const Result<std::optional<platform::Row>>& aRow) {
        sessionChanged(mSession.rowRead(aRow, mContext.loop.now()));
      }));
  } else if (auto* transaction = std::get_if<platform::Transaction>(&command)) {
    mContext.platform.transact(
      std::move(*transaction),
      mGuard.wrap([this](const Result<platform::TransactionOutcome>& aOutcome) {
        sessionChanged(mSession.transactionDone(aOutcome, mContext.loop.now()));
      }));
  }
}

void
SessionTask::sessionChanged(placement::SessionLease::Change aChange)
{
  if (aChange == placement::SessionLease::Change::Established) {
    mContext.log.write(kSessionEstablished,
                       { { "incarnation", mSession.incarnation() } });
  } else if (aChange == placement::SessionLease::Change::Lost) {
    mContext.log.write(kSessionLost);
    mContext.metrics.add("savoryrill_controller_sessions_lost_total");
    mQuiescing.clear();
    for (const auto& change : mTracker.sessionLost()) {
      ownershipChanged(change);
    }
  }
  updateLeaseValidity();
}

void
SessionTask::updateLeaseValidity()
{
  const bool valid = mSession.valid(mContext.loop.now());
  if (valid != mLeaseValid && mSession.established()) {
    mContext.log.write(valid ? kLeaseRenewed : kLeaseExpired);
  }
  mLeaseValid = valid;
  mContext.metrics.set("savoryrill_controller_lease_valid", valid ? 1 : 0);
}

void
SessionTask::readRows()
{
  if (mReadingSessions || mReadingOwners) {
    return;
  }
  const Instant sent_at = mContext.loop.now();
  mNextRead = sent_at + std::min(kReadPeriod, mContext.settings.leaseTime / 6);
  mReadingSessions = true;
  mReadingOwners = true;
  mContext.platform.readRows(
    std::string(placement::kSessionPrefix),
    mGuard.wrap([this](const Result<std::vector<platform::Row>>& aRows) {
      mReadingSessions = false;
      if (!aRows.has_value()) {
        return;
      }
      const Instant now = mContext.loop.now();
      mTracker.sessionsRead(aRows.value(), now);
      LiveHostsChanged live{ mTracker.liveHosts(mContext.settings.dataCentre, now),
                             mTracker.liveHosts("", now) };
      if (live.allDataCentres != mLiveHosts.allDataCentres) {
        mLiveHosts = live;
        mContext.outbox.assignment(live);
        mContext.outbox.load(live);
      }
    }));
  mContext.platform.readRows(
    std::string(placement::kOwnerPrefix),
    mGuard.wrap([this, sent_at](const Result<std::vector<platform::Row>>& aRows) {
      mReadingOwners = false;
      if (!aRows.has_value()) {
        return;
      }
      const Instant now = mContext.loop.now();
      for (const auto& change :
           mTracker.ownersRead(aRows.value(), mSession, sent_at, now)) {
        ownershipChanged(change);
      }
    }));
}

void
SessionTask::claim()
{
  if (mLeaving) {
    return;
  }
  for (auto& claim : mTracker.claims(mEngines, mSession, mContext.loop.now())) {
    mContext.log.write(kOwnershipClaimed,
                       { { "upstream", claim.upstream },
                         { "reason", nameOf(claim.reason) },
                         { "former_host", claim.formerHost } });
    auto transaction = claim.transaction;
    mContext.platform.transact(
      std::move(transaction),
      mGuard.wrap([this, claim](const Result<platform::TransactionOutcome>& aOutcome) {
        if (const auto change =
              mTracker.claimDone(claim, aOutcome, mSession, mContext.loop.now())) {
          ownershipChanged(*change);
        }
      }));
  }
}

void
SessionTask::rebalance()
{
  if (mLeaving) {
    for (const auto& upstream : mTracker.owned()) {
      if (mQuiescing.insert(upstream).second) {
        mContext.outbox.engine(QuiesceUpstream{ upstream });
      }
    }
    return;
  }
  // Hands over one upstream at a time, so that a joining host does not interrupt the
  // orders to many engines at once.
  if (!mQuiescing.empty() || !mReleasing.empty()) {
    return;
  }
  if (const auto upstream = mTracker.upstreamToHandOver(mContext.loop.now())) {
    mQuiescing.insert(*upstream);
    mContext.outbox.engine(QuiesceUpstream{ *upstream });
  }
}

void
SessionTask::sendRelease(const std::string& aUpstream)
{
  const auto* ownership = mTracker.find(aUpstream);
  if (mQuiescing.erase(aUpstream) == 0 || ownership == nullptr) {
    return;
  }
  const std::uint64_t fencing = ownership->fencingNumber;
  mReleasing.insert(aUpstream);
  auto transaction = mTracker.release(aUpstream);
  ownershipChanged({ aUpstream, false, fencing, "released" });
  mContext.platform.transact(
    std::move(transaction),
    mGuard.wrap([this, aUpstream](const Result<platform::TransactionOutcome>& aOutcome) {
      mReleasing.erase(aUpstream);
      mTracker.releaseDone(aUpstream, aOutcome, mContext.loop.now());
    }));
}

void
SessionTask::ownershipChanged(const placement::OwnershipChange& aChange)
{
  mContext.log.write(aChange.owned ? kOwnershipTaken : kOwnershipEnded,
                     { { "upstream", aChange.upstream },
                       { "fencing_number", aChange.fencingNumber },
                       { "reason", aChange.reason } });
  mContext.metrics.add(aChange.owned ? "savoryrill_controller_ownerships_taken_total"
                                     : "savoryrill_controller_ownerships_ended_total");
  mContext.metrics.set("savoryrill_controller_owned_upstreams",
                       static_cast<double>(mTracker.owned().size()));
  OwnershipChanged changed{ aChange.upstream, aChange.owned, {} };
  if (const auto* ownership = mTracker.find(aChange.upstream)) {
    changed.ownership = *ownership;
  } else {
    mQuiescing.erase(aChange.upstream);
  }
  mContext.outbox.engine(changed);
  mContext.outbox.assignment(changed);
}

void
SessionTask::handle(SessionMessage&& aMessage)
{
  if (const auto* adopted = std::get_if<ConfigAdopted>(&aMessage)) {
    mEngines =
      placement::enginesOf(*adopted->configuration, mContext.settings.dataCentre);
    // An upstream that was removed from the configuration needs no owner.
    for (const auto& upstream : mTracker.owned()) {
      if (!mEngines.contains(upstream) && mQuiescing.insert(upstream).second) {
        mContext.outbox.engine(QuiesceUpstream{ upstream });
      }
    }
  } else if (const auto* quiesced = std::get_if<UpstreamQuiesced>(&aMessage)) {
    sendRelease(quiesced->upstream);
  } else if (const auto* superseded = std::get_if<OwnerSuperseded>(&aMessage)) {
    if (const auto change = mTracker.superseded(superseded->upstream)) {
      ownershipChanged(*change);
    }
  } else if (const auto* drained = std::get_if<HostDrainRequested>(&aMessage)) {
    if (!mLeaving) {
      mContext.log.write(kHostLeaving, { { "source", drained->source } });
    }
    leave();
  }
}

bool
SessionTask::mayOrder(const std::string& aUpstream,
                      bool aChecksFencing,
                      std::uint64_t aFencingNumber) const
{
  const auto* ownership = mTracker.find(aUpstream);
  return ownership != nullptr && ownership->fencingNumber == aFencingNumber &&
         mTracker.mayOrder(aUpstream, aChecksFencing, mSession, mContext.loop.now());
}

void
SessionTask::leave()
{
  mLeaving = true;
  mSession.leave();
}

bool
SessionTask::handedOver() const
{
  const bool marked = mSession.leavingCommitted() || !mSession.established();
  return mLeaving && marked && mTracker.owned().empty() && mReleasing.empty() &&
         !mTracker.hasPendingTransactions();
}

} // namespace savoryrill::controller
