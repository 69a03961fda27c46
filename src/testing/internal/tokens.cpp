#include "testing/tokens.h"

#include <cctype>
#include <cstdio>

namespace savoryrill::testing {

namespace {

constexpr std::string_view kMarkerName = "marker=";
constexpr std::size_t kPrefixBytes = 64;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

bool
isMarkerCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '-' ||
         aCharacter == '_' || aCharacter == '.';
}

std::string
tokenFrom(std::uint64_t aPromptHash, std::uint32_t aIndex)
{
  const std::uint64_t hash = (aPromptHash ^ aIndex) * kFnvPrime;
  char text[16];
  std::snprintf(text, sizeof text, "%08x ", static_cast<unsigned>(hash >> 32U));
  return text;
}

} // namespace

std::uint64_t
fnv1a(std::string_view aText)
{
  std::uint64_t hash = kFnvOffset;
  for (const char character : aText) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return hash;
}

std::string_view
markerOf(std::string_view aPrompt)
{
  const auto found = aPrompt.find(kMarkerName);
  if (found == std::string_view::npos) {
    return {};
  }
  const auto begin = found + kMarkerName.size();
  auto end = begin;
  while (end < aPrompt.size() && isMarkerCharacter(aPrompt[end])) {
    ++end;
  }
  return aPrompt.substr(begin, end - begin);
}

std::string
tokenAt(std::string_view aPrompt, std::uint32_t aIndex)
{
  return aIndex == 0 ? std::string(markerOf(aPrompt)) + " "
                     : tokenFrom(fnv1a(aPrompt), aIndex);
}

std::string
answerText(std::string_view aPrompt, std::uint32_t aCount)
{
  const std::uint64_t hash = fnv1a(aPrompt);
  std::string text = aCount > 0 ? tokenAt(aPrompt, 0) : "";
  for (std::uint32_t index = 1; index < aCount; ++index) {
    text += tokenFrom(hash, index);
  }
  return text;
}

std::uint64_t
prefixHash(std::string_view aText)
{
  return fnv1a(aText.substr(0, kPrefixBytes));
}

} // namespace savoryrill::testing
