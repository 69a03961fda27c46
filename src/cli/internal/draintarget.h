#pragma once

#include <string>

#include "cli/program.h"

namespace savoryrill::cli {

enum class TargetKnowledge
{
  Known,
  Unknown,   // the platform certainly has no such name
  Unreadable // nothing could be read that would tell
};

/// Looks an upstream up in the configuration in force, so that a drain of a misspelt name
/// does not pass for a drain.
TargetKnowledge
findUpstream(const Environment& aEnvironment,
             platform::IPlatform& aPlatform,
             const std::string& aName);

/// Looks a host up in the host list, which lags: a new host may be missing.
TargetKnowledge
findHost(const Environment& aEnvironment,
         platform::IPlatform& aPlatform,
         const std::string& aName);

} // namespace savoryrill::cli
