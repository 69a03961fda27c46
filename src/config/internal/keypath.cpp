#include "config/internal/keypath.h"

#include <cstdio>

namespace savoryrill::config {

namespace {

constexpr std::size_t kMaxShownBytes = 80;

std::string
printable(std::string_view aText)
{
  std::string result;
  for (const char character : aText.substr(0, kMaxShownBytes)) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x20 || byte == 0x7f) {
      char escaped[8];
      std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
      result += escaped;
    } else {
      result += character;
    }
  }
  return aText.size() > kMaxShownBytes ? result + "..." : result;
}

} // namespace

KeyPath
memberOf(const KeyPath& aPath, std::string_view aKey)
{
  KeyPath result = aPath;
  result.emplace_back(aKey);
  return result;
}

KeyPath
elementOf(const KeyPath& aPath, std::size_t aIndex)
{
  return memberOf(aPath, "[" + std::to_string(aIndex) + "]");
}

std::string
toString(const KeyPath& aPath)
{
  std::string result;
  for (const auto& part : aPath) {
    if (!result.empty() && !part.starts_with('[')) {
      result += '.';
    }
    result += printable(part);
  }
  return result;
}

std::string
inQuotes(std::string_view aText)
{
  return "'" + printable(aText) + "'";
}

} // namespace savoryrill::config
