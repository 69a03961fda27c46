#include "base/jsontext.h"
#include "cli/internal/findingoutput.h"
#include "cli/internal/runcommands.h"
#include "cli/internal/textfile.h"
#include "config/settings.h"

namespace savoryrill::cli {

namespace {

Result<config::Findings>
collectFindings(const CheckCommand& aCommand)
{
  config::Findings findings;
  if (!aCommand.files.base.empty()) {
    const auto bundle = readBundle(aCommand.files);
    if (!bundle) {
      return bundle.as_failure();
    }
    findings = config::checkBundle(bundle.value()).findings;
  }
  if (!aCommand.settings.empty()) {
    const auto text = readTextFile(aCommand.settings);
    if (!text) {
      return text.as_failure();
    }
    const auto checked = config::checkSettings(aCommand.settings, text.value());
    findings.insert(findings.end(), checked.findings.begin(), checked.findings.end());
  }
  return findings;
}

} // namespace

ExitCode
runCheck(const CheckCommand& aCommand, const Environment& aEnvironment)
{
  const auto findings = collectFindings(aCommand);
  if (!findings) {
    aEnvironment.err << findings.error().message << "\n";
    return ExitCode::Usage;
  }
  const bool errors = config::hasErrors(findings.value());
  if (aCommand.json) {
    Json::Value result(Json::objectValue);
    result["ok"] = !errors;
    result["findings"] = toJson(findings.value());
    aEnvironment.out << toCompactJson(result) << "\n";
  } else {
    print(findings.value(), aEnvironment.out);
  }
  return errors ? ExitCode::Negative : ExitCode::Success;
}

} // namespace savoryrill::cli
