#include "placement/ownershiptracker.h"

#include <algorithm>
#include <utility>

#include "placement/rendezvous.h"

namespace savoryrill::placement {

OwnershipTracker::OwnershipTracker(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

Duration
OwnershipTracker::takeoverTime() const
{
  return mOptions.lease + mOptions.orderTimeToLive + mOptions.clockMargin;
}

void
OwnershipTracker::sessionsRead(const std::vector<platform::Row>& aRows, Instant aNow)
{
  mSessionsKnown = true;
  std::map<std::string, Session> sessions;
  for (const auto& row : aRows) {
    const auto parsed = parseSession(row.value);
    if (!parsed.has_value() || !row.key.starts_with(kSessionPrefix)) {
      continue;
    }
    const std::string host = row.key.substr(kSessionPrefix.size());
    const auto known = mSessions.find(host);
    Session session{ row.version, parsed.value(), aNow, aNow, false };
    if (known != mSessions.end()) {
      if (known->second.version > row.version) {
        // This response was overtaken by that of a later read.
        sessions[host] = known->second;
        continue;
      }
      if (known->second.row.incarnation == session.row.incarnation) {
        session.firstSeenAt = known->second.firstSeenAt;
        const bool changed = known->second.version != row.version;
        session.changedAt = changed ? aNow : known->second.changedAt;
        session.renewed = changed || known->second.renewed;
      }
    }
    sessions[host] = session;
  }
  mSessions = std::move(sessions);
  // Records since when sessions that owner rows name are missing. An incarnation never
  // returns, but a delayed read may show a former one, which then counts as present
  // again.
  std::map<std::pair<std::string, std::uint64_t>, Instant> missing;
  for (const auto& [upstream, owner] : mOwners) {
    const auto& [host, incarnation, fencing] = owner.value;
    const auto session = mSessions.find(host);
    if (host.empty() ||
        (session != mSessions.end() && session->second.row.incarnation == incarnation)) {
      continue;
    }
    const std::pair key{ host, incarnation };
    const auto known = mMissingSince.find(key);
    missing[key] = known == mMissingSince.end() ? aNow : known->second;
  }
  mMissingSince = std::move(missing);
}

bool
OwnershipTracker::ownerExpired(const OwnerRow& aOwner, Instant aNow) const
{
  const auto session = mSessions.find(aOwner.host);
  if (session != mSessions.end() &&
      session->second.row.incarnation == aOwner.incarnation) {
    return aNow - session->second.changedAt >= takeoverTime();
  }
  const auto missing = mMissingSince.find({ aOwner.host, aOwner.incarnation });
  return missing != mMissingSince.end() && aNow - missing->second >= takeoverTime();
}

std::vector<OwnershipChange>
OwnershipTracker::ownersRead(const std::vector<platform::Row>& aRows,
                             const SessionLease& aSession,
                             Instant aSentAt,
                             Instant aNow)
{
  mOwnersKnown = true;
  std::map<std::string, Versioned<OwnerRow>> owners;
  for (const auto& row : aRows) {
    const auto parsed = parseOwner(row.value);
    if (parsed.has_value() && row.key.starts_with(kOwnerPrefix)) {
      owners[row.key.substr(kOwnerPrefix.size())] = { row.version, parsed.value() };
    }
  }
  for (const auto& [upstream, known] : mOwners) {
    const auto found = owners.find(upstream);
    if (found != owners.end() && found->second.version < known.version) {
      found->second = known;
    }
  }
  mOwners = std::move(owners);

  std::vector<OwnershipChange> changes;
  for (auto pending = mPending.begin(); pending != mPending.end();) {
    const auto& [upstream, claim] = *pending;
    // Only a read that was sent after the response to the claim shows its outcome.
    if (!claim.hasResponse || aSentAt < claim.respondedAt) {
      ++pending;
      continue;
    }
    const auto owner = mOwners.find(upstream);
    if (owner != mOwners.end() && owner->second.value.host == mOptions.host &&
        owner->second.value.incarnation == aSession.incarnation() &&
        owner->second.value.fencingNumber == claim.fencingNumber &&
        !mHeld.contains(upstream)) {
      mHeld[upstream] = { { claim.fencingNumber, owner->second.version, aNow },
                          claim.sentAt,
                          aSentAt };
      changes.push_back({ upstream,
                          true,
                          claim.fencingNumber,
                          "claim confirmed by reading the owner row" });
    }
    pending = mPending.erase(pending);
  }
  std::vector<std::string> lost;
  for (auto& [upstream, held] : mHeld) {
    const auto owner = mOwners.find(upstream);
    if (owner == mOwners.end()) {
      if (aSentAt > held.ownership.takenAt) {
        lost.push_back(upstream);
      }
    } else if (owner->second.version > held.ownership.rowVersion) {
      lost.push_back(upstream);
    } else if (owner->second.version == held.ownership.rowVersion) {
      held.confirmedAt = std::max(held.confirmedAt, aSentAt);
    }
  }
  for (const auto& upstream : lost) {
    changes.push_back(drop(upstream, "owner row changed"));
  }
  return changes;
}

std::optional<OwnerClaim>
OwnershipTracker::makeClaim(const std::string& aUpstream,
                            const SessionLease& aSession,
                            Instant aNow) const
{
  OwnerClaim claim;
  claim.upstream = aUpstream;
  const auto found = mOwners.find(aUpstream);
  const Versioned<OwnerRow> owner =
    found == mOwners.end() ? Versioned<OwnerRow>{} : found->second;
  claim.formerHost = owner.value.host;
  const bool own = owner.value.host == mOptions.host &&
                   owner.value.incarnation == aSession.incarnation();
  if (own) {
    claim.reason = ClaimReason::Reclaim;
  } else if (owner.value.host.empty()) {
    claim.reason = ClaimReason::Unowned;
  } else if (ownerExpired(owner.value, aNow)) {
    claim.reason = ClaimReason::Takeover;
  } else {
    return std::nullopt;
  }
  const std::string key = ownerKey(aUpstream);
  claim.transaction.checks.push_back({ key, owner.version });
  if (claim.reason == ClaimReason::Takeover) {
    const auto session = mSessions.find(owner.value.host);
    if (session != mSessions.end() &&
        session->second.row.incarnation == owner.value.incarnation) {
      claim.transaction.checks.push_back(
        { sessionKey(owner.value.host), session->second.version });
    }
  }
  const OwnerRow row{ mOptions.host,
                      aSession.incarnation(),
                      owner.value.fencingNumber + 1 };
  claim.transaction.writes.push_back({ key, toJson(row) });
  return claim;
}

std::vector<OwnerClaim>
OwnershipTracker::claims(const std::set<std::string>& aUpstreams,
                         const SessionLease& aSession,
                         Instant aNow)
{
  std::vector<OwnerClaim> result;
  if (!mSessionsKnown || !mOwnersKnown || !aSession.valid(aNow)) {
    return result;
  }
  const auto live = liveHosts(mOptions.dataCentre, aNow);
  for (const auto& upstream : aUpstreams) {
    if (mHeld.contains(upstream) || mPending.contains(upstream) ||
        rendezvousWinner(live, upstream) != mOptions.host) {
      continue;
    }
    if (auto claim = makeClaim(upstream, aSession, aNow)) {
      const auto owner = mOwners.find(upstream);
      const std::uint64_t former =
        owner == mOwners.end() ? 0 : owner->second.value.fencingNumber;
      claim->id = ++mLastClaim;
      mPending[upstream] = { claim->id, former + 1, aNow, false, {} };
      result.push_back(std::move(*claim));
    }
  }
  return result;
}

std::optional<OwnershipChange>
OwnershipTracker::claimDone(const OwnerClaim& aClaim,
                            const Result<platform::TransactionOutcome>& aOutcome,
                            const SessionLease& aSession,
                            Instant aNow)
{
  const std::string& upstream = aClaim.upstream;
  const auto pending = mPending.find(upstream);
  if (pending == mPending.end() || pending->second.id != aClaim.id) {
    return std::nullopt;
  }
  if (!aOutcome.has_value() || !aOutcome.value().committed) {
    pending->second.hasResponse = true;
    pending->second.respondedAt = aNow;
    return std::nullopt;
  }
  const Pending claim = pending->second;
  mPending.erase(pending);
  const auto version = aOutcome.value().versions.find(ownerKey(upstream));
  if (version == aOutcome.value().versions.end()) {
    return std::nullopt;
  }
  mOwners[upstream] = { version->second,
                        { mOptions.host, aSession.incarnation(), claim.fencingNumber } };
  mHeld[upstream] = { { claim.fencingNumber, version->second, aNow },
                      claim.sentAt,
                      claim.sentAt };
  return OwnershipChange{ upstream, true, claim.fencingNumber, "claimed" };
}

std::optional<std::string>
OwnershipTracker::upstreamToHandOver(Instant aNow) const
{
  const auto live = liveHosts(mOptions.dataCentre, aNow);
  for (const auto& [upstream, held] : mHeld) {
    const std::string winner = rendezvousWinner(live, upstream);
    if (winner == mOptions.host || winner.empty()) {
      continue;
    }
    const auto session = mSessions.find(winner);
    if (session->second.renewed &&
        aNow - session->second.firstSeenAt >= mOptions.joinDelay) {
      return upstream;
    }
  }
  return std::nullopt;
}

platform::Transaction
OwnershipTracker::release(const std::string& aUpstream)
{
  platform::Transaction transaction;
  const auto held = mHeld.find(aUpstream);
  if (held == mHeld.end()) {
    return transaction;
  }
  const std::string key = ownerKey(aUpstream);
  transaction.checks.push_back({ key, held->second.ownership.rowVersion });
  const OwnerRow row{ "", 0, held->second.ownership.fencingNumber };
  transaction.writes.push_back({ key, toJson(row) });
  mHeld.erase(held);
  // Prevents a claim until the outcome of the release is known.
  mPending[aUpstream] = {};
  return transaction;
}

bool
OwnershipTracker::releaseDone(const std::string& aUpstream,
                              const Result<platform::TransactionOutcome>& aOutcome,
                              Instant aNow)
{
  const auto pending = mPending.find(aUpstream);
  if (pending != mPending.end()) {
    pending->second.hasResponse = true;
    pending->second.respondedAt = aNow;
  }
  return aOutcome.has_value() && aOutcome.value().committed;
}

OwnershipChange
OwnershipTracker::drop(const std::string& aUpstream, const std::string& aReason)
{
  const std::uint64_t fencing = mHeld.at(aUpstream).ownership.fencingNumber;
  mHeld.erase(aUpstream);
  return { aUpstream, false, fencing, aReason };
}

std::optional<OwnershipChange>
OwnershipTracker::superseded(const std::string& aUpstream)
{
  if (!mHeld.contains(aUpstream)) {
    return std::nullopt;
  }
  return drop(aUpstream, "the engine has accepted a newer owner");
}

std::vector<OwnershipChange>
OwnershipTracker::sessionLost()
{
  std::vector<OwnershipChange> changes;
  for (const auto& upstream : owned()) {
    changes.push_back(drop(upstream, "session lost"));
  }
  mPending.clear();
  return changes;
}

bool
OwnershipTracker::mayOrder(const std::string& aUpstream,
                           bool aChecksFencing,
                           const SessionLease& aSession,
                           Instant aNow) const
{
  const auto held = mHeld.find(aUpstream);
  if (held == mHeld.end()) {
    return false;
  }
  if (aChecksFencing) {
    return true;
  }
  const Instant proven = std::max(held->second.claimSentAt, held->second.confirmedAt);
  return aSession.valid(aNow) && proven >= aSession.continuousSince();
}

const Ownership*
OwnershipTracker::find(const std::string& aUpstream) const
{
  const auto held = mHeld.find(aUpstream);
  return held == mHeld.end() ? nullptr : &held->second.ownership;
}

std::vector<std::string>
OwnershipTracker::owned() const
{
  std::vector<std::string> result;
  result.reserve(mHeld.size());
  for (const auto& [upstream, held] : mHeld) {
    result.push_back(upstream);
  }
  return result;
}

std::set<std::string>
OwnershipTracker::liveHosts(const std::string& aDataCentre, Instant aNow) const
{
  std::set<std::string> result;
  for (const auto& [host, session] : mSessions) {
    const bool fresh = aNow - session.changedAt < mOptions.lease + mOptions.clockMargin;
    const bool here = aDataCentre.empty() || session.row.dataCentre == aDataCentre;
    if (here && fresh && !session.row.leaving) {
      result.insert(host);
    }
  }
  return result;
}

} // namespace savoryrill::placement
