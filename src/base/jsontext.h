#pragma once

#include <cstdint>
#include <json/json.h>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace savoryrill {

/// Parses JSON that another process sent. The parser is strict: besides syntax errors,
/// text after the value, duplicate keys and deep nesting (`kMaxNesting`) fail with
/// Malformed. Thread safe.
Result<Json::Value>
parseJson(std::string_view aText);

/// Serializes a value on one line without spaces between tokens. UTF-8 is written
/// unescaped. Thread safe.
std::string
toCompactJson(const Json::Value& aValue);

/// Member `aName` of an object; a null value if `aObject` is no object or the member is
/// absent. Thread safe.
const Json::Value&
memberOf(const Json::Value& aObject, std::string_view aName);

/// Member `aName` of an object as an unsigned integer; std::nullopt if `aObject` is no
/// object, the member is absent, or it is no unsigned integer that fits `T`. Thread safe.
template<typename T>
std::optional<T>
unsignedMember(const Json::Value& aObject, std::string_view aName)
{
  const Json::Value& member = memberOf(aObject, aName);
  if (!member.isUInt64() || member.asUInt64() > std::numeric_limits<T>::max()) {
    return std::nullopt;
  }
  return static_cast<T>(member.asUInt64());
}

/// Member `aName` of an object as a string; std::nullopt if it is absent or of another
/// type. Thread safe.
std::optional<std::string>
stringMember(const Json::Value& aObject, std::string_view aName);

/// True if member `aName` of an object is the boolean true; false also if it is absent or
/// of another type. Thread safe.
bool
flagMember(const Json::Value& aObject, std::string_view aName);

} // namespace savoryrill
