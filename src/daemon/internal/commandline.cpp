#include "daemon/commandline.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>

namespace savoryrill::daemon {

std::optional<std::string>
settingsPath(const char* aProcess, int aCount, const char** aArguments)
{
  char* settings_path = nullptr;
  const poptOption options[] = {
    { "settings", 's', POPT_ARG_STRING, &settings_path, 0, "settings file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext(aProcess, aCount, aArguments, options, 0), &poptFreeContext);
  const int parsed = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&std::free)> path(settings_path, &std::free);
  if (parsed < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(parsed) << '\n';
    return std::nullopt;
  }
  if (poptGetArg(context.get()) != nullptr || path == nullptr) {
    std::cerr << "usage: " << aProcess << " --settings FILE\n";
    return std::nullopt;
  }
  return std::string(path.get());
}

bool
acceptFindings(const config::Findings& aFindings)
{
  for (const auto& finding : aFindings) {
    std::cerr << config::toString(finding) << '\n';
  }
  return !config::hasErrors(aFindings);
}

int
runWithSettings(const char* aProcess,
                int aCount,
                const char** aArguments,
                int (*aRun)(const config::Settings&))
{
  const auto path = settingsPath(aProcess, aCount, aArguments);
  if (!path) {
    return kUsageError;
  }
  const auto checked = config::readSettings(*path);
  if (!checked.has_value()) {
    std::cerr << checked.error().message << '\n';
    return kUsageError;
  }
  if (!acceptFindings(checked.value().findings)) {
    return kUsageError;
  }
  // A write to a connection closed by its peer must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return aRun(checked.value().settings);
}

} // namespace savoryrill::daemon
