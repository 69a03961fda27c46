#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/circuitbreaker.h"
#include "routing/servingview.h"
#include "routing/upstreamchoice.h"

namespace savoryrill::routing {

/// What the end of an attempt shows about the health of the upstream.
enum class AttemptVerdict
{
  Answered,
  Failed,
  Abandoned // ended by the router, so that the health remains unknown
};

/// Keeps the number of this router's requests in flight and the circuit breaker of each
/// upstream. Not thread safe; no I/O.
class UpstreamLoads
{
public:
  /// Records that a request was dispatched to an upstream.
  void dispatched(const std::string& aUpstream, Instant aNow);

  /// Records that an attempt at an upstream ended.
  void ended(const std::string& aUpstream, AttemptVerdict aVerdict, Instant aNow);

  /// Number of this router's requests in flight at an upstream.
  std::uint32_t inFlight(const std::string& aUpstream) const;

  /// State of the circuit breaker of an upstream.
  CircuitState circuit(const std::string& aUpstream, Instant aNow) const;

  /// Returns the upstreams among `aNames` that may receive a request now. `aPrefixes` are
  /// the hashes of the prompt's prefixes, shortest first; `aDataCentre` is that of this
  /// router.
  std::vector<Candidate> candidates(const std::vector<std::string>& aNames,
                                    const ServingView& aView,
                                    const std::string& aDataCentre,
                                    const std::vector<std::uint64_t>& aPrefixes,
                                    Instant aNow) const;

private:
  struct Load
  {
    std::uint32_t inFlight = 0;
    CircuitBreaker breaker;
  };
  std::map<std::string, Load> mLoads;
};

} // namespace savoryrill::routing
