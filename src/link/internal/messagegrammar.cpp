#include "link/messagegrammar.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace savoryrill::link {

namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool
isDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

bool
isTokenCharacter(char aByte)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return isDigit(aByte) || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= 'a' && aByte <= 'z') || kMarks.find(aByte) != std::string_view::npos;
}

/// True unless the byte is a blank or a control character.
bool
isVisible(char aByte)
{
  const auto code = static_cast<unsigned char>(aByte);
  return code > 0x20 && code != 0x7F;
}

bool
isBlank(char aByte)
{
  return aByte == ' ' || aByte == '\t';
}

std::optional<std::uint64_t>
hexValue(char aByte)
{
  if (isDigit(aByte)) {
    return aByte - '0';
  }
  const char lower = static_cast<char>(aByte | 0x20);
  return lower >= 'a' && lower <= 'f' ? std::optional<std::uint64_t>(lower - 'a' + 10)
                                      : std::nullopt;
}

std::string_view
withoutBlanksAtEnd(std::string_view aText)
{
  return aText.substr(0, aText.find_last_not_of(" \t") + 1);
}

} // namespace

bool
isResponseStatus(int aStatus)
{
  return aStatus >= kMinStatus && aStatus <= kMaxStatus && aStatus != kSwitchingProtocols;
}

bool
isAllowedField(std::string_view aName, std::string_view aValue)
{
  return !aName.empty() && std::ranges::all_of(aName, isTokenCharacter) &&
         std::ranges::all_of(
           aValue, [](char aByte) { return isVisible(aByte) || isBlank(aByte); });
}

bool
isAllowedFraming(const HeaderList& aHeaders, int aStatus, bool aIsHttp10)
{
  std::size_t lengths = 0;
  std::size_t codings = 0;
  bool announces_body = false;
  for (const auto& header : aHeaders) {
    const auto value = withoutBlanksAtEnd(header.value);
    if (sameHeaderName(header.name, "content-length")) {
      ++lengths;
      announces_body = value.find_first_not_of('0') != std::string_view::npos;
      if (value.empty() || !std::ranges::all_of(value, isDigit)) {
        return false;
      }
    } else if (sameHeaderName(header.name, "transfer-encoding")) {
      ++codings;
      announces_body = true;
      if (!sameHeaderName(value, "chunked") || aIsHttp10) {
        return false;
      }
    }
  }
  const bool without_body = aStatus / 100 == 1 || aStatus == 204;
  return lengths + codings <= 1 && !(without_body && announces_body);
}

std::size_t
MessageGrammar::check(std::string_view aData)
{
  if (mFailed) {
    return 0;
  }
  if (mState == State::Body) {
    return aData.size();
  }
  std::size_t at = 0;
  while (at < aData.size() && mState != State::Body) {
    if (mState == State::ChunkData) {
      const auto size = std::min<std::uint64_t>(mChunkLeft, aData.size() - at);
      at += static_cast<std::size_t>(size);
      mChunkLeft -= size;
      if (mChunkLeft == 0) {
        mState = State::ChunkDataEnd;
      }
      continue;
    }
    if (!accept(aData[at])) {
      mFailed = true;
      break;
    }
    ++at;
  }
  return at;
}

bool
MessageGrammar::proceed(State aState)
{
  mState = aState;
  mPosition = 0;
  return true;
}

bool
MessageGrammar::accept(char aByte)
{
  switch (mState) {
    case State::LineEnd:
      return acceptLineEnd(aByte);
    case State::Text:
      return isVisible(aByte) || isBlank(aByte) || acceptLineEnd(aByte);
    case State::LineFeed:
      return aByte == '\n' && proceed(State::FieldStart);
    case State::FieldStart:
      if (aByte == '\r') {
        return proceed(State::LastLineFeed);
      }
      return aByte == '\n' ? proceed(State::Body)
                           : isTokenCharacter(aByte) && proceed(State::FieldName);
    case State::FieldName:
      return aByte == ':' ? proceed(State::Text) : isTokenCharacter(aByte);
    case State::LastLineFeed:
      return aByte == '\n' && proceed(State::Body);
    case State::ChunkSizeStart:
    case State::ChunkSize:
    case State::ChunkExtensionStart:
    case State::ChunkExtension:
    case State::ChunkLineFeed:
    case State::ChunkData:
    case State::ChunkDataEnd:
    case State::ChunkDataLineFeed:
      return acceptInChunks(aByte);
    case State::Body:
      return true;
    default:
      return acceptInStartLine(aByte);
  }
}

bool
MessageGrammar::acceptInStartLine(char aByte)
{
  switch (mState) {
    case State::Start:
      if (mKind == MessageKind::Request) {
        const bool empty_line = aByte == '\r' || aByte == '\n';
        return empty_line || (isTokenCharacter(aByte) && proceed(State::Method));
      }
      return proceed(State::Version) && acceptInStartLine(aByte);
    case State::Method:
      return aByte == ' ' ? proceed(State::TargetStart) : isTokenCharacter(aByte);
    case State::TargetStart:
      return isVisible(aByte) && proceed(State::Target);
    case State::Target:
      return aByte == ' ' ? proceed(State::Version) : isVisible(aByte);
    case State::Version:
      if (mPosition < kVersionStart.size()) {
        return aByte == kVersionStart[mPosition++];
      }
      return isDigit(aByte) &&
             proceed(mKind == MessageKind::Request ? State::LineEnd : State::StatusStart);
    case State::StatusStart:
      return aByte == ' ' && proceed(State::Status);
    case State::Status:
      return isDigit(aByte) && (++mPosition < kStatusDigits || proceed(State::StatusEnd));
    case State::StatusEnd:
      return aByte == ' ' ? proceed(State::Text) : acceptLineEnd(aByte);
    default:
      return false;
  }
}

/// The lines of chunks end with a carriage return and a line feed: RFC 9112 permits a
/// line feed alone only in heads.
bool
MessageGrammar::acceptInChunks(char aByte)
{
  const auto digit = hexValue(aByte);
  switch (mState) {
    case State::ChunkSizeStart:
      mChunkLeft = digit.value_or(0);
      return digit && proceed(State::ChunkSize);
    case State::ChunkSize:
      if (digit) {
        const bool fits = mChunkLeft <= std::numeric_limits<std::uint64_t>::max() >> 4U;
        mChunkLeft = mChunkLeft << 4U | *digit;
        return fits;
      }
      if (isBlank(aByte)) {
        return proceed(State::ChunkExtensionStart);
      }
      return aByte == ';' ? proceed(State::ChunkExtension)
                          : aByte == '\r' && proceed(State::ChunkLineFeed);
    case State::ChunkExtensionStart:
      return isBlank(aByte) || (aByte == ';' && proceed(State::ChunkExtension));
    case State::ChunkExtension:
      return isVisible(aByte) || isBlank(aByte) ||
             (aByte == '\r' && proceed(State::ChunkLineFeed));
    case State::ChunkLineFeed:
      return aByte == '\n' &&
             proceed(mChunkLeft == 0 ? State::FieldStart : State::ChunkData);
    case State::ChunkDataEnd:
      return aByte == '\r' && proceed(State::ChunkDataLineFeed);
    case State::ChunkDataLineFeed:
      return aByte == '\n' && proceed(State::ChunkSizeStart);
    default:
      return false;
  }
}

bool
MessageGrammar::acceptLineEnd(char aByte)
{
  if (aByte == '\r') {
    return proceed(State::LineFeed);
  }
  return aByte == '\n' && proceed(State::FieldStart);
}

} // namespace savoryrill::link
