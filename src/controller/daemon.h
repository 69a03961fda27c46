#pragma once

#include "config/settings.h"

namespace savoryrill::controller {

/// Runs a controller process until it is stopped: SIGTERM or SIGINT starts the graceful
/// shutdown, a second signal ends the process at once. Returns the exit status: 0 if all
/// upstreams were handed over, 1 otherwise or if the process could not start.
/// Precondition: the settings have no errors.
int
runDaemon(const config::Settings& aSettings);

} // namespace savoryrill::controller
