#include "cli/internal/confighead.h"

#include <array>
#include <json/json.h>
#include <openssl/evp.h>

#include "base/jsontext.h"

namespace savoryrill::cli {

namespace {

/// Enough for the changes of several minutes at the target size of 3,200 changes a day.
constexpr std::size_t kRecentChanges = 16;

} // namespace

Result<ConfigHead>
parseHead(std::string_view aValue)
{
  const auto parsed = parseJson(aValue);
  if (!parsed) {
    return parsed.as_failure();
  }
  const Json::Value& value = parsed.value();
  const auto version = unsignedMember<std::uint64_t>(value, "version");
  const auto change_id = stringMember(value, "change_id");
  const auto object = stringMember(value, "object");
  const auto sha256 = stringMember(value, "sha256");
  if (!version || !change_id || !object || !sha256) {
    return fail(ErrorCode::Malformed, "row config/head lacks a member");
  }
  ConfigHead head{ *version, *change_id, *object, *sha256, {} };
  const Json::Value& recent = memberOf(value, "recent");
  if (!recent.isArray()) {
    return head;
  }
  for (const auto& change : recent) {
    const auto recent_id = stringMember(change, "change_id");
    const auto recent_version = unsignedMember<std::uint64_t>(change, "version");
    if (recent_id && recent_version) {
      head.recent.push_back({ *recent_id, *recent_version });
    }
  }
  return head;
}

std::string
serialise(const ConfigHead& aHead)
{
  Json::Value value(Json::objectValue);
  value["version"] = Json::UInt64(aHead.version);
  value["change_id"] = aHead.changeId;
  value["object"] = aHead.object;
  value["sha256"] = aHead.sha256;
  value["recent"] = Json::Value(Json::arrayValue);
  for (const auto& change : aHead.recent) {
    Json::Value entry(Json::objectValue);
    entry["change_id"] = change.changeId;
    entry["version"] = Json::UInt64(change.version);
    value["recent"].append(std::move(entry));
  }
  return toCompactJson(value);
}

ConfigHead
nextHead(const ConfigHead& aHead, std::string aChangeId, std::string aSha256)
{
  ConfigHead next;
  next.version = aHead.version + 1;
  next.changeId = std::move(aChangeId);
  next.object = "config/" + aSha256;
  next.sha256 = std::move(aSha256);
  next.recent = aHead.recent;
  if (aHead.version > 0) {
    next.recent.push_back({ aHead.changeId, aHead.version });
  }
  if (next.recent.size() > kRecentChanges) {
    next.recent.erase(next.recent.begin(), next.recent.end() - kRecentChanges);
  }
  return next;
}

std::optional<std::uint64_t>
versionOf(const ConfigHead& aHead, std::string_view aChangeId)
{
  if (aHead.version > 0 && aHead.changeId == aChangeId) {
    return aHead.version;
  }
  for (const auto& change : aHead.recent) {
    if (change.changeId == aChangeId) {
      return change.version;
    }
  }
  return std::nullopt;
}

bool
remembersSince(const ConfigHead& aHead, std::uint64_t aFirst)
{
  const std::uint64_t oldest =
    aHead.recent.empty() ? aHead.version : aHead.recent.front().version;
  return oldest <= aFirst;
}

std::string
sha256Of(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string result;
  for (unsigned index = 0; index < size; ++index) {
    result += kDigits[digest[index] >> 4U];
    result += kDigits[digest[index] & 0x0FU];
  }
  return result;
}

} // namespace savoryrill::cli
