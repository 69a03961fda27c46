#include <algorithm>

#include "matrix/cluster.h"
#include "matrix/internal/recordaccess.h"

namespace savoryrill::matrix {

namespace {

using testing::textMember;

constexpr Duration kLoadLimit = 40s;
constexpr Duration kStatusLimit = 500ms;

} // namespace

void
Cluster::pollVersions()
{
  for (const auto& [name, part] : mParts) {
    if (!part.isDaemon()) {
      continue;
    }
    http::ClientRequest request;
    request.url = "http://" + part.address + "/admin/v1/status";
    request.headers["Authorization"] = "Bearer " + mToken;
    request.totalTimeout = kStatusLimit;
    request.freshConnection = true;
    http::ClientCallbacks callbacks;
    callbacks.onDone = [this, process = name](const http::ClientOutcome& aOutcome) {
      if (!aOutcome.response || aOutcome.response.value().status != 200) {
        return;
      }
      if (const auto status = testing::parseObject(aOutcome.response.value().body)) {
        const auto version = testing::numberMember(status.value(), "config_version");
        noteVersion({ process, nowUs(), version });
      }
    };
    mPolls[name] = mClient->start(std::move(request), std::move(callbacks));
  }
}

void
Cluster::send(std::vector<testing::PlannedRequest> aPlan)
{
  auto load = std::make_unique<Load>();
  load->plan = aPlan;
  testing::LoadOptions options;
  options.timeLimit = kLoadLimit;
  auto generator = testing::LoadGenerator::create(*mLoop, std::move(aPlan), options);
  load->generator = std::move(generator.value());
  load->generator->start([target = load.get()] { target->done = true; });
  mLoads.push_back(std::move(load));
}

bool
Cluster::waitCallers(Duration aLimit)
{
  const auto done = [this] {
    return std::all_of(
      mLoads.begin(), mLoads.end(), [](const auto& aLoad) { return aLoad->done; });
  };
  const bool ended = waitFor(done, aLimit);
  for (const auto& load : mLoads) {
    collect(*load);
  }
  mLoads.clear();
  return ended;
}

void
Cluster::collect(const Load& aLoad)
{
  for (const auto& line : aLoad.generator->recorder().kept("request")) {
    const auto& plan = aLoad.plan.at(line["request"].asUInt64());
    CallerRecord record;
    record.process = plan.target;
    for (const auto& [name, part] : mParts) {
      if (part.callerAddress == plan.target || part.address == plan.target) {
        record.process = name;
      }
    }
    record.service = plan.kind == testing::LoadKind::Service;
    record.model = record.service ? plan.service : plan.model;
    record.marker = plan.marker;
    record.key = plan.key;
    record.requestId = textMember(line, "request_id");
    record.problemType = textMember(line, "problem_type");
    record.ran = textMember(line, "ran");
    record.outcome = fromName<testing::LoadOutcome>(textMember(line, "outcome"))
                       .value_or(testing::LoadOutcome::Unfinished);
    record.sentUs = line["sent_us"].asInt64();
    record.endUs = line["end_us"].asInt64();
    record.deadlineUs = static_cast<std::int64_t>(plan.deadlineMs) * 1000;
    mEvidence.callers.push_back(std::move(record));
  }
}

const std::vector<Json::Value>&
Cluster::records(const std::string& aProcess)
{
  // A process that could not be started has no records.
  auto& file = mRecords.try_emplace(aProcess, "").first->second;
  file.update();
  return file.records();
}

std::optional<Cluster::Found>
Cluster::find(const std::vector<std::string>& aProcesses,
              std::int64_t aFromUs,
              const std::function<bool(const Json::Value&)>& aFits)
{
  for (const auto& process : aProcesses) {
    for (const auto& record : records(process)) {
      if (timeOf(record) >= aFromUs && aFits(record)) {
        return Found{ process, record };
      }
    }
  }
  return std::nullopt;
}

std::string
Cluster::ownerOf(const std::string& aUpstream)
{
  std::string value;
  for (const auto& record : records("platform")) {
    if (isKind(record, "transaction") && testing::flagMember(record, "committed")) {
      for (const auto& write : record["writes"]) {
        const bool owner = textMember(write, "key") == "owner/" + aUpstream;
        value = owner ? textMember(write, "value") : value;
      }
    }
  }
  for (const auto& host : Topology::kHosts) {
    if (value.find("\"" + std::string(host.name) + "\"") != std::string::npos) {
      return std::string(host.name);
    }
  }
  return {};
}

std::size_t
Cluster::unreadableRecords() const
{
  std::size_t count = 0;
  for (const auto& [process, file] : mRecords) {
    count += file.unreadable();
  }
  return count;
}

const Evidence&
Cluster::evidence()
{
  for (const auto& engine : names(Role::Engine)) {
    mEvidence.engines[engine] = records(engine);
  }
  for (const auto& service : names(Role::Service)) {
    mEvidence.services[service] = records(service);
  }
  mEvidence.platform = records("platform");
  return mEvidence;
}

} // namespace savoryrill::matrix
