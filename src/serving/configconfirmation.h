#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"

namespace savoryrill::serving {

/// Whether this host can show that its configuration was the store's newest a short time
/// ago. Load pattern: an operator removes a key while this host is suspended or cut off,
/// or the store is unreachable or slow. Not thread safe; no I/O.
class ConfigConfirmation
{
public:
  /// `aMaxAge`: after this time without a confirmation, requests with keys are refused.
  /// Zero: no bound, every known configuration counts as confirmed.
  explicit ConfigConfirmation(Duration aMaxAge)
    : mMaxAge(aMaxAge)
  {
  }

  /// A configuration has come into force at this host.
  void configApplied(std::uint64_t aVersion);

  /// This host has read the store: `aVersion` was the store's newest at `aAsOf` or later.
  /// Has no effect if this host has an older version in force, or if a more recent
  /// confirmation is known.
  void confirmed(std::uint64_t aVersion, Instant aAsOf);

  /// As `confirmed`, but another host has read the store.
  void confirmedByLeader(std::uint64_t aVersion, Instant aAsOf);

  /// True if requests with keys may be accepted.
  bool valid(Instant aNow) const;

  /// Time since the latest confirmation; nullopt if there was none.
  std::optional<Duration> age(Instant aNow) const;

  /// True if no other host has confirmed the configuration for a while, so that this host
  /// has to read it from the store.
  bool wantsOwnRead(Instant aNow) const;

  bool bounded() const { return mMaxAge > Duration::zero(); }

private:
  Duration mMaxAge;
  std::uint64_t mVersion = 0; // in force; 0: none
  std::optional<Instant> mAsOf;
  std::optional<Instant> mLeaderAsOf; // of the latest confirmation by another host
};

} // namespace savoryrill::serving
