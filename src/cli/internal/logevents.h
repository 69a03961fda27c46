#pragma once

#include <cstddef>
#include <json/json.h>
#include <string>
#include <vector>

#include "base/result.h"

namespace savoryrill::cli {

/// Events read from logs of processes.
struct LogEvents
{
  std::vector<Json::Value> events;
  std::size_t unreadableLines = 0;
};

/// Reads logs, each a file or "-" for standard input, and merges their events: those of a
/// process by its sequence, since its clock may jump, and those of different processes by
/// the time that each told last. Text before an event on its line is ignored. Fails with
/// InvalidArgument if a file cannot be read.
Result<LogEvents>
readLogs(const std::vector<std::string>& aPaths);

/// The events of a request and, between the first and the last of them, those that
/// decided it: orders for its model, changes of its upstreams, and what its hosts lost or
/// regained. Thread safe.
std::vector<Json::Value>
eventsAround(const std::vector<Json::Value>& aEvents, const std::string& aRequest);

} // namespace savoryrill::cli
