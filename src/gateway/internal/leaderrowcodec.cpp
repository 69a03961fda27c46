#include "gateway/internal/leaderrowcodec.h"

#include "base/jsontext.h"

namespace savoryrill::gateway {

std::string
encodeLeaderRow(const serving::LeaderRow& aRow)
{
  Json::Value value(Json::objectValue);
  value["host"] = aRow.host;
  value["endpoint"] = aRow.endpoint;
  value["term"] = aRow.term;
  value["released"] = aRow.released;
  value["era"] = Json::UInt64(aRow.era);
  value["pausing"] = aRow.pausing;
  if (!aRow.successor.empty()) {
    value["successor"] = aRow.successor;
  }
  return toCompactJson(value);
}

Result<serving::LeaderRow>
decodeLeaderRow(std::string_view aValue)
{
  BOOST_OUTCOME_TRY(value, parseJson(aValue));
  serving::LeaderRow row;
  const auto host = stringMember(value, "host");
  const auto endpoint = stringMember(value, "endpoint");
  const auto term = stringMember(value, "term");
  const auto& released = memberOf(value, "released");
  if (!host || !endpoint || !term || !released.isBool()) {
    return fail(
      ErrorCode::Malformed,
      "leader row lacks host, endpoint, term or released, or one has the wrong type");
  }
  row.host = *host;
  row.endpoint = *endpoint;
  row.term = *term;
  row.released = released.asBool();
  row.successor = stringMember(value, "successor").value_or("");
  row.era =
    unsignedMember<std::uint64_t>(value, "era").value_or(0); // 0: by an old release
  row.pausing = flagMember(value, "pausing");
  return row;
}

} // namespace savoryrill::gateway
