#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/types/time.h"
#include "placement/demandtable.h"
#include "placement/types/fleet.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::controller {

/// A process as described by its own member entry.
struct Member
{
  peer::Role role = peer::ROLE_UNSPECIFIED;
  std::string host;
  std::string dataCentre;
};

/// State of upstreams, demand and processes, as decoded from gossip entries. Malformed
/// entries are skipped. Not thread safe.
class FleetView
{
public:
  explicit FleetView(std::string aDataCentre);

  /// Takes a changed entry. An empty payload removes what the entry described, except
  /// for leaving marks, which stay.
  void apply(const peer::Entry& aEntry, Instant aNow);

  const std::map<std::string, placement::UpstreamStatus>& upstreams() const
  {
    return mUpstreams;
  }
  const std::map<config::Loadable, placement::MergedDemand>& demand() const
  {
    return mDemand.merged();
  }

  /// True if the member entry of a controller of another data centre is known.
  bool seesOtherDataCentre() const;

private:
  void applyUpstream(const peer::Entry& aEntry);
  void applyLeaving(const peer::Entry& aEntry);
  void applyDemand(const peer::Entry& aEntry, Instant aNow);
  void applyMember(const peer::Entry& aEntry);
  void markLeaving(const std::string& aUpstream);

  std::string mDataCentre;
  std::map<std::string, placement::UpstreamStatus> mUpstreams;
  std::map<std::string, std::set<std::uint64_t>> mLeaving; // incarnations by upstream
  std::map<std::string, Member> mMembers;                  // by entry key
  placement::DemandTable mDemand;
};

} // namespace savoryrill::controller
