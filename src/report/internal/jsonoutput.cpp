#include <json/json.h>

#include "base/jsontext.h"
#include "report/report.h"

namespace savoryrill::report {

namespace {

/// Changes when a member is removed or gets another meaning; new members may appear.
constexpr unsigned kFormatVersion = 1;
constexpr std::int64_t kMillisecondsPerMinute = 60'000;

Json::Value
timesJson(const std::vector<std::uint64_t>& aTimes)
{
  Json::Value result(Json::objectValue);
  result["loads"] = Json::UInt64(aTimes.size());
  for (const auto& [name, percent] : { std::pair("p50_ms", 50U),
                                       std::pair("p95_ms", 95U),
                                       std::pair("max_ms", 100U) }) {
    const auto time = percentile(aTimes, percent);
    result[name] = time ? Json::Value(Json::UInt64(*time)) : Json::Value();
  }
  return result;
}

Json::Value
refusalsJson(const std::map<std::string, std::uint64_t>& aRefusals)
{
  Json::Value result(Json::objectValue);
  for (const auto& [reason, number] : aRefusals) {
    result[reason] = Json::UInt64(number);
  }
  return result;
}

Json::Value
objectiveJson(const ObjectiveReport& aObjective)
{
  Json::Value result(Json::objectValue);
  result["deployment"] = aObjective.deployment;
  result["objective"] = nameOf(aObjective.kind);
  result["target"] = aObjective.target;
  result["limit_ms"] =
    aObjective.limitMs ? Json::Value(Json::UInt64(*aObjective.limitMs)) : Json::Value();
  result["budget_left"] = aObjective.budgetLeft;
  result["alert"] = nameOf(aObjective.alert);
  for (std::size_t index = 0; index < kWindows.size(); ++index) {
    auto& window = result["windows"][kWindowNames[index]];
    window["good"] = Json::UInt64(aObjective.counts[index].good);
    window["bad"] = Json::UInt64(aObjective.counts[index].bad);
    window["burn"] = aObjective.burns[index];
  }
  result["series"] = Json::Value(Json::arrayValue);
  for (const auto& point : aObjective.series) {
    Json::Value entry(Json::objectValue);
    entry["end_ms"] = Json::Int64((point.endMinute + 1) * kMillisecondsPerMinute);
    entry["burn"] = point.burn;
    entry["requests"] = Json::UInt64(point.requests);
    result["series"].append(std::move(entry));
  }
  return result;
}

Json::Value
modelJson(const ModelReport& aModel)
{
  Json::Value result = timesJson(aModel.loadTimesMs);
  result["model"] = aModel.name;
  result["loaded_s"] = aModel.usage.loadedSeconds;
  result["idle_s"] = aModel.usage.idleSeconds;
  result["cold_loads"] = Json::UInt64(aModel.usage.coldLoads);
  return result;
}

Json::Value
deploymentJson(const DeploymentReport& aDeployment)
{
  Json::Value result(Json::objectValue);
  result["deployment"] = aDeployment.name;
  result["first_ms"] =
    aDeployment.firstMinute
      ? Json::Value(Json::Int64(*aDeployment.firstMinute * kMillisecondsPerMinute))
      : Json::Value();
  result["longest_cold_start_ms"] = Json::UInt64(aDeployment.longestColdStartMs);
  result["refusals"] = refusalsJson(aDeployment.refusals);
  return result;
}

Json::Value
processJson(const ProcessReport& aProcess)
{
  Json::Value result(Json::objectValue);
  result["process"] = aProcess.key.process;
  result["host"] = aProcess.key.host;
  result["data_centre"] = aProcess.dataCentre;
  result["incarnation"] = Json::UInt64(aProcess.key.incarnation);
  return result;
}

template<typename Items, typename Convert>
Json::Value
listOf(const Items& aItems, Convert aConvert)
{
  Json::Value result(Json::arrayValue);
  for (const auto& item : aItems) {
    result.append(aConvert(item));
  }
  return result;
}

} // namespace

std::string
toJson(const Report& aReport)
{
  Json::Value result(Json::objectValue);
  result["format_version"] = kFormatVersion;
  result["time_ms"] = Json::Int64(aReport.timeMs);
  result["processes"] = listOf(aReport.processes, &processJson);
  result["objectives"] = listOf(aReport.objectives, &objectiveJson);
  result["deployments"] = listOf(aReport.deployments, &deploymentJson);
  result["models"] = listOf(aReport.models, &modelJson);
  result["refusals"] = refusalsJson(aReport.refusals);
  result["cold_loads"] = timesJson(aReport.loadTimesMs);
  result["cold_loads"]["classes"] =
    listOf(aReport.coldClasses, [](const ColdClass& aClass) {
      Json::Value entry(Json::objectValue);
      entry["below_ms"] =
        aClass.belowMs == 0 ? Json::Value() : Json::Value(Json::UInt64(aClass.belowMs));
      entry["loads"] = Json::UInt64(aClass.loads);
      return entry;
    });
  result["findings"] =
    listOf(aReport.findings, [](const std::string& aText) { return Json::Value(aText); });
  result["findings_left_out"] = Json::UInt64(aReport.findingsLeftOut);
  return toCompactJson(result) + "\n";
}

} // namespace savoryrill::report
