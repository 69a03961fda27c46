#pragma once

#include <string>
#include <string_view>

namespace savoryrill::gateway {

/// Name of the series of a metric with one label. Thread safe.
inline std::string
seriesOf(std::string_view aName, std::string_view aLabel, std::string_view aValue)
{
  std::string series(aName);
  return series.append("{").append(aLabel).append("=\"").append(aValue).append("\"}");
}

} // namespace savoryrill::gateway
