#include <algorithm>
#include <vector>

#include "report/internal/plots.h"
#include "report/internal/text.h"
#include "report/report.h"

namespace savoryrill::report {

namespace {

constexpr double kSecondsPerHour = 3600;
constexpr double kPercent = 100;
constexpr std::int64_t kMillisecondsPerMinute = 60'000;
/// Bars of the plot by model; the table has all models.
constexpr std::size_t kMaxBars = 30;

constexpr const char* kHead =
  "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
  "<meta name=\"viewport\" content=\"width=device-width\">"
  "<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; "
  "style-src 'unsafe-inline'\"><title>savoryrill report</title>\n<style>\n"
  ":root{color-scheme:light dark;--fg:#1b1f24;--bg:#fff;--line:#c8ced6;--muted:#57606a;"
  "--bar:#2f6fb5;--bad:#b3261e;--warn:#8a5a00}\n"
  "@media(prefers-color-scheme:dark){:root{--fg:#e6e9ed;--bg:#14171a;--line:#3c444d;"
  "--muted:#9aa4af;--bar:#6ea8e6;--bad:#ff8a80;--warn:#f0b95a}}\n"
  "body{font:15px/1.45 system-ui,sans-serif;color:var(--fg);background:var(--bg);"
  "margin:2rem auto;max-width:75rem;padding:0 1rem}\n"
  ".wide{overflow-x:auto}table{border-collapse:collapse;font-variant-numeric:tabular-"
  "nums}"
  "th,td{padding:.25rem .6rem;border-bottom:1px solid var(--line);text-align:right;"
  "white-space:nowrap}th:first-child,td:first-child,.t{text-align:left}"
  "td:first-child,.t{white-space:normal;overflow-wrap:anywhere;min-width:10rem}\n"
  ".fast,.slow{color:var(--bad);font-weight:600}.ticket{color:var(--warn);"
  "font-weight:600}.muted{color:var(--muted)}\n"
  "svg text{fill:var(--fg);font:12px system-ui,sans-serif}svg .axis{stroke:var(--line)}"
  "svg .limit{stroke:var(--bad);stroke-dasharray:4 3}svg .bar{fill:var(--bar)}"
  "svg .burn{stroke:var(--bar);fill:none;stroke-width:1.5}\n</style></head><body>\n";

std::string
cell(const std::string& aText, const std::string& aClass = "")
{
  return (aClass.empty() ? "<td>" : "<td class=\"" + aClass + "\">") + escaped(aText) +
         "</td>";
}

std::string
tableStart(const std::vector<std::string>& aHeads)
{
  std::string result = "<div class=\"wide\"><table><thead><tr>";
  for (const auto& head : aHeads) {
    result += "<th>" + escaped(head) + "</th>";
  }
  return result + "</tr></thead><tbody>\n";
}

constexpr const char* kTableEnd = "</tbody></table></div>\n";

std::string
objectivesHtml(const Report& aReport)
{
  // The alert and the plot come first, as they are to be seen without scrolling.
  std::vector<std::string> heads{
    "deployment", "objective", "alert", "burn rate over time", "budget left", "limit",
    "target",     "good",      "bad"
  };
  for (const auto* window : kWindowNames) {
    heads.push_back(std::string("burn ") + window);
  }
  std::string result =
    "<h2>Objectives</h2>\n<p class=\"muted\">Counts and budget of the last 3 days. A "
    "burn "
    "rate of 1 spends exactly the error budget; the dashed line is 1.</p>\n" +
    tableStart(heads);
  for (const auto& objective : aReport.objectives) {
    const Count& count = objective.counts[kLongestWindow];
    const std::string alert = nameOf(objective.alert);
    result += "<tr>" + cell(objective.deployment) + cell(nameOf(objective.kind)) +
              cell(alert, alert) + "<td>" + burnPlot(objective) + "</td>" +
              cell(fixed(objective.budgetLeft * kPercent, 0) + "%") +
              cell(objective.limitMs ? std::to_string(*objective.limitMs) + " ms" : "-") +
              cell(fixed(objective.target * kPercent, 2) + "%") +
              cell(std::to_string(count.good)) + cell(std::to_string(count.bad));
    for (const double burn : objective.burns) {
      result += cell(fixed(burn, 2));
    }
    result += "</tr>\n";
  }
  return result + kTableEnd;
}

std::string
modelsHtml(const Report& aReport)
{
  std::vector<Bar> bars;
  for (const auto& model : aReport.models) {
    const double hours = model.usage.idleSeconds / kSecondsPerHour;
    if (hours > 0 && bars.size() < kMaxBars) {
      bars.push_back({ model.name, hours, fixed(hours, 2) + " h" });
    }
  }
  std::string result =
    "<h2>Idle accelerator hours by model</h2>\n<p class=\"muted\">Replica time since the "
    "start of the controllers.</p>\n" +
    barPlot(bars, "Idle hours by model") +
    tableStart({ "model",
                 "loaded h",
                 "idle h",
                 "cold loads",
                 "load p50",
                 "load p95",
                 "load max" });
  for (const auto& model : aReport.models) {
    result += "<tr>" + cell(model.name) +
              cell(fixed(model.usage.loadedSeconds / kSecondsPerHour, 2)) +
              cell(fixed(model.usage.idleSeconds / kSecondsPerHour, 2)) +
              cell(std::to_string(model.usage.coldLoads)) +
              cell(secondsText(percentile(model.loadTimesMs, 50))) +
              cell(secondsText(percentile(model.loadTimesMs, 95))) +
              cell(secondsText(percentile(model.loadTimesMs, 100))) + "</tr>\n";
  }
  return result + kTableEnd;
}

std::string
refusalsHtml(const Report& aReport)
{
  std::vector<Bar> bars;
  for (const auto& [reason, number] : aReport.refusals) {
    bars.push_back({ reason, static_cast<double>(number), std::to_string(number) });
  }
  std::string result =
    "<h2>Refusals by reason</h2>\n" + barPlot(bars, "Refusals by reason") +
    tableStart({ "deployment", "records since (UTC)", "longest cold start", "refusals" });
  for (const auto& deployment : aReport.deployments) {
    if (!deployment.firstMinute) {
      continue;
    }
    std::string refusals;
    for (const auto& [reason, number] : deployment.refusals) {
      refusals += (refusals.empty() ? "" : ", ") + reason + " " + std::to_string(number);
    }
    result += "<tr>" + cell(deployment.name) +
              cell(timeText(*deployment.firstMinute * kMillisecondsPerMinute)) +
              cell(deployment.longestColdStartMs == 0
                     ? "-"
                     : secondsText(deployment.longestColdStartMs)) +
              cell(refusals.empty() ? "-" : refusals, "t") + "</tr>\n";
  }
  return result + kTableEnd;
}

std::string
coldHtml(const Report& aReport)
{
  std::vector<Bar> bars;
  for (const auto& item : aReport.coldClasses) {
    bars.push_back({ item.belowMs == 0 ? "longer" : "below " + secondsText(item.belowMs),
                     static_cast<double>(item.loads),
                     std::to_string(item.loads) });
  }
  if (aReport.loadTimesMs.empty()) {
    bars.clear();
  }
  return "<h2>Cold loads</h2>\n<p>" + std::to_string(aReport.loadTimesMs.size()) +
         " loads; p50 " + secondsText(percentile(aReport.loadTimesMs, 50)) + ", p95 " +
         secondsText(percentile(aReport.loadTimesMs, 95)) + ", max " +
         secondsText(percentile(aReport.loadTimesMs, 100)) + "</p>\n" +
         barPlot(bars, "Cold loads by load time");
}

std::string
findingsHtml(const Report& aReport)
{
  if (aReport.findings.empty()) {
    return "";
  }
  std::string result = "<h2>Findings</h2>\n<ul>\n";
  for (const auto& finding : aReport.findings) {
    result += "<li>" + escaped(finding) + "</li>\n";
  }
  if (aReport.findingsLeftOut > 0) {
    result += "<li>and " + std::to_string(aReport.findingsLeftOut) + " more</li>\n";
  }
  return result + "</ul>\n";
}

} // namespace

std::string
toHtml(const Report& aReport)
{
  return kHead +
         ("<h1>savoryrill report</h1>\n<p>" + timeText(aReport.timeMs) + " UTC, from " +
          std::to_string(aReport.processes.size()) + " process runs</p>\n") +
         objectivesHtml(aReport) + modelsHtml(aReport) + coldHtml(aReport) +
         refusalsHtml(aReport) + findingsHtml(aReport) + "</body></html>\n";
}

} // namespace savoryrill::report
