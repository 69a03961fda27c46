#include "matrix/selftest.h"

#include <algorithm>

#include "matrix/checker.h"
#include "matrix/cluster.h"
#include "testing/internal/json.h"

namespace savoryrill::matrix {

namespace {

using testing::fields;
using testing::PlannedRequest;

constexpr Duration kCallersLimit = 20s;

/// A run of the stand-ins alone, driven by what stands in for a faulty system.
class NaiveSystem
{
public:
  explicit NaiveSystem(Cluster& aCluster)
    : mCluster(aCluster)
  {
  }

  /// Orders a load with no regard to assignments and memory.
  Result<void> load(const char* aEngine, const char* aModel, std::uint32_t aFootprintMb)
  {
    auto order = fields({ { "order_id", "order-" + std::to_string(++mOrders) },
                          { "kind", "load" },
                          { "model", aModel },
                          { "version", "1" },
                          { "fencing_number", 1 },
                          { "footprint_mb", aFootprintMb } });
    return mCluster.post(mCluster.part(aEngine).address + "/control/orders", order);
  }

  bool awaitLoaded(const std::string& aEngine)
  {
    return mCluster.waitFor(
      [&] {
        return mCluster
          .find({ aEngine },
                0,
                [](const Json::Value& aRecord) {
                  return testing::textMember(aRecord, "kind") == "load_end";
                })
          .has_value();
      },
      kCallersLimit);
  }

  void ask(const std::string& aTarget, const std::string& aMarker)
  {
    PlannedRequest request;
    request.target = aTarget;
    request.model = "bell@1";
    request.stream = true;
    request.marker = aMarker;
    request.deadlineMs = 2000;
    mCluster.send({ request });
  }

