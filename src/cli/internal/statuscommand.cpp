#include "base/jsontext.h"
#include "cli/internal/operatorclient.h"
#include "cli/internal/runcommands.h"
#include "cli/internal/texttable.h"

namespace savoryrill::cli {

namespace {

std::string
textOf(const Json::Value& aStatus, std::string_view aKey)
{
  const Json::Value& value = memberOf(aStatus, aKey);
  if (value.isBool()) {
    return value.asBool() ? "yes" : "no";
  }
  return value.isNull() || value.isObject() || value.isArray() ? "-" : value.asString();
}

/// All other numbers of the status, such as `upstreams=18`.
std::string
countsOf(const Json::Value& aStatus)
{
  std::string result;
  if (!aStatus.isObject()) {
    return result;
  }
  for (auto entry = aStatus.begin(); entry != aStatus.end(); ++entry) {
    const std::string key = entry.name();
    if (entry->isNumeric() && key != "config_version") {
      result += (result.empty() ? "" : " ") + key + "=" + entry->asString();
    }
  }
  return result;
}

void
printStatusTable(const OperatorAnswers& aAnswers, std::ostream& aOut)
{
  std::vector<TableRow> rows{
    { "operator", "process", "host", "data centre", "version", "ready", "counts" }
  };
  for (const auto& answer : aAnswers) {
    if (!answer.body) {
      rows.push_back({ answer.address, "-", "-", "-", "-", "-", "no answer" });
      continue;
    }
    const Json::Value& status = answer.body.value();
    rows.push_back({ answer.address,
                     textOf(status, "process"),
                     textOf(status, "host"),
                     textOf(status, "data_centre"),
                     textOf(status, "config_version"),
                     textOf(status, "ready"),
                     countsOf(status) });
  }
  printTable(rows, aOut);
}

Json::Value
toJson(const OperatorAnswers& aAnswers)
{
  Json::Value result(Json::arrayValue);
  for (const auto& answer : aAnswers) {
    Json::Value entry(Json::objectValue);
    entry["operator"] = answer.address;
    if (answer.body) {
      entry["status"] = answer.body.value();
    } else {
      entry["error"] = answer.body.error().message;
    }
    result.append(std::move(entry));
  }
  return result;
}

} // namespace

ExitCode
runStatus(const StatusCommand& aCommand, const Environment& aEnvironment)
{
  const auto client = OperatorClient::create(aEnvironment, aCommand.operators);
  if (!client) {
    aEnvironment.err << client.error().message << "\n";
    return ExitCode::Usage;
  }
  const auto answers = client.value().ask("GET", "/admin/v1/status");
  if (aCommand.json) {
    Json::Value result(Json::objectValue);
    result["processes"] = toJson(answers);
    aEnvironment.out << toCompactJson(result) << "\n";
  } else {
    printStatusTable(answers, aEnvironment.out);
  }
  return reportFailures(answers, aEnvironment.err);
}

} // namespace savoryrill::cli
