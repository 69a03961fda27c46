#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "serving/types/permits.h"

namespace savoryrill::serving {

/// Divides the rates that upstreams take from all hosts together among the hosts that
/// have requests for them: one host issues permits to all, in the order in which they
/// request them. Not thread safe; no I/O.
class PermitIssuer
{
public:
  /// Time for which a permit is valid.
  static constexpr Duration kPermitTime = 1s;
  /// Time after which a host repeats a request for a permit that was not answered.
  static constexpr Duration kRepeatTime = 400ms;

  /// A host requests one permit. Its earlier request for the upstream, if any, keeps its
  /// place. Returns false if the upstream has lifted its limit since that host learned of
  /// it, so that the host needs no permit.
  bool request(const std::string& aHost, const PermitRequest& aRequest, Instant aNow);

  /// A host returns permits that it has not used.
  void giveBack(const PermitGrant& aUnused);

  struct Issued
  {
    std::string host;
    PermitGrant grant;
  };
  /// Issues the permits that are due. `aShare`, from 0 to 1, is the part of the rates
  /// that this host may issue.
  std::vector<Issued> issue(double aShare, Instant aNow);

  /// Limits that were named in recent requests, by upstream.
  std::map<std::string, double> limits(Instant aNow) const;

  /// A response of the upstream named no limit any more.
  void lift(const std::string& aUpstream, Instant aNow);

private:
  struct Pending
  {
    std::string host;
    Instant at;
  };
  struct Upstream
  {
    double perSecond = 0;
    std::optional<Instant> named; // when the upstream named this limit
    double permits = 0;           // that may be issued now
    Instant refilled{};
    Instant lastRequest{};
    std::deque<Pending> pending; // one of each host
  };
  static double mostPermits(const Upstream& aUpstream);
  void expire(Instant aNow);

  std::map<std::string, Upstream> mUpstreams;
  std::map<std::string, Instant> mLifted; // when, by upstream
};

} // namespace savoryrill::serving
