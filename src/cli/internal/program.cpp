#include "cli/program.h"

#include "cli/internal/commandline.h"
#include "cli/internal/runcommands.h"

namespace savoryrill::cli {

namespace {

struct Runner
{
  const Environment& environment;

  ExitCode operator()(const CheckCommand& aCommand) const
  {
    return runCheck(aCommand, environment);
  }
  ExitCode operator()(const ApplyCommand& aCommand) const
  {
    return runApply(aCommand, environment);
  }
  ExitCode operator()(const StatusCommand& aCommand) const
  {
    return runStatus(aCommand, environment);
  }
  ExitCode operator()(const ExplainCommand& aCommand) const
  {
    return runExplain(aCommand, environment);
  }
  ExitCode operator()(const ReportCommand& aCommand) const
  {
    return runReport(aCommand, environment);
  }
  ExitCode operator()(const DrainCommand& aCommand) const
  {
    return runDrain(aCommand, environment);
  }
  ExitCode operator()(const KeygenCommand& aCommand) const
  {
    return runKeygen(aCommand, environment);
  }
  ExitCode operator()(const VersionCommand&) const
  {
    environment.out << "savoryrill " SAVORYRILL_VERSION "\n";
    return ExitCode::Success;
  }
};

} // namespace

ExitCode
run(int aArgc, const char* const* aArgv, const Environment& aEnvironment)
{
  const std::vector<std::string> words(aArgv + (aArgc > 0 ? 1 : 0), aArgv + aArgc);
  const auto line = parseCommandLine(words);
  if (!line) {
    aEnvironment.err << line.error().message << "\n";
    return ExitCode::Usage;
  }
  if (const auto* help = std::get_if<HelpText>(&line.value())) {
    aEnvironment.out << help->text;
    return ExitCode::Success;
  }
  return std::visit(Runner{ aEnvironment }, std::get<Command>(line.value()));
}

} // namespace savoryrill::cli
