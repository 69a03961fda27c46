#include "matrix/rowrunner.h"

#include <atomic>
#include <filesystem>
#include <mutex>
#include <thread>

#include "matrix/checker.h"
#include "matrix/faultdriver.h"
#include "matrix/stepdriver.h"
#include "testing/internal/json.h"
#include "testing/loadplan.h"

namespace savoryrill::matrix {

namespace {

using testing::LoadOutcome;
using testing::PlannedRequest;

constexpr Duration kBackgroundLength = 8s;
constexpr double kBackgroundRatePerS = 8;
constexpr std::uint64_t kBackgroundDeadlineMs = 6000;
constexpr std::uint64_t kProbeDeadlineMs = 5000;
constexpr Duration kProbePause = 500ms;
constexpr int kProbes = 4;
constexpr Duration kCallersLimit = 45s;
constexpr std::string_view kProbe = "probe-";

/// Callers of all kinds at all routers, before, during and after the fault. The model
/// that steps load themselves is not among theirs.
void
startBackground(Cluster& aCluster)
{
  testing::LoadOptions options;
  for (std::size_t host = 0; host < Topology::kHosts.size(); ++host) {
    options.targets.push_back(aCluster.topology().caller(host));
  }
  options.models = { "bell", "tower" };
  options.services = { std::string(kBookingService) + "/background" };
  options.seed = aCluster.seed();
  options.ratePerS = kBackgroundRatePerS;
  options.duration = kBackgroundLength;
  options.serviceShare = 0.3;
  options.keyShare = 0.8;
  options.duplicateShare = 0.4;
  options.deadlineMs = kBackgroundDeadlineMs;
  const auto plan = testing::planRequests(options);
  if (plan) {
    aCluster.send(plan.value());
  }
}

/// Asks each running router until it has given a whole answer, a bounded number of times.
/// Returns those that have not.
std::vector<Violation>
probe(Cluster& aCluster)
{
  std::set<std::size_t> left;
  for (std::size_t host = 0; host < Topology::kHosts.size(); ++host) {
    if (aCluster.running("router-" + std::string(Topology::kHosts[host].name))) {
      left.insert(host);
    }
  }
  for (int round = 0; round < kProbes && !left.empty(); ++round) {
    std::vector<PlannedRequest> plan;
    const auto marker = [&](std::size_t aHost) {
      return std::string(kProbe) + std::to_string(round) + "-" + std::to_string(aHost);
    };
    for (const auto host : left) {
      PlannedRequest request;
      request.target = aCluster.topology().caller(host);
      request.model = "bell";
      request.maxTokens = 4;
      request.deadlineMs = kProbeDeadlineMs;
      request.marker = marker(host);
      plan.push_back(request);
    }
    aCluster.send(plan);
    aCluster.waitCallers(kCallersLimit);
    for (const auto& caller : aCluster.evidence().callers) {
      if (caller.outcome == LoadOutcome::Ok) {
        std::erase_if(left, [&](auto aHost) { return caller.marker == marker(aHost); });
      }
    }
    if (!left.empty()) {
      aCluster.pump(kProbePause);
    }
  }
  std::vector<Violation> violations;
  for (const auto host : left) {
    violations.push_back({ Promise::Recovery,
                           "router-" + std::string(Topology::kHosts[host].name) +
                             " serves no model after the fault has ended" });
  }
  return violations;
}

Result<std::vector<Violation>>
play(Cluster& aCluster, const Row& aRow)
{
  BOOST_OUTCOME_TRYV(aCluster.startStandIns());
  BOOST_OUTCOME_TRYV(aCluster.startSystem());
  startBackground(aCluster);
  StepDriver step(aCluster);
  BOOST_OUTCOME_TRY(focus, step.reach(aRow.step));
  FaultDriver fault(aCluster, focus);
  BOOST_OUTCOME_TRYV(fault.inject(aRow.fault));
  step.startLateWork(aRow.step);
  BOOST_OUTCOME_TRYV(fault.end(aRow.fault));
  BOOST_OUTCOME_TRYV(step.release());
  BOOST_OUTCOME_TRYV(step.finish());
  auto violations = probe(aCluster);
  if (!aCluster.waitCallers(kCallersLimit)) {
    return fail(ErrorCode::Timeout, "callers do not end");
  }
  // Versions are polled; a process gets the time of P9 to be seen with the last one.
  const std::int64_t end_us = aCluster.nowUs() + kSpreadLimit.count();
  while (!checkConfiguration(aCluster.evidence()).empty() && aCluster.nowUs() < end_us) {
    aCluster.pump(200ms);
  }
  const auto found = checkAll(aCluster.evidence());
  violations.insert(violations.end(), found.begin(), found.end());
  return violations;
}

/// Keeps what callers saw beside the records of the stand-ins.
void
writeCallers(const Evidence& aEvidence, const std::string& aPath)
{
  const auto recorder = testing::Recorder::create(aPath);
  for (const auto& caller : aEvidence.callers) {
    if (recorder) {
      recorder.value()->write(
        "caller",
        testing::fields({ { "process", caller.process },
                          { "model", caller.model },
                          { "marker", caller.marker },
                          { "key", caller.key },
                          { "request_id", caller.requestId },
                          { "problem", caller.problemType },
                          { "ran", caller.ran },
                          { "outcome", std::string(nameOf(caller.outcome)) },
                          { "sent_us", Json::Int64(caller.sentUs) },
                          { "end_us", Json::Int64(caller.endUs) } }));
    }
  }
}

} // namespace

RowResult
runRow(const Row& aRow, unsigned aBlock, const RunOptions& aOptions)
{
  RowResult result;
  result.row = aRow;
  std::string name = nameOfRow(aRow);
  std::replace(name.begin(), name.end(), '/', '_');
  const std::string folder = aOptions.folder + "/" + name;
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  auto cluster = Cluster::create({ aBlock, aOptions.programs, folder, aOptions.seed });
  if (!cluster) {
    result.error = cluster.error().message;
    return result;
  }
  auto violations = play(*cluster.value(), aRow);
  if (violations) {
    result.violations = std::move(violations.value());
  } else {
    result.error = violations.error().message;
  }
  const auto& evidence = cluster.value()->evidence();
  writeCallers(evidence, folder + "/callers");
  for (const auto& caller : evidence.callers) {
    ++result.outcomes[caller.outcome];
  }
  if (result.error.empty() && cluster.value()->unreadableRecords() != 0) {
    result.error = "records have unreadable lines";
  }
  cluster.value().reset();
  if (result.passed() && !aOptions.keep) {
    std::filesystem::remove_all(folder, ignored);
  }
  return result;
}

void
runRows(const std::vector<Row>& aRows,
        const RunOptions& aOptions,
        const std::function<void(const RowResult&)>& aDone)
{
  std::atomic<std::size_t> next = 0;
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (unsigned block = 0; block < aOptions.parallel; ++block) {
    threads.emplace_back([&, block] {
      for (std::size_t index = next++; index < aRows.size(); index = next++) {
        const auto result = runRow(aRows[index], aOptions.firstBlock + block, aOptions);
        const std::lock_guard lock(mutex);
        aDone(result);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

} // namespace savoryrill::matrix
