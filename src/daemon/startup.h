#pragma once

#include <cstdint>

#include "base/types/error.h"

namespace savoryrill::daemon {

/// Incarnation number of this process: the wall clock time in microseconds. It must be
/// higher than that of earlier processes of the host: it is the epoch of state entries,
/// of which the one with the higher epoch replaces the other. Thread safe.
std::uint64_t
processIncarnation();

/// Prints on standard error why a process could not start; returns its exit status, 1.
/// Thread safe.
int
reportStartFailure(const char* aProcess, const Error& aError);

} // namespace savoryrill::daemon
