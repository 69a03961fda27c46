#include "base/jsontext.h"

#include <exception>
#include <memory>

namespace savoryrill {

namespace {

// Far above the nesting of any message, and low enough that the recursive parser cannot
// overflow the stack.
constexpr int kMaxNesting = 64;

} // namespace

Result<Json::Value>
parseJson(std::string_view aText)
{
  static const Json::CharReaderBuilder kBuilder = [] {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = kMaxNesting;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    return builder;
  }();
  const std::unique_ptr<Json::CharReader> reader(kBuilder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(aText.data(), aText.data() + aText.size(), &value, &errors)) {
      return value;
    }
  } catch (const std::exception& exception) {
    // The parser throws if the nesting exceeds its limit.
    errors = exception.what();
  }
  return fail(ErrorCode::Malformed, "not JSON: " + errors);
}

std::string
toCompactJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
  }();
  return Json::writeString(kBuilder, aValue);
}

const Json::Value&
memberOf(const Json::Value& aObject, std::string_view aName)
{
  if (!aObject.isObject()) {
    return Json::Value::nullSingleton();
  }
  const Json::Value* found = aObject.find(aName.data(), aName.data() + aName.size());
  return found == nullptr ? Json::Value::nullSingleton() : *found;
}

std::optional<std::string>
stringMember(const Json::Value& aObject, std::string_view aName)
{
  const Json::Value& member = memberOf(aObject, aName);
  if (!member.isString()) {
    return std::nullopt;
  }
  return member.asString();
}

bool
flagMember(const Json::Value& aObject, std::string_view aName)
{
  const Json::Value& member = memberOf(aObject, aName);
  return member.isBool() && member.asBool();
}

} // namespace savoryrill
