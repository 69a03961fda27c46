#include "platform/internal/platformjson.h"

#include <algorithm>
#include <set>

#include "base/jsontext.h"

namespace savoryrill::platform {

namespace {

bool
isUnreserved(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         std::string_view("-._~").find(aCharacter) != std::string_view::npos;
}

std::optional<std::map<std::string, std::uint64_t>>
versionMap(const Json::Value& aObject)
{
  if (!aObject.isObject()) {
    return std::nullopt;
  }
  std::map<std::string, std::uint64_t> versions;
  for (const auto& key : aObject.getMemberNames()) {
    const auto version = unsignedMember<std::uint64_t>(aObject, key);
    if (!version) {
      return std::nullopt;
    }
    versions[key] = *version;
  }
  return versions;
}

Result<Row>
rowOf(const Json::Value& aValue)
{
  const auto key = stringMember(aValue, "key");
  const auto version = unsignedMember<std::uint64_t>(aValue, "version");
  const auto value = stringMember(aValue, "value");
  if (!key || key->empty() || !version || *version == 0 || !value) {
    return fail(ErrorCode::Malformed, "a table row lacks its key, version or value");
  }
  return Row{ *key, *version, *value };
}

Result<HostEntry>
hostOf(const Json::Value& aValue)
{
  const auto name = stringMember(aValue, "name");
  const auto data_centre = stringMember(aValue, "data_centre");
  const auto state_name = stringMember(aValue, "state");
  if (!name || name->empty() || !data_centre || !state_name) {
    return fail(ErrorCode::Malformed, "a host lacks its name, data centre or state");
  }
  const auto state = fromName<HostState>(*state_name);
  if (!state) {
    return fail(ErrorCode::Malformed, "unknown host state: " + *state_name);
  }
  return HostEntry{ *name, *data_centre, *state };
}

bool
hasAllVersions(const TransactionOutcome& aOutcome, const Transaction& aTransaction)
{
  return std::all_of(
    aTransaction.writes.begin(), aTransaction.writes.end(), [&](const RowWrite& aWrite) {
      const auto found = aOutcome.versions.find(aWrite.key);
      return !aWrite.value || (found != aOutcome.versions.end() && found->second > 0);
    });
}

} // namespace

std::string
percentEncode(std::string_view aText, std::string_view aUnescaped)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : aText) {
    if (isUnreserved(character) || aUnescaped.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

std::string
encodeTransaction(const Transaction& aTransaction)
{
  Json::Value body(Json::objectValue);
  body["checks"] = Json::Value(Json::arrayValue);
  for (const auto& check : aTransaction.checks) {
    Json::Value item(Json::objectValue);
    item["key"] = check.key;
    item["version"] = Json::UInt64(check.version);
    body["checks"].append(std::move(item));
  }
  body["writes"] = Json::Value(Json::arrayValue);
  for (const auto& write : aTransaction.writes) {
    Json::Value item(Json::objectValue);
    item["key"] = write.key;
    if (write.value) {
      item["value"] = *write.value;
    } else {
      item["delete"] = true;
    }
    if (write.value && write.timeToLive > Duration::zero()) {
      item["ttl_s"] = toSeconds(write.timeToLive);
    }
    body["writes"].append(std::move(item));
  }
  return toCompactJson(body);
}

Result<TransactionOutcome>
decodeOutcome(int aStatus, const std::string& aBody, const Transaction& aTransaction)
{
  BOOST_OUTCOME_TRY(body, parseJson(aBody));
  const bool committed = aStatus == 200;
  const Json::Value& committed_member = memberOf(body, "committed");
  const auto versions = versionMap(memberOf(body, committed ? "versions" : "conflicts"));
  if (!committed_member.isBool() || committed_member.asBool() != committed || !versions) {
    return fail(
      ErrorCode::Malformed,
      "the response to a transaction contradicts its status or lacks the versions");
  }
  TransactionOutcome outcome;
  outcome.committed = committed;
  (committed ? outcome.versions : outcome.conflicts) = *versions;
  if (committed && !hasAllVersions(outcome, aTransaction)) {
    return fail(ErrorCode::Malformed, "the response lacks the version of a written row");
  }
  return outcome;
}

Result<Row>
decodeRow(const std::string& aBody, const std::string& aKey)
{
  BOOST_OUTCOME_TRY(body, parseJson(aBody));
  BOOST_OUTCOME_TRY(row, rowOf(body));
  if (row.key != aKey) {
    return fail(ErrorCode::Malformed, "requested row " + aKey + ", received " + row.key);
  }
  return row;
}

Result<std::vector<Row>>
decodeRows(const std::string& aBody, const std::string& aPrefix)
{
  BOOST_OUTCOME_TRY(body, parseJson(aBody));
  const Json::Value& list = memberOf(body, "rows");
  if (!list.isArray()) {
    return fail(ErrorCode::Malformed, "the response has no list of rows");
  }
  std::map<std::string, Row> sorted;
  for (const auto& item : list) {
    BOOST_OUTCOME_TRY(row, rowOf(item));
    if (!row.key.starts_with(aPrefix) || sorted.count(row.key) > 0) {
      return fail(ErrorCode::Malformed, "unexpected or repeated row " + row.key);
    }
    sorted[row.key] = std::move(row);
  }
  std::vector<Row> rows;
  for (auto& [key, row] : sorted) {
    rows.push_back(std::move(row));
  }
  return rows;
}

Result<std::vector<HostEntry>>
decodeHosts(const std::string& aBody)
{
  BOOST_OUTCOME_TRY(body, parseJson(aBody));
  const Json::Value& list = memberOf(body, "hosts");
  if (!list.isArray()) {
    return fail(ErrorCode::Malformed, "the response has no list of hosts");
  }
  std::vector<HostEntry> hosts;
  std::set<std::string> names;
  for (const auto& item : list) {
    BOOST_OUTCOME_TRY(host, hostOf(item));
    if (!names.insert(host.name).second) {
      return fail(ErrorCode::Malformed, "repeated host " + host.name);
    }
    hosts.push_back(std::move(host));
  }
  return hosts;
}

} // namespace savoryrill::platform
