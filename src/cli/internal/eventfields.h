#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/jsontext.h"

namespace savoryrill::cli {

/// Field of an event as a text, empty if there is none. Thread safe.
inline std::string
textOf(const Json::Value& aEvent, std::string_view aKey)
{
  return stringMember(aEvent, aKey).value_or("");
}

/// Field of an event as a number, zero if there is none. Thread safe.
inline std::int64_t
numberOf(const Json::Value& aEvent, std::string_view aKey)
{
  const Json::Value& value = memberOf(aEvent, aKey);
  return value.isInt64() ? value.asInt64() : 0;
}

} // namespace savoryrill::cli
