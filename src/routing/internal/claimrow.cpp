#include "routing/claimrow.h"

#include <json/json.h>
#include <memory>

namespace savoryrill::routing {

namespace {

bool
hasText(const Json::Value& aObject, const char* aName)
{
  return aObject[aName].isString() && !aObject[aName].asString().empty();
}

Result<RecordedOutcome>
parseOutcome(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["status"].isInt() ||
      !aValue["content_type"].isString()) {
    return fail(ErrorCode::Malformed,
                "the claim row has no outcome with a status and content type");
  }
  RecordedOutcome outcome;
  outcome.status = aValue["status"].asInt();
  outcome.contentType = aValue["content_type"].asString();
  if (aValue["body"].isString()) {
    outcome.body = aValue["body"].asString();
  } else if (hasText(aValue, "object")) {
    outcome.object = aValue["object"].asString();
  } else {
    return fail(ErrorCode::Malformed, "the outcome in the claim row has no body");
  }
  return outcome;
}

} // namespace

std::string
claimKey(std::string_view aCaller, std::string_view aKey)
{
  return "claim/" + std::string(aCaller) + "/" + std::string(aKey);
}

std::string
serialise(const ClaimRow& aRow)
{
  Json::Value value(Json::objectValue);
  value["attempt"] = aRow.attempt;
  value["request_digest"] = aRow.requestDigest;
  value["state"] = std::string(nameOf(aRow.state));
  if (aRow.state == ClaimState::Done) {
    Json::Value outcome(Json::objectValue);
    outcome["status"] = aRow.outcome.status;
    outcome["content_type"] = aRow.outcome.contentType;
    if (aRow.outcome.object.empty()) {
      outcome["body"] = aRow.outcome.body;
    } else {
      outcome["object"] = aRow.outcome.object;
    }
    value["outcome"] = outcome;
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Result<ClaimRow>
parseClaimRow(std::string_view aValue)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  bool readable = false;
  try {
    readable =
      reader->parse(aValue.data(), aValue.data() + aValue.size(), &value, &errors);
  } catch (const Json::Exception& error) { // thrown for nesting that is too deep
    errors = error.what();
  }
  if (!readable || !value.isObject()) {
    return fail(ErrorCode::Malformed, "the claim row is not a JSON object: " + errors);
  }
  if (!hasText(value, "attempt") || !hasText(value, "request_digest") ||
      !value["state"].isString()) {
    return fail(ErrorCode::Malformed,
                "the claim row lacks its attempt, request digest or state");
  }
  const auto state = fromName<ClaimState>(value["state"].asString());
  if (!state) {
    return fail(ErrorCode::Malformed, "the claim row has an unknown state");
  }
  ClaimRow row;
  row.attempt = value["attempt"].asString();
  row.requestDigest = value["request_digest"].asString();
  row.state = *state;
  if (row.state == ClaimState::Done) {
    BOOST_OUTCOME_TRY(recorded, parseOutcome(value["outcome"]));
    row.outcome = std::move(recorded);
  }
  return row;
}

} // namespace savoryrill::routing
