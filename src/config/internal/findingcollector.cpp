#include "config/internal/findingcollector.h"

#include <algorithm>

namespace savoryrill::config {

namespace {

constexpr std::size_t kMaxFindings = 1000;

} // namespace

bool
FindingCollector::full() const
{
  return mFindings.size() >= kMaxFindings;
}

void
FindingCollector::add(Finding aFinding)
{
  const bool error = aFinding.level == FindingLevel::Error;
  if (full()) {
    mDropped = true;
    mErrors += error ? 1 : 0;
    return;
  }
  if (mSeen.insert(toString(aFinding)).second) {
    mErrors += error ? 1 : 0;
    mFindings.push_back(std::move(aFinding));
  }
}

Findings
FindingCollector::take()
{
  if (mDropped) {
    Finding last;
    last.level = mErrors > 0 ? FindingLevel::Error : FindingLevel::Warning;
    last.message =
      "only the first " + std::to_string(kMaxFindings) + " findings are listed";
    mFindings.push_back(std::move(last));
  }
  return std::move(mFindings);
}

std::string
toString(const Finding& aFinding)
{
  std::string result = aFinding.file;
  if (aFinding.line > 0) {
    result += ":" + std::to_string(aFinding.line);
  }
  if (!result.empty()) {
    result += ": ";
  }
  result += std::string(nameOf(aFinding.level)) + ": ";
  if (!aFinding.key.empty()) {
    result += aFinding.key + ": ";
  }
  return result + aFinding.message;
}

bool
hasErrors(const Findings& aFindings)
{
  return std::any_of(aFindings.begin(), aFindings.end(), [](const Finding& aFinding) {
    return aFinding.level == FindingLevel::Error;
  });
}

} // namespace savoryrill::config
