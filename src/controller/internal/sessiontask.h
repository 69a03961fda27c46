#pragma once

#include <set>
#include <string>

#include "controller/internal/taskcontext.h"
#include "placement/ownershiptracker.h"
#include "placement/sessionlease.h"

namespace savoryrill::controller {

/// Maintains the controller's session and its ownership of upstreams in the table. Not
/// thread safe.
class SessionTask
{
public:
  explicit SessionTask(TaskContext aContext);

  void start();
  void handle(SessionMessage&& aMessage);

  /// True if an order with the fencing number may be sent now. Checked as the last step
  /// before an order is sent; see `OwnershipTracker::mayOrder`.
  bool mayOrder(const std::string& aUpstream,
                bool aChecksFencing,
                std::uint64_t aFencingNumber) const;

  /// Starts to hand over all upstreams; `handedOver` returns true once this is done.
  void leave();
  bool handedOver() const;

  const placement::SessionLease& session() const { return mSession; }
  std::vector<std::string> owned() const { return mTracker.owned(); }

private:
  void tick();
  void advanceSession();
  void readRows();
  void claim();
  void rebalance();
  void sendRelease(const std::string& aUpstream);
  void sessionChanged(placement::SessionLease::Change aChange);
  void ownershipChanged(const placement::OwnershipChange& aChange);
  void updateLeaseValidity();

  TaskContext mContext;
  CallbackGuard mGuard;
  placement::SessionLease mSession;
  placement::OwnershipTracker mTracker;
  event::Watch mTimer;
  Instant mNextRead;
  bool mReadingSessions = false;
  bool mReadingOwners = false;
  bool mLeaving = false;
  bool mLeaseValid = false;
  std::set<std::string> mEngines;   // of the own data centre
  std::set<std::string> mQuiescing; // upstreams whose orders are being stopped
  std::set<std::string> mReleasing; // upstreams whose release is in flight
  LiveHostsChanged mLiveHosts;
};

} // namespace savoryrill::controller
