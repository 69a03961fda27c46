#pragma once

#include "cli/program.h"

namespace savoryrill::cli {

ExitCode
runCheck(const CheckCommand& aCommand, const Environment& aEnvironment);

ExitCode
runApply(const ApplyCommand& aCommand, const Environment& aEnvironment);

ExitCode
runStatus(const StatusCommand& aCommand, const Environment& aEnvironment);

ExitCode
runExplain(const ExplainCommand& aCommand, const Environment& aEnvironment);

ExitCode
runReport(const ReportCommand& aCommand, const Environment& aEnvironment);

ExitCode
runDrain(const DrainCommand& aCommand, const Environment& aEnvironment);

ExitCode
runKeygen(const KeygenCommand& aCommand, const Environment& aEnvironment);

} // namespace savoryrill::cli
