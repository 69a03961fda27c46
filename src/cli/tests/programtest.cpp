#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "admin/operatorserver.h"
#include "base/jsontext.h"
#include "base/types/baseevents.h"
#include "cli/internal/confighead.h"
#include "cli/internal/textfile.h"
#include "cli/program.h"
#include "cli/tests/fakeplatform.h"
#include "config/tests/sampletext.h"

using namespace savoryrill;
using namespace savoryrill::cli;

namespace {

constexpr EventDefinition kRequestRefusedSample{ 9901,
                                                 Severity::Info,
                                                 "request-refused",
                                                 "Sample for this test." };

/// Hands out a platform that outlives the command.
class PlatformReference final : public platform::IPlatform
{
public:
  explicit PlatformReference(FakePlatform& aTarget)
    : mTarget(aTarget)
  {
  }
  void transact(platform::Transaction aTransaction,
                platform::Completion<platform::TransactionOutcome> aDone) override
  {
    mTarget.transact(std::move(aTransaction), std::move(aDone));
  }
  void readRow(std::string aKey,
               platform::Completion<std::optional<platform::Row>> aDone) override
  {
    mTarget.readRow(std::move(aKey), std::move(aDone));
  }
  void readRows(std::string, platform::Completion<std::vector<platform::Row>>) override {}
  void putObject(std::string aKey,
                 std::string aBytes,
                 platform::Completion<bool> aDone) override
  {
    mTarget.putObject(std::move(aKey), std::move(aBytes), std::move(aDone));
  }
  void readObject(std::string aKey,
                  platform::Completion<std::optional<std::string>> aDone) override
  {
    mTarget.readObject(std::move(aKey), std::move(aDone));
  }
  void readHosts(platform::Completion<std::vector<platform::HostEntry>> aDone) override
  {
    mTarget.readHosts(std::move(aDone));
  }

private:
  FakePlatform& mTarget;
};

} // namespace

TEST_GROUP(Program)
{
  std::unique_ptr<event::Loop> loop = std::move(event::Loop::create().value());
  std::unique_ptr<http::Client> client = std::move(http::Client::create(*loop).value());
  FakePlatform platform{ *loop };
  std::unique_ptr<EventLog> log = EventLog::createInMemory();
  Metrics metrics;
  std::unique_ptr<admin::OperatorServer> server;
  std::string directory = std::string(SAVORYRILL_BINARY_DIR) + "/programtest";
  std::uint64_t configVersion = 0;
  int drains = 0;
  Json::Value recordOfReport{ "record" };
  std::ostringstream out;
  std::ostringstream err;

  void setup() override
  {
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    write("token", "s3cret\n");
    write("base.json", config::kSampleBase);
    write("xela.json", "{}");
    write("toto.json", "{}");
  }

  void teardown() override
  {
    server.reset();
    std::filesystem::remove_all(directory);
  }

  std::string path(const std::string& aName)
  {
    return directory + "/" + aName;
  }

  void write(const std::string& aName, const std::string& aText)
  {
    std::ofstream(path(aName), std::ios::trunc) << aText;
  }

  void startProcess()
  {
    admin::OperatorHooks hooks;
    hooks.ready = [] { return true; };
    hooks.status = [this] {
      Json::Value status(Json::objectValue);
      status["process"] = "savoryrill-router";
      status["host"] = "entry-1";
      status["config_version"] = Json::UInt64(configVersion);
      status["ready"] = true;
      status["waiting"] = 7;
      return status;
    };
    hooks.report = [this] { return recordOfReport; };
    hooks.drain = [this] { ++drains; };
    server = std::move(
      admin::OperatorServer::create(
        *loop, {}, path("token"), "entry-1/router", *log, metrics, std::move(hooks))
        .value());
  }

  std::string operatorAddress()
  {
    return "127.0.0.1:" + std::to_string(server->port());
  }

  int runWords(std::vector<std::string> aWords)
  {
    out.str("");
    err.str("");
    std::vector<const char*> arguments{ "savoryrill" };
    for (const auto& word : aWords) {
      arguments.push_back(word.c_str());
    }
    const Environment environment{
      out,
      err,
      *loop,
      *client,
      [this](std::vector<std::string>) -> Result<std::unique_ptr<platform::IPlatform>> {
        return std::unique_ptr<platform::IPlatform>(
          std::make_unique<PlatformReference>(platform));
      },
      nullptr
    };
    return static_cast<int>(
      cli::run(static_cast<int>(arguments.size()), arguments.data(), environment));
  }

  int apply(std::vector<std::string> aMore = {})
  {
    std::vector<std::string> words{ "apply",
                                    "--base",
                                    path("base.json"),
                                    "--overlay",
                                    "xela=" + path("xela.json"),
                                    "--overlay",
                                    "toto=" + path("toto.json"),
                                    "--platform",
                                    "127.11.0.1:7000" };
    words.insert(words.end(), aMore.begin(), aMore.end());
    return runWords(words);
  }

  void checkOutput(const std::string& aPart)
  {
    STRCMP_CONTAINS(aPart.c_str(), out.str().c_str());
  }
};

