#include "serving/servedshares.h"

#include <algorithm>
#include <cmath>

namespace savoryrill::serving {

void
ServedShares::Count::age(Instant aNow)
{
  const double factor = std::exp(-toSeconds(aNow - updated) / toSeconds(kTimeConstant));
  served *= factor;
  all *= factor;
  updated = aNow;
}

void
ServedShares::Count::add(bool aServed, Instant aNow)
{
  age(aNow);
  served += aServed ? 1 : 0;
  all += 1;
}

void
ServedShares::ended(std::span<const std::string> aGroups, bool aServed, Instant aNow)
{
  mAll.add(aServed, aNow);
  for (const auto& group : aGroups) {
    mGroups.try_emplace(group, Count{ 0, 0, aNow }).first->second.add(aServed, aNow);
  }
  // Bounds the memory by the groups of the last minute.
  constexpr std::size_t kEndedBetweenCleanups = 1000;
  constexpr double kForgotten = 0.01;
  if (++mEndedSinceCleanup >= kEndedBetweenCleanups) {
    mEndedSinceCleanup = 0;
    std::erase_if(mGroups, [&](const auto& aItem) {
      Count count = aItem.second;
      count.age(aNow);
      return count.all < kForgotten;
    });
  }
}

bool
ServedShares::mayPromote(std::span<const std::string> aGroups, Instant aNow) const
{
  if (mCredit < 1 || mAll.all <= 0) {
    return false;
  }
  const double mean = mAll.served / mAll.all;
  return std::ranges::any_of(aGroups, [&](const std::string& aGroup) {
    const auto found = mGroups.find(aGroup);
    if (found == mGroups.end()) {
      return false;
    }
    Count count = found->second;
    count.age(aNow);
    return count.all >= kMinRequests && count.served < kStarvedPart * mean * count.all;
  });
}

void
ServedShares::sent(bool aPromoted)
{
  mCredit = std::min(kMaxCredit, mCredit + kPromotedPart - (aPromoted ? 1 : 0));
}

} // namespace savoryrill::serving
