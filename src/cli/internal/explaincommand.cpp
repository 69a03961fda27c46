#include <algorithm>
#include <iterator>
#include <set>

#include "base/jsontext.h"
#include "cli/internal/explanation.h"
#include "cli/internal/logevents.h"
#include "cli/internal/operatorclient.h"
#include "cli/internal/requestsummary.h"
#include "cli/internal/runcommands.h"

namespace savoryrill::cli {

namespace {

/// Field that names the request in events.
constexpr const char* kRequestField = "request";

std::vector<Json::Value>
eventsIn(const OperatorAnswers& aAnswers)
{
  std::vector<Json::Value> result;
  for (const auto& answer : aAnswers) {
    if (!answer.body) {
      continue;
    }
    const Json::Value& events = memberOf(answer.body.value(), "events");
    if (!events.isArray()) {
      continue;
    }
    for (const auto& event : events) {
      if (event.isObject()) {
        result.push_back(event);
      }
    }
  }
  return inTimeOrder(std::move(result));
}

/// A query by request is answered from the field; a model has several forms of its name,
/// so that its events are selected here.
std::string
pathFor(const ExplainCommand& aCommand)
{
  const std::string path = "/admin/v1/events";
  return aCommand.request.empty()
           ? path + "?after=0"
           : path + "?key=" + kRequestField + "&value=" + encodeQuery(aCommand.request);
}

/// Adds the load events of the model that the request waited for. Processes that do not
/// answer have been reported for the first query.
void
addLoads(const OperatorClient& aClient, std::vector<Json::Value>& aEvents)
{
  const auto wait = waitForLoad(aEvents);
  if (!wait) {
    return;
  }
  for (const auto& model : std::set{ wait->model, wait->requested }) {
    auto loads = eventsIn(
      aClient.ask("GET", "/admin/v1/events?key=model&value=" + encodeQuery(model)));
    std::erase_if(
      loads, [&](const Json::Value& aEvent) { return !concernsWait(aEvent, *wait); });
    aEvents.insert(aEvents.end(), loads.begin(), loads.end());
  }
  aEvents = inTimeOrder(std::move(aEvents));
}

void
printExplanation(const ExplainCommand& aCommand,
                 const std::vector<Json::Value>& aEvents,
                 const std::string& aConclusion,
                 std::ostream& aOut)
{
  if (!aCommand.json) {
    for (const auto& event : aEvents) {
      aOut << lineOf(event) << "\n";
    }
    aOut << aConclusion << "\n";
    return;
  }
  Json::Value result(Json::objectValue);
  result["conclusion"] = aConclusion;
  result["events"] = Json::Value(Json::arrayValue);
  for (const auto& event : aEvents) {
    result["events"].append(event);
  }
  aOut << toCompactJson(result) << "\n";
}

ExitCode
summarizeLogs(const ExplainCommand& aCommand,
              const std::vector<Json::Value>& aEvents,
              const Environment& aEnvironment)
{
  const auto routes = summarizeRequests(aEvents);
  if (aCommand.json) {
    aEnvironment.out << toCompactJson(summaryJson(routes)) << "\n";
  } else {
    printSummary(routes, aEnvironment.out);
  }
  return routes.empty() ? ExitCode::Negative : ExitCode::Success;
}

ExitCode
explainLogs(const ExplainCommand& aCommand, const Environment& aEnvironment)
{
  auto logs = readLogs(aCommand.logs);
  if (!logs) {
    aEnvironment.err << logs.error().message << "\n";
    return ExitCode::Usage;
  }
  if (logs.value().unreadableLines > 0) {
    aEnvironment.err << logs.value().unreadableLines << " lines are no events\n";
  }
  auto& all = logs.value().events;
  if (aCommand.summary) {
    return summarizeLogs(aCommand, all, aEnvironment);
  }
  std::vector<Json::Value> events;
  std::string conclusion;
  if (aCommand.request.empty()) {
    std::ranges::copy_if(all, std::back_inserter(events), [&](const Json::Value& aEvent) {
      return concernsModel(aEvent, aCommand.model);
    });
    conclusion = concludeModel(events, aCommand.model);
  } else {
    events = eventsAround(all, aCommand.request);
    conclusion = concludeRequest(events, aCommand.request);
  }
  printExplanation(aCommand, events, conclusion, aEnvironment.out);
  return events.empty() ? ExitCode::Negative : ExitCode::Success;
}

} // namespace

ExitCode
runExplain(const ExplainCommand& aCommand, const Environment& aEnvironment)
{
  if (!aCommand.logs.empty()) {
    return explainLogs(aCommand, aEnvironment);
  }
  const auto client = OperatorClient::create(aEnvironment, aCommand.operators);
  if (!client) {
    aEnvironment.err << client.error().message << "\n";
    return ExitCode::Usage;
  }
  const auto answers = client.value().ask("GET", pathFor(aCommand));
  auto events = eventsIn(answers);
  const bool by_model = aCommand.request.empty();
  if (!by_model) {
    addLoads(client.value(), events);
  }
  if (by_model) {
    std::erase_if(events, [&](const Json::Value& aEvent) {
      return !concernsModel(aEvent, aCommand.model);
    });
  }
  const std::string conclusion = by_model ? concludeModel(events, aCommand.model)
                                          : concludeRequest(events, aCommand.request);
  printExplanation(aCommand, events, conclusion, aEnvironment.out);
  const ExitCode failures = reportFailures(answers, aEnvironment.err);
  if (failures == ExitCode::Success && events.empty()) {
    return ExitCode::Negative;
  }
  return failures;
}

} // namespace savoryrill::cli
