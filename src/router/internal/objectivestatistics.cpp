#include "router/internal/objectivestatistics.h"

#include <algorithm>

namespace savoryrill::router {

ObjectiveStatistics::Minute&
ObjectiveStatistics::minuteOf(const std::string& aDeployment, std::int64_t aMinute)
{
  auto& minutes = mDeployments[aDeployment];
  auto& minute = minutes[aMinute];
  if (minutes.size() > kMaxMinutes && minutes.begin()->first != aMinute) {
    minutes.erase(minutes.begin());
  }
  return minute;
}

void
ObjectiveStatistics::addResponse(const std::string& aDeployment, std::int64_t aMinute)
{
  ++minuteOf(aDeployment, aMinute).availability.good;
}

void
ObjectiveStatistics::addRefusal(const std::string& aDeployment,
                                routing::RefusalReason aReason,
                                std::int64_t aMinute)
{
  auto& minute = minuteOf(aDeployment, aMinute);
  ++minute.refusals[aReason];
  const bool caused_by_caller = aReason == routing::RefusalReason::IdempotencyKeyReused ||
                                aReason == routing::RefusalReason::RequestInProgress;
  minute.availability.bad += caused_by_caller ? 0 : 1;
}

void
ObjectiveStatistics::addFirstToken(const std::string& aDeployment,
                                   Duration aTime,
                                   const config::Objectives& aObjectives,
                                   std::int64_t aMinute)
{
  auto& count = minuteOf(aDeployment, aMinute).firstToken;
  ++(aTime <= aObjectives.firstToken ? count.good : count.bad);
}

void
ObjectiveStatistics::addColdStart(const std::string& aDeployment,
                                  Duration aTime,
                                  const config::Objectives& aObjectives,
                                  std::int64_t aMinute)
{
  auto& minute = minuteOf(aDeployment, aMinute);
  ++(aTime <= aObjectives.coldStart ? minute.coldStart.good : minute.coldStart.bad);
  minute.maxColdStartMs = std::max(minute.maxColdStartMs, toMs(aTime));
}

Json::Value
ObjectiveStatistics::toJson(const Count& aCount)
{
  Json::Value value(Json::objectValue);
  value["good"] = Json::UInt64(aCount.good);
  value["bad"] = Json::UInt64(aCount.bad);
  return value;
}

Json::Value
ObjectiveStatistics::toJson() const
{
  Json::Value deployments(Json::objectValue);
  for (const auto& [name, minutes] : mDeployments) {
    Json::Value list(Json::arrayValue);
    for (const auto& [number, minute] : minutes) {
      Json::Value entry(Json::objectValue);
      entry["minute"] = Json::Int64(number);
      entry["availability"] = toJson(minute.availability);
      entry["first_token"] = toJson(minute.firstToken);
      entry["cold_start"] = toJson(minute.coldStart);
      entry["longest_cold_start_ms"] = Json::Int64(minute.maxColdStartMs);
      entry["refusals"] = Json::objectValue;
      for (const auto& [reason, count] : minute.refusals) {
        entry["refusals"][std::string(nameOf(reason))] = Json::UInt64(count);
      }
      list.append(std::move(entry));
    }
    deployments[name]["minutes"] = std::move(list);
  }
  return deployments;
}

} // namespace savoryrill::router
