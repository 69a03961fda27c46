#pragma once

#include <cstdint>
#include <json/json.h>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace savoryrill {

/// Parses strict JSON as received from another process. Fails with Malformed, also for
/// text after the value, duplicate keys and deep nesting. Thread safe.
Result<Json::Value>
parseJson(std::string_view aText);

/// One line without spaces; bytes above 127 pass unchanged. Thread safe.
std::string
toCompactJson(const Json::Value& aValue);

/// Member `aName` of an object, or a null value. Thread safe.
const Json::Value&
memberOf(const Json::Value& aObject, std::string_view aName);

/// Member `aName` of an object as an unsigned number that fits `T`; nothing if `aObject`
/// is no object, the member is absent, or it is no such number. Thread safe.
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

/// Member `aName` of an object as a string; nothing if it is absent or of another type.
/// Thread safe.
std::optional<std::string>
stringMember(const Json::Value& aObject, std::string_view aName);

/// True if member `aName` of an object is the value true. Thread safe.
bool
flagMember(const Json::Value& aObject, std::string_view aName);

} // namespace savoryrill
