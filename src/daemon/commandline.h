#pragma once

#include <optional>
#include <string>

#include "config/settings.h"

namespace savoryrill::daemon {

/// Exit status for wrong usage, an unreadable file or settings with errors.
inline constexpr int kUsageError = 2;

/// Returns the settings file that a daemon's command line names (`--settings FILE`). For
/// wrong usage, prints a message on standard error and returns nullopt. Not thread safe.
std::optional<std::string>
settingsPath(const char* aProcess, int aCount, const char** aArguments);

/// Prints findings on standard error; returns false if one of them is an error. Thread
/// safe.
bool
acceptFindings(const config::Findings& aFindings);

/// Runs a daemon with the settings file that its command line names (`--settings FILE`),
/// and returns the exit status of `aRun`. Prints findings on standard error; returns
/// `kUsageError` without running for wrong usage, an unreadable file or settings with
/// errors. Not thread safe.
int
runWithSettings(const char* aProcess,
                int aCount,
                const char** aArguments,
                int (*aRun)(const config::Settings&));

} // namespace savoryrill::daemon
