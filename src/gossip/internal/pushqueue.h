#pragma once

#include <map>
#include <vector>

#include "state/statemap.h"
#include "transport/peernetwork.h"

namespace savoryrill::gossip {

/// Groups of peers to which a change is sent.
struct PushTargets
{
  bool ownControllers = false; // of the own data centre
  bool routers = false;
  bool otherDataCentres = false; // one controller of each other data centre
};

/// Returns the groups to which an entry is sent that was received from `aSource`, or
/// published by this process if `aSource` is null. A controller of the own data centre
/// has already sent the entry to the others there and to other data centres. An entry
/// from another data centre has already been sent from there to the remaining ones.
/// Thread safe.
PushTargets
pushTargetsFor(const transport::RemotePeer* aSource, const std::string& aOwnDataCentre);

/// Keys of changed entries that have not been sent yet. Only the current version of an
/// entry is sent. No I/O, not thread safe.
class PushQueue
{
public:
  /// Adds a changed entry received from the peer with id `aSource`, or published by this
  /// process if 0.
  void add(const state::EntryKey& aKey, PushTargets aTargets, std::uint64_t aSource);

  bool empty() const { return mPending.empty(); }
  void clear() { mPending.clear(); }

  /// Returns the entries to send to a peer of the given groups, except those received
  /// from it. Each delta has up to `aMaxBytes` of entries, or one entry if that is
  /// larger.
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
