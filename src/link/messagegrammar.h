#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "link/types/message.h"

namespace savoryrill::link {

enum class MessageKind
{
  Request,
  Response
};

/// True for the statuses that a response may have (RFC 9110, 15). No request of this
/// product asks for another protocol, so 101 is none of them. Thread safe.
bool
isResponseStatus(int aStatus);

/// True if a header line may have this name and this value. Thread safe.
bool
isAllowedField(std::string_view aName, std::string_view aValue);

/// True if the header lines of a message mark the end of its body, and the body can be
/// passed on as it is: chunks are the only transfer coding, in HTTP/1.1 alone, and a
/// length is a number. Interim responses and 204 have neither chunks nor a length above 0
/// (RFC 9112, 6). `aStatus`: 0 for a request. Thread safe.
bool
isAllowedFraming(const HeaderList& aHeaders, int aStatus, bool aIsHttp10);

/// Checks the bytes of HTTP/1.1 messages against the grammar of RFC 9112: start lines,
/// header lines, chunks and trailers. Parsers of libraries accept more than that.
///
/// As RFC 9112 permits to recipients, a line feed alone ends a line of a head (2.2), the
/// space before an empty reason may be missing (4), and empty lines may precede a request
/// (2.2). Targets may hold bytes above 127, and what follows the semicolon of a chunk
/// extension is only checked for control characters. Not thread safe.
class MessageGrammar
{
public:
  explicit MessageGrammar(MessageKind aKind)
    : mKind(aKind)
  {
  }

  /// Checks up to the end of the data, of the head or of a chunked body, and returns the
  /// number of bytes that are allowed. Accepts any bytes in other bodies.
  std::size_t check(std::string_view aData);

  /// True once a byte was not allowed; nothing is accepted after it.
  bool failed() const { return mFailed; }

  /// A chunked body follows. Precondition: the head has ended.
  void expectChunks() { mState = State::ChunkSizeStart; }

  /// Trailers follow. Precondition: the head has ended.
  void expectTrailers() { mState = State::FieldStart; }

  /// The next byte begins a message.
  void restart() { mState = State::Start; }

private:
  enum class State
  {
    Start,
    Method,
    TargetStart,
    Target,
    Version,
    StatusStart,
    Status,
    StatusEnd,
    LineEnd,
    Text, // a reason or the value of a header line
    LineFeed,
    FieldStart,
    FieldName,
    LastLineFeed,
    Body, // not checked, or complete
    ChunkSizeStart,
    ChunkSize,
    ChunkExtensionStart,
    ChunkExtension,
    ChunkLineFeed,
    ChunkData,
    ChunkDataEnd,
    ChunkDataLineFeed
  };

  bool accept(char aByte);
  bool acceptInStartLine(char aByte);
  bool acceptInChunks(char aByte);
  bool acceptLineEnd(char aByte);
  bool proceed(State aState);

  MessageKind mKind;
  State mState = State::Start;
  std::size_t mPosition = 0; // in the version or the status
  std::uint64_t mChunkLeft = 0;
  bool mFailed = false;
};

} // namespace savoryrill::link
