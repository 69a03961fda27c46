#include "cli/internal/requestsummary.h"

#include <algorithm>
#include <numeric>

#include "cli/internal/eventfields.h"
#include "cli/internal/texttable.h"

namespace savoryrill::cli {

namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.9;
constexpr const char* kNoRoute = "-";

std::int64_t
quantile(std::vector<std::int64_t> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto at = aValues.begin() + static_cast<std::ptrdiff_t>(last * aShare);
  std::ranges::nth_element(aValues, at);
  return *at;
}

std::uint64_t
refusals(const RouteSummary& aRoute)
{
  return std::accumulate(
    aRoute.refused.begin(),
    aRoute.refused.end(),
    std::uint64_t{ 0 },
    [](std::uint64_t aSum, const auto& aReason) { return aSum + aReason.second; });
}

void
addAnswered(RouteSummary& aRoute, const Json::Value& aEvent)
{
  const auto waited = numberOf(aEvent, "waited_ms");
  ++aRoute.answered;
  aRoute.waitedMs.push_back(waited);
  aRoute.upstreamMs.push_back(numberOf(aEvent, "after_ms") - waited);
  const bool sent_again = numberOf(aEvent, "sends") > 1;
  aRoute.sentAgain += sent_again ? 1 : 0;
  // A resumed stream may have had its first event before it was sent again.
  if (const auto first_event = numberOf(aEvent, "first_event_ms");
      first_event > 0 && !sent_again) {
    aRoute.firstEventMs.push_back(first_event - waited);
    aRoute.longestPauseMs.push_back(numberOf(aEvent, "longest_pause_ms"));
  }
}

std::string
both(const std::vector<std::int64_t>& aValues)
{
  if (aValues.empty()) {
    return "-";
  }
  return std::to_string(quantile(aValues, kMedian)) + "/" +
         std::to_string(quantile(aValues, kTail));
}

} // namespace

std::uint64_t
RouteSummary::requests() const
{
  return answered + refusals(*this) + cut + callersLeft;
}

std::vector<RouteSummary>
summarizeRequests(const std::vector<Json::Value>& aEvents)
{
  std::map<std::string, RouteSummary> routes;
  for (const auto& event : aEvents) {
    const auto name = textOf(event, "name");
    const bool ends = name == "call-finished" || name == "call-refused" ||
                      name == "call-cut" || name == "call-left";
    if (!ends) {
      continue;
    }
    const auto given = textOf(event, "route");
    auto& route = routes[given.empty() ? kNoRoute : given];
    if (name == "call-finished") {
      addAnswered(route, event);
    } else if (name == "call-refused") {
      ++route.refused[textOf(event, "reason")];
    } else if (name == "call-cut") {
      ++route.cut;
    } else {
      ++route.callersLeft;
    }
  }
  std::vector<RouteSummary> result;
  for (auto& [name, route] : routes) {
    route.route = name;
    result.push_back(std::move(route));
  }
  return result;
}

void
printSummary(const std::vector<RouteSummary>& aRoutes, std::ostream& aOut)
{
  std::vector<TableRow> rows{ { "ROUTE",
                                "REQUESTS",
                                "ANSWERED",
                                "WAITED P50/P90 MS",
                                "UPSTREAM P50/P90 MS",
                                "FIRST EVENT P50/P90 MS",
                                "LONGEST PAUSE P50/P90 MS",
                                "SENT AGAIN",
                                "REFUSED",
                                "CUT",
                                "CALLER LEFT" } };
  std::vector<TableRow> reasons{ { "ROUTE", "REFUSED", "REASON" } };
  for (const auto& route : aRoutes) {
    rows.push_back({ route.route,
                     std::to_string(route.requests()),
                     std::to_string(route.answered),
                     both(route.waitedMs),
                     both(route.upstreamMs),
                     both(route.firstEventMs),
                     both(route.longestPauseMs),
                     std::to_string(route.sentAgain),
                     std::to_string(refusals(route)),
                     std::to_string(route.cut),
                     std::to_string(route.callersLeft) });
    for (const auto& [reason, count] : route.refused) {
      reasons.push_back({ route.route, std::to_string(count), reason });
    }
  }
  printTable(rows, aOut);
  if (reasons.size() > 1) {
    aOut << "\n";
    printTable(reasons, aOut);
  }
}

Json::Value
summaryJson(const std::vector<RouteSummary>& aRoutes)
{
  Json::Value result(Json::objectValue);
  result["routes"] = Json::Value(Json::arrayValue);
  for (const auto& route : aRoutes) {
    Json::Value item(Json::objectValue);
    item["route"] = route.route;
    item["requests"] = Json::UInt64(route.requests());
    item["answered"] = Json::UInt64(route.answered);
    item["waited_p50_ms"] = Json::Int64(quantile(route.waitedMs, kMedian));
    item["waited_p90_ms"] = Json::Int64(quantile(route.waitedMs, kTail));
    item["upstream_p50_ms"] = Json::Int64(quantile(route.upstreamMs, kMedian));
    item["upstream_p90_ms"] = Json::Int64(quantile(route.upstreamMs, kTail));
    if (!route.firstEventMs.empty()) {
      item["first_event_p50_ms"] = Json::Int64(quantile(route.firstEventMs, kMedian));
      item["first_event_p90_ms"] = Json::Int64(quantile(route.firstEventMs, kTail));
      item["longest_pause_p50_ms"] = Json::Int64(quantile(route.longestPauseMs, kMedian));
      item["longest_pause_p90_ms"] = Json::Int64(quantile(route.longestPauseMs, kTail));
    }
    item["sent_again"] = Json::UInt64(route.sentAgain);
    item["refused"] = Json::Value(Json::objectValue);
    for (const auto& [reason, count] : route.refused) {
      item["refused"][reason] = Json::UInt64(count);
    }
    item["cut"] = Json::UInt64(route.cut);
    item["callers_left"] = Json::UInt64(route.callersLeft);
    result["routes"].append(item);
  }
  return result;
}

} // namespace savoryrill::cli
