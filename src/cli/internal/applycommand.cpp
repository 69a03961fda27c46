#include <cstdio>
#include <random>

#include "base/jsontext.h"
#include "cli/internal/committer.h"
#include "cli/internal/findingoutput.h"
#include "cli/internal/runcommands.h"
#include "cli/internal/textfile.h"
#include "cli/internal/versionwait.h"
#include "config/bundle.h"

namespace savoryrill::cli {

namespace {

std::string
randomChangeId()
{
  std::random_device source;
  char buffer[24];
  std::snprintf(buffer, sizeof buffer, "%08x%08x", source(), source());
  return buffer;
}

ExitCode
exitCodeFor(CommitStatus aStatus)
{
  switch (aStatus) {
    case CommitStatus::Committed:
    case CommitStatus::AlreadyInForce:
    case CommitStatus::Replaced:
      return ExitCode::Success;
    case CommitStatus::Conflict:
      return ExitCode::Conflict;
    case CommitStatus::ChangeIdInUse:
      return ExitCode::Usage;
    case CommitStatus::NotReachable:
      return ExitCode::NotReachable;
    case CommitStatus::OutcomeUnknown:
      return ExitCode::OutcomeUnknown;
    case CommitStatus::HeadMalformed:
      return ExitCode::Negative;
  }
  return ExitCode::Negative;
}

std::string
sentenceFor(const CommitResult& aResult, const std::string& aChangeId)
{
  const std::string version = std::to_string(aResult.version);
  const std::string in_force = aResult.head
                                 ? "version " + std::to_string(aResult.head->version) +
                                     " of change " + aResult.head->changeId
                                 : "an unknown version";
  const std::string because = aResult.message.empty() ? "" : ": " + aResult.message;
  switch (aResult.status) {
    case CommitStatus::Committed:
      return "committed version " + version + " as change " + aChangeId;
    case CommitStatus::AlreadyInForce:
      return "already in force as " + in_force;
    case CommitStatus::Replaced:
      return "change " + aChangeId + " was committed as version " + version +
             " and has been replaced by " + in_force;
    case CommitStatus::Conflict:
      return "conflict: " + in_force + " is in force" + because;
    case CommitStatus::ChangeIdInUse:
      return "change id " + aChangeId + " was used for another configuration, version " +
             version;
    case CommitStatus::NotReachable:
      return "nothing was committed, the platform was not reached" + because;
    case CommitStatus::OutcomeUnknown:
      return "the outcome is unknown" + because + "; repeat with --change-id " +
             aChangeId;
    case CommitStatus::HeadMalformed:
      return "nothing was committed, row config/head is malformed" + because;
  }
  return "";
}

Json::Value
toJson(const CommitResult& aResult, const std::string& aChangeId)
{
  Json::Value result(Json::objectValue);
  result["outcome"] = std::string(nameOf(aResult.status));
  result["change_id"] = aChangeId;
  if (aResult.version > 0) {
    result["version"] = Json::UInt64(aResult.version);
  }
  if (aResult.head) {
    result["in_force"]["version"] = Json::UInt64(aResult.head->version);
    result["in_force"]["change_id"] = aResult.head->changeId;
  }
  if (!aResult.message.empty()) {
    result["message"] = aResult.message;
  }
  return result;
}

class Apply
{
public:
  Apply(const ApplyCommand& aCommand, const Environment& aEnvironment)
    : mCommand(aCommand)
    , mEnvironment(aEnvironment)
    , mChangeId(aCommand.changeId.empty() ? randomChangeId() : aCommand.changeId)
  {
  }

  ExitCode run()
  {
    const auto bundle = readBundle(mCommand.files);
    if (!bundle) {
      return usageError(bundle.error().message);
    }
    const auto checked = config::checkBundle(bundle.value());
    if (config::hasErrors(checked.findings)) {
      return refuse(checked.findings);
    }
    auto platform = mEnvironment.connectPlatform(mCommand.platform);
    if (!platform) {
      return usageError(platform.error().message);
    }
    // A wrong token file shows before the commit, not after it.
    std::optional<OperatorClient> client;
    if (mCommand.wait) {
      auto created = OperatorClient::create(mEnvironment, mCommand.operators);
      if (!created) {
        return usageError(created.error().message);
      }
      client = std::move(created.value());
    }
    CommitRequest request;
    request.bytes = config::serialise(bundle.value());
    request.changeId = mChangeId;
    request.expectVersion = mCommand.expectVersion;
    const CommitResult result =
      Committer(mEnvironment.loop, *platform.value(), std::move(request)).run();
    return finish(checked.findings, result, client);
  }

private:
  ExitCode usageError(const std::string& aMessage)
  {
    mEnvironment.err << aMessage << "\n";
    return ExitCode::Usage;
  }

  ExitCode refuse(const config::Findings& aFindings)
  {
    if (mCommand.json) {
      Json::Value result(Json::objectValue);
      result["outcome"] = "findings";
      result["findings"] = cli::toJson(aFindings);
      mEnvironment.out << toCompactJson(result) << "\n";
    } else {
      print(aFindings, mEnvironment.out);
      mEnvironment.out << "nothing was committed\n";
    }
    return ExitCode::Negative;
  }

  ExitCode finish(const config::Findings& aFindings,
                  const CommitResult& aResult,
                  const std::optional<OperatorClient>& aClient)
  {
    ExitCode code = exitCodeFor(aResult.status);
    std::vector<LaggingProcess> lagging;
    if (aClient && code == ExitCode::Success) {
      lagging =
        waitForVersion(mEnvironment, *aClient, aResult.version, mCommand.waitLimit);
      code = lagging.empty() ? code : ExitCode::Negative;
    }
    if (mCommand.json) {
      printJson(aFindings, aResult, lagging);
    } else {
      printText(aFindings, aResult, lagging);
    }
    return code;
  }

  void printJson(const config::Findings& aFindings,
                 const CommitResult& aResult,
                 const std::vector<LaggingProcess>& aLagging)
  {
    Json::Value result = toJson(aResult, mChangeId);
    result["findings"] = cli::toJson(aFindings);
    if (mCommand.wait) {
      result["lagging"] = Json::Value(Json::arrayValue);
    }
    for (const auto& process : aLagging) {
      Json::Value entry(Json::objectValue);
      entry["operator"] = process.address;
      entry["reason"] = process.reason;
      result["lagging"].append(std::move(entry));
    }
    mEnvironment.out << toCompactJson(result) << "\n";
  }

  void printText(const config::Findings& aFindings,
                 const CommitResult& aResult,
                 const std::vector<LaggingProcess>& aLagging)
  {
    if (!aFindings.empty()) {
      print(aFindings, mEnvironment.out);
    }
    mEnvironment.out << sentenceFor(aResult, mChangeId) << "\n";
    for (const auto& process : aLagging) {
      mEnvironment.out << "version " << aResult.version << " is not in force at "
                       << process.address << ": " << process.reason << "\n";
    }
    const bool waited = mCommand.wait && exitCodeFor(aResult.status) == ExitCode::Success;
    if (waited && aLagging.empty()) {
      mEnvironment.out << "version " << aResult.version
                       << " or a later one is in force at all "
                       << mCommand.operators.addresses.size() << " processes\n";
    }
  }

  const ApplyCommand& mCommand;
  const Environment& mEnvironment;
  std::string mChangeId;
};

} // namespace

ExitCode
runApply(const ApplyCommand& aCommand, const Environment& aEnvironment)
{
  return Apply(aCommand, aEnvironment).run();
}

} // namespace savoryrill::cli
