#include "link/internal/messageparser.h"

#include <algorithm>

namespace savoryrill::link {

struct MessageParser::Callbacks
{
  // The colon and the line feed of a header line, and a name of one character.
  static constexpr std::size_t kLineEndBytes = 2;
  static constexpr std::size_t kMinLineBytes = kLineEndBytes + 1;

  static MessageParser& self(http_parser* aParser)
  {
    return *static_cast<MessageParser*>(aParser->data);
  }
  static int begin(http_parser* aParser)
  {
    self(aParser).reset();
    self(aParser).mInMessage = true;
    return 0;
  }
  static int url(http_parser* aParser, const char* aData, std::size_t aSize)
  {
    self(aParser).mTarget.append(aData, aSize);
    return 0;
  }
  static int status(http_parser* aParser, const char* aData, std::size_t aSize)
  {
    self(aParser).mReason.append(aData, aSize);
    return 0;
  }
  static int field(http_parser* aParser, const char* aData, std::size_t aSize)
  {
    auto& parser = self(aParser);
    if (parser.mHeadDone) {
      return 0; // trailers are not forwarded
    }
    if (parser.mHeaders.empty() || parser.mInValue) {
      // Checked early, since short lines take more memory as objects than as text.
      if (parser.mHeaders.size() * kMinLineBytes > parser.mMaxHeadBytes) {
        parser.mHeadTooLarge = true;
        return -1;
      }
      parser.mHeaders.emplace_back();
      parser.mInValue = false;
    }
    parser.mHeaders.back().name.append(aData, aSize);
    return 0;
  }
  static int value(http_parser* aParser, const char* aData, std::size_t aSize)
  {
    auto& parser = self(aParser);
    if (!parser.mHeadDone) {
      parser.mInValue = true;
      parser.mHeaders.back().value.append(aData, aSize);
    }
    return 0;
  }
  static int headers(http_parser* aParser)
  {
    auto& parser = self(aParser);
    parser.mHeadDone = true;
    std::size_t bytes = parser.mTarget.size();
    for (const auto& header : parser.mHeaders) {
      bytes += header.name.size() + header.value.size() + kLineEndBytes;
    }
    if (bytes > parser.mMaxHeadBytes) {
      parser.mHeadTooLarge = true;
      return -1;
    }
    parser.mLength = aParser->content_length;
    if (!parser.headIsAllowed()) {
      return -1;
    }
    if (parser.chunked()) {
      parser.mGrammar.expectChunks();
    }
    return parser.mListener.headReceived() ? 0 : 1;
  }
  static int body(http_parser* aParser, const char* aData, std::size_t aSize)
  {
    self(aParser).mListener.bodyReceived({ aData, aSize });
    return 0;
  }
  static int complete(http_parser* aParser)
  {
    self(aParser).mInMessage = false;
    self(aParser).mGrammar.restart();
    http_parser_pause(aParser, 1);
    self(aParser).mListener.messageReceived();
    return 0;
  }
  static http_parser_settings settings()
  {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &begin;
    settings.on_url = &url;
    settings.on_status = &status;
    settings.on_header_field = &field;
    settings.on_header_value = &value;
    settings.on_headers_complete = &headers;
    settings.on_body = &body;
    settings.on_message_complete = &complete;
    return settings;
  }
};

MessageParser::MessageParser(Kind aKind, IMessageListener& aListener)
  : mGrammar(aKind)
  , mKind(aKind)
  , mListener(aListener)
{
  http_parser_init(&mParser, aKind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  mParser.data = this;
}

void
MessageParser::reset()
{
  mHeaders.clear();
  mTarget.clear();
  mReason.clear();
  mInValue = false;
  mHeadDone = false;
  mHeadBytes = 0;
  mEmptyBytes = 0;
  mLength = 0;
}

std::size_t
MessageParser::parse(std::string_view aData)
{
  static const http_parser_settings kSettings = Callbacks::settings();
  if (mFailed || mHeadTooLarge) {
    return 0;
  }
  if (!mHeadDone || !mInMessage) {
    // Counted per read, so an endless head is rejected at most one read buffer above the
    // limit.
    mHeadBytes += aData.size();
  }
  std::size_t taken = 0;
  while (taken < aData.size()) {
    const auto rest = aData.substr(taken);
    // Ends with the head, whose framing decides what the next bytes have to be.
    const std::size_t allowed = mGrammar.check(rest);
    if (allowed > 0) { // 0 bytes would mean the end of the connection
      taken += http_parser_execute(&mParser, &kSettings, rest.data(), allowed);
    }
    const auto error = HTTP_PARSER_ERRNO(&mParser);
    if (error == HPE_PAUSED) {
      http_parser_pause(&mParser, 0);
      return taken;
    }
    if (mHeadTooLarge) {
      return taken;
    }
    if (error != HPE_OK || mParser.upgrade != 0 || mGrammar.failed()) {
      mFailed = true;
      return taken;
    }
  }
  if (mInMessage && !mHeadDone && mHeadBytes > mMaxHeadBytes) {
    mHeadTooLarge = true;
  }
  if (!mInMessage) {
    mEmptyBytes += taken; // the parser skips empty lines before a message
  }
  return taken;
}

bool
MessageParser::headIsAllowed() const
{
  const bool is_response = mKind == Kind::Response;
  return (!is_response || isResponseStatus(status())) &&
         isAllowedFraming(mHeaders, is_response ? status() : 0, isHttp10());
}

std::size_t
MessageParser::headMemory() const
{
  return mHeaders.capacity() * sizeof(Header) +
         (mHeaders.empty() ? 0 : std::min(mHeadBytes, mMaxHeadBytes));
}

void
MessageParser::finish()
{
  static const http_parser_settings kSettings = Callbacks::settings();
  if (!mFailed) {
    http_parser_execute(&mParser, &kSettings, nullptr, 0);
    const auto error = HTTP_PARSER_ERRNO(&mParser);
    mFailed = error != HPE_OK && error != HPE_PAUSED;
  }
}

std::string
MessageParser::method() const
{
  return http_method_str(static_cast<http_method>(mParser.method));
}

} // namespace savoryrill::link
