#include "cli/internal/findingoutput.h"

#include <algorithm>

namespace savoryrill::cli {

void
print(const config::Findings& aFindings, std::ostream& aOut)
{
  for (const auto& finding : aFindings) {
    aOut << config::toString(finding) << "\n";
  }
  const auto errors = std::count_if(
    aFindings.begin(), aFindings.end(), [](const config::Finding& aFinding) {
      return aFinding.level == config::FindingLevel::Error;
    });
  aOut << errors << " errors, " << static_cast<std::ptrdiff_t>(aFindings.size()) - errors
       << " warnings\n";
}

Json::Value
toJson(const config::Findings& aFindings)
{
  Json::Value result(Json::arrayValue);
  for (const auto& finding : aFindings) {
    Json::Value entry(Json::objectValue);
    entry["level"] = std::string(nameOf(finding.level));
    entry["file"] = finding.file;
    entry["line"] = finding.line;
    entry["key"] = finding.key;
    entry["message"] = finding.message;
    result.append(std::move(entry));
  }
  return result;
}

} // namespace savoryrill::cli