// Guards against commands without help, and help that a script takes for an error.
TEST(Program, help_askedOfEachCommand_isPrinted)
{
  LONGS_EQUAL(0, runWords({ "--help" }));
  checkOutput("keygen");
  for (const char* command : { "check",
                               "apply",
                               "status",
                               "explain",
                               "report",
                               "drain",
                               "keygen",
                               "version" }) {
    LONGS_EQUAL(0, runWords({ command, "--help" }));
    checkOutput("savoryrill " + std::string(command) + " [OPTION...]");
  }
}

// Guards against wrong command lines that do something else than asked.
TEST(Program, wrongUsage_refused_withExitCode2)
{
  const std::vector<std::vector<std::string>> lines{
    {},
    { "chek" },
    { "check" },
    { "check", "--bas", "x" },
    { "check", "--base" },
    { "check", "--base", path("missing.json") },
    { "check", "--base", path("base.json"), "extra" },
    { "check", "--base", path("base.json"), "--overlay", "xela" },
    { "check", "--settings", "x", "--overlay", "xela=y" },
    { "apply", "--base", path("base.json") },
    { "apply", "--base", path("base.json"), "--platform", "localhost:1" },
    { "apply", "--base", "x", "--platform", "127.11.0.1:1", "--expect-version", "-1" },
    { "apply", "--base", "x", "--platform", "127.11.0.1:1", "--change-id", "a/b" },
    { "apply", "--base", "x", "--platform", "127.11.0.1:1", "--wait" },
    { "status", "--operator", "127.11.0.1:1" },
    { "status", "--operator", "127.11.0.1:1", "--token-file", path("missing") },
    { "explain", "--operator", "127.11.0.1:1", "--token-file", path("token") },
    { "explain",
      "--operator",
      "127.11.0.1:1",
      "--token-file",
      path("token"),
      "--summary" },
    { "explain", "--log", path("missing.log"), "--summary" },
    { "explain", "--log", path("missing.log"), "--summary", "--request", "r" },
    { "drain", "--upstream", "a" },
    { "drain", "--upstream", "a", "--host", "b", "--platform", "127.11.0.1:1" },
    { "keygen", "--secret", path("s") },
  };
  for (const auto& line : lines) {
    LONGS_EQUAL(2, runWords(line));
    CHECK_FALSE(err.str().empty());
  }
  LONGS_EQUAL(0, platform.transactions);
}

// Guards against exit codes and JSON that do not match the findings.
TEST(Program, check_ofFiles_printsFindings)
{
  LONGS_EQUAL(0, runWords({ "check", "--base", path("base.json") }));
  checkOutput("0 errors, 0 warnings");
  write("base.json", config::replaced(config::kSampleBase, "14000", "0"));
  LONGS_EQUAL(1, runWords({ "check", "--base", path("base.json"), "--json" }));
  const auto result = parseJson(out.str()).value();
  CHECK_FALSE(result["ok"].asBool());
  STRCMP_EQUAL("deployments.drift-diagnosis.footprint_mb",
               result["findings"][0]["key"].asCString());
  write("settings.json", "{\"host\": 1}");
  LONGS_EQUAL(1, runWords({ "check", "--settings", path("settings.json") }));
  checkOutput("settings.json:1: error: host: must be a string");
}

