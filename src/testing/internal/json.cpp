#include "testing/internal/json.h"

#include <json/reader.h>
#include <json/writer.h>

namespace savoryrill::testing {

std::string
toText(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder sBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
  }();
  return Json::writeString(sBuilder, aValue);
}

Result<Json::Value>
parseObject(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problems;
  bool parsed = false;
  try {
    parsed = reader->parse(aText.data(), aText.data() + aText.size(), &value, &problems);
  } catch (const Json::Exception& exception) {
    // jsoncpp throws instead of returning false when the nesting is too deep.
    problems = exception.what();
  }
  if (!parsed) {
    return fail(ErrorCode::Malformed, "not valid JSON: " + problems);
  }
  if (!value.isObject()) {
    return fail(ErrorCode::Malformed, "not a JSON object");
  }
  return value;
}

std::string
textMember(const Json::Value& aObject, const char* aName, std::string aDefault)
{
  const Json::Value& member = aObject[aName];
  return member.isString() ? member.asString() : std::move(aDefault);
}

std::uint64_t
numberMember(const Json::Value& aObject, const char* aName, std::uint64_t aDefault)
{
  const Json::Value& member = aObject[aName];
  return member.isUInt64() ? member.asUInt64() : aDefault;
}

double
realMember(const Json::Value& aObject, const char* aName, double aDefault)
{
  const Json::Value& member = aObject[aName];
  return member.isNumeric() ? member.asDouble() : aDefault;
}

bool
flagMember(const Json::Value& aObject, const char* aName, bool aDefault)
{
  const Json::Value& member = aObject[aName];
  return member.isBool() ? member.asBool() : aDefault;
}

void
respondJson(http::Exchange& aExchange, int aStatus, const Json::Value& aValue)
{
  aExchange.respond(
    { aStatus, { { "Content-Type", "application/json" } }, toText(aValue) });
}

void
respondProblem(http::Exchange& aExchange,
               int aStatus,
               const std::string& aCode,
               const std::string& aDetail)
{
  const auto problem = fields({ { "type", "about:blank" },
                                { "title", aCode },
                                { "status", aStatus },
                                { "code", aCode },
                                { "detail", aDetail },
                                { "ran", "no" } });
  aExchange.respond(
    { aStatus, { { "Content-Type", "application/problem+json" } }, toText(problem) });
}

Json::Value
fields(std::initializer_list<std::pair<const char*, Json::Value>> aMembers)
{
  Json::Value value(Json::objectValue);
  for (const auto& [name, member] : aMembers) {
    value[name] = member;
  }
  return value;
}

} // namespace savoryrill::testing
