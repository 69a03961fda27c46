#include "matrix/matrixcommand.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "http/client.h"
#include "matrix/rowrunner.h"
#include "matrix/rows.h"
#include "matrix/selftest.h"
#include "testing/internal/commandline.h"

namespace savoryrill::matrix {

namespace {

struct Command
{
  RunOptions run;
  bool full = false;
  bool list = false;
  bool selfTest = false;
  std::vector<std::string> rows;
};

/// The promises that a row was judged by; `recovery` is always among them.
constexpr std::string_view kJudged = "P1-P9,recovery";

void
print(const RowResult& aResult)
{
  std::cout << (aResult.passed() ? "pass " : "FAIL ") << nameOfRow(aResult.row) << " ["
            << kJudged << "]";
  for (const auto& [outcome, count] : aResult.outcomes) {
    std::cout << " " << nameOf(outcome) << " " << count;
  }
  std::cout << "\n";
  if (!aResult.error.empty()) {
    std::cout << "     not run as stated: " << aResult.error << "\n";
  }
  for (const auto& violation : aResult.violations) {
    std::cout << "     " << nameOf(violation.promise) << ": " << violation.text << "\n";
  }
  std::cout << std::flush;
}

Result<std::vector<Row>>
select(const Command& aCommand)
{
  if (aCommand.rows.empty()) {
    return aCommand.full ? allRows() : shortRows();
  }
  std::vector<Row> rows;
  for (const auto& name : aCommand.rows) {
    const auto all = allRows();
    const auto found = std::find_if(
      all.begin(), all.end(), [&](const auto& aRow) { return nameOfRow(aRow) == name; });
    if (found == all.end()) {
      return fail(ErrorCode::InvalidArgument, "there is no row " + name);
    }
    rows.push_back(*found);
  }
  return rows;
}

int
conclude(std::size_t aPassed, std::size_t aFailed)
{
  std::cout << aPassed << " passed, " << aFailed << " failed" << std::endl;
  return aFailed == 0 ? 0 : 1;
}

int
runSelected(const Command& aCommand, const std::vector<Row>& aRows)
{
  std::size_t passed = 0;
  runRows(aRows, aCommand.run, [&](const RowResult& aResult) {
    print(aResult);
    passed += aResult.passed() ? 1 : 0;
  });
  const std::size_t failed = aRows.size() - passed;
  const auto gaps = uncovered();
  std::cout << "rows run " << aRows.size() << ", passed " << passed << ", failed "
            << failed << ", not covered " << gaps.size()
            << " kinds of cells, not selected " << allRows().size() - aRows.size()
            << "\n";
  for (const auto& [cell, reason] : gaps) {
    std::cout << "not covered: " << cell << ": " << reason << "\n";
  }
  if (failed != 0) {
    std::cout << "records of failed rows are in " << aCommand.run.folder << "\n";
  }
  return conclude(passed, failed);
}

int
runSelfTest(const Command& aCommand)
{
  std::size_t passed = 0;
  const auto results = selfTest(aCommand.run);
  for (const auto& result : results) {
    passed += result.turnedRed ? 1 : 0;
    std::cout << (result.turnedRed ? "pass " : "FAIL ") << nameOf(result.promise)
              << " turns red: " << result.how << "\n";
    for (const auto& text : result.seen) {
      std::cout << "     " << text << "\n";
    }
  }
  return conclude(passed, results.size() - passed);
}

Result<int>
runParsed(int aCount, const char** aArguments)
{
  Command command;
  std::uint64_t seed = 1;
  std::uint32_t parallel = command.run.parallel;
  std::uint32_t first_block = command.run.firstBlock;
  command.run.programs = std::filesystem::path(aArguments[0]).parent_path().string();
  command.run.folder =
    (std::filesystem::temp_directory_path() / "savoryrill-fault-matrix").string();
  testing::CommandLine line;
  line.addFlag("full", command.full, true, "run all rows");
  line.addFlag("list", command.list, true, "print the names of the rows");
  line.addFlag("self-test", command.selfTest, true, "show that violations are flagged");
  line.add("seed", seed, "seed of the background callers");
  line.add("row", command.rows, "<fault>/<step>; repeatable");
  line.add("programs", command.run.programs, "folder of the built programs");
  line.add("folder", command.run.folder, "folder for logs and records");
  line.add("first-block", first_block, "first loopback block 127.40.<block>.*");
  line.addFlag("keep", command.run.keep, true, "keep the records of passed rows");
  line.add("parallel", parallel, "rows at once, 1 to 3");
  BOOST_OUTCOME_TRYV(line.parse(aCount, aArguments));
  if (parallel < 1 || parallel > 3 || first_block > 250) {
    return fail(ErrorCode::InvalidArgument,
                "--parallel must be 1 to 3 and --first-block at most 250");
  }
  command.run.seed = seed;
  command.run.parallel = parallel;
  command.run.firstBlock = first_block;
  BOOST_OUTCOME_TRY(rows, select(command));
  if (command.list) {
    for (const auto& row : command.rows.empty() && !command.full ? allRows() : rows) {
      std::cout << nameOfRow(row) << "\n";
    }
    return 0;
  }
  // libcurl's global set-up must not happen on several threads at once.
  BOOST_OUTCOME_TRY(loop, event::Loop::create());
  const auto client = http::Client::create(*loop);
  if (!client) {
    return client.error();
  }
  return command.selfTest ? runSelfTest(command) : runSelected(command, rows);
}

} // namespace

int
runMatrix(int aCount, const char** aArguments)
{
  const auto status = runParsed(aCount, aArguments);
  if (!status) {
    std::cerr << status.error().message << "\n";
    return 2;
  }
  return status.value();
}

} // namespace savoryrill::matrix
