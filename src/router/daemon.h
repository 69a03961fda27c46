#pragma once

#include "config/settings.h"

namespace savoryrill::router {

/// Runs a router process until it is stopped: SIGTERM or SIGINT starts the graceful
/// shutdown, a second signal ends it by refusing the remaining requests. Returns the exit
/// status: 0 if no request was refused for the shutdown, 1 otherwise or if the process
/// could not start.
/// Precondition: the settings have no errors.
int
runDaemon(const config::Settings& aSettings);

} // namespace savoryrill::router
