#include "serving/configconfirmation.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

// Part of the longest age that is not used, for the time between the check and the
// arrival of a request at its upstream.
constexpr Duration kMargin = 300ms;
// Without a confirmation from another host for this long, a host reads the store itself.
// Two reads that fail or hang for a second each still fit into a bound of 5 s.
constexpr Duration kOwnReadAfter = 2s;

} // namespace

void
ConfigConfirmation::configApplied(std::uint64_t aVersion)
{
  mVersion = std::max(mVersion, aVersion);
}

void
ConfigConfirmation::confirmed(std::uint64_t aVersion, Instant aAsOf)
{
  if (mVersion != 0 && aVersion <= mVersion) {
    mAsOf = mAsOf ? std::max(*mAsOf, aAsOf) : aAsOf;
  }
}

void
ConfigConfirmation::confirmedByLeader(std::uint64_t aVersion, Instant aAsOf)
{
  confirmed(aVersion, aAsOf);
  if (mVersion != 0 && aVersion <= mVersion) {
    mLeaderAsOf = mLeaderAsOf ? std::max(*mLeaderAsOf, aAsOf) : aAsOf;
  }
}

bool
ConfigConfirmation::valid(Instant aNow) const
{
  if (mVersion == 0) {
    return false;
  }
  return !bounded() || (mAsOf && aNow - *mAsOf < mMaxAge - kMargin);
}

std::optional<Duration>
ConfigConfirmation::age(Instant aNow) const
{
  return mAsOf ? std::optional(aNow - *mAsOf) : std::nullopt;
}

bool
ConfigConfirmation::wantsOwnRead(Instant aNow) const
{
  return bounded() && (!mLeaderAsOf || aNow - *mLeaderAsOf >= kOwnReadAfter);
}

} // namespace savoryrill::serving
