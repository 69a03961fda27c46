#pragma once

#include <string>
#include <vector>

#include "base/types/enumnames.h"

namespace savoryrill::config {

enum class FindingLevel
{
  Error,
  Warning
};

/// One remark on a configuration or settings file, with its place.
struct Finding
{
  FindingLevel level = FindingLevel::Error;
  std::string file;
  int line = 0;    // first line is 1; 0 if the finding concerns the whole file
  std::string key; // dotted path, such as `deployments.drift-diagnosis.max_replicas`
  std::string message;
};

using Findings = std::vector<Finding>;

/// `file:line: level: key: message`. Thread safe.
std::string
toString(const Finding& aFinding);

/// True if at least one finding is an error. Thread safe.
bool
hasErrors(const Findings& aFindings);

} // namespace savoryrill::config

namespace savoryrill {

template<>
struct EnumNames<config::FindingLevel>
{
  static constexpr EnumTable<config::FindingLevel, 2> kTable{ {
    { config::FindingLevel::Error, "error" },
    { config::FindingLevel::Warning, "warning" },
  } };
};

} // namespace savoryrill
