#include "serving/servedshares.h"

#include <algorithm>
#include <cmath>
#include <iterator>

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
  if (aNow - mSearched >= kSearchInterval) {
    mSearched = aNow;
    findStarved(aNow);
  }
}

void
ServedShares::findStarved(Instant aNow)
{
  // Bounds the memory by the groups of the last minute.
  constexpr double kForgotten = 0.01;
  const double mean = mAll.served / mAll.all;
  mStarved.clear();
  for (auto item = mGroups.begin(); item != mGroups.end();) {
    auto& count = item->second;
    count.age(aNow);
    if (count.all >= kMinRequests && count.served < kStarvedPart * mean * count.all) {
      mStarved.insert(item->first);
    }
    item = count.all < kForgotten ? mGroups.erase(item) : std::next(item);
  }
}

bool
ServedShares::mayPromote(std::span<const std::string> aGroups) const
{
  return mCredit >= 1 && !mStarved.empty() &&
         std::ranges::any_of(aGroups, [this](const std::string& aGroup) {
           return mStarved.contains(aGroup);
         });
}

void
ServedShares::sent(bool aPromoted)
{
  mCredit = std::min(kMaxCredit, mCredit + kPromotedPart - (aPromoted ? 1 : 0));
}

} // namespace savoryrill::serving
