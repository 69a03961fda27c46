#pragma once

namespace savoryrill::testing {

/// Runs `savoryrill-testbed <subcommand> [options]` until SIGTERM or SIGINT (`load`:
/// until the last request has ended) and returns the exit status: 0, 1 if a load saw a
/// wrong answer, or 2 for bad arguments or an address that cannot be bound.
int
runTestbed(int aCount, const char** aArguments);

} // namespace savoryrill::testing
