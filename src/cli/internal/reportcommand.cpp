#include <algorithm>
#include <fstream>

#include "base/jsontext.h"
#include "cli/internal/operatorclient.h"
#include "cli/internal/recorddirectory.h"
#include "cli/internal/runcommands.h"

namespace savoryrill::cli {

namespace {

std::vector<ProcessReport>
reportsIn(const OperatorAnswers& aAnswers)
{
  std::vector<ProcessReport> result;
  for (const auto& answer : aAnswers) {
    if (answer.body) {
      result.push_back({ answer.address, answer.body.value() });
    }
  }
  return result;
}

std::string
merged(const std::vector<ProcessReport>& aReports)
{
  Json::Value result(Json::objectValue);
  result["processes"] = Json::Value(Json::arrayValue);
  for (const auto& report : aReports) {
    Json::Value entry(Json::objectValue);
    entry["operator"] = report.address;
    entry["report"] = report.record;
    result["processes"].append(std::move(entry));
  }
  return toCompactJson(result) + "\n";
}

Result<OperatorAnswers>
collect(const ReportCommand& aCommand, const Environment& aEnvironment)
{
  if (aCommand.operators.addresses.empty()) {
    return OperatorAnswers{};
  }
  const auto client = OperatorClient::create(aEnvironment, aCommand.operators);
  if (!client) {
    return client.as_failure();
  }
  return client.value().ask("GET", "/admin/v1/report");
}

/// Keeps the fetched records and adds those of earlier runs.
Result<void>
useDirectory(const std::string& aDirectory,
             std::vector<ProcessReport>& aReports,
             std::ostream& aErr)
{
  auto kept = keepRecords(aDirectory, aReports);
  if (!kept) {
    return kept;
  }
  auto earlier = readRecords(aDirectory);
  if (!earlier) {
    return earlier.as_failure();
  }
  for (const auto& finding : earlier.value().findings) {
    aErr << finding << "\n";
  }
  auto& reports = earlier.value().reports;
  // Fetched records are among the kept ones, unless they have no incarnation.
  for (auto& report : aReports) {
    const bool known =
      std::any_of(reports.begin(), reports.end(), [&](const auto& aKept) {
        return aKept.record == report.record;
      });
    if (!known) {
      reports.push_back(std::move(report));
    }
  }
  aReports = std::move(reports);
  return outcome::success();
}

Result<void>
print(const std::string& aText, const std::string& aPath, std::ostream& aOut)
{
  if (aPath.empty()) {
    aOut << aText;
    return outcome::success();
  }
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    return fail(ErrorCode::InvalidArgument, "cannot write " + aPath);
  }
  return outcome::success();
}

} // namespace

ExitCode
runReport(const ReportCommand& aCommand, const Environment& aEnvironment)
{
  const bool records = aCommand.format == ReportFormat::Records;
  if (!records && !aEnvironment.renderReport) {
    aEnvironment.err << "savoryrill report: this build offers --json only\n";
    return ExitCode::Usage;
  }
  const auto answers = collect(aCommand, aEnvironment);
  if (!answers) {
    aEnvironment.err << answers.error().message << "\n";
    return ExitCode::Usage;
  }
  auto reports = reportsIn(answers.value());
  Result<void> done = outcome::success();
  if (!aCommand.recordDirectory.empty()) {
    done = useDirectory(aCommand.recordDirectory, reports, aEnvironment.err);
  }
  // Fetched records are shown even if they could not be kept.
  const std::string text =
    records ? merged(reports) : aEnvironment.renderReport(reports, aCommand.format);
  const auto printed = print(text, aCommand.output, aEnvironment.out);
  const ExitCode failures = reportFailures(answers.value(), aEnvironment.err);
  for (const auto& step : { done, printed }) {
    if (!step) {
      aEnvironment.err << "savoryrill report: " << step.error().message << "\n";
    }
  }
  return done && printed ? failures : ExitCode::Usage;
}

} // namespace savoryrill::cli
