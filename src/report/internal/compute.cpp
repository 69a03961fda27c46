#include "report/report.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace savoryrill::report {

namespace {

constexpr std::int64_t kMillisecondsPerMinute = 60'000;
/// Latency objectives hold for 95 in 100 requests.
constexpr double kLatencyTarget = 0.95;
/// Keeps the burn rate finite for a target of 1.
constexpr double kMinAllowed = 1e-6;
/// Buckets of a plot.
constexpr std::int64_t kSeriesPoints = 72;
/// Upper ends of the classes of load times, in ms. The last class is open.
constexpr std::array<std::uint64_t, 9> kColdClasses{ 1'000,  2'000,   4'000,
                                                     8'000,  15'000,  30'000,
                                                     60'000, 120'000, 0 };

constexpr std::size_t k5m = 0;
constexpr std::size_t k30m = 1;
constexpr std::size_t k1h = 2;
constexpr std::size_t k6h = 3;
constexpr std::size_t k3d = 4;
constexpr double kFastBurn = 14.4;
constexpr double kSlowBurn = 6;
constexpr double kTicketBurn = 1;

using Minutes = std::map<Minute, MinuteCounts>;

/// Sum over the minutes in (`aAfter`, `aLast`].
Count
sumOf(const Minutes& aMinutes, ObjectiveKind aKind, Minute aAfter, Minute aLast)
{
  Count result;
  const auto end = aMinutes.upper_bound(aLast);
  for (auto entry = aMinutes.upper_bound(aAfter); entry != end; ++entry) {
    const auto found = entry->second.objectives.find(aKind);
    if (found != entry->second.objectives.end()) {
      result.add(found->second);
    }
  }
  return result;
}

std::vector<BurnPoint>
seriesOf(const Minutes& aMinutes, const ObjectiveReport& aObjective, Minute aNow)
{
  const Minute window = kWindows[kLongestWindow];
  const auto first = aMinutes.upper_bound(aNow - window);
  if (first == aMinutes.end() || first->first > aNow) {
    return {};
  }
  const Minute span = aNow - first->first + 1;
  const Minute step = (span + kSeriesPoints - 1) / kSeriesPoints;
  std::vector<BurnPoint> result;
  for (Minute end = aNow - (span - 1) / step * step; end <= aNow; end += step) {
    const Count count = sumOf(aMinutes, aObjective.kind, end - step, end);
    result.push_back({ end, burnRate(count, aObjective.target), count.total() });
  }
  return result;
}

ObjectiveReport
objectiveOf(const std::string& aDeployment,
            ObjectiveKind aKind,
            const Objectives& aObjectives,
            const Minutes& aMinutes,
            Minute aNow)
{
  ObjectiveReport result;
  result.deployment = aDeployment;
  result.kind = aKind;
  result.target =
    aKind == ObjectiveKind::Availability ? aObjectives.availability : kLatencyTarget;
  if (aKind == ObjectiveKind::FirstToken) {
    result.limitMs = aObjectives.firstTokenMs;
  } else if (aKind == ObjectiveKind::ColdStart) {
    result.limitMs = aObjectives.coldStartMs;
  }
  for (std::size_t index = 0; index < kWindows.size(); ++index) {
    result.counts[index] = sumOf(aMinutes, aKind, aNow - kWindows[index], aNow);
    result.burns[index] = burnRate(result.counts[index], result.target);
  }
  result.budgetLeft = 1 - result.burns[kLongestWindow];
  result.alert = alertOf(result.burns);
  result.series = seriesOf(aMinutes, result, aNow);
  return result;
}

/// Counts of all processes together.
std::map<std::string, Minutes>
merged(const RecordStore& aStore)
{
  std::map<std::string, Minutes> result;
  for (const auto& [key, process] : aStore.processes()) {
    for (const auto& [name, minutes] : process.deployments) {
      for (const auto& [minute, counts] : minutes) {
        auto& sum = result[name][minute];
        for (const auto& [kind, count] : counts.objectives) {
          sum.objectives[kind].add(count);
        }
        for (const auto& [reason, number] : counts.refusals) {
          sum.refusals[reason] += number;
        }
        sum.longestColdStartMs =
          std::max(sum.longestColdStartMs, counts.longestColdStartMs);
      }
    }
  }
  return result;
}

void
addDeployment(const std::string& aName,
              const Minutes& aMinutes,
              const Objectives& aObjectives,
              Minute aNow,
              Report& aReport)
{
  for (const auto kind : { ObjectiveKind::Availability,
                           ObjectiveKind::FirstToken,
                           ObjectiveKind::ColdStart }) {
    auto objective = objectiveOf(aName, kind, aObjectives, aMinutes, aNow);
    // Services have no latency objectives, and many deployments no cold start.
    if (kind == ObjectiveKind::Availability ||
        objective.counts[kLongestWindow].total() > 0) {
      aReport.objectives.push_back(std::move(objective));
    }
  }
  DeploymentReport deployment;
  deployment.name = aName;
  const Minute window = kWindows[kLongestWindow];
  const auto end = aMinutes.upper_bound(aNow);
  for (auto entry = aMinutes.upper_bound(aNow - window); entry != end; ++entry) {
    if (!deployment.firstMinute) {
      deployment.firstMinute = entry->first;
    }
    for (const auto& [reason, number] : entry->second.refusals) {
      deployment.refusals[reason] += number;
      aReport.refusals[reason] += number;
    }
    deployment.longestColdStartMs =
      std::max(deployment.longestColdStartMs, entry->second.longestColdStartMs);
  }
  aReport.deployments.push_back(std::move(deployment));
}

void
addModels(const RecordStore& aStore, Report& aReport)
{
  std::map<std::string, ModelReport> models;
  for (const auto& [key, process] : aStore.processes()) {
    for (const auto& [name, usage] : process.models) {
      auto& sum = models[name].usage;
      sum.loadedSeconds += usage.loadedSeconds;
      sum.idleSeconds += usage.idleSeconds;
      sum.coldLoads += usage.coldLoads;
    }
    for (const auto& load : process.coldLoads) {
      models[load.model].loadTimesMs.push_back(load.durationMs);
      aReport.loadTimesMs.push_back(load.durationMs);
    }
  }
  for (auto& [name, model] : models) {
    model.name = name;
    std::sort(model.loadTimesMs.begin(), model.loadTimesMs.end());
    aReport.models.push_back(std::move(model));
  }
  std::stable_sort(aReport.models.begin(),
                   aReport.models.end(),
                   [](const ModelReport& aLeft, const ModelReport& aRight) {
                     return aLeft.usage.idleSeconds > aRight.usage.idleSeconds;
                   });
  std::sort(aReport.loadTimesMs.begin(), aReport.loadTimesMs.end());
  for (const auto limit : kColdClasses) {
    aReport.coldClasses.push_back({ limit, 0 });
  }
  for (const auto time : aReport.loadTimesMs) {
    const auto found = std::find_if(
      aReport.coldClasses.begin(), aReport.coldClasses.end(), [&](const auto& aClass) {
        return aClass.belowMs == 0 || time < aClass.belowMs;
      });
    ++found->loads;
  }
}

} // namespace

