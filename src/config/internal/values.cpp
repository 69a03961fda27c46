#include "config/internal/values.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <numeric>

#include "config/internal/keypath.h"
#include "config/internal/textscan.h"

namespace savoryrill::config {

namespace {

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::array<std::string_view, 6> kMethods{ "GET", "HEAD",  "POST",
                                                    "PUT", "PATCH", "DELETE" };

bool
isAlphanumeric(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

bool
isNumericAddress(const std::string& aHost, bool aBracketed)
{
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return ::inet_pton(aBracketed ? AF_INET6 : AF_INET, aHost.c_str(), buffer.data()) == 1;
}

/// Damerau-Levenshtein distance without repeated edits: transposed letters count once.
std::size_t
editDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> before_previous;
  std::vector<std::size_t> previous(aRight.size() + 1);
  std::iota(previous.begin(), previous.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::vector<std::size_t> current(aRight.size() + 1, i);
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t substitution =
        previous[j - 1] + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      current[j] = std::min({ previous[j] + 1, current[j - 1] + 1, substitution });
      if (i > 1 && j > 1 && aLeft[i - 1] == aRight[j - 2] &&
          aLeft[i - 2] == aRight[j - 1]) {
        current[j] = std::min(current[j], before_previous[j - 2] + 1);
      }
    }
    before_previous = std::move(previous);
    previous = std::move(current);
  }
  return previous.back();
}

} // namespace

Complaint
checkName(std::string_view aText)
{
  const bool known_characters =
    std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
      return isAlphanumeric(aCharacter) || aCharacter == '.' || aCharacter == '-';
    });
  if (aText.empty() || aText.size() > kMaxNameBytes || !known_characters ||
      !isAlphanumeric(aText.front()) || !isAlphanumeric(aText.back())) {
    return inQuotes(aText) + " is not a name: 1 to 63 characters of a-z, 0-9, '.' and " +
           "'-' that begin and end with a letter or digit";
  }
  return std::nullopt;
}

std::optional<SocketAddress>
parseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || aText.size() > kMaxTextBytes) {
    return std::nullopt;
  }
  std::string host(aText.substr(0, colon));
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port_text = aText.substr(colon + 1);
  const char* const end = port_text.data() + port_text.size();
  SocketAddress result{ host, 0 };
  const auto parsed = std::from_chars(port_text.data(), end, result.port);
  const bool canonical = parsed.ec == std::errc() && parsed.ptr == end &&
                         std::to_string(result.port) == port_text;
  if (!canonical || !isNumericAddress(host, bracketed)) {
    return std::nullopt;
  }
  return result;
}

Complaint
checkAddress(std::string_view aText)
{
  const auto address = parseAddress(aText);
  if (!address || address->port == 0) {
    return inQuotes(aText) + " is not a numeric address and port such as 127.0.0.1:9101";
  }
  return std::nullopt;
}

Complaint
checkSha256(std::string_view aText)
{
  const bool hexadecimal = std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return (aCharacter >= '0' && aCharacter <= '9') ||
           (aCharacter >= 'a' && aCharacter <= 'f');
  });
  if (aText.size() != 64 || !hexadecimal) {
    return std::string("the hash must be 64 lower-case hexadecimal digits");
  }
  return std::nullopt;
}

Complaint
checkUrlPath(std::string_view aText)
{
  const bool plain = std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return aCharacter > ' ' && aCharacter < 0x7f && aCharacter != '?' &&
           aCharacter != '#' && aCharacter != '%' && aCharacter != '\\';
  });
  if (!plain || !aText.starts_with('/') || aText.size() > kMaxTextBytes ||
      aText.find("/..") != std::string_view::npos) {
    return inQuotes(aText) + " is not a path such as /visits, without query or escapes";
  }
  return std::nullopt;
}

Complaint
checkMethod(std::string_view aText)
{
  if (std::find(kMethods.begin(), kMethods.end(), aText) == kMethods.end()) {
    return inQuotes(aText) + " is not one of GET, HEAD, POST, PUT, PATCH, DELETE";
  }
  return std::nullopt;
}

Complaint
checkFileName(std::string_view aText)
{
  const bool printable = std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
    return static_cast<unsigned char>(aCharacter) < 0x20 || aCharacter == 0x7f;
  });
  if (aText.empty() || !printable || aText.size() > kMaxTextBytes ||
      findInvalidUtf8(aText) != std::string_view::npos) {
    return inQuotes(aText) + " is not a file name";
  }
  return std::nullopt;
}

std::optional<std::uint32_t>
parseTimeOfDay(std::string_view aText)
{
  constexpr std::uint32_t kMinutesPerHour = 60;
  if (aText.size() != 5 || aText[2] != ':') {
    return std::nullopt;
  }
  const auto two_digits = [&](std::size_t aAt) {
    const auto tens = static_cast<unsigned>(aText[aAt] - '0');
    const auto ones = static_cast<unsigned>(aText[aAt + 1] - '0');
    return tens > 9 || ones > 9 ? 100U : tens * 10 + ones;
  };
  const std::uint32_t hours = two_digits(0);
  const std::uint32_t minutes = two_digits(3);
  if (hours > 23 || minutes > 59) {
    return std::nullopt;
  }
  return hours * kMinutesPerHour + minutes;
}

std::string
suggestion(std::string_view aWord, const std::vector<std::string_view>& aKnown)
{
  if (aWord.size() > kMaxNameBytes) {
    return {};
  }
  std::string_view nearest;
  std::size_t nearest_distance = std::max<std::size_t>(2, aWord.size() / 3) + 1;
  for (const auto known : aKnown) {
    const std::size_t distance = editDistance(aWord, known);
    if (distance < nearest_distance) {
      nearest = known;
      nearest_distance = distance;
    }
  }
  return nearest.empty() ? "" : "; did you mean " + inQuotes(nearest) + "?";
}

} // namespace savoryrill::config
