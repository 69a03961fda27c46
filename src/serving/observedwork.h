#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "base/types/time.h"

namespace savoryrill::serving {

/// Expected times at upstreams, by route, as exponential moving averages of the requests
/// that were completed. Not thread safe.
class ObservedWork
{
public:
  struct Estimate
  {
    Duration timeToFirstEvent = Duration::zero(); // or until the whole response
    Duration work = Duration::zero();             // for which it occupies a slot
  };

  /// A request with `aTokens` of prompt and output, 0 if unknown, was completed.
  void completed(const std::string& aRoute, double aTokens, const Estimate& aObserved);
  /// Estimate for a request; a default before the first one of the route is completed.
  Estimate estimate(const std::string& aRoute, double aTokens) const;

private:
  struct Route
  {
    double firstEventSeconds = 0;
    double seconds = 0;
    double tokens = 0;
  };
  // Follows a change of load within some tens of requests.
  static constexpr double kNewPart = 0.1;
  // Bounds the memory if routes are renamed again and again.
  static constexpr std::size_t kMaxRoutes = 1000;

  std::map<std::string, Route> mRoutes;
};

} // namespace savoryrill::serving
