#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "gateway/internal/peercodec.h"
#include "serving/permitissuer.h"
#include "serving/upstreamlimits.h"

namespace savoryrill::gateway {

/// Gets this host its permits to send requests to upstreams that limit their rate, and
/// issues permits to hosts that request them. Every host can issue; hosts ask the leader
/// of placement, or the last one that they know of. Not thread safe.
class PermitExchange
{
public:
  struct Dependencies
  {
    event::Loop& loop;
    EventLog& log;
    Metrics& metrics;
    serving::UpstreamLimits& limits; // of this host
  };

  /// What the connections to other hosts allow at this moment.
  struct Role
  {
    bool issues = false; // this host leads
    std::string issuer;  // host to ask otherwise; empty: none can be reached
    /// Part of the rates that this host may issue, from 0 to 1.
    double share = 1;
    std::uint32_t hostCount = 1; // that share the rates
  };
  using Send = std::function<void(const std::string& aHost, const PermitMessage&)>;

  /// `aOnPermitted` is called when waiting requests may have become possible to send.
  PermitExchange(Dependencies aDependencies,
                 std::string aOwnHost,
                 Send aSend,
                 std::function<void()> aOnPermitted);

  /// Requests permits that callers' requests wait for, and issues those that other hosts
  /// wait for. Call it regularly, and when a request begins to wait.
  void exchange(const Role& aRole);
  void received(const std::string& aHost,
                const PermitMessage& aMessage,
                const Role& aRole);

  /// Limits that hosts have named lately in their requests to this one.
  std::map<std::string, double> limits() const
  {
    return mIssuer.limits(mDependencies.loop.now());
  }

private:
  /// Applies what a host asks for and gives back. Returns the upstreams of its requests
  /// that no longer limit their rate.
  std::vector<std::string> applyRequests(const std::string& aHost,
                                         const PermitMessage& aMessage);
  void recordLifted(const std::string& aUpstream);
  void issue(double aShare);

  Dependencies mDependencies;
  std::string mOwnHost;
  Send mSend;
  std::function<void()> mOnPermitted;
  serving::PermitIssuer mIssuer;
};

} // namespace savoryrill::gateway
