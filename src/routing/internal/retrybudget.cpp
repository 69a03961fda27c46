#include "routing/retrybudget.h"

namespace savoryrill::routing {

Duration
fullJitter(std::uint32_t aRetry,
           Duration aBase,
           Duration aLimit,
           std::mt19937_64& aRandom)
{
  constexpr std::uint32_t kMaxShift = 20;
  const Duration grown = aBase * (std::int64_t(1) << std::min(aRetry, kMaxShift));
  const Duration bound = std::max(Duration(1), std::min(grown, aLimit));
  std::uniform_int_distribution<std::int64_t> distribution(0, bound.count());
  return Duration(distribution(aRandom));
}

} // namespace savoryrill::routing
