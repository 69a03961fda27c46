#pragma once

#include <map>
#include <vector>

#include "state/statemap.h"
#include "transport/peernetwork.h"

namespace savoryrill::gossip {

/// Groups of peers that a change is sent to.
struct PushTargets
{
  bool ownControllers = false;   // of the own data centre
  bool routers = false;          // routers
  bool otherDataCentres = false; // one controller of each other data centre
};

/// Where a controller sends on an entry that it has taken from `aSource`, or from itself
/// if there is no source. Entries from a controller of the own data centre have been sent
/// to the others by that one, and those from another data centre have reached the other
/// ones. Thread safe.
PushTargets
pushTargetsFor(const transport::RemotePeer* aSource, const std::string& aOwnDataCentre);

/// Changed entries that have not been sent yet; later versions replace earlier ones. No
/// I/O, not thread safe.
class PushQueue
{
public:
  /// Adds a changed entry that came from peer `aSource`, 0 for this process.
  void add(const state::EntryKey& aKey, PushTargets aTargets, std::uint64_t aSource);

  bool empty() const { return mPending.empty(); }
  void clear() { mPending.clear(); }

  /// What a peer of the given groups is to be sent: entries that it has not sent itself,
  /// in parts of up to `aMaxBytes` (more if a single entry is larger).
  std::vector<peer::Delta> deltasFor(std::uint64_t aPeerId,
                                     PushTargets aGroups,
                                     const state::StateMap& aMap,
                                     Instant aNow,
                                     std::size_t aMaxBytes) const;

private:
  struct Pending
  {
    PushTargets targets;
    std::uint64_t source = 0;
  };
  std::map<state::EntryKey, Pending> mPending;
};

} // namespace savoryrill::gossip
