#pragma once

#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>
#include <utility>

#include "link/messagegrammar.h"
#include "link/types/message.h"

namespace savoryrill::link {

/// Receives the parts of a message. Must not destroy the parser while it is called.
class IMessageListener
{
public:
  virtual ~IMessageListener() = default;
  /// All header lines have arrived. Returns false if no body follows although the headers
  /// announce one, as in the response to a HEAD request.
  virtual bool headReceived() = 0;
  virtual void bodyReceived(std::string_view aData) = 0;
  virtual void messageReceived() = 0;
};

/// Parses the HTTP/1.1 messages of one connection with http_parser and keeps the head of
/// the current message. Stops after each message, so that the owner decides whether to
/// parse the next one. The only place that decides which bytes are messages: http_parser
/// is lenient, so it sees only bytes that `MessageGrammar` allows, and the listener sees
/// only heads whose status and framing are allowed. Not thread safe.
class MessageParser
{
public:
  using Kind = MessageKind;

  MessageParser(Kind aKind, IMessageListener& aListener);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Limits the size of a message's head: start line and header lines.
  void setMaxHeadBytes(std::size_t aBytes) { mMaxHeadBytes = aBytes; }

  /// Parses up to the end of the data or of a message and returns the number of consumed
  /// bytes. Consumes nothing after an error or after a head above its limit.
  std::size_t parse(std::string_view aData);

  /// Signals the end of the connection, which completes a response without a length.
  void finish();

  bool failed() const { return mFailed; }
  bool headTooLarge() const { return mHeadTooLarge; }
  /// True between the first byte of a message and its end.
  bool inMessage() const { return mInMessage; }
  /// True if empty lines without end came before a message.
  bool tooManyEmptyLines() const { return mEmptyBytes > kMaxEmptyBytes; }
  /// Memory that the head of the current message takes, about.
  std::size_t headMemory() const;
  /// Takes the head lines out of the parser. Precondition: the message has ended.
  HeaderList takeHeaders() { return std::exchange(mHeaders, {}); }
  std::string takeTarget() { return std::exchange(mTarget, {}); }

  /// Head of the current message; valid from `headReceived` on.
  const HeaderList& headers() const { return mHeaders; }
  const std::string& target() const { return mTarget; }
  std::string method() const;
  int status() const { return static_cast<int>(mParser.status_code); }
  const std::string& reason() const { return mReason; }
  bool keepAlive() const { return http_should_keep_alive(&mParser) != 0; }
  bool isHttp10() const { return mParser.http_major == 1 && mParser.http_minor == 0; }
  bool chunked() const { return (mParser.flags & F_CHUNKED) != 0; }
  bool hasLength() const { return (mParser.flags & F_CONTENTLENGTH) != 0; }
  std::uint64_t length() const { return hasLength() ? mLength : 0; }

private:
  // Some callers send an empty line after a body; nobody needs more than a few.
  static constexpr std::size_t kMaxEmptyBytes = 64;

  struct Callbacks;
  void reset();
  bool headIsAllowed() const;

  http_parser mParser{};
  MessageGrammar mGrammar;
  Kind mKind;
  IMessageListener& mListener;
  std::size_t mMaxHeadBytes = 64UL * 1024;
  std::size_t mHeadBytes = 0;
  std::size_t mEmptyBytes = 0; // before the current message
  std::uint64_t mLength = 0;
  HeaderList mHeaders;
  std::string mTarget;
  std::string mReason;
  bool mInValue = false;
  bool mHeadDone = false;
  bool mInMessage = false;
  bool mFailed = false;
  bool mHeadTooLarge = false;
};

} // namespace savoryrill::link
