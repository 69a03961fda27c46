#include "cli/internal/commandline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "cli/internal/optionparser.h"
#include "config/address.h"

namespace savoryrill::cli {

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::uint64_t kMaxWaitSeconds = 86'400;

std::optional<std::uint64_t>
parseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

/// Identifiers become parts of row keys and queries.
bool
isIdentifier(const std::string& aText)
{
  const auto plain = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
           aCharacter == '-' || aCharacter == '_';
  };
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::all_of(aText.begin(), aText.end(), plain);
}

void
addIdentifier(OptionParser& aParser,
              const char* aName,
              const char* aArgument,
              const char* aHelp,
              std::string& aTarget)
{
  aParser.value(aName, aArgument, aHelp, [&aTarget](const std::string& aText) {
    aTarget = aText;
    return std::string(
      isIdentifier(aText) ? "" : "must be 1 to 128 letters, digits, '.', '-' and '_'");
  });
}

void
addAddresses(OptionParser& aParser,
             const char* aName,
             const char* aHelp,
             std::vector<std::string>& aTarget)
{
  aParser.value(aName, "ADDRESS:PORT", aHelp, [&aTarget](const std::string& aText) {
    aTarget.push_back(aText);
    const auto address = config::parseAddress(aText);
    return std::string(
      address && address->port != 0 ? "" : "must be a numeric address and port");
  });
}

void
addJson(OptionParser& aParser, bool& aTarget)
{
  aParser.flag("json", "Print JSON", aTarget);
}

void
addOperators(OptionParser& aParser, OperatorTargets& aTarget)
{
  addAddresses(aParser,
               "operator",
               "Operator port of a router or controller; may be repeated",
               aTarget.addresses);
  aParser.text("token-file", "FILE", "File with the operator token", aTarget.tokenFile);
}

void
addPlatform(OptionParser& aParser, std::vector<std::string>& aTarget)
{
  addAddresses(aParser,
               "platform",
               "The platform's services; further ones are tried in turn",
               aTarget);
}

void
addFiles(OptionParser& aParser, BundleFiles& aTarget)
{
  aParser.text("base", "FILE", "Base file, shared by all sites", aTarget.base);
  aParser.value(
    "overlay",
    "SITE=FILE",
    "Overlay of one site; may be repeated",
    [&aTarget](const std::string& aText) -> std::string {
      const auto equals = aText.find('=');
      if (equals == std::string::npos || equals == 0 || equals + 1 == aText.size()) {
        return "must be SITE=FILE";
      }
      const std::string site = aText.substr(0, equals);
      const auto added = aTarget.overlays.emplace(site, aText.substr(equals + 1));
      return added.second ? "" : "names " + site + " twice";
    });
}

Result<ParsedLine>
usage(const std::string& aMessage)
{
  return fail(ErrorCode::InvalidArgument, "savoryrill " + aMessage);
}

/// Help, an error, or nothing if the command may go on.
std::optional<Result<ParsedLine>>
parsed(const OptionParser& aParser, const std::vector<std::string>& aWords)
{
  auto help = aParser.parse(aWords);
  if (!help) {
    return Result<ParsedLine>(help.as_failure());
  }
  if (!help.value().empty()) {
    return Result<ParsedLine>(ParsedLine(HelpText{ std::move(help.value()) }));
  }
  return std::nullopt;
}

std::string
missingOperators(const OperatorTargets& aTargets)
{
  if (aTargets.addresses.empty()) {
    return "needs --operator";
  }
  return aTargets.tokenFile.empty() ? "needs --token-file" : "";
}

Result<ParsedLine>
parseCheck(const std::vector<std::string>& aWords)
{
  CheckCommand command;
  OptionParser parser("savoryrill check",
                      "Checks a configuration, a settings file, or both, and prints all "
                      "findings.\nExit codes: 0 no errors, 1 errors, 2 usage.");
  addFiles(parser, command.files);
  parser.text("settings", "FILE", "Settings file of an entry host", command.settings);
  addJson(parser, command.json);
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  if (command.files.base.empty() && command.settings.empty()) {
    return usage("check: needs --base or --settings");
  }
  if (command.files.base.empty() && !command.files.overlays.empty()) {
    return usage("check: --overlay needs --base");
  }
  return ParsedLine(std::move(command));
}

