#include "router/internal/text.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <openssl/sha.h>

namespace savoryrill::router {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

/// Length of the UTF-8 sequence that starts with `aFirst`, 0 if no sequence does.
std::size_t
sequenceLength(unsigned char aFirst)
{
  if (aFirst < 0x80) {
    return 1;
  }
  if (aFirst >= 0xC2 && aFirst <= 0xDF) {
    return 2;
  }
  if ((aFirst & 0xF0U) == 0xE0) {
    return 3;
  }
  return aFirst >= 0xF0 && aFirst <= 0xF4 ? 4 : 0;
}

/// Excludes overlong forms, surrogates and values above U+10FFFF.
bool
isSecondByteAllowed(unsigned char aFirst, unsigned char aSecond)
{
  switch (aFirst) {
    case 0xE0:
      return aSecond >= 0xA0;
    case 0xED:
      return aSecond <= 0x9F;
    case 0xF0:
      return aSecond >= 0x90;
    case 0xF4:
      return aSecond <= 0x8F;
    default:
      return true;
  }
}

} // namespace

bool
isUtf8(std::string_view aBytes)
{
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const auto first = static_cast<unsigned char>(aBytes[at]);
    const std::size_t length = sequenceLength(first);
    if (length == 0 || at + length > aBytes.size()) {
      return false;
    }
    for (std::size_t i = 1; i < length; ++i) {
      const auto byte = static_cast<unsigned char>(aBytes[at + i]);
      if ((byte & 0xC0U) != 0x80 || (i == 1 && !isSecondByteAllowed(first, byte))) {
        return false;
      }
    }
    at += length;
  }
  return true;
}

bool
isVisibleAscii(std::string_view aText, std::size_t aMaxLength)
{
  return !aText.empty() && aText.size() <= aMaxLength &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return aByte >= '!' && aByte <= '~';
         });
}

std::string
percentEncoded(std::string_view aText, std::string_view aKept)
{
  std::string result;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool digit = byte >= '0' && byte <= '9';
    const bool plain = std::string_view("-._~").find(character) != std::string_view::npos;
    if (letter || digit || plain || aKept.find(character) != std::string_view::npos) {
      result += character;
    } else {
      result += '%';
      result += kHexDigits[byte >> 4U];
      result += kHexDigits[byte & 15U];
    }
  }
  return result;
}

std::string
sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(
    reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(), digest.data());
  std::string result;
  for (const unsigned char byte : digest) {
    result += kHexDigits[byte >> 4U];
    result += kHexDigits[byte & 15U];
  }
  return result;
}

} // namespace savoryrill::router
