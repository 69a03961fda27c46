#pragma once

#include <cstdint>
#include <json/json.h>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace savoryrill::cli {

/// Where the time of a route's requests went and why some of them were not answered, from
/// the events of gateways.
struct RouteSummary
{
  std::string route;
  std::uint64_t answered = 0;           // with an upstream's response
  std::vector<std::int64_t> waitedMs;   // of these, until they were sent last
  std::vector<std::int64_t> upstreamMs; // of these, from there to the end
  /// Of streams that were sent once: from the send to the first event, and the longest
  /// time between two events.
  std::vector<std::int64_t> firstEventMs;
  std::vector<std::int64_t> longestPauseMs;
  std::uint64_t sentAgain = 0;                  // of these, more than once
  std::map<std::string, std::uint64_t> refused; // by reason
  std::uint64_t cut = 0;                        // begun and not completed
  std::uint64_t callersLeft = 0;

  /// Requests of the route, with those that were not answered.
  std::uint64_t requests() const;
};

/// Routes by name; requests that matched no route stand under "-". Thread safe.
std::vector<RouteSummary>
summarizeRequests(const std::vector<Json::Value>& aEvents);

/// Prints a table of the routes and, below it, the reasons of refusals.
void
printSummary(const std::vector<RouteSummary>& aRoutes, std::ostream& aOut);

/// The same as JSON. Thread safe.
Json::Value
summaryJson(const std::vector<RouteSummary>& aRoutes);

} // namespace savoryrill::cli
