#include "serving/successor.h"

namespace savoryrill::serving {

namespace {

// Processes that started within this time of each other count as started together, as
// when all hosts start at once.
constexpr Duration kSameStart = 1s;

} // namespace

std::string
chooseSuccessor(const std::vector<SuccessorCandidate>& aCandidates, Duration aOwnUptime)
{
  const SuccessorCandidate* youngest = nullptr;
  for (const auto& candidate : aCandidates) {
    if (candidate.uptime + kSameStart < aOwnUptime &&
        (youngest == nullptr || candidate.uptime < youngest->uptime)) {
      youngest = &candidate;
    }
  }
  return youngest == nullptr ? "" : youngest->host;
}

} // namespace savoryrill::serving