  void book(const std::string& aTarget, const std::string& aMarker)
  {
    PlannedRequest request;
    request.kind = testing::LoadKind::Service;
    request.target = aTarget;
    request.service = "naive";
    request.marker = aMarker;
    request.deadlineMs = 2000;
    mCluster.send({ request });
  }

private:
  Cluster& mCluster;
  unsigned mOrders = 0;
};

struct Scenario
{
  Promise promise;
  const char* how;
  Result<void> (*run)(Cluster&, NaiveSystem&);
};

Result<void>
loadAtTwoEngines(Cluster&, NaiveSystem& aSystem)
{
  BOOST_OUTCOME_TRYV(aSystem.load("xela-e1", "bell", 14000));
  return aSystem.load("xela-e2", "bell", 14000);
}

Result<void>
loadBeyondMemory(Cluster&, NaiveSystem& aSystem)
{
  BOOST_OUTCOME_TRYV(aSystem.load("xela-e1", "tower", 18000));
  return aSystem.load("xela-e1", "log", 23000);
}

Result<void>
stallAnswer(Cluster& aCluster, NaiveSystem& aSystem)
{
  BOOST_OUTCOME_TRYV(aCluster.set("xela-s1", fields({ { "delay_ms", 5000 } })));
  aSystem.book(aCluster.part("xela-s1").address, "late");
  return outcome::success();
}

Result<void>
cutStream(Cluster& aCluster, NaiveSystem& aSystem)
{
  BOOST_OUTCOME_TRYV(aSystem.load("xela-e1", "bell", 14000));
  aSystem.awaitLoaded("xela-e1");
  BOOST_OUTCOME_TRYV(aCluster.set("xela-e1", fields({ { "cut_streams_after", 3 } })));
  aSystem.ask(aCluster.part("xela-e1").address, "cut");
  return outcome::success();
}

/// A router that retries after a lost answer and then reports the refusal of the retry.
/// Only the second attempt is what the caller sees.
Result<void>
retryAndReportRefusal(Cluster& aCluster, NaiveSystem& aSystem)
{
  const auto service = aCluster.part("xela-s1").address;
  BOOST_OUTCOME_TRYV(aCluster.set("xela-s1", fields({ { "lose_answers", 1 } })));
  aSystem.book(service, "retried");
  aCluster.waitCallers(kCallersLimit);
  aCluster.forgetCallers();
  BOOST_OUTCOME_TRYV(aCluster.set("xela-s1", fields({ { "fail_before", 1 } })));
  aSystem.book(service, "retried");
  return outcome::success();
}

Result<void>
runTwice(Cluster& aCluster, NaiveSystem& aSystem)
{
  aSystem.book(aCluster.part("xela-s1").address, "twice");
  aSystem.book(aCluster.part("toto-s1").address, "twice");
  return outcome::success();
}

Result<void>
useLeavingEngine(Cluster& aCluster, NaiveSystem& aSystem)
{
  BOOST_OUTCOME_TRYV(aSystem.load("xela-e1", "bell", 14000));
  aSystem.awaitLoaded("xela-e1");
  BOOST_OUTCOME_TRYV(aCluster.setLeaving("xela-e1"));
  aCluster.pump(kLeavingLimit + 200ms);
  aSystem.ask(aCluster.part("xela-e1").address, "late-work");
  return outcome::success();
}

Result<void>
stopWithoutDraining(Cluster& aCluster, NaiveSystem& aSystem)
{
  BOOST_OUTCOME_TRYV(aCluster.set("xela-s1", fields({ { "delay_ms", 1000 } })));
  aSystem.book(aCluster.part("xela-s1").address, "in-progress");
  aCluster.pump(300ms);
  BOOST_OUTCOME_TRYV(aCluster.beginStop("xela-s1"));
  aCluster.finishStops();
  return outcome::success();
}

/// A commit that the only process known never has in force.
Result<void>
ignoreCommit(Cluster& aCluster, NaiveSystem&)
{
  BOOST_OUTCOME_TRY(apply, aCluster.beginApply());
  BOOST_OUTCOME_TRYV(aCluster.waitApply(apply));
  aCluster.noteVersion({ "deaf-process", aCluster.nowUs(), 0 });
  return outcome::success();
}

constexpr Scenario kScenarios[] = {
  { Promise::ReplicaLimit, "loads ordered without assignments", loadAtTwoEngines },
  { Promise::Memory, "loads ordered without a ledger", loadBeyondMemory },
  { Promise::TimelyAnswers, "a stalled service without a deadline timer", stallAnswer },
  { Promise::CompleteAnswers, "a cut stream passed on as it is", cutStream },
  { Promise::TrueRefusals, "a retry whose refusal is reported", retryAndReportRefusal },
  { Promise::AtMostOnce, "a booking sent to two services without a claim", runTwice },
  { Promise::LeavingUpstreams, "work for an engine that is leaving", useLeavingEngine },
  { Promise::GracefulStop, "a process that stops without draining", stopWithoutDraining },
  { Promise::Configuration, "a process that ignores a commit", ignoreCommit },
};

Result<void>
play(const Scenario& aScenario, Cluster& aCluster, Evidence& aEvidence)
{
  BOOST_OUTCOME_TRYV(aCluster.startStandIns());
  NaiveSystem system(aCluster);
  BOOST_OUTCOME_TRYV(aScenario.run(aCluster, system));
  aCluster.waitCallers(kCallersLimit);
  aEvidence = aCluster.evidence();
  return outcome::success();
}

SelfTestResult
runScenario(const Scenario& aScenario, const RunOptions& aOptions)
{
  SelfTestResult result{ aScenario.promise, aScenario.how, false, {} };
  const std::string folder =
    aOptions.folder + "/self-test-" + std::string(nameOf(aScenario.promise));
  auto cluster =
    Cluster::create({ aOptions.firstBlock, aOptions.programs, folder, aOptions.seed });
  Evidence evidence;
  const auto played =
    cluster ? play(aScenario, *cluster.value(), evidence) : Result<void>(cluster.error());
  if (!played) {
    result.seen.push_back("not run as stated: " + played.error().message);
    return result;
  }
  for (const auto& violation : checkAll(evidence)) {
    if (violation.promise == aScenario.promise) {
      result.turnedRed = true;
      result.seen = { violation.text };
      return result;
    }
  }
  result.seen.emplace_back("no violation of this promise was flagged");
  return result;
}

} // namespace

std::vector<SelfTestResult>
selfTest(const RunOptions& aOptions)
{
  std::vector<SelfTestResult> results;
  for (const auto& scenario : kScenarios) {
    results.push_back(runScenario(scenario, aOptions));
  }
  return results;
}

} // namespace savoryrill::matrix
