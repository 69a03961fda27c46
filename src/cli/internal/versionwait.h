#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cli/internal/operatorclient.h"

namespace savoryrill::cli {

/// A process that does not have a configuration version yet.
struct LaggingProcess
{
  std::string address;
  std::string reason;
};

/// Polls processes until each of them shows at least `aVersion` or `aLimit` has passed.
/// Returns those that lack it.
std::vector<LaggingProcess>
waitForVersion(const Environment& aEnvironment,
               const OperatorClient& aClient,
               std::uint64_t aVersion,
               Duration aLimit);

} // namespace savoryrill::cli