std::string
nameOf(Alert aAlert)
{
  switch (aAlert) {
    case Alert::Fast:
      return "fast";
    case Alert::Slow:
      return "slow";
    case Alert::Ticket:
      return "ticket";
    case Alert::None:
      break;
  }
  return "none";
}

std::string
nameOf(ObjectiveKind aKind)
{
  switch (aKind) {
    case ObjectiveKind::FirstToken:
      return "first_token_ms";
    case ObjectiveKind::ColdStart:
      return "cold_start_ms";
    case ObjectiveKind::Availability:
      break;
  }
  return "availability";
}

double
burnRate(const Count& aCount, double aTarget)
{
  if (aCount.bad == 0) {
    return 0;
  }
  const double share = static_cast<double>(aCount.bad) / aCount.total();
  return share / std::max(1 - aTarget, kMinAllowed);
}

Alert
alertOf(const std::array<double, kWindows.size()>& aBurns)
{
  const auto both = [&](std::size_t aLong, std::size_t aShort, double aRate) {
    return aBurns[aLong] >= aRate && aBurns[aShort] >= aRate;
  };
  if (both(k1h, k5m, kFastBurn)) {
    return Alert::Fast;
  }
  if (both(k6h, k30m, kSlowBurn)) {
    return Alert::Slow;
  }
  return both(k3d, k6h, kTicketBurn) ? Alert::Ticket : Alert::None;
}

std::optional<std::uint64_t>
percentile(const std::vector<std::uint64_t>& aSorted, unsigned aPercent)
{
  if (aSorted.empty()) {
    return std::nullopt;
  }
  constexpr std::size_t kHundred = 100;
  const std::size_t rank = (aSorted.size() * aPercent + kHundred - 1) / kHundred;
  return aSorted[std::min(rank == 0 ? 0 : rank - 1, aSorted.size() - 1)];
}

Report
compute(const RecordStore& aStore, std::int64_t aTimeMs)
{
  Report report;
  report.timeMs = aTimeMs;
  report.findings = aStore.findings();
  report.findingsLeftOut = aStore.findingsLeftOut();
  const Minute now = aTimeMs / kMillisecondsPerMinute;
  for (const auto& [key, process] : aStore.processes()) {
    report.processes.push_back({ key, process.dataCentre });
  }
  auto deployments = merged(aStore);
  for (const auto& [name, objectives] : aStore.objectives()) {
    deployments.try_emplace(name);
  }
  for (const auto& [name, minutes] : deployments) {
    const auto found = aStore.objectives().find(name);
    addDeployment(name,
                  minutes,
                  found == aStore.objectives().end() ? Objectives{} : found->second,
                  now,
                  report);
    if (!minutes.empty() && minutes.rbegin()->first > now + 1) {
      report.findings.push_back(
        "'" + name +
        "' has minutes in the future, which are left out; compare "
        "the clocks");
    }
  }
  addModels(aStore, report);
  return report;
}

} // namespace savoryrill::report
