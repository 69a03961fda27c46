#include <algorithm>

#include "gateway/internal/leadertask.h"

// The messages about the quotas of organisations between the leader and the other hosts.

namespace savoryrill::gateway {

void
LeaderTask::connectQuotas()
{
  mDependencies.quotas.setPeers(
    { [this] { return quotaRole(); },
      [this](const std::string& aHost, const QuotaMessage& aMessage) {
        sendQuotas(aHost, aMessage);
      } });
}

QuotaExchange::Role
LeaderTask::quotaRole()
{
  QuotaExchange::Role role;
  // While the store cannot be reached, the last leader issues to the hosts that are still
  // connected to it.
  role.issues = mLeading || (!mStopping && mKnownLeader == mSettings.host);
  role.hostCount = mQuotaShare.hostCount();
  if (role.issues) {
    const std::uint32_t served = countServedHosts() + (mLeading ? 0 : 1);
    role.share = mQuotaShare.of(served, mDependencies.loop.now());
  } else {
    role.issuer = permitRole().issuer;
  }
  return role;
}

void
LeaderTask::receiveQuotas(const transport::RemotePeer& aPeer, const std::string& aPayload)
{
  const auto message = decodeQuotas(aPayload);
  if (!message) {
    recordBadEntry(aPeer, message.error());
    return;
  }
  mDependencies.quotas.received(aPeer.host, message.value());
}

void
LeaderTask::sendQuotas(const std::string& aHost, const QuotaMessage& aMessage)
{
  const auto found = std::ranges::find_if(
    mPeerHosts, [&](const auto& aItem) { return aItem.second.peer.host == aHost; });
  if (found == mPeerHosts.end()) {
    return; // the host asks again once it is connected
  }
  peer::Delta delta;
  auto* entry = delta.add_entries();
  entry->set_kind(peer::ENTRY_KIND_QUOTA);
  entry->set_key(mSettings.host);
  entry->set_origin(mSettings.host);
  entry->set_sequence(++mSequence);
  entry->set_payload(encodeQuotas(aMessage));
  mPeers->send(found->first, delta);
}

} // namespace savoryrill::gateway
