#include "matrix/checker.h"
#include "matrix/internal/recordaccess.h"

namespace savoryrill::matrix {

namespace {

using testing::flagMember;
using testing::parseObject;
using testing::textMember;

struct Commit
{
  std::uint64_t version = 0;
  std::int64_t atUs = 0;
};

/// The version in the value of a `config/head` row, which is JSON in a text or an object.
std::uint64_t
headVersion(const Json::Value& aWrite)
{
  const Json::Value& value = aWrite["value"];
  if (value.isObject()) {
    return testing::numberMember(value, "version");
  }
  const auto head = parseObject(textMember(aWrite, "value"));
  return head ? testing::numberMember(head.value(), "version") : 0;
}

std::vector<Commit>
commitsOf(const std::vector<Json::Value>& aPlatform)
{
  std::vector<Commit> commits;
  for (const auto& record : aPlatform) {
    if (!isKind(record, "transaction") || !flagMember(record, "committed")) {
      continue;
    }
    for (const auto& write : record["writes"]) {
      if (textMember(write, "key") == "config/head") {
        commits.push_back({ headVersion(write), timeOf(record) });
      }
    }
  }
  return commits;
}

std::vector<Outage>
outagesOf(const Evidence& aEvidence, const std::string& aProcess)
{
  std::vector<Outage> all;
  for (const auto* list : { &aEvidence.outages, &aEvidence.cutOff }) {
    const auto found = list->find(aProcess);
    if (found != list->end()) {
      all.insert(all.end(), found->second.begin(), found->second.end());
    }
  }
  return all;
}

/// When a process must have a version: outages that touch the time for it extend it.
std::int64_t
dueUs(const std::vector<Outage>& aOutages, std::int64_t aCommitUs)
{
  std::int64_t due_us = aCommitUs + kSpreadLimit.count();
  bool extended = true;
  while (extended) {
    extended = false;
    for (const auto& outage : aOutages) {
      if (outage.fromUs > due_us || outage.toUs < aCommitUs) {
        continue;
      }
      if (outage.toUs > std::numeric_limits<std::int64_t>::max() - 1000000000) {
        return std::numeric_limits<std::int64_t>::max();
      }
      if (outage.toUs + kSpreadLimit.count() > due_us) {
        due_us = outage.toUs + kSpreadLimit.count();
        extended = true;
      }
    }
  }
  return due_us;
}

} // namespace

std::vector<Violation>
checkConfiguration(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  std::map<std::string, std::vector<VersionSeen>> by_process;
  for (const auto& seen : aEvidence.versions) {
    auto& history = by_process[seen.process];
    if (seen.version != 0 && !history.empty() && seen.version < history.back().version) {
      violations.push_back({ Promise::Configuration,
                             seen.process + " went back from version " +
                               std::to_string(history.back().version) + " to " +
                               std::to_string(seen.version) });
    }
    if (seen.version != 0 || history.empty()) {
      history.push_back(seen);
    }
  }
  for (const auto& commit : commitsOf(aEvidence.platform)) {
    for (const auto& [process, history] : by_process) {
      const std::int64_t due_us = dueUs(outagesOf(aEvidence, process), commit.atUs);
      const bool reached =
        due_us == std::numeric_limits<std::int64_t>::max() ||
        std::any_of(history.begin(), history.end(), [&](const VersionSeen& aSeen) {
          return aSeen.version >= commit.version && aSeen.atUs <= due_us;
        });
      if (!reached) {
        violations.push_back({ Promise::Configuration,
                               process + " was not seen with version " +
                                 std::to_string(commit.version) + " within " +
                                 std::to_string((due_us - commit.atUs) / 1000) +
                                 " ms of its commit" });
      }
    }
  }
  return violations;
}

std::vector<Violation>
checkAll(const Evidence& aEvidence)
{
  std::vector<Violation> all;
  for (const auto check : { checkReplicaLimit,
                            checkMemory,
                            checkTimelyAnswers,
                            checkCompleteAnswers,
                            checkTrueRefusals,
                            checkAtMostOnce,
                            checkLeavingUpstreams,
                            checkGracefulStop,
                            checkConfiguration }) {
    auto found = check(aEvidence);
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

} // namespace savoryrill::matrix