// Guards against a commit of faulty files, of files that differ from the object, and
// against exit codes that hide a conflict.
TEST(Program, apply_ofFiles_commitsOnlyWithoutErrors)
{
  write("xela.json", "{\"region\": \"x\"}");
  LONGS_EQUAL(1, apply());
  CHECK(platform.rows.empty());
  write("xela.json", "{}");
  LONGS_EQUAL(0, apply({ "--change-id", "first" }));
  checkOutput("committed version 1 as change first");
  const auto head = parseHead(platform.rows.at(kHeadKey).value).value();
  CHECK(config::configurationOf(platform.objects.at(head.object), "toto", 1, "first")
          .has_value());
  LONGS_EQUAL(0, apply({ "--json" }));
  STRCMP_EQUAL("already-in-force", parseJson(out.str()).value()["outcome"].asCString());
  write("toto.json", "{\"deployments\": {\"drift-diagnosis\": {\"max_queue\": 9}}}");
  LONGS_EQUAL(4, apply({ "--expect-version", "7" }));
  checkOutput("version 1 of change first is in force");
  platform.readFaults = { Fault::NotReached };
  LONGS_EQUAL(3, apply());
}

// Guards against a wait that ends early or does not name what lags.
TEST(Program, applyWait_processLags_isNamed)
{
  startProcess();
  const std::vector<std::string> wait{ "--wait",     "--wait-s",        "0",
                                       "--operator", operatorAddress(), "--token-file",
                                       path("token") };
  LONGS_EQUAL(1, apply(wait));
  checkOutput("version 1 is not in force at " + operatorAddress() + ": has version 0");
  configVersion = 2;
  LONGS_EQUAL(0, apply(wait));
  checkOutput("in force at all 1 processes");
}

// Guards against a status that hides processes without an answer.
TEST(Program, status_oneProcessDown_showsBoth)
{
  startProcess();
  LONGS_EQUAL(3,
              runWords({ "status",
                         "--operator",
                         operatorAddress(),
                         "--operator",
                         "127.11.0.1:1",
                         "--token-file",
                         path("token") }));
  checkOutput("savoryrill-router  entry-1  -            0        yes    waiting=7");
  checkOutput("no answer");
  write("wrong", "other");
  LONGS_EQUAL(
    1,
    runWords(
      { "status", "--operator", operatorAddress(), "--token-file", path("wrong") }));
}

// Guards against explanations that miss events or draw no conclusion.
TEST(Program, explain_requestRefused_concludes)
{
  startProcess();
  log->write(kProcessStarted, { { "request", "other" } });
  log->write(kRequestRefusedSample,
             { { "request", "r 1" },
               { "model", "drift-diagnosis@3" },
               { "reason", "deadline-cannot-be-met" },
               { "ran", "no" } });
  const std::vector<std::string> target{
    "--operator", operatorAddress(), "--token-file", path("token")
  };
  auto words = target;
  words.insert(words.begin(), { "explain", "--model", "drift-diagnosis" });
  LONGS_EQUAL(0, runWords(words));
  checkOutput("request=r 1");
  checkOutput("1 refusal; last refusal: deadline-cannot-be-met");
  CHECK(out.str().find("other") == std::string::npos);
  words[2] = "drift";
  LONGS_EQUAL(1, runWords(words));
}

// Guards against reports that lose the records of a process.
TEST(Program, report_asJson_mergesRecords)
{
  startProcess();
  const std::vector<std::string> words{ "report",       "--operator",  operatorAddress(),
                                        "--token-file", path("token"), "--json" };
  LONGS_EQUAL(0, runWords(words));
  const auto result = parseJson(out.str()).value();
  STRCMP_EQUAL("record", result["processes"][0]["report"].asCString());
}

