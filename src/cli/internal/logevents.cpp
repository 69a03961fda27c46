#include "cli/internal/logevents.h"

#include <algorithm>
#include <array>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

#include "base/jsontext.h"
#include "cli/internal/eventfields.h"

namespace savoryrill::cli {

namespace {

/// Events that say what a host believed, apart from single requests.
constexpr std::array<std::string_view, 9> kHostEvents{
  "process-started", "process-stopped", "gateway-ready",
  "config-in-force", "store-lost",      "store-regained",
  "drain-started",   "leader-changed",  "settings-reloaded"
};

std::uint64_t
sequenceOf(const Json::Value& aEvent)
{
  return unsignedMember<std::uint64_t>(aEvent, "sequence").value_or(0);
}

void
readLog(std::istream& aStream, LogEvents& aResult)
{
  for (std::string line; std::getline(aStream, line);) {
    const auto begin = line.find('{');
    if (begin == std::string::npos) {
      aResult.unreadableLines += line.empty() ? 0 : 1;
      continue;
    }
    auto event = parseJson(std::string_view(line).substr(begin));
    if (event && event.value().isObject() && event.value().isMember("event")) {
      aResult.events.push_back(std::move(event.value()));
    } else {
      ++aResult.unreadableLines;
    }
  }
}

/// A process that was started again counts from the beginning, so its lines are kept in
/// the order of the file from a start on.
std::map<std::string, std::deque<Json::Value>>
byProcess(std::vector<Json::Value> aEvents)
{
  std::map<std::string, std::vector<std::vector<Json::Value>>> starts;
  for (auto& event : aEvents) {
    auto& runs = starts[textOf(event, "process")];
    if (runs.empty() || textOf(event, "name") == "process-started") {
      runs.emplace_back();
    }
    runs.back().push_back(std::move(event));
  }
  std::map<std::string, std::deque<Json::Value>> result;
  for (auto& [process, runs] : starts) {
    for (auto& run : runs) {
      std::ranges::stable_sort(run, {}, sequenceOf);
      std::ranges::move(run, std::back_inserter(result[process]));
    }
  }
  return result;
}

std::vector<Json::Value>
merge(std::vector<Json::Value> aEvents)
{
  auto queues = byProcess(std::move(aEvents));
  std::vector<Json::Value> result;
  while (!queues.empty()) {
    const auto first = std::ranges::min_element(queues, {}, [](const auto& aQueue) {
      return numberOf(aQueue.second.front(), "time_ms");
    });
    result.push_back(std::move(first->second.front()));
    first->second.pop_front();
    if (first->second.empty()) {
      queues.erase(first);
    }
  }
  return result;
}

std::string
withoutAdapter(const std::string& aModel)
{
  return aModel.substr(0, aModel.find('/'));
}

bool
isOf(const Json::Value& aEvent, const std::string& aRequest)
{
  return textOf(aEvent, "call") == aRequest || textOf(aEvent, "request") == aRequest;
}

} // namespace

Result<LogEvents>
readLogs(const std::vector<std::string>& aPaths)
{
  LogEvents result;
  for (const auto& path : aPaths) {
    if (path == "-") {
      readLog(std::cin, result);
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      return fail(ErrorCode::InvalidArgument, "cannot read log " + path);
    }
    readLog(file, result);
  }
  result.events = merge(std::move(result.events));
  return result;
}

std::vector<Json::Value>
eventsAround(const std::vector<Json::Value>& aEvents, const std::string& aRequest)
{
  std::set<std::string> models;
  std::set<std::string> upstreams;
  std::set<std::string> hosts;
  std::size_t first = aEvents.size();
  std::size_t last = 0;
  for (std::size_t at = 0; at < aEvents.size(); ++at) {
    const auto& event = aEvents[at];
    if (!isOf(event, aRequest)) {
      continue;
    }
    first = std::min(first, at);
    last = at;
    models.insert(withoutAdapter(textOf(event, "model")));
    upstreams.insert(textOf(event, "upstream"));
    hosts.insert(textOf(event, "process"));
  }
  models.erase("");
  upstreams.erase("");
  std::vector<Json::Value> result;
  for (std::size_t at = first; at <= last && at < aEvents.size(); ++at) {
    const auto& event = aEvents[at];
    const auto name = textOf(event, "name");
    const bool order = name.starts_with("order-") &&
                       models.contains(withoutAdapter(textOf(event, "model")));
    const bool listed =
      name == "upstream-listed" && upstreams.contains(textOf(event, "upstream"));
    const bool host = hosts.contains(textOf(event, "process")) &&
                      std::ranges::find(kHostEvents, name) != kHostEvents.end();
    if (isOf(event, aRequest) || order || listed || host) {
      result.push_back(event);
    }
  }
  return result;
}

} // namespace savoryrill::cli
