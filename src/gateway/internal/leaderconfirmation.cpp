#include "gateway/internal/confirmationcodec.h"
#include "gateway/internal/leadertask.h"

// Confirmations of the configuration, from the leader to the other hosts. Messages that
// are lost, late or repeated can only make a confirmation older.

namespace savoryrill::gateway {

void
LeaderTask::onConfigReadStarted()
{
  for (auto& [id, peer_host] : mPeerHosts) {
    peer_host.reportAtConfigReadStart = peer_host.reportNumber;
  }
}

void
LeaderTask::confirmConfig(std::uint64_t aVersion)
{
  if (!mLeading) {
    return;
  }
  for (const auto& [id, peer_host] : mPeerHosts) {
    if (peer_host.reportAtConfigReadStart == 0) {
      continue; // the host had sent no report when the read began
    }
    peer::Delta delta;
    auto* entry = delta.add_entries();
    entry->set_kind(peer::ENTRY_KIND_CONFIRMATION);
    entry->set_epoch(mLeadership.fencingNumber());
    entry->set_sequence(++mSequence);
    entry->set_payload(
      encodeConfirmation({ peer_host.reportAtConfigReadStart, aVersion }));
    mPeers->send(id, delta);
    mDependencies.metrics.add("savoryrill_gateway_confirmations_sent_total");
  }
}

void
LeaderTask::receiveConfirmation(const transport::RemotePeer& aPeer,
                                const std::string& aPayload)
{
  const auto confirmation = decodeConfirmation(aPayload);
  if (!confirmation) {
    recordBadEntry(aPeer, confirmation.error());
    return;
  }
  if (!aPeer.outgoing) {
    return; // this host has sent its reports only to hosts that it has connected to
  }
  // The leader had received the report when its read began.
  if (const auto sent = mReportTimes.sentAt(confirmation.value().reportNumber)) {
    mHandlers.onConfigConfirmed(confirmation.value().configVersion, *sent);
  }
  mHandlers.onConfigVersionReceived(confirmation.value().configVersion);
}

} // namespace savoryrill::gateway
