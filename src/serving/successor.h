#pragma once

#include <string>
#include <vector>

#include "base/types/time.h"

namespace savoryrill::serving {

// Choice of the host that a stopping leader names as its successor. It handles this load
// pattern: hosts are restarted one after the other, each change of leaders costs seconds
// without orders, and a successor that is still to be restarted costs them again.

/// A host that may lead.
struct SuccessorCandidate
{
  std::string host;
  Duration uptime = Duration::zero(); // of its process
};

/// Returns the host whose process started last, if that was after the start of the
/// leader, which has been up for `aOwnUptime`; else an empty name. Thread safe.
std::string
chooseSuccessor(const std::vector<SuccessorCandidate>& aCandidates, Duration aOwnUptime);

} // namespace savoryrill::serving
