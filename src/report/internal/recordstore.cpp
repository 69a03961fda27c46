#include "report/recordstore.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "base/jsontext.h"

namespace savoryrill::report {

namespace {

constexpr std::array<std::pair<const char*, ObjectiveKind>, 3> kCounts{
  { { "availability", ObjectiveKind::Availability },
    { "first_token", ObjectiveKind::FirstToken },
    { "cold_start", ObjectiveKind::ColdStart } }
};
/// Counters beyond this make no sense; sums of valid ones cannot overflow.
constexpr std::uint64_t kMaxCount = 1ULL << 40U;
/// The year 2500; times beyond it make no sense.
constexpr std::uint64_t kMaxMinute = 280'000'000;
constexpr std::uint64_t kMillisecondsPerMinute = 60'000;
/// A thousand years of replica time.
constexpr double kMaxSeconds = 3.2e10;

std::optional<std::uint64_t>
countMember(const Json::Value& aObject, std::string_view aName)
{
  const auto value = unsignedMember<std::uint64_t>(aObject, aName);
  return value && *value <= kMaxCount ? value : std::nullopt;
}

std::optional<double>
secondsMember(const Json::Value& aObject, std::string_view aName)
{
  const Json::Value& value = memberOf(aObject, aName);
  if (!value.isNumeric()) {
    return std::nullopt;
  }
  const double seconds = value.asDouble();
  const bool valid = seconds >= 0 && seconds <= kMaxSeconds; // false for NaN, too
  return valid ? std::optional(seconds) : std::nullopt;
}

std::optional<MinuteCounts>
readMinute(const Json::Value& aValue)
{
  MinuteCounts result;
  for (const auto& [name, kind] : kCounts) {
    const Json::Value& value = memberOf(aValue, name);
    const auto good = countMember(value, "good");
    const auto bad = countMember(value, "bad");
    if (!good || !bad) {
      return std::nullopt;
    }
    result.objectives[kind] = { *good, *bad };
  }
  const auto longest = countMember(aValue, "longest_cold_start_ms");
  const Json::Value& refusals = memberOf(aValue, "refusals");
  if (!longest || !refusals.isObject()) {
    return std::nullopt;
  }
  result.longestColdStartMs = *longest;
  for (const auto& reason : refusals.getMemberNames()) {
    const auto number = countMember(refusals, reason);
    if (!number) {
      return std::nullopt;
    }
    result.refusals[reason] = *number;
  }
  return result;
}

/// Objectives may differ between sites. The strictest one is used.
template<typename T>
bool
takeSmaller(std::optional<T>& aKept, const std::optional<T>& aNew)
{
  const bool differs = aKept && aNew && *aKept != *aNew;
  if (aNew && (!aKept || *aNew < *aKept)) {
    aKept = aNew;
  }
  return differs;
}

} // namespace

void
Count::add(const Count& aOther)
{
  good += aOther.good;
  bad += aOther.bad;
}

double
MinuteCounts::sum() const
{
  double result = 0;
  for (const auto& [kind, count] : objectives) {
    result += count.total();
  }
  for (const auto& [reason, number] : refusals) {
    result += static_cast<double>(number);
  }
  return result;
}

void
RecordStore::find(const std::string& aSource, const std::string& aText)
{
  const std::string finding = aSource + ": " + aText;
  if (std::find(mFindings.begin(), mFindings.end(), finding) != mFindings.end()) {
    return;
  }
  if (mFindings.size() < kMaxFindings) {
    mFindings.push_back(finding);
  } else {
    ++mFindingsLeftOut;
  }
}

void
RecordStore::add(const std::string& aSource, const Json::Value& aRecord)
{
  if (!aRecord.isObject()) {
    find(aSource, "the record is no JSON object");
    return;
  }
  const Json::Value& deployments = memberOf(aRecord, "deployments");
  const Json::Value& models = memberOf(aRecord, "models");
  if (deployments.isNull() && models.isNull()) {
    find(aSource, "the record has neither 'deployments' nor 'models'");
    return;
  }
  ProcessKey key;
  key.process = deployments.isNull() ? "savoryrill-controller" : "savoryrill-router";
  key.host = stringMember(aRecord, "host").value_or("");
  const auto incarnation = unsignedMember<std::uint64_t>(aRecord, "incarnation");
  if (incarnation && !key.host.empty()) {
    key.incarnation = *incarnation;
  } else {
    key.address = aSource;
    find(aSource, "the record names no host and incarnation; it is told by its address");
  }
  auto& process = mProcesses[key];
  process.dataCentre = stringMember(aRecord, "data_centre").value_or("");
  addObjectives(aSource, memberOf(aRecord, "objectives"));
  addDeployments(aSource, deployments, process);
  addModels(aSource, models, process);
  addColdLoads(aSource, memberOf(aRecord, "cold_loads"), process);
}

void
RecordStore::addObjectives(const std::string& aSource, const Json::Value& aValue)
{
  if (!aValue.isObject()) {
    if (!aValue.isNull()) {
      find(aSource, "'objectives' is no object");
    }
    return;
  }
  for (const auto& name : aValue.getMemberNames()) {
    const Json::Value& entry = aValue[name];
    const Json::Value& availability = memberOf(entry, "availability");
    const double wanted = availability.isNumeric() ? availability.asDouble() : -1;
    if (!(wanted > 0 && wanted <= 1)) {
      find(aSource, "the objectives of '" + name + "' have no availability in (0, 1]");
      continue;
    }
    const auto added = mObjectives.try_emplace(name, Objectives{ wanted, {}, {} });
    auto& kept = added.first->second;
    bool differs = kept.availability != wanted;
    kept.availability = std::max(kept.availability, wanted);
    differs |= takeSmaller(kept.firstTokenMs, countMember(entry, "first_token_ms"));
    differs |= takeSmaller(kept.coldStartMs, countMember(entry, "cold_start_ms"));
    if (differs) {
      find("objectives",
           "'" + name +
             "' has different ones at several processes; the strictest are shown");
    }
  }
}

void
RecordStore::addDeployments(const std::string& aSource,
                            const Json::Value& aValue,
                            Process& aProcess)
{
  if (!aValue.isObject()) {
    if (!aValue.isNull()) {
      find(aSource, "'deployments' is no object");
    }
    return;
  }
  for (const auto& name : aValue.getMemberNames()) {
    const Json::Value& list = memberOf(aValue[name], "minutes");
    if (!list.isArray()) {
      find(aSource, "deployment '" + name + "' has no list 'minutes'");
      continue;
    }
    for (const auto& entry : list) {
      const auto minute = unsignedMember<std::uint64_t>(entry, "minute");
      auto counts = readMinute(entry);
      if (!minute || *minute > kMaxMinute || !counts) {
        find(aSource, "deployment '" + name + "' has a malformed minute");
        continue;
      }
      auto& kept = aProcess.deployments[name][static_cast<Minute>(*minute)];
      if (counts->sum() >= kept.sum()) {
        kept = std::move(*counts);
      }
    }
  }
}

void
RecordStore::addModels(const std::string& aSource,
                       const Json::Value& aValue,
                       Process& aProcess)
{
  if (!aValue.isObject()) {
    if (!aValue.isNull()) {
      find(aSource, "'models' is no object");
    }
    return;
  }
  for (const auto& name : aValue.getMemberNames()) {
    const Json::Value& entry = aValue[name];
    const auto loaded = secondsMember(entry, "loaded_s");
    const auto idle = secondsMember(entry, "idle_s");
    const auto loads = countMember(entry, "cold_loads");
    if (!loaded || !idle || !loads || *idle > *loaded) {
      find(aSource, "model '" + name + "' has malformed usage");
      continue;
    }
    auto& kept = aProcess.models[name];
    kept.loadedSeconds = std::max(kept.loadedSeconds, *loaded);
    kept.idleSeconds = std::max(kept.idleSeconds, *idle);
    kept.coldLoads = std::max(kept.coldLoads, *loads);
  }
}

void
RecordStore::addColdLoads(const std::string& aSource,
                          const Json::Value& aValue,
                          Process& aProcess)
{
  if (!aValue.isArray()) {
    if (!aValue.isNull()) {
      find(aSource, "'cold_loads' is no list");
    }
    return;
  }
  for (const auto& entry : aValue) {
    const auto model = stringMember(entry, "model");
    const auto upstream = stringMember(entry, "upstream");
    const auto duration = countMember(entry, "duration_ms");
    const auto time = unsignedMember<std::uint64_t>(entry, "time_ms");
    if (!model || !upstream || !duration || !time ||
        *time > kMaxMinute * kMillisecondsPerMinute) {
      find(aSource, "a cold load is malformed");
      continue;
    }
    aProcess.coldLoads.insert({ *model, *upstream, *duration, *time });
  }
}

} // namespace savoryrill::report
