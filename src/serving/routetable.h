#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "serving/types/servingconfig.h"

namespace savoryrill::serving {

/// Finds the route of a request by exact host name and longest matching path prefix.
/// Immutable; a request keeps the table that it was matched with. Thread safe.
class RouteTable
{
public:
  /// Precondition: each route has at least one share. Its group may be unknown.
  static std::shared_ptr<const RouteTable> create(ServingConfig aConfig);

  /// The route, or `nullptr`. `aHost` may include a port, `aTarget` a query.
  const Route* find(std::string_view aHost, std::string_view aTarget) const;

  /// Chooses a group of the route by weight; `aRandom` is uniform in [0, 1).
  static const std::string& chooseGroup(const Route& aRoute, double aRandom);

  const ServingConfig& config() const { return mConfig; }

private:
  explicit RouteTable(ServingConfig aConfig);

  ServingConfig mConfig;
  // Routes by lower-case host name, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> mByHost;
};

} // namespace savoryrill::serving
