#include "testing/internal/tablejson.h"

#include <cmath>

#include "testing/internal/json.h"

namespace savoryrill::testing {

namespace {

constexpr double kMaxTimeToLiveS = 1e8;

Result<platform::RowCheck>
readCheck(const Json::Value& aCheck)
{
  if (!aCheck.isObject() || textMember(aCheck, "key").empty() ||
      !aCheck["version"].isUInt64()) {
    return fail(ErrorCode::Malformed, "a check needs \"key\" and \"version\"");
  }
  return platform::RowCheck{ textMember(aCheck, "key"), aCheck["version"].asUInt64() };
}

Result<platform::RowWrite>
readWrite(const Json::Value& aWrite)
{
  if (!aWrite.isObject() || textMember(aWrite, "key").empty()) {
    return fail(ErrorCode::Malformed, "a write needs \"key\"");
  }
  platform::RowWrite write;
  write.key = textMember(aWrite, "key");
  const bool remove = flagMember(aWrite, "delete");
  if (remove == aWrite["value"].isString()) {
    return fail(ErrorCode::Malformed,
                "a write needs either \"value\" (text) or \"delete\": true");
  }
  if (!remove) {
    write.value = aWrite["value"].asString();
  }
  const double ttl_s = realMember(aWrite, "ttl_s");
  if (ttl_s < 0 || ttl_s > kMaxTimeToLiveS) {
    return fail(ErrorCode::Malformed, "\"ttl_s\" is out of range");
  }
  write.timeToLive = Duration(std::llround(ttl_s * 1e6));
  return write;
}

} // namespace

Result<platform::Transaction>
readTransaction(const Json::Value& aBody)
{
  const Json::Value& checks = aBody["checks"];
  const Json::Value& writes = aBody["writes"];
  if (!(checks.isNull() || checks.isArray()) || !(writes.isNull() || writes.isArray())) {
    return fail(ErrorCode::Malformed, "\"checks\" and \"writes\" must be lists");
  }
  platform::Transaction transaction;
  for (const auto& check : checks) {
    BOOST_OUTCOME_TRY(read, readCheck(check));
    transaction.checks.push_back(std::move(read));
  }
  for (const auto& write : writes) {
    BOOST_OUTCOME_TRY(read, readWrite(write));
    transaction.writes.push_back(std::move(read));
  }
  return transaction;
}

Json::Value
toJson(const platform::TransactionOutcome& aOutcome)
{
  Json::Value value;
  value["committed"] = aOutcome.committed;
  const auto& versions = aOutcome.committed ? aOutcome.versions : aOutcome.conflicts;
  Json::Value& target = value[aOutcome.committed ? "versions" : "conflicts"];
  target = Json::objectValue;
  for (const auto& [key, version] : versions) {
    target[key] = Json::UInt64(version);
  }
  return value;
}

Json::Value
toJson(const platform::Row& aRow)
{
  return fields({ { "key", aRow.key },
                  { "version", Json::UInt64(aRow.version) },
                  { "value", aRow.value } });
}

Result<std::vector<platform::HostEntry>>
readHosts(const Json::Value& aBody)
{
  const Json::Value& hosts = aBody["hosts"];
  if (!hosts.isArray()) {
    return fail(ErrorCode::Malformed, "\"hosts\" must be a list");
  }
  std::vector<platform::HostEntry> entries;
  for (const auto& host : hosts) {
    const bool object = host.isObject() && !textMember(host, "name").empty();
    const auto state =
      object ? fromName<platform::HostState>(textMember(host, "state")) : std::nullopt;
    if (!state) {
      return fail(ErrorCode::Malformed,
                  "a host needs \"name\" and \"state\" (live or leaving)");
    }
    entries.push_back(
      { textMember(host, "name"), textMember(host, "data_centre"), *state });
  }
  return entries;
}

Json::Value
toJson(const std::vector<platform::HostEntry>& aHosts)
{
  Json::Value value;
  value["hosts"] = Json::arrayValue;
  for (const auto& host : aHosts) {
    value["hosts"].append(fields({ { "name", host.name },
                                   { "data_centre", host.dataCentre },
                                   { "state", std::string(nameOf(host.state)) } }));
  }
  return value;
}

} // namespace savoryrill::testing
