#pragma once

#include <string>
#include <vector>

#include "cli/program.h"

namespace savoryrill::cli {

/// Renders records with module report at the present wall-clock time. Thread safe.
std::string
renderReport(const std::vector<ProcessReport>& aReports, ReportFormat aFormat);

} // namespace savoryrill::cli
