#include "http/types/message.h"

#include <algorithm>
#include <cctype>

namespace savoryrill::http {

namespace {

char
lower(char aCharacter)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aCharacter)));
}

} // namespace

bool
CaseInsensitiveLess::operator()(std::string_view aLeft, std::string_view aRight) const
{
  return std::lexicographical_compare(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aA, char aB) {
      return lower(aA) < lower(aB);
    });
}

std::string_view
Request::header(std::string_view aName) const
{
  const auto found = headers.find(aName);
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace savoryrill::http
