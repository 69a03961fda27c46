#pragma once

#include <cstdint>

#include "base/types/error.h"

namespace savoryrill::daemon {

/// A number for this process, in microseconds of the wall clock. Later processes of a
/// host need higher numbers, since state entries of the higher epoch win. Thread safe.
std::uint64_t
processIncarnation();

/// Prints why a process could not start on standard error; returns its exit status, 1.
/// Thread safe.
int
reportStartFailure(const char* aProcess, const Error& aError);

} // namespace savoryrill::daemon
