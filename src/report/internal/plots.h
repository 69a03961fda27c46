#pragma once

#include <string>
#include <vector>

#include "report/types/report.h"

namespace savoryrill::report {

struct Bar
{
  std::string name;
  double value = 0;
  std::string label;
};

/// SVG of horizontal bars, or a paragraph that says that there are none. Texts are
/// escaped. Thread safe.
std::string
barPlot(const std::vector<Bar>& aBars, const std::string& aTitle);

/// SVG of the burn rate over time. Buckets without requests have a burn rate of 0. Thread
/// safe.
std::string
burnPlot(const ObjectiveReport& aObjective);

} // namespace savoryrill::report
