#include <algorithm>
#include <vector>

#include "report/internal/text.h"
#include "report/report.h"

namespace savoryrill::report {

namespace {

constexpr double kSecondsPerHour = 3600;
constexpr double kPercent = 100;
constexpr std::int64_t kMillisecondsPerMinute = 60'000;

using Row = std::vector<std::string>;

/// Rows in aligned columns; the first row is the head.
std::string
table(const std::vector<Row>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string result;
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      std::string cell = printable(row[column]);
      cell.resize(widths[column] + 2, ' ');
      line += cell;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    result += line + "\n";
  }
  return result;
}

std::string
section(const std::string& aTitle, const std::vector<Row>& aRows)
{
  return aRows.size() < 2 ? "" : "\n" + aTitle + "\n" + table(aRows);
}

std::vector<Row>
objectiveRows(const Report& aReport)
{
  std::vector<Row> rows{
    { "deployment", "objective", "limit", "target", "good", "bad", "budget left" }
  };
  for (const auto* window : kWindowNames) {
    rows.front().push_back(std::string("burn ") + window);
  }
  rows.front().emplace_back("alert");
  for (const auto& objective : aReport.objectives) {
    const Count& count = objective.counts[kLongestWindow];
    Row row{ objective.deployment,
             nameOf(objective.kind),
             objective.limitMs ? std::to_string(*objective.limitMs) : "-",
             fixed(objective.target * kPercent, 2) + "%",
             std::to_string(count.good),
             std::to_string(count.bad),
             fixed(objective.budgetLeft * kPercent, 0) + "%" };
    for (const double burn : objective.burns) {
      row.push_back(fixed(burn, 2));
    }
    row.push_back(nameOf(objective.alert));
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<Row>
modelRows(const Report& aReport)
{
  std::vector<Row> rows{ { "model",
                           "loaded h",
                           "idle h",
                           "idle",
                           "cold loads",
                           "load p50",
                           "load p95",
                           "load max" } };
  for (const auto& model : aReport.models) {
    const Usage& usage = model.usage;
    const double share =
      usage.loadedSeconds > 0 ? usage.idleSeconds / usage.loadedSeconds : 0;
    rows.push_back({ model.name,
                     fixed(usage.loadedSeconds / kSecondsPerHour, 2),
                     fixed(usage.idleSeconds / kSecondsPerHour, 2),
                     fixed(share * kPercent, 0) + "%",
                     std::to_string(usage.coldLoads),
                     secondsText(percentile(model.loadTimesMs, 50)),
                     secondsText(percentile(model.loadTimesMs, 95)),
                     secondsText(percentile(model.loadTimesMs, 100)) });
  }
  return rows;
}

std::vector<Row>
deploymentRows(const Report& aReport)
{
  std::vector<Row> rows{
    { "deployment", "records since (UTC)", "longest cold start", "refusals by reason" }
  };
  for (const auto& deployment : aReport.deployments) {
    if (!deployment.firstMinute) {
      continue;
    }
    std::string refusals;
    for (const auto& [reason, number] : deployment.refusals) {
      refusals += (refusals.empty() ? "" : ", ") + reason + " " + std::to_string(number);
    }
    rows.push_back({ deployment.name,
                     timeText(*deployment.firstMinute * kMillisecondsPerMinute),
                     deployment.longestColdStartMs == 0
                       ? "-"
                       : secondsText(deployment.longestColdStartMs),
                     refusals.empty() ? "-" : refusals });
  }
  return rows;
}

std::vector<Row>
coldRows(const Report& aReport)
{
  std::vector<Row> rows{ { "load time", "loads" } };
  if (aReport.loadTimesMs.empty()) {
    return rows;
  }
  for (const auto& item : aReport.coldClasses) {
    rows.push_back({ item.belowMs == 0 ? "longer" : "below " + secondsText(item.belowMs),
                     std::to_string(item.loads) });
  }
  return rows;
}

} // namespace

std::string
toText(const Report& aReport)
{
  std::string result = "report of " + timeText(aReport.timeMs) + " UTC from " +
                       std::to_string(aReport.processes.size()) + " process runs\n";
  result +=
    section("objectives (counts and budget of the last 3 d)", objectiveRows(aReport));
  result +=
    section("accelerator time since the start of the controllers", modelRows(aReport));
  result += section("cold loads", coldRows(aReport));
  result += section("deployments (last 3 d)", deploymentRows(aReport));
  if (!aReport.findings.empty()) {
    result += "\nfindings\n";
  }
  for (const auto& finding : aReport.findings) {
    result += printable(finding) + "\n";
  }
  if (aReport.findingsLeftOut > 0) {
    result += "and " + std::to_string(aReport.findingsLeftOut) + " more\n";
  }
  return result;
}

} // namespace savoryrill::report