Result<ParsedLine>
parseApply(const std::vector<std::string>& aWords)
{
  ApplyCommand command;
  OptionParser parser(
    "savoryrill apply",
    "Checks a configuration and commits it as the next version.\nExit codes: 0 committed "
    "or already in force, 1 findings or not in force everywhere,\n2 usage, 3 platform "
    "not "
    "reachable, 4 another change won, 5 outcome unknown (repeat with\nthe same "
    "--change-id).");
  addFiles(parser, command.files);
  addPlatform(parser, command.platform);
  parser.value("expect-version",
               "N",
               "Commit only if version N is in force",
               [&command](const std::string& aText) -> std::string {
                 command.expectVersion = parseNumber(aText);
                 return command.expectVersion ? "" : "must be a number";
               });
  addIdentifier(parser,
                "change-id",
                "ID",
                "Identifies this change; random if not given",
                command.changeId);
  parser.flag("wait", "Wait until the version is in force at --operator", command.wait);
  parser.value("wait-s",
               "SECONDS",
               "Longest wait; 30 if not given",
               [&command](const std::string& aText) -> std::string {
                 const auto seconds = parseNumber(aText);
                 if (!seconds || *seconds > kMaxWaitSeconds) {
                   return "must be a number up to 86400";
                 }
                 command.waitLimit = static_cast<std::int64_t>(*seconds) * Duration(1s);
                 return "";
               });
  addOperators(parser, command.operators);
  addJson(parser, command.json);
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  if (command.files.base.empty() || command.platform.empty()) {
    return usage("apply: needs --base and --platform");
  }
  const std::string missing = missingOperators(command.operators);
  if (command.wait && !missing.empty()) {
    return usage("apply: --wait " + missing);
  }
  return ParsedLine(std::move(command));
}

Result<ParsedLine>
parseStatus(const std::vector<std::string>& aWords)
{
  StatusCommand command;
  OptionParser parser("savoryrill status",
                      "Prints the state of processes.\nExit codes: 0 all answered, 1 a "
                      "process refused to answer, 2 usage, 3 a process was not reached.");
  addOperators(parser, command.operators);
  addJson(parser, command.json);
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  if (const auto missing = missingOperators(command.operators); !missing.empty()) {
    return usage("status: " + missing);
  }
  return ParsedLine(std::move(command));
}

Result<ParsedLine>
parseExplain(const std::vector<std::string>& aWords)
{
  ExplainCommand command;
  OptionParser parser(
    "savoryrill explain",
    "Prints what processes recorded on a request or model, in time order, with a "
    "conclusion.\nExit codes: 0 explained, 1 nothing recorded or a process refused to "
    "answer, 2 usage,\n3 a process was not reached.");
  addOperators(parser, command.operators);
  addIdentifier(parser, "request", "ID", "Request, by its X-Request-Id", command.request);
  parser.text("model", "NAME", "Model, by deployment or full name", command.model);
  parser.value("log",
               "FILE",
               "Read events from a log of any processes, - for standard input, instead "
               "of asking processes; repeatable",
               [&](const std::string& aFile) -> std::string {
                 command.logs.push_back(aFile);
                 return "";
               });
  parser.flag("summary",
              "Summarise all requests in logs by route: where their time went, and why "
              "some were not answered",
              command.summary);
  addJson(parser, command.json);
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  if (!command.logs.empty() && !command.operators.addresses.empty()) {
    return usage("explain: needs either --log or --operator");
  }
  const auto missing = missingOperators(command.operators);
  if (command.logs.empty() && !missing.empty()) {
    return usage("explain: " + missing);
  }
  const int subjects = (command.request.empty() ? 0 : 1) +
                       (command.model.empty() ? 0 : 1) + (command.summary ? 1 : 0);
  if (subjects != 1) {
    return usage("explain: needs either --request, --model or --summary");
  }
  if (command.summary && command.logs.empty()) {
    return usage("explain: --summary needs --log");
  }
  return ParsedLine(std::move(command));
}

std::optional<ReportFormat>
reportFormat(const std::string& aName)
{
  constexpr std::array<std::pair<std::string_view, ReportFormat>, 3> kFormats{
    { { "text", ReportFormat::Text },
      { "json", ReportFormat::Json },
      { "html", ReportFormat::Html } }
  };
  for (const auto& [name, format] : kFormats) {
    if (aName == name) {
      return format;
    }
  }
  return std::nullopt;
}

Result<ParsedLine>
parseReport(const std::vector<std::string>& aWords)
{
  ReportCommand command;
  bool json = false;
  bool html = false;
  bool format_given = false;
  OptionParser parser("savoryrill report",
                      "Reports on objectives, idle accelerator time, refusals and cold "
                      "loads.\nExit codes: 0 "
                      "all answered, 1 a process refused to answer, 2 usage or file "
                      "error,\n3 a process was "
                      "not reached.");
  addOperators(parser, command.operators);
  parser.value("format",
               "text|json|html",
               "Form of the report; text if not given",
               [&](const std::string& aText) -> std::string {
                 format_given = true;
                 const auto format = reportFormat(aText);
                 command.format = format.value_or(ReportFormat::Text);
                 return format ? "" : "must be text, json or html";
               });
  parser.text("output", "FILE", "File to write instead of printing", command.output);
  parser.text("record-dir",
              "DIR",
              "Folder that keeps records of earlier runs, also of replaced hosts",
              command.recordDirectory);
  parser.flag("json", "Print the records as the processes gave them", json);
  parser.flag("html", "Short for --format html", html);
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  // Kept records can be read again when no process is left to ask.
  const bool kept_only =
    command.operators.addresses.empty() && !command.recordDirectory.empty();
  const std::string missing = kept_only ? "" : missingOperators(command.operators);
  if (!missing.empty()) {
    return usage("report: " + missing);
  }
  if ((json ? 1 : 0) + (html ? 1 : 0) + (format_given ? 1 : 0) > 1) {
    return usage("report: --format, --json and --html exclude each other");
  }
  if (json) {
    command.format = ReportFormat::Records;
  } else if (html) {
    command.format = ReportFormat::Html;
  }
  return ParsedLine(std::move(command));
}

