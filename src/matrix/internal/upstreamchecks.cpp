#include <set>

#include "matrix/checker.h"
#include "matrix/internal/recordaccess.h"

namespace savoryrill::matrix {

namespace {

using testing::flagMember;
using testing::numberMember;
using testing::textMember;

constexpr std::int64_t
toUs(Duration aDuration)
{
  return aDuration.count();
}

struct EngineRecord
{
  std::int64_t atUs = 0;
  const std::string* engine = nullptr;
  const Json::Value* record = nullptr;
};

/// The records of all engines in the order of time.
std::vector<EngineRecord>
merged(const Evidence& aEvidence)
{
  std::vector<EngineRecord> all;
  for (const auto& [engine, records] : aEvidence.engines) {
    for (const auto& record : records) {
      all.push_back({ timeOf(record), &engine, &record });
    }
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.atUs < aRight.atUs;
  });
  return all;
}

bool
startsAfresh(const Json::Value& aRecord)
{
  return isKind(aRecord, "engine_started") || isKind(aRecord, "process_ended");
}

bool
removes(const Json::Value& aRecord)
{
  return isKind(aRecord, "unload_end") ||
         (isKind(aRecord, "load_end") && !flagMember(aRecord, "loaded"));
}

} // namespace

std::vector<Violation>
checkReplicaLimit(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  std::map<std::string, std::set<std::string>> holders; // engines by model
  for (const auto& [at_us, engine, record] : merged(aEvidence)) {
    if (startsAfresh(*record)) {
      for (auto& [model, engines] : holders) {
        engines.erase(*engine);
      }
      continue;
    }
    const std::string model = textMember(*record, "model");
    if (!textMember(*record, "adapter").empty()) {
      continue;
    }
    if (removes(*record)) {
      holders[model].erase(*engine);
    } else if (isKind(*record, "load_begin")) {
      auto& engines = holders[model];
      engines.insert(*engine);
      const auto limit = aEvidence.maxReplicas.find(model);
      const std::size_t allowed =
        limit == aEvidence.maxReplicas.end() ? 0 : limit->second;
      if (engines.size() > allowed) {
        violations.push_back({ Promise::ReplicaLimit,
                               model + " has " + std::to_string(engines.size()) +
                                 " replicas of " + std::to_string(allowed) + " since " +
                                 *engine + " began to load it at " +
                                 std::to_string(at_us) });
      }
    }
  }
  return violations;
}

std::vector<Violation>
checkMemory(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  for (const auto& [engine, records] : aEvidence.engines) {
    std::map<std::string, std::uint64_t> held_mb; // by model and adapter
    std::uint64_t memory_mb = 0;
    for (const auto& record : records) {
      const std::string name =
        textMember(record, "model") + "+" + textMember(record, "adapter");
      if (startsAfresh(record)) {
        held_mb.clear();
      } else if (removes(record)) {
        held_mb.erase(name);
      } else if (isKind(record, "load_begin")) {
        held_mb[name] = numberMember(record, "size_mb");
      } else if (isKind(record, "memory")) {
        memory_mb = numberMember(record, "memory_mb");
        std::uint64_t used_mb = 0;
        for (const auto& [resident, size_mb] : held_mb) {
          used_mb += size_mb;
        }
        used_mb = std::max(used_mb, numberMember(record, "used_mb"));
        if (used_mb > memory_mb) {
          violations.push_back({ Promise::Memory,
                                 engine + " holds " + std::to_string(used_mb) +
                                   " MB of " + std::to_string(memory_mb) + " at " +
                                   std::to_string(timeOf(record)) });
        }
      }
    }
  }
  return violations;
}

std::vector<Violation>
checkAtMostOnce(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  std::map<std::string, unsigned> runs; // by booking
  for (const auto& [service, records] : aEvidence.services) {
    for (const auto& record : records) {
      const std::string booking = textMember(record, "booking");
      if (isKind(record, "call_begin") && !booking.empty() && ++runs[booking] > 1) {
        violations.push_back({ Promise::AtMostOnce,
                               "booking " + booking + " ran " +
                                 std::to_string(runs[booking]) + " times, last at " +
                                 service });
      }
    }
  }
  for (const auto& caller : aEvidence.callers) {
    if (caller.outcome == testing::LoadOutcome::RanTwice) {
      violations.push_back(
        { Promise::AtMostOnce, "the caller of " + caller.marker + " saw a second run" });
    }
  }
  return violations;
}

std::vector<Violation>
checkLeavingUpstreams(const Evidence& aEvidence)
{
  std::vector<Violation> violations;
  static const std::set<std::string> kWork = {
    "request_begin", "request_refused", "load_begin", "call_begin", "call_refused"
  };
  const auto check = [&](const auto& aRecords, const LeavingNotice& aNotice) {
    const auto found = aRecords.find(aNotice.upstream);
    if (found == aRecords.end()) {
      return;
    }
    for (const auto& record : found->second) {
      const std::int64_t at_us = timeOf(record);
      if (at_us > aNotice.atUs && isKind(record, "engine_started")) {
        return; // a new incarnation is not leaving
      }
      const std::string kind = textMember(record, "kind");
      if (at_us > aNotice.atUs + toUs(kLeavingLimit) && kWork.count(kind) != 0) {
        violations.push_back({ Promise::LeavingUpstreams,
                               aNotice.upstream + " got " + kind + " of " +
                                 textMember(record, "model") + " " +
                                 std::to_string((at_us - aNotice.atUs) / 1000) +
                                 " ms after it was said to leave" });
      }
    }
  };
  for (const auto& notice : aEvidence.leaving) {
    check(aEvidence.engines, notice);
    check(aEvidence.services, notice);
  }
  return violations;
}

} // namespace savoryrill::matrix
