#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "serving/types/permits.h"

namespace savoryrill::serving {

/// The rates that upstreams take from all hosts together, and the permits of this host to
/// send requests to them. A request to such an upstream needs a permit, from the host
/// that issues them (`PermitIssuer`). While no host issues any, this host uses an equal
/// share of the rate. Not thread safe; no I/O.
class UpstreamLimits
{
public:
  /// `aPhase`, from 0 to 1, differs between hosts, so that those without an issuing host
  /// do not all get their permits at the same time.
  explicit UpstreamLimits(double aPhase)
    : mPhase(aPhase)
  {
  }

  /// Sets the limit that the last response of an upstream named, in requests a second;
  /// nullopt: none. Returns true if that is new.
  bool setNamed(const std::string& aUpstream,
                std::optional<double> aPerSecond,
                Instant aNow);

  /// Sets all limits that the issuing host knows.
  void setReported(const std::map<std::string, double>& aLimits, Instant aNow);

  /// Another host has learned that the upstream no longer limits its rate. Returns true
  /// if that is new.
  bool lift(const std::string& aUpstream, Instant aNow);

  /// True if a request may be sent to the upstream.
  bool permits(const std::string& aUpstream, Instant aNow) const;
  /// A request was sent to the upstream, so one of its permits is used up.
  void use(const std::string& aUpstream, Instant aNow);

  /// A request could be sent to one of these upstreams if this host had a permit. Chooses
  /// one for which this host has no request yet, and requests a permit.
  void requestOneOf(const std::vector<std::string>& aUpstreams, Instant aNow);
  bool hasPermitRequests() const { return !mRequested.empty(); }
  /// The requests for permits to send now.
  std::vector<PermitRequest> takeRequests(Instant aNow);
  void grant(const PermitGrant& aGrant, Instant aNow);
  /// Permits for which no request came. They are no longer this host's.
  std::vector<PermitGrant> takeUnused(Instant aNow);

  /// Accrues this host's share of the rates, at most one permit at a time. Call it
  /// regularly while no host issues permits.
  void accrueOwnShare(std::uint32_t aHostCount, Instant aNow);

  /// Expected time until this host may send a request to the upstream: zero if it may
  /// now; nullopt if that is up to the issuing host.
  std::optional<Duration> timeUntilPermit(const std::string& aUpstream,
                                          Instant aNow) const;

  /// Upstreams whose responses have said since the last call that they no longer limit
  /// their rate.
  std::vector<std::string> takeLifted();

  /// Number of upstreams that limit their rate.
  std::size_t count() const { return mLimits.size(); }

  /// Drops all data about an upstream that has ended.
  void remove(const std::string& aUpstream);
  /// Drops limits that have not been confirmed for long.
  void expire(Instant aNow);

private:
  struct Limit
  {
    double perSecond = 0;
    std::optional<Instant> named;        // by a response to this host
    std::optional<Instant> reported;     // by the issuing host
    std::vector<Instant> permits;        // when each was received
    std::optional<Instant> requested;    // a permit
    std::optional<Instant> accruedUntil; // without an issuing host
    std::optional<double> accrued;       // likewise; a permit at 1
    double accruedPerSecond = 0;         // likewise
  };

  double mPhase;
  std::map<std::string, Limit> mLimits;
  std::map<std::string, Instant> mLifted; // when each limit was lifted
  std::set<std::string> mRequested;
  std::vector<std::string> mNewlyLifted;
};

} // namespace savoryrill::serving
