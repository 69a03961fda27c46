#include "report/internal/text.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace savoryrill::report {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

} // namespace

std::string
fixed(double aValue, int aDigits)
{
  // Long enough for the largest burn rates and times that records may hold.
  std::array<char, 64> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.*f", aDigits, aValue);
  return buffer.data();
}

std::string
secondsText(std::optional<std::uint64_t> aMilliseconds)
{
  if (!aMilliseconds) {
    return "-";
  }
  return fixed(static_cast<double>(*aMilliseconds) / kMillisecondsPerSecond, 2) + " s";
}

std::string
timeText(std::int64_t aMilliseconds)
{
  const std::time_t seconds = aMilliseconds / static_cast<int>(kMillisecondsPerSecond);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%d %H:%M", &parts);
  return date.data();
}

std::string
printable(std::string_view aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  std::string result(aText);
  for (auto& character : result) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < kFirstPrintable || byte == kDelete) {
      character = '?';
    }
  }
  return result;
}

std::string
escaped(std::string_view aText)
{
  std::string result;
  for (const char character : printable(aText)) {
    switch (character) {
      case '&':
        result += "&amp;";
        break;
      case '<':
        result += "&lt;";
        break;
      case '>':
        result += "&gt;";
        break;
      case '"':
        result += "&quot;";
        break;
      case '\'':
        result += "&#39;";
        break;
      default:
        result += character;
    }
  }
  return result;
}

} // namespace savoryrill::report
