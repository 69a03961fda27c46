#include "base/jsontext.h"
#include "cli/internal/await.h"
#include "cli/internal/draintarget.h"
#include "cli/internal/operatorclient.h"
#include "cli/internal/runcommands.h"

namespace savoryrill::cli {

namespace {

constexpr int kMaxAttempts = 3;
constexpr Duration kRetryDelay = 300ms;
constexpr const char* kDrainValue = R"({"by":"operator"})";

/// The last result of a write that may be repeated without harm.
Result<platform::TransactionOutcome>
writeRow(const Environment& aEnvironment,
         platform::IPlatform& aPlatform,
         const platform::RowWrite& aWrite)
{
  bool maybe_written = false;
  for (int attempt = 1;; ++attempt) {
    auto outcome =
      await<platform::TransactionOutcome>(aEnvironment.loop, [&](auto aDone) {
        aPlatform.transact({ {}, { aWrite } }, std::move(aDone));
      });
    if (outcome) {
      return outcome;
    }
    maybe_written = maybe_written || outcome.error().code != ErrorCode::Unavailable;
    if (attempt >= kMaxAttempts) {
      return fail(maybe_written ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                  outcome.error().message);
    }
    pause(aEnvironment.loop, kRetryDelay);
  }
}

void
printOutcome(const DrainCommand& aCommand,
             const Environment& aEnvironment,
             const std::string& aTarget,
             const std::string& aOutcome)
{
  if (aCommand.json) {
    Json::Value result(Json::objectValue);
    result["target"] = aTarget;
    result["outcome"] = aOutcome;
    aEnvironment.out << toCompactJson(result) << "\n";
  } else {
    aEnvironment.out << aTarget << ": " << aOutcome << "\n";
  }
}

/// False if the drain must not go on. Only a drain is checked: its end may also concern a
/// name that has left the configuration.
bool
acceptTarget(const DrainCommand& aCommand,
             const Environment& aEnvironment,
             platform::IPlatform& aPlatform)
{
  if (aCommand.undo) {
    return true;
  }
  if (aCommand.upstream.empty()) {
    if (findHost(aEnvironment, aPlatform, aCommand.host) == TargetKnowledge::Unknown) {
      aEnvironment.err << "warning: the host list does not have " << aCommand.host
                       << " (yet)\n";
    }
    return true;
  }
  switch (findUpstream(aEnvironment, aPlatform, aCommand.upstream)) {
    case TargetKnowledge::Known:
      return true;
    case TargetKnowledge::Unreadable:
      aEnvironment.err << "warning: the configuration in force cannot be read, so "
                       << aCommand.upstream << " was not checked\n";
      return true;
    case TargetKnowledge::Unknown:
      break;
  }
  aEnvironment.err << "the configuration in force has no upstream " << aCommand.upstream
                   << "\n";
  return false;
}

ExitCode
drainByRow(const DrainCommand& aCommand, const Environment& aEnvironment)
{
  auto platform = aEnvironment.connectPlatform(aCommand.platform);
  if (!platform) {
    aEnvironment.err << platform.error().message << "\n";
    return ExitCode::Usage;
  }
  if (!acceptTarget(aCommand, aEnvironment, *platform.value())) {
    return ExitCode::Negative;
  }
  const std::string& name = aCommand.upstream.empty() ? aCommand.host : aCommand.upstream;
  platform::RowWrite write;
  write.key = "drain/" + name;
  if (!aCommand.undo) {
    write.value = kDrainValue;
  }
  const auto outcome = writeRow(aEnvironment, *platform.value(), write);
  if (!outcome) {
    aEnvironment.err << name << ": " << outcome.error().message << "\n";
    return exitCodeOf(outcome.error().code);
  }
  if (!outcome.value().committed) {
    aEnvironment.err << name << ": the platform refused the change\n";
    return ExitCode::Negative;
  }
  printOutcome(aCommand, aEnvironment, name, aCommand.undo ? "drain ended" : "draining");
  return ExitCode::Success;
}

ExitCode
drainProcesses(const DrainCommand& aCommand, const Environment& aEnvironment)
{
  const auto client = OperatorClient::create(aEnvironment, aCommand.operators);
  if (!client) {
    aEnvironment.err << client.error().message << "\n";
    return ExitCode::Usage;
  }
  const auto answers = client.value().ask("POST", "/admin/v1/drain");
  for (const auto& answer : answers) {
    if (answer.body) {
      printOutcome(aCommand, aEnvironment, answer.address, "draining");
    }
  }
  return reportFailures(answers, aEnvironment.err);
}

} // namespace

ExitCode
runDrain(const DrainCommand& aCommand, const Environment& aEnvironment)
{
  return aCommand.operators.addresses.empty() ? drainByRow(aCommand, aEnvironment)
                                              : drainProcesses(aCommand, aEnvironment);
}

} // namespace savoryrill::cli
