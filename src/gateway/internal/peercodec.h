#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/types/time.h"
#include "serving/types/permits.h"
#include "serving/types/placement.h"
#include "serving/types/upstreamlistupdate.h"

namespace savoryrill::gateway {

/// Status update of the placement leader to all hosts.
struct LeaderStatus
{
  std::string host;
  std::uint64_t fencingNumber = 0;
  std::uint32_t hostCount = 0; // hosts that exchange demand, including the leader
  std::map<std::string, Duration> readyTimes; // until models are ready
  std::map<std::string, Duration> backlogs;   // until backlogs are worked off
  std::map<std::string, std::uint32_t> loads; // requests in progress, by upstream
  std::uint64_t configVersion = 0;            // in force at the leader
  std::uint64_t rowVersion = 0;               // of the leader row
  bool released = false;                      // lease released, no more orders
  std::string successor; // with `released`: host to take the lease; empty: any
  std::map<std::string, double> limits; // requests a second that upstreams take
};

/// What hosts tell each other about permits to send requests to upstreams that limit
/// their rate.
struct PermitMessage
{
  std::vector<serving::PermitRequest> requests;
  std::vector<serving::PermitGrant> grants;
  std::vector<serving::PermitGrant> unused; // that the host gives back
  std::vector<std::string> lifted;          // upstreams that no longer limit their rate

  bool empty() const
  {
    return requests.empty() && grants.empty() && unused.empty() && lifted.empty();
  }
};

/// Demand report of a host to the leader.
struct HostDemand
{
  std::vector<serving::DemandItem> items;
  std::map<std::string, std::uint32_t> loads; // requests in progress, by upstream
  std::uint64_t reportNumber = 0;             // grows by 1 with each report
  std::uint64_t listVersion = 0;              // of the upstream list; 0: unknown
  /// Of the host's process; zero if the host is not suited to lead.
  Duration uptime = Duration::zero();
};

/// Changes of the upstream list that the leader sends to one host.
struct HostListUpdate
{
  /// Number of the host's last report that arrived before the leader's read began.
  std::uint64_t reportNumber = 0;
  serving::UpstreamListUpdate update;
};

// Payloads of the entries that gateways exchange, as messages of peer.proto. Decoding
// fails with Malformed. All functions are thread safe.

std::string
encodeDemand(const HostDemand& aDemand);
Result<HostDemand>
decodeDemand(const std::string& aPayload);

std::string
encodeReplicas(const std::vector<serving::ReplicaView>& aReplicas);
Result<std::vector<serving::ReplicaView>>
decodeReplicas(const std::string& aPayload);

std::string
encodeLeaderStatus(const LeaderStatus& aStatus);
Result<LeaderStatus>
decodeLeaderStatus(const std::string& aPayload);

std::string
encodePermits(const PermitMessage& aMessage);
Result<PermitMessage>
decodePermits(const std::string& aPayload);

std::string
encodeListUpdate(const HostListUpdate& aUpdate);
Result<HostListUpdate>
decodeListUpdate(const std::string& aPayload);

/// Compares views without their expected times, which change continuously.
bool
sameApartFromTimes(const std::vector<serving::ReplicaView>& aLeft,
                   const std::vector<serving::ReplicaView>& aRight);

} // namespace savoryrill::gateway
