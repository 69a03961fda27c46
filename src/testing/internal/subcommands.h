#pragma once

#include "base/result.h"

namespace savoryrill::testing {

// The subcommands of savoryrill-testbed. Each reads its options, runs until it is told to
// stop, and returns the exit status. Fails with the reason if it cannot start.

Result<int>
runPlatform(int aCount, const char** aArguments);

Result<int>
runEngine(int aCount, const char** aArguments);

Result<int>
runService(int aCount, const char** aArguments);

Result<int>
runFaultProxy(int aCount, const char** aArguments);

Result<int>
runLoad(int aCount, const char** aArguments);

} // namespace savoryrill::testing
