#pragma once

#include <charconv>
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

/// Field of an event as a number, which logs write as a text; zero if there is none.
/// Thread safe.
inline std::int64_t
numberOf(const Json::Value& aEvent, std::string_view aKey)
{
  const Json::Value& value = memberOf(aEvent, aKey);
  if (value.isInt64()) {
    return value.asInt64();
  }
  const auto text = textOf(aEvent, aKey);
  std::int64_t number = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
  return read.ec == std::errc{} ? number : 0;
}

} // namespace savoryrill::cli
