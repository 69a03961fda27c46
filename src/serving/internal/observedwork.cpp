#include "serving/observedwork.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

// Before a response was observed: the least time that an engine needs until the first
// event, and a slot time between those of short and long streams.
constexpr Duration kDefaultFirstEventTime = 60ms;
constexpr Duration kDefaultWork = 1s;
// A request with unusually few or many tokens differs from the mean at most this much,
// since part of the time does not depend on the tokens.
constexpr double kMaxTokenFactor = 4;

Duration
fromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

void
ObservedWork::completed(const std::string& aRoute,
                        double aTokens,
                        const Estimate& aObserved)
{
  const Route observed{ toSeconds(aObserved.timeToFirstEvent),
                        toSeconds(aObserved.work),
                        aTokens };
  if (mRoutes.size() >= kMaxRoutes && !mRoutes.contains(aRoute)) {
    mRoutes.clear();
  }
  auto& route = mRoutes.try_emplace(aRoute, observed).first->second;
  const auto follow = [](double& aMean, double aValue) {
    aMean += kNewPart * (aValue - aMean);
  };
  follow(route.firstEventSeconds, observed.firstEventSeconds);
  follow(route.seconds, observed.seconds);
  follow(route.tokens, observed.tokens);
}

ObservedWork::Estimate
ObservedWork::estimate(const std::string& aRoute, double aTokens) const
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    return { kDefaultFirstEventTime, kDefaultWork };
  }
  const auto& route = found->second;
  const double factor =
    aTokens > 0 && route.tokens > 0
      ? std::clamp(aTokens / route.tokens, 1 / kMaxTokenFactor, kMaxTokenFactor)
      : 1;
  return { fromSeconds(route.firstEventSeconds), fromSeconds(route.seconds * factor) };
}

} // namespace savoryrill::serving
