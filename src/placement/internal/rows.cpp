#include "placement/types/rows.h"

#include <algorithm>
#include <json/json.h>
#include <memory>
#include <set>

namespace savoryrill::placement {

namespace {

std::string
write(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Result<Json::Value>
parseObject(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  builder["strictRoot"] = true;
  // Every row is less deeply nested than this; the default would allow deep recursion.
  builder["stackLimit"] = 16;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  bool parsed = false;
  try {
    parsed = reader->parse(aText.data(), aText.data() + aText.size(), &value, &errors);
  } catch (const Json::Exception& aException) {
    errors = aException.what();
  }
  if (!parsed || !value.isObject()) {
    return fail(ErrorCode::Malformed, "row value is not a JSON object: " + errors);
  }
  return value;
}

bool
isCount(const Json::Value& aObject, const char* aName)
{
  return aObject[aName].isUInt64();
}

auto
malformed(const char* aKind)
{
  return fail(ErrorCode::Malformed, std::string(aKind) + " row lacks a valid member");
}

} // namespace

const Place*
AssignmentRow::find(std::string_view aUpstream) const
{
  const auto found = std::find_if(places.begin(), places.end(), [&](const Place& aPlace) {
    return aPlace.upstream == aUpstream;
  });
  return found == places.end() ? nullptr : &*found;
}

std::uint64_t
SlotsRow::totalMb() const
{
  std::uint64_t total = 0;
  for (const auto& [name, footprint] : footprintsMb) {
    total += footprint;
  }
  return total;
}

std::string
sessionKey(std::string_view aHost)
{
  return std::string(kSessionPrefix).append(aHost);
}

std::string
ownerKey(std::string_view aUpstream)
{
  return std::string(kOwnerPrefix).append(aUpstream);
}

std::string
assignmentKey(const config::Loadable& aLoadable)
{
  return std::string(kAssignmentPrefix) + config::toString(aLoadable);
}

std::string
slotsKey(std::string_view aUpstream)
{
  return std::string(kSlotsPrefix).append(aUpstream);
}

Result<config::Loadable>
parseLoadable(std::string_view aText)
{
  const auto at = aText.find('@');
  if (at == std::string_view::npos || at == 0 || at + 1 == aText.size()) {
    return fail(ErrorCode::Malformed,
                "not of the form deployment@version: " + std::string(aText));
  }
  return config::Loadable{ std::string(aText.substr(0, at)),
                           std::string(aText.substr(at + 1)) };
}

std::string
toJson(const SessionRow& aRow)
{
  Json::Value value;
  value["data_centre"] = aRow.dataCentre;
  value["incarnation"] = Json::UInt64(aRow.incarnation);
  value["attempt"] = Json::UInt64(aRow.attempt);
  value["leaving"] = aRow.leaving;
  return write(value);
}

std::string
toJson(const OwnerRow& aRow)
{
  Json::Value value;
  value["host"] = aRow.host;
  value["incarnation"] = Json::UInt64(aRow.incarnation);
  value["fencing_number"] = Json::UInt64(aRow.fencingNumber);
  return write(value);
}

std::string
toJson(const AssignmentRow& aRow)
{
  Json::Value value;
  value["places"] = Json::Value(Json::arrayValue);
  for (const auto& place : aRow.places) {
    Json::Value item;
    item["upstream"] = place.upstream;
    item["state"] = std::string(nameOf(place.state));
    value["places"].append(item);
  }
  return write(value);
}

std::string
toJson(const SlotsRow& aRow)
{
  Json::Value value;
  value["models"] = Json::Value(Json::objectValue);
  for (const auto& [name, footprint] : aRow.footprintsMb) {
    value["models"][name] = footprint;
  }
  return write(value);
}

std::string
toJson(const HeadRow& aRow)
{
  Json::Value value;
  value["version"] = Json::UInt64(aRow.version);
  value["change_id"] = aRow.changeId;
  value["object"] = aRow.object;
  value["sha256"] = aRow.sha256;
  return write(value);
}

Result<SessionRow>
parseSession(const std::string& aText)
{
  BOOST_OUTCOME_TRY(value, parseObject(aText));
  if (!value["data_centre"].isString() || !isCount(value, "incarnation") ||
      !isCount(value, "attempt") || !value["leaving"].isBool()) {
    return malformed("session");
  }
  return SessionRow{ value["data_centre"].asString(),
                     value["incarnation"].asUInt64(),
                     value["attempt"].asUInt64(),
                     value["leaving"].asBool() };
}

Result<OwnerRow>
parseOwner(const std::string& aText)
{
  BOOST_OUTCOME_TRY(value, parseObject(aText));
  if (!value["host"].isString() || !isCount(value, "incarnation") ||
      !isCount(value, "fencing_number")) {
    return malformed("owner");
  }
  return OwnerRow{ value["host"].asString(),
                   value["incarnation"].asUInt64(),
                   value["fencing_number"].asUInt64() };
}

Result<AssignmentRow>
parseAssignment(const std::string& aText)
{
  BOOST_OUTCOME_TRY(value, parseObject(aText));
  if (!value["places"].isArray()) {
    return malformed("assignment");
  }
  AssignmentRow row;
  for (const auto& item : value["places"]) {
    if (!item.isObject() || !item["upstream"].isString() || !item["state"].isString()) {
      return malformed("assignment");
    }
    const auto state = fromName<PlaceState>(item["state"].asString());
    const std::string upstream = item["upstream"].asString();
    if (!state || row.find(upstream) != nullptr) {
      return malformed("assignment");
    }
    row.places.push_back({ upstream, *state });
  }
  return row;
}

Result<SlotsRow>
parseSlots(const std::string& aText)
{
  BOOST_OUTCOME_TRY(value, parseObject(aText));
  if (!value["models"].isObject()) {
    return malformed("slots");
  }
  SlotsRow row;
  for (const auto& name : value["models"].getMemberNames()) {
    if (!value["models"][name].isUInt()) {
      return malformed("slots");
    }
    row.footprintsMb[name] = value["models"][name].asUInt();
  }
  return row;
}

Result<HeadRow>
parseHead(const std::string& aText)
{
  BOOST_OUTCOME_TRY(value, parseObject(aText));
  if (!isCount(value, "version") || !value["change_id"].isString() ||
      !value["object"].isString() || !value["sha256"].isString()) {
    return malformed("config/head");
  }
  return HeadRow{ value["version"].asUInt64(),
                  value["change_id"].asString(),
                  value["object"].asString(),
                  value["sha256"].asString() };
}

} // namespace savoryrill::placement