Result<ParsedLine>
parseDrain(const std::vector<std::string>& aWords)
{
  DrainCommand command;
  OptionParser parser(
    "savoryrill drain",
    "Drains processes (--operator, --token-file), or an upstream or host (--upstream or "
    "--host,\nwith --platform). Exit codes: 0 accepted, 1 a process refused, 2 usage, 3 "
    "not reached,\n5 outcome unknown (repeating is harmless).");
  addOperators(parser, command.operators);
  addPlatform(parser, command.platform);
  addIdentifier(parser, "upstream", "NAME", "Upstream to drain", command.upstream);
  addIdentifier(parser, "host", "NAME", "Host to drain", command.host);
  parser.flag("undo", "End the drain of an upstream or host", command.undo);
  addJson(parser, command.json);
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  const int targets = (command.operators.addresses.empty() ? 0 : 1) +
                      (command.upstream.empty() ? 0 : 1) + (command.host.empty() ? 0 : 1);
  if (targets != 1) {
    return usage("drain: needs exactly one of --operator, --upstream and --host");
  }
  if (command.operators.addresses.empty() && command.platform.empty()) {
    return usage("drain: --upstream and --host need --platform");
  }
  if (!command.operators.addresses.empty() && command.operators.tokenFile.empty()) {
    return usage("drain: --operator needs --token-file");
  }
  if (!command.operators.addresses.empty() && command.undo) {
    return usage("drain: a process that drains stops; --undo is for upstreams and hosts");
  }
  return ParsedLine(std::move(command));
}

Result<ParsedLine>
parseKeygen(const std::vector<std::string>& aWords)
{
  KeygenCommand command;
  OptionParser parser("savoryrill keygen",
                      "Writes a CURVE key pair for the traffic between processes. "
                      "Existing files are kept.\nExit codes: 0 written, 2 usage or file "
                      "error.");
  parser.text("secret", "FILE", "Secret key, for all processes", command.secretFile);
  parser.text("public", "FILE", "Public key of the fleet", command.publicFile);
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  if (command.secretFile.empty() || command.publicFile.empty()) {
    return usage("keygen: needs --secret and --public");
  }
  return ParsedLine(std::move(command));
}

Result<ParsedLine>
parseVersion(const std::vector<std::string>& aWords)
{
  const OptionParser parser("savoryrill version", "Prints the version.");
  if (auto result = parsed(parser, aWords)) {
    return *result;
  }
  return ParsedLine(VersionCommand{});
}

struct CommandEntry
{
  std::string_view name;
  std::string_view summary;
  Result<ParsedLine> (*parse)(const std::vector<std::string>&);
};

constexpr std::array<CommandEntry, 8> kCommands{ {
  { "check", "Check configuration and settings files", &parseCheck },
  { "apply", "Commit a configuration", &parseApply },
  { "status", "Show the state of processes", &parseStatus },
  { "explain", "Explain what happened to a request or model", &parseExplain },
  { "report", "Collect report records", &parseReport },
  { "drain", "Drain a process, an upstream or a host", &parseDrain },
  { "keygen", "Write a key pair for traffic between processes", &parseKeygen },
  { "version", "Show the version", &parseVersion },
} };

std::string
overview()
{
  constexpr std::size_t kNameWidth = 10;
  std::string result = "Usage: savoryrill COMMAND [OPTION...]\n\nCommands:\n";
  for (const auto& command : kCommands) {
    std::string name(command.name);
    name.resize(kNameWidth, ' ');
    result += "  " + name + std::string(command.summary) + "\n";
  }
  return result + "\nsavoryrill COMMAND --help shows the options of a command.\n";
}

} // namespace

Result<ParsedLine>
parseCommandLine(const std::vector<std::string>& aWords)
{
  if (aWords.empty()) {
    return fail(ErrorCode::InvalidArgument, overview());
  }
  const std::string& name = aWords.front();
  if (name == "--help" || name == "-h" || name == "help") {
    return ParsedLine(HelpText{ overview() });
  }
  for (const auto& command : kCommands) {
    if (command.name == name) {
      return command.parse({ aWords.begin() + 1, aWords.end() });
    }
  }
  return usage("knows no command '" + name + "'; see savoryrill --help");
}

} // namespace savoryrill::cli
