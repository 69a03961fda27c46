#pragma once

#include <cstdint>

#include "base/types/time.h"

namespace savoryrill::serving {

/// The number of hosts among which the rates of upstreams are divided. A host that is cut
/// off from the others goes on using its part, so the largest number seen lately counts.
/// Not thread safe; no I/O.
class SharingHosts
{
public:
  /// Time for which a number counts after it was seen last.
  static constexpr Duration kMemory = 30s;

  /// Records how many hosts exchange demand at this moment.
  void record(std::uint32_t aCount, Instant aNow);

  /// Zero if no number is known.
  std::uint32_t count() const { return mCount; }

  /// The part of the rates, from 0 to 1, that a host may issue to `aServed` hosts. The
  /// parts of all issuing hosts and of those without one add up to 1 at most.
  double shareOf(std::uint32_t aServed) const;

private:
  std::uint32_t mCount = 0;
  Instant mSeen{};
};

} // namespace savoryrill::serving
