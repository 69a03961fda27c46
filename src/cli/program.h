#pragma once

#include <functional>
#include <json/json.h>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/result.h"
#include "cli/types/commands.h"
#include "cli/types/exitcode.h"
#include "event/loop.h"
#include "http/client.h"
#include "platform/iplatform.h"

namespace savoryrill::cli {

/// Report records of one process, as its operator port gave them.
struct ProcessReport
{
  std::string address;
  Json::Value record;
};

/// What the commands work with.
struct Environment
{
  std::ostream& out;
  std::ostream& err;
  event::Loop& loop;
  http::Client& http;
  /// Connects to the platform at numeric addresses and ports.
  std::function<Result<std::unique_ptr<platform::IPlatform>>(std::vector<std::string>)>
    connectPlatform;
  /// Renders collected records as text, JSON or HTML. Optional: without it, `report`
  /// offers --json only.
  std::function<std::string(const std::vector<ProcessReport>&, ReportFormat)>
    renderReport;
};

/// Runs the operator command line. Blocks on the loop until the command has ended. Not
/// thread safe.
ExitCode
run(int aArgc, const char* const* aArgv, const Environment& aEnvironment);

} // namespace savoryrill::cli
