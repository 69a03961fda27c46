#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "event/loop.h"
#include "http/client.h"
#include "matrix/recordfile.h"
#include "matrix/topology.h"
#include "matrix/types/evidence.h"
#include "testing/loadgenerator.h"
#include "testing/processes.h"

namespace savoryrill::matrix {

struct ClusterOptions
{
  unsigned block = 0; // of 127.40.<block>.*
  std::string programs;
  std::string folder;
  std::uint64_t seed = 1;
};

/// One whole system of real processes, the means to break it, and what its outside
/// parts recorded. Waits run the loop, so that callers go on. Not thread safe.
class Cluster
{
public:
  /// Fails with Unavailable.
  static Result<std::unique_ptr<Cluster>> create(ClusterOptions aOptions);

  /// Starts the stand-ins. Fails with Unavailable or Timeout.
  Result<void> startStandIns();

  /// Starts routers and controllers, applies the first configuration and waits until all
  /// are ready. Fails with the reason.
  Result<void> startSystem();

  const Topology& topology() const { return mTopology; }
  std::uint64_t seed() const { return mOptions.seed; }

  /// Names of the processes of a role.
  std::vector<std::string> names(Role aRole) const;

  /// The process of this name. Precondition: there is one.
  const Part& part(const std::string& aName) const { return mParts.at(aName); }

  bool running(const std::string& aProcess) { return mProcesses.running(aProcess); }

  /// Microseconds of the clock of all records.
  static std::int64_t nowUs();

  /// Runs the loop for a time.
  void pump(Duration aTime);

  /// Runs the loop until the condition holds. False if the limit passed first.
  bool waitFor(const std::function<bool()>& aCondition, Duration aLimit);

  /// Sends JSON to `address:port/path`. Fails with Unavailable unless it is accepted.
  Result<void> post(const std::string& aUrl, const Json::Value& aBody);

  /// Sets faults or controls of the platform, an engine or a service.
  Result<void> set(const std::string& aStandIn, const Json::Value& aFaults);

  /// Sets the fault of each of these routes.
  Result<void> setRoutes(const std::vector<std::string>& aRoutes, Json::Value aFault);

  /// Says that an engine leaves, by its own report.
  Result<void> setLeaving(const std::string& aEngine);

  // What the row itself does to processes; each is noted as an outage. `wake` and
  // `restart` wait until the process is ready, and end the outage then or at the limit.
  Result<void> kill(const std::string& aProcess);
  Result<void> freeze(const std::string& aProcess);
  Result<void> wake(const std::string& aProcess);
  Result<void> restart(const std::string& aProcess);

  /// Sends SIGTERM and goes on; `finishStops` collects the exit statuses.
  Result<void> beginStop(const std::string& aProcess);
  void finishStops();

  /// Keeps a stop of this process out of the evidence: the fault itself breaks what P8
  /// promises.
  void excuseStop(const std::string& aProcess);

  /// Notes that commits have no way to a process, until `endCutOff`.
  void beginCutOff(const std::string& aProcess);
  void endCutOff();

  /// Starts `savoryrill apply` with a new revision and returns the process name, which
  /// is also the change id. `waitApply` returns its exit status.
  Result<std::string> beginApply();
  Result<int> waitApply(const std::string& aProcess);

  /// Sends requests; they are in the evidence once they have ended.
  void send(std::vector<testing::PlannedRequest> aPlan);

  /// Waits for the end of all requests sent.
  bool waitCallers(Duration aLimit);

  /// Drops the records of callers that have ended, and notes a version by hand. Both are
  /// for the self test, which plays parts of a faulty system.
  void forgetCallers() { mEvidence.callers.clear(); }
  void noteVersion(VersionSeen aSeen) { mEvidence.versions.push_back(std::move(aSeen)); }

  /// The first record after `aFromUs` that fits, with the name of its stand-in.
  struct Found
  {
    std::string process;
    Json::Value record;
  };
  std::optional<Found> find(const std::vector<std::string>& aProcesses,
                            std::int64_t aFromUs,
                            const std::function<bool(const Json::Value&)>& aFits);

  /// The host that owns an upstream by the platform's records, empty if none.
  std::string ownerOf(const std::string& aUpstream);

  /// What happened so far.
  const Evidence& evidence();

  /// Lines in records that could not be read.
  std::size_t unreadableRecords() const;

private:
  struct Load
  {
    std::vector<testing::PlannedRequest> plan;
    std::unique_ptr<testing::LoadGenerator> generator;
    bool done = false;
  };

  Cluster(ClusterOptions aOptions,
          testing::Processes aProcesses,
          std::unique_ptr<event::Loop> aLoop,
          std::unique_ptr<http::Client> aClient);

  Result<void> startProcess(const Part& aPart);
  Result<std::vector<std::string>> arguments(const Part& aPart);
  bool isReady(const Part& aPart);
  std::optional<http::Response> ask(http::ClientRequest aRequest);
  const std::vector<Json::Value>& records(const std::string& aProcess);
  void pollVersions();
  void collect(const Load& aLoad);

  ClusterOptions mOptions;
  Topology mTopology;
  std::map<std::string, Part> mParts;
  testing::Processes mProcesses;
  std::unique_ptr<event::Loop> mLoop;
  std::unique_ptr<http::Client> mClient;
  std::map<std::string, RecordFile> mRecords;
  Evidence mEvidence;
  std::map<std::string, StopRecord> mStops;
  std::set<std::string> mExcused;
  std::vector<std::unique_ptr<Load>> mLoads;
  std::map<std::string, std::unique_ptr<http::RequestHandle>> mPolls;
  event::Watch mPolling;
  unsigned mRevision = 0;
  std::string mToken;
};

} // namespace savoryrill::matrix