// Guards against kept records that count twice, get lost with their process, or hide
// broken lines.
TEST(Program, report_withRecordDirectory_keepsRecords)
{
  recordOfReport = parseJson(R"({"host":"h","incarnation":5,"deployments":{}})").value();
  startProcess();
  const std::string folder = path("records");
  std::vector<std::string> words{ "report",       "--operator",  operatorAddress(),
                                  "--token-file", path("token"), "--record-dir",
                                  folder,         "--json" };
  LONGS_EQUAL(0, runWords(words));
  LONGS_EQUAL(0, runWords(words));
  std::filesystem::directory_iterator files(folder);
  const std::string file = files->path().string();
  CHECK(++files == std::filesystem::directory_iterator());
  std::ofstream(file, std::ios::app) << "{\"host";
  recordOfReport["incarnation"] = 6;
  LONGS_EQUAL(0, runWords(words));
  STRCMP_CONTAINS(":2: ", err.str().c_str());
  server.reset();
  words = { "report", "--record-dir", folder, "--json", "--output", path("out") };
  LONGS_EQUAL(0, runWords(words));
  const auto result = parseJson(readTextFile(path("out")).value()).value();
  LONGS_EQUAL(2, result["processes"].size());
  words.back() = path("missing/out");
  LONGS_EQUAL(2, runWords(words));
  LONGS_EQUAL(2, runWords({ "report", "--record-dir", path("base.json"), "--json" }));
  LONGS_EQUAL(2, runWords({ "report", "--record-dir", folder, "--format", "xml" }));
  LONGS_EQUAL(
    2, runWords({ "report", "--record-dir", folder, "--json", "--format", "html" }));
}

// Guards against drains that reach the wrong target or cannot be ended.
TEST(Program, drain_ofEachKind_reachesItsTarget)
{
  startProcess();
  LONGS_EQUAL(
    0,
    runWords(
      { "drain", "--operator", operatorAddress(), "--token-file", path("token") }));
  LONGS_EQUAL(1, drains);
  const std::vector<std::string> upstream{
    "drain", "--upstream", "xela-1", "--platform", "127.11.0.1:7000"
  };
  platform.transactFaults = { Fault::AnswerLost };
  LONGS_EQUAL(0, runWords(upstream));
  STRCMP_EQUAL(R"({"by":"operator"})", platform.rows.at("drain/xela-1").value.c_str());
  auto undo = upstream;
  undo.emplace_back("--undo");
  LONGS_EQUAL(0, runWords(undo));
  CHECK(platform.rows.empty());
  platform.transactFaults = { Fault::RequestLost, Fault::NotReached, Fault::NotReached };
  LONGS_EQUAL(5, runWords(upstream));
}

// Guards against a drain of a misspelt upstream that passes for a drain.
TEST(Program, drain_unknownUpstream_isRefused)
{
  LONGS_EQUAL(0, apply());
  const std::vector<std::string> tail{ "--platform", "127.11.0.1:7000" };
  LONGS_EQUAL(1, runWords({ "drain", "--upstream", "xela-7", tail[0], tail[1] }));
  CHECK(platform.rows.count("drain/xela-7") == 0);
  LONGS_EQUAL(0, runWords({ "drain", "--upstream", "xela-1", tail[0], tail[1] }));
  STRCMP_EQUAL("", err.str().c_str());
  // The host list lags, so that a missing host is no reason to refuse.
  LONGS_EQUAL(0, runWords({ "drain", "--host", "entry-9", tail[0], tail[1] }));
  STRCMP_CONTAINS("the host list does not have entry-9", err.str().c_str());
}

// Guards against secret keys that others may read, and against overwritten keys.
TEST(Program, keygen_writesNewFilesOnly)
{
  const std::vector<std::string> words{
    "keygen", "--secret", path("secret"), "--public", path("public")
  };
  LONGS_EQUAL(0, runWords(words));
  const auto mode = std::filesystem::status(path("secret")).permissions();
  CHECK((mode & std::filesystem::perms(077)) == std::filesystem::perms::none);
  LONGS_EQUAL(2, runWords(words));
}
