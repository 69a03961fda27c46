#pragma once

#include <string>
#include <vector>

namespace savoryrill::gateway {

/// The names, separated by commas, as the value of a field of the log. Thread safe.
inline std::string
nameList(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text.append(text.empty() ? "" : ",").append(name);
  }
  return text;
}

} // namespace savoryrill::gateway
