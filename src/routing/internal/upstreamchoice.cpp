#include "routing/upstreamchoice.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace savoryrill::routing {

namespace {

bool
isBetter(const Candidate& aLeft, const Candidate& aRight)
{
  return std::make_tuple(aLeft.load(), !aLeft.sameDataCentre) <
         std::make_tuple(aRight.load(), !aRight.sameDataCentre);
}

/// Visitor that returns the index of the candidate chosen by a policy. Precondition:
/// there is at least one candidate.
class Chooser
{
public:
  Chooser(const std::vector<Candidate>& aCandidates, std::mt19937_64& aRandom)
    : mCandidates(aCandidates)
    , mRandom(aRandom)
  {
  }

  std::size_t operator()(const PowerOfTwoChoices& aPolicy) const
  {
    const auto cached = longestCachedPrefix(aPolicy.affinitySlack);
    return cached.empty() ? betterOfTwo(allCandidates()) : betterOfTwo(cached);
  }

  std::size_t operator()(RoundRobin& aPolicy) const
  {
    return aPolicy.next++ % mCandidates.size();
  }

  std::size_t operator()(const LeastReportedLoad&) const
  {
    const auto least =
      std::min_element(mCandidates.begin(),
                       mCandidates.end(),
                       [](const Candidate& aLeft, const Candidate& aRight) {
                         return aLeft.reportedLoad < aRight.reportedLoad;
                       });
    return static_cast<std::size_t>(least - mCandidates.begin());
  }

private:
  /// Candidates with the longest cached prefix among those whose load is at most `aSlack`
  /// above the lowest one. Returns all of them, because routers with the same outdated
  /// load reports would all choose the same upstream if only the least loaded were taken.
  std::vector<std::size_t> longestCachedPrefix(std::uint32_t aSlack) const
  {
    std::uint32_t lowest = mCandidates.front().load();
    for (const auto& candidate : mCandidates) {
      lowest = std::min(lowest, candidate.load());
    }
    std::uint32_t longest = 1;
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < mCandidates.size(); ++i) {
      const auto& candidate = mCandidates[i];
      if (candidate.cachedPrefixBlocks < longest || candidate.load() > lowest + aSlack) {
        continue;
      }
      if (candidate.cachedPrefixBlocks > longest) {
        longest = candidate.cachedPrefixBlocks;
        best.clear();
      }
      best.push_back(i);
    }
    return best;
  }

  std::vector<std::size_t> allCandidates() const
  {
    std::vector<std::size_t> all(mCandidates.size());
    std::iota(all.begin(), all.end(), std::size_t{ 0 });
    return all;
  }

  /// Precondition: `aIndexes` is not empty.
  std::size_t betterOfTwo(const std::vector<std::size_t>& aIndexes) const
  {
    if (aIndexes.size() == 1) {
      return aIndexes.front();
    }
    std::uniform_int_distribution<std::size_t> first(0, aIndexes.size() - 1);
    std::uniform_int_distribution<std::size_t> second(0, aIndexes.size() - 2);
    const std::size_t first_position = first(mRandom);
    std::size_t second_position = second(mRandom);
    second_position += second_position >= first_position ? 1 : 0;
    const std::size_t one = aIndexes[first_position];
    const std::size_t other = aIndexes[second_position];
    return isBetter(mCandidates[other], mCandidates[one]) ? other : one;
  }

  const std::vector<Candidate>& mCandidates;
  std::mt19937_64& mRandom;
};

} // namespace

std::optional<std::size_t>
choose(ChoicePolicy& aPolicy,
       const std::vector<Candidate>& aCandidates,
       std::mt19937_64& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  return std::visit(Chooser(aCandidates, aRandom), aPolicy);
}

} // namespace savoryrill::routing
