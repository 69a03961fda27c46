#include "gateway/internal/eventstream.h"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <utility>

namespace savoryrill::gateway {

namespace {

// Far above real events, which hold some tokens in a few hundred bytes. Also bounds bytes
// that hold no event, such as comments without end.
constexpr std::size_t kMaxEventBytes = 256UL * 1024;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

bool
isUtf8(std::string_view aText)
{
  using Traits = boost::locale::utf::utf_traits<char>;
  auto position = aText.begin();
  while (position != aText.end()) {
    if (!boost::locale::utf::is_valid_codepoint(Traits::decode(position, aText.end()))) {
      return false;
    }
  }
  return true;
}

/// True for the characters that names of fields are made of, here and in HTTP.
bool
isNameCharacter(char aCharacter)
{
  constexpr std::string_view kSpecial = "!#$%&'*+-.^_`|~";
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         kSpecial.find(aCharacter) != std::string_view::npos;
}

std::optional<std::uint64_t>
parseId(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const bool whole = !aText.empty() && parsed.ec == std::errc() && parsed.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

} // namespace

void
EventStream::startAfter(std::string_view aId)
{
  mLastNumber = parseId(aId);
}

void
EventStream::startNextResponse()
{
  mPartial.clear();
  mLineStart = 0;
  mAfterReturn = false;
  mAtStart = true;
  mEvent = {};
  mIdleBytes = 0;
  mFault.reset();
}

std::string
EventStream::take(std::string_view aData)
{
  std::string whole;
  while (!aData.empty() && !mFault) {
    const bool ends_return = std::exchange(mAfterReturn, false) && aData.front() == '\n';
    const auto end = ends_return ? 0 : aData.find_first_of("\r\n");
    const auto size = end == std::string_view::npos ? aData.size() : end + 1;
    mPartial.append(aData.substr(0, size));
    mIdleBytes += size;
    if (mIdleBytes > kMaxEventBytes) {
      mFault = StreamFault::TooLong;
      break;
    }
    if (end == std::string_view::npos) {
      break;
    }
    mAfterReturn = aData[end] == '\r';
    aData.remove_prefix(size);
    if (!ends_return) {
      const auto line = std::string_view(mPartial).substr(mLineStart);
      mFault = readLine(line.substr(0, line.size() - 1));
    }
    mLineStart = mPartial.size();
    if (!mFault && !mEvent.hasFields) {
      whole.append(mPartial);
      mPartial.clear();
      mLineStart = 0;
    }
  }
  if (mFault) {
    mPartial.clear();
  }
  return whole;
}

std::optional<StreamFault>
EventStream::readLine(std::string_view aLine)
{
  if (std::exchange(mAtStart, false) && aLine.starts_with(kByteOrderMark)) {
    aLine.remove_prefix(kByteOrderMark.size());
  }
  if (aLine.empty()) {
    return endEvent();
  }
  if (!isUtf8(aLine)) {
    return StreamFault::NotUtf8;
  }
  const auto colon = aLine.find(':');
  if (colon == 0) {
    return std::nullopt; // a comment
  }
  auto value = colon == std::string_view::npos ? "" : aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  mEvent.hasFields = true;
  const auto name = aLine.substr(0, colon);
  if (name == "retry") {
    return std::nullopt;
  }
  mEvent.hasContent = true;
  if (name == "data") {
    mEvent.hasData = true;
    return std::nullopt;
  }
  if (name == "id") {
    return readId(value);
  }
  // Other fields are allowed, but those without a value are more likely spoilt bytes.
  const bool field =
    colon != std::string_view::npos && std::ranges::all_of(name, isNameCharacter);
  return name == "event" || field ? std::nullopt
                                  : std::optional(StreamFault::UnknownLine);
}

std::optional<StreamFault>
EventStream::readId(std::string_view aValue)
{
  if (mEvent.number) {
    return StreamFault::TwoIds;
  }
  mEvent.id = std::string(aValue);
  mEvent.number = parseId(aValue);
  if (!mEvent.number) {
    return StreamFault::MalformedId;
  }
  if (mLastNumber && *mEvent.number <= *mLastNumber) {
    return StreamFault::IdNotIncreasing;
  }
  return std::nullopt;
}

std::optional<StreamFault>
EventStream::endEvent()
{
  Event event = std::exchange(mEvent, {});
  if (event.hasContent && !event.number) {
    return StreamFault::MissingId;
  }
  if (event.number && !event.hasData) {
    return StreamFault::MissingData;
  }
  if (event.number) {
    mLastNumber = event.number;
    mLastId = std::move(event.id);
    ++mEvents;
    mIdleBytes = 0;
  }
  return std::nullopt;
}

} // namespace savoryrill::gateway
