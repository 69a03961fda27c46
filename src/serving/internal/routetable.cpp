#include "serving/routetable.h"

#include <algorithm>
#include <cctype>

namespace savoryrill::serving {

namespace {

std::string
lowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return lower;
}

} // namespace

std::shared_ptr<const RouteTable>
RouteTable::create(ServingConfig aConfig)
{
  return std::shared_ptr<const RouteTable>(new RouteTable(std::move(aConfig)));
}

RouteTable::RouteTable(ServingConfig aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& route : mConfig.routes) {
    mByHost[lowerCase(route.hostName)].push_back(&route);
  }
  for (auto& [host, routes] : mByHost) {
    std::ranges::stable_sort(routes, [](const Route* aLeft, const Route* aRight) {
      return aLeft->prefix.size() > aRight->prefix.size();
    });
  }
}

const Route*
RouteTable::find(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = mByHost.find(lowerCase(aHost.substr(0, aHost.find(':'))));
  if (host == mByHost.end()) {
    return nullptr;
  }
  const auto path = aTarget.substr(0, aTarget.find('?'));
  for (const Route* route : host->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

const std::string&
RouteTable::chooseGroup(const Route& aRoute, double aRandom)
{
  double total = 0;
  for (const auto& share : aRoute.shares) {
    total += share.weight;
  }
  double rest = aRandom * total;
  for (const auto& share : aRoute.shares) {
    rest -= share.weight;
    if (rest < 0) {
      return share.group;
    }
  }
  return aRoute.shares.back().group;
}

} // namespace savoryrill::serving
