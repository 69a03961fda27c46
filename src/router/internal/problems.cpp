#include "router/internal/problems.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace savoryrill::router {

namespace {

constexpr std::array<std::string_view, 12> kHopByHop{
  "Connection",
  "Keep-Alive",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Host",
  "Content-Length",
  "Expect",
};

using NameSet = std::set<std::string, http::CaseInsensitiveLess>;

NameSet
namesIn(const std::string& aConnectionHeader)
{
  NameSet names;
  std::istringstream list(aConnectionHeader);
  for (std::string name; std::getline(list, name, ',');) {
    std::erase_if(name, [](char aByte) { return aByte == ' ' || aByte == '\t'; });
    names.insert(name);
  }
  return names;
}

} // namespace

http::Response
problemResponse(const routing::Refusal& aRefusal, const std::string& aRequestId)
{
  http::Response response;
  response.status = routing::traitsOf(aRefusal.reason).status;
  response.headers["Content-Type"] = "application/problem+json";
  response.headers["X-Request-Id"] = aRequestId;
  if (const auto seconds = routing::retryAfterSeconds(aRefusal)) {
    response.headers["Retry-After"] = std::to_string(*seconds);
  }
  response.body = routing::problemJson(aRefusal, aRequestId);
  return response;
}

std::string
errorEvent(const routing::Refusal& aRefusal, const std::string& aRequestId)
{
  return "event: error\ndata: " + routing::problemJson(aRefusal, aRequestId) + "\n\n";
}

bool
isHopByHop(std::string_view aName)
{
  const http::CaseInsensitiveLess less;
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](std::string_view aHop) {
    return !less(aHop, aName) && !less(aName, aHop);
  });
}

http::Headers
endToEndHeaders(const http::Headers& aHeaders)
{
  const auto connection = aHeaders.find("Connection");
  const NameSet named =
    connection == aHeaders.end() ? NameSet() : namesIn(connection->second);
  http::Headers result;
  for (const auto& [name, value] : aHeaders) {
    if (!isHopByHop(name) && named.count(name) == 0) {
      result[name] = value;
    }
  }
  return result;
}

} // namespace savoryrill::router
