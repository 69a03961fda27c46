#pragma once

#include <map>
#include <set>
#include <string>

#include "controller/internal/taskcontext.h"

namespace savoryrill::controller {

/// Reads from the host list, drain rows and inventories which upstreams are leaving, and
/// publishes a leaving mark for each, which is a gossip entry. The mark of an engine
/// applies to one incarnation and so ends when the engine restarts. Not thread safe.
class LeavingTask
{
public:
  explicit LeavingTask(TaskContext aContext);

  void start();
  void handle(LeavingMessage&& aMessage);

private:
  void on(ConfigAdopted&& aMessage);
  void on(EntryChanged&& aMessage);
  void on(EngineLeaving&& aMessage);

  void poll();
  void hostsRead(const std::vector<platform::HostEntry>& aHosts, Instant aSentAt);
  void drainsRead(const std::vector<platform::Row>& aRows);
  void leavingSeen(const std::string& aName, const std::string& aSource);
  void publish(const std::string& aUpstream,
               std::uint64_t aIncarnation,
               const std::string& aSource);
  bool isService(const std::string& aUpstream) const;
  void reconcileServices();
  std::uint64_t nextServiceIncarnation(const std::string& aService);
  void publishServiceReturned(const std::string& aService);

  TaskContext mContext;
  CallbackGuard mGuard;
  event::Watch mTimer;
  ConfigurationPtr mConfiguration;
  std::map<std::string, std::uint64_t> mIncarnations; // of upstreams, as published
  // Leaving marks that this or another controller has published, by upstream and
  // incarnation.
  std::set<std::pair<std::string, std::uint64_t>> mKnownLeaving;
  // Plain services have no inventory and therefore no incarnation. Instead, a number that
  // grows with each start and each end of a drain is used, so that a drain can be
  // reverted.
  std::map<std::string, std::uint64_t> mServiceIncarnations;
  std::set<std::string> mLeavingServices; // as this process published them last
  std::set<std::string> mLeavingHosts;    // by the latest read of the host list
  std::set<std::string> mDrained;         // by the latest read of the drain rows
  bool mReadingHosts = false;
  bool mReadingDrains = false;
  bool mHostDrained = false; // the drain of this host was requested
};

} // namespace savoryrill::controller
