#include "cli/internal/recorddirectory.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/jsontext.h"
#include "cli/internal/confighead.h"
#include "cli/internal/textfile.h"

namespace savoryrill::cli {

namespace {

namespace fs = std::filesystem;

constexpr const char* kExtension = ".jsonl";

/// Empty for a record without an incarnation.
std::string
fileNameOf(const Json::Value& aRecord)
{
  const auto host = stringMember(aRecord, "host");
  const auto incarnation = unsignedMember<std::uint64_t>(aRecord, "incarnation");
  if (!host || !incarnation) {
    return "";
  }
  Json::Value key(Json::arrayValue);
  key.append(stringMember(aRecord, "process").value_or(""));
  key.append(*host);
  key.append(Json::UInt64(*incarnation));
  return sha256Of(toCompactJson(key)) + kExtension;
}

std::vector<std::string>
linesOf(const std::string& aText)
{
  std::vector<std::string> result;
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    result.push_back(line);
  }
  return result;
}

Result<void>
append(const fs::path& aPath, const std::string& aLine)
{
  std::string old;
  if (fs::exists(aPath)) {
    auto content = readTextFile(aPath.string());
    if (!content) {
      return content.as_failure();
    }
    old = std::move(content.value());
  }
  const auto lines = linesOf(old);
  if (std::find(lines.begin(), lines.end(), aLine) != lines.end()) {
    return outcome::success();
  }
  std::ofstream file(aPath, std::ios::binary | std::ios::app);
  // A run that was interrupted may have left half a line.
  if (!old.empty() && old.back() != '\n') {
    file << '\n';
  }
  file << aLine << '\n';
  file.close();
  if (!file) {
    return fail(ErrorCode::InvalidArgument, "cannot write " + aPath.string());
  }
  return outcome::success();
}

} // namespace

Result<void>
keepRecords(const std::string& aDirectory, const std::vector<ProcessReport>& aReports)
{
  std::error_code error;
  fs::create_directories(aDirectory, error);
  if (error) {
    return fail(ErrorCode::InvalidArgument,
                "cannot create " + aDirectory + ": " + error.message());
  }
  for (const auto& report : aReports) {
    const std::string name = fileNameOf(report.record);
    if (name.empty()) {
      continue;
    }
    auto done = append(fs::path(aDirectory) / name, toCompactJson(report.record));
    if (!done) {
      return done;
    }
  }
  return outcome::success();
}

Result<KeptRecords>
readRecords(const std::string& aDirectory)
{
  std::error_code error;
  std::vector<fs::path> paths;
  fs::directory_iterator entries(aDirectory, error);
  while (!error && entries != fs::directory_iterator()) {
    if (entries->path().extension() == kExtension) {
      paths.push_back(entries->path());
    }
    entries.increment(error);
  }
  if (error) {
    return fail(ErrorCode::InvalidArgument,
                "cannot read " + aDirectory + ": " + error.message());
  }
  std::sort(paths.begin(), paths.end());
  KeptRecords result;
  for (const auto& path : paths) {
    const auto content = readTextFile(path.string());
    if (!content) {
      return content.as_failure();
    }
    std::size_t number = 0;
    for (const auto& line : linesOf(content.value())) {
      const std::string source = path.string() + ":" + std::to_string(++number);
      auto record = parseJson(line);
      if (record) {
        result.reports.push_back({ source, std::move(record.value()) });
      } else {
        result.findings.push_back(source + ": " + record.error().message);
      }
    }
  }
  return result;
}

} // namespace savoryrill::cli
