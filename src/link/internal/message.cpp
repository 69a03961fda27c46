#include "link/types/message.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace savoryrill::link {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders{
  "connection",       "keep-alive",        "te",
  "trailer",          "transfer-encoding", "proxy-authorization",
  "proxy-connection", "upgrade",           "proxy-authenticate"
};

/// True if the comma-separated list contains `aToken`.
bool
listContains(std::string_view aList, std::string_view aToken)
{
  while (!aList.empty()) {
    const auto comma = aList.find(',');
    auto item = aList.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    if (sameHeaderName(item, aToken)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aList.remove_prefix(comma + 1);
  }
  return false;
}

} // namespace

bool
sameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

const std::string*
findHeader(const HeaderList& aHeaders, std::string_view aName)
{
  const auto found = std::ranges::find_if(
    aHeaders, [&](const Header& aHeader) { return sameHeaderName(aHeader.name, aName); });
  return found == aHeaders.end() ? nullptr : &found->value;
}

bool
isHopByHopHeader(const HeaderList& aHeaders, std::string_view aName)
{
  const bool standard =
    std::ranges::any_of(kHopByHopHeaders, [&](std::string_view aHeader) {
      return sameHeaderName(aHeader, aName);
    });
  return standard || std::ranges::any_of(aHeaders, [&](const Header& aHeader) {
           return sameHeaderName(aHeader.name, "connection") &&
                  listContains(aHeader.value, aName);
         });
}

} // namespace savoryrill::link
