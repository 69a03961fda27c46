#pragma once

#include <cstdint>

namespace savoryrill::serving {

/// A point in the history of the platform's store, as a number that only rises, so that
/// positions of any table and host compare as numbers. The store counts row versions, and
/// gives them out again after it has come back from a copy that lacks its last changes.
/// It counts these returns as its era, which stands above the version here.
///
/// A position with era 0 equals its version: stores that state no era have one history.
using StorePosition = std::uint64_t;

/// Bits of the row version: enough for 34 years of 1,000 transactions a second. Positions
/// stay below 2^53, and so exact in JSON, up to era 8191.
inline constexpr unsigned kRowVersionBits = 40;
inline constexpr std::uint64_t kMaxRowVersion = (1ULL << kRowVersionBits) - 1;
inline constexpr std::uint64_t kMaxStoreEra = (1ULL << 13U) - 1;
/// A store that has never come back from a copy states this era, or none.
inline constexpr std::uint64_t kFirstStoreEra = 1;

/// Preconditions: `aEra` is at most `kMaxStoreEra`, `aRowVersion` at most
/// `kMaxRowVersion`. Thread safe, like the functions below.
constexpr StorePosition
makeStorePosition(std::uint64_t aEra, std::uint64_t aRowVersion)
{
  return (aEra << kRowVersionBits) | aRowVersion;
}

constexpr std::uint64_t
storeEraOf(StorePosition aPosition)
{
  return aPosition >> kRowVersionBits;
}

/// The version as the store counts it.
constexpr std::uint64_t
rowVersionOf(StorePosition aPosition)
{
  return aPosition & kMaxRowVersion;
}

} // namespace savoryrill::serving
