#pragma once

#include <map>
#include <set>
#include <span>
#include <string>

#include "base/types/time.h"

namespace savoryrill::serving {

// Guard against starvation. It handles this load pattern: urgent requests alone need all
// capacity for longer than callers wait, so that an order by priority serves no others.

/// Shares of requests that were served, by group: a route, a model or an organisation. A
/// group that is served much more seldom than all requests together is starved, and its
/// requests may be promoted. Not thread safe.
class ServedShares
{
public:
  /// A request that belongs to `aGroups` was served or not, for want of capacity.
  void ended(std::span<const std::string> aGroups, bool aServed, Instant aNow);
  /// True if one of the groups is starved and the limit of promotions leaves room.
  bool mayPromote(std::span<const std::string> aGroups) const;
  bool anyStarved() const { return !mStarved.empty(); }
  /// A request that had to wait was sent.
  void sent(bool aPromoted);
  std::size_t size() const { return mGroups.size(); }

  /// A group is starved below this part of the share of all requests. Callers are
  /// promised a quarter; the rest is a margin for the delay with which shares are known.
  static constexpr double kStarvedPart = 0.5;

private:
  struct Count
  {
    double served = 0;
    double all = 0;
    Instant updated{};

    void add(bool aServed, Instant aNow);
    void age(Instant aNow);
  };
  void findStarved(Instant aNow);

  // Averages over a burst without holding its refusals against the time after it.
  static constexpr Duration kTimeConstant = 10s;
  // A group is compared only after this many requests, counted with their age.
  static constexpr double kMinRequests = 2;
  // Promoted requests are at most about this part of those sent after waiting, so that
  // priorities keep their meaning when many groups are starved.
  static constexpr double kPromotedPart = 0.34;
  static constexpr double kMaxCredit = 4;
  // Between two searches for starved groups, which cost more than a look-up.
  static constexpr Duration kSearchInterval = 100ms;

  std::map<std::string, Count> mGroups;
  Count mAll;
  double mCredit = 1;
  std::set<std::string> mStarved;
  Instant mSearched{};
};

} // namespace savoryrill::serving
