#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

#include "link/internal/messageparser.h"

// Which bytes are messages, and which are not. Each text is parsed whole and byte by
// byte, as it may arrive in any pieces.

using namespace savoryrill;
using link::MessageParser;

namespace {

class RecordingListener : public link::IMessageListener
{
public:
  bool headReceived() override
  {
    ++heads;
    return true;
  }
  void bodyReceived(std::string_view aData) override { body.append(aData); }
  void messageReceived() override { ++messages; }

  int heads = 0;
  int messages = 0;
  std::string body;
};

struct Outcome
{
  bool failed = false;
  int heads = 0;
  int messages = 0;
  std::string body;
};

/// Parses `aText` in pieces of `aPiece` bytes up to the end of the connection.
Outcome
parse(MessageParser::Kind aKind, std::string_view aText, std::size_t aPiece)
{
  RecordingListener listener;
  MessageParser parser(aKind, listener);
  while (!aText.empty() && !parser.failed()) {
    const std::size_t taken = parser.parse(aText.substr(0, aPiece));
    aText.remove_prefix(taken);
  }
  if (parser.inMessage() && !parser.failed()) {
    parser.finish();
  }
  return { parser.failed(), listener.heads, listener.messages, listener.body };
}

std::string
visible(std::string_view aText)
{
  std::string result;
  for (const char byte : aText) {
    const auto code = static_cast<unsigned char>(byte);
    result += code >= 0x20 && code != 0x7F ? std::string(1, byte)
                                           : "<" + std::to_string(code) + ">";
  }
  return result;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kEarly = "HTTP/1.1 103 Early\r\n";
const std::string kEnd = "Content-Length: 4\r\n\r\nbody";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kPost = "POST /t HTTP/1.1\r\nHost: a\r\n";

/// Bytes that may not be part of a name, a reason or a value.
const std::vector<char> kControls{ '\0', '\x01', '\x07', '\x0b', '\x1f', '\x7f' };

} // namespace

TEST_GROUP(MessageParser)
{
  std::string unexpected; // texts with another outcome than expected

  void teardown() override
  {
    STRCMP_EQUAL("", unexpected.c_str());
  }

  void expect(MessageParser::Kind aKind,
              const std::string& aText,
              const std::function<bool(const Outcome&)>& aIsExpected)
  {
    for (const std::size_t piece : { aText.size(), std::size_t{ 1 } }) {
      if (!aIsExpected(parse(aKind, aText, piece))) {
        unexpected += "\n" + visible(aText);
      }
    }
  }

  /// No listener may see the head of such a message.
  void expectHeadRefused(MessageParser::Kind aKind, const std::string& aText)
  {
    expect(aKind, aText, [](const Outcome& aOutcome) {
      return aOutcome.failed && aOutcome.heads == 0;
    });
  }

  /// Its head may be right, but it must not end as a whole message.
  void expectBodyRefused(MessageParser::Kind aKind, const std::string& aText)
  {
    expect(aKind, aText, [](const Outcome& aOutcome) {
      return aOutcome.failed && aOutcome.messages == 0;
    });
  }

  void expectWhole(
    MessageParser::Kind aKind, const std::string& aText, const std::string& aBody)
  {
    expect(aKind, aText, [&](const Outcome& aOutcome) {
      return !aOutcome.failed && aOutcome.messages == 1 && aOutcome.body == aBody;
    });
  }
};

// Guards against a status that is none, which a caller gets as a response.
TEST(MessageParser, StatusIsNoStatus_Refused)
{
  for (const auto* status :
       { "000", "001", "099", "0",    "2",     "20",  "0200", "00200",
         "600", "999", "101", "2000", "99999", "2OO", "-20",  "+200",
         "20x", "x00", "",    " 200", "\t200", "2 0" }) {
    expectHeadRefused(MessageParser::Kind::Response,
                      "HTTP/1.1 " + std::string(status) + " OK\r\n" + kEnd);
    expectHeadRefused(MessageParser::Kind::Response,
                      "HTTP/1.1 " + std::string(status) + "\r\n" + kEnd);
  }
}

// Guards against bytes that are passed on as a response although they only resemble one.
TEST(MessageParser, StatusLineIsNotAllowed_Refused)
{
  std::vector<std::string> lines{
    "HTTP/2.0 200 OK",   "HTTP/0.9 200 OK",   "HTTP/11 200 OK",   "HTTP/1.11 200 OK",
    "HTTP/1. 200 OK",    "HTTP/1.1200 OK",    "HTTP/1.1\t200 OK", "http/1.1 200 OK",
    "HTTP/1.1 200\tOK",  "HTTP/1.1 200 O\rK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
    "\nHTTP/1.1 200 OK", "HTTP/1.1 200 OK\r", "ICY 200 OK",
  };
  for (const char byte : kControls) {
    lines.push_back("HTTP/1.1 200 O" + std::string(1, byte) + "K");
    lines.push_back("HTTP/1.1 200" + std::string(1, byte) + "OK");
  }
  for (const auto& line : lines) {
    expectHeadRefused(MessageParser::Kind::Response, line + "\r\n" + kEnd);
  }
}

TEST(MessageParser, StatusLineIsAllowed_Whole)
{
  for (const auto* line : { "HTTP/1.1 200 OK",
                            "HTTP/1.1 200 ",
                            "HTTP/1.1 200",
                            "HTTP/1.0 200 OK",
                            "HTTP/1.9 200 OK",
                            "HTTP/1.1 599 \tA reason, of 4 \"words\"",
                            "HTTP/1.1 299 \xc3\xa9\xff" }) {
    expectWhole(MessageParser::Kind::Response, line + std::string("\r\n") + kEnd, "body");
    expectWhole(MessageParser::Kind::Response, line + std::string("\n") + kEnd, "body");
  }
}

// The same for requests: what the grammar does not allow reaches no upstream.
TEST(MessageParser, RequestLineIsNotAllowed_Refused)
{
  for (const auto* line : { "GET /a\tb HTTP/1.1",
                            "GET /a\x01 HTTP/1.1",
                            "GET /a\x0c HTTP/1.1",
                            "GET  /a HTTP/1.1",
                            "GET /a  HTTP/1.1",
                            "GET /a HTTP/1.1 ",
                            "GET /a HTTP/2.0",
                            "GET /a HTTP/0.9",
                            "GET /a",
                            "GET /a HTTP/1.11",
                            "GET /a\x7f HTTP/1.1",
                            "GET\t/a HTTP/1.1" }) {
    expectHeadRefused(MessageParser::Kind::Request,
                      line + std::string("\r\nHost: a\r\n\r\n"));
  }
}

TEST(MessageParser, RequestLineIsAllowed_Whole)
{
  for (const auto* line : { "POST /t HTTP/1.1",
                            "POST /t?a=b&c=%20 HTTP/1.0",
                            "OPTIONS * HTTP/1.1",
                            "POST http://a/t HTTP/1.1",
                            "POST /\xc3\xa9 HTTP/1.1",
                            "\r\n\r\nPOST /t HTTP/1.1",
                            "\nPOST /t HTTP/1.1" }) {
    expectWhole(
      MessageParser::Kind::Request, line + std::string("\r\nHost: a\r\n") + kEnd, "body");
  }
}

// Guards against header lines that a caller gets as they came, and against a length or
// chunks that this host and its peer read differently.
TEST(MessageParser, FieldLineIsNotAllowed_Refused)
{
  std::vector<std::string> lines{
    "X Y: 1",
    "X : 1",
    "X\t: 1",
    "X\tY: 1",
    " X: 1",
    "\tX: 1",
    ": 1",
    ":",
    "X",
    "X 1",
    "Content-Length : 4",
    "Content Length: 4",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\t: chunked",
    "X: 1\r\n folded",
    "X: 1\r\n\tfolded",
    "X: 1\r\n Y: 2",
    "Content-Length:\r\n 4",
    "X: 1\rY: 2",
    "X: 1\r\r",
  };
  for (const char separator : std::string("()<>@,;\\\"/[]?={}\x80\xff")) {
    lines.push_back("X" + std::string(1, separator) + "Y: 1");
  }
  for (const char byte : kControls) {
    const std::string text(1, byte);
    lines.insert(lines.end(), { "X" + text + "Y: 1", text + "X: 1", "X" + text + ": 1" });
    lines.insert(lines.end(), { "X: a" + text + "b", "X: " + text, "X:" + text });
  }
  for (const auto& line : lines) {
    for (const auto& start : { kOk, kEarly }) {
      expectHeadRefused(MessageParser::Kind::Response, start + line + "\r\n\r\n");
      expectHeadRefused(MessageParser::Kind::Response,
                        start + "Server: s\r\n" + line + "\r\n\r\n");
    }
    expectHeadRefused(MessageParser::Kind::Request, kPost + line + "\r\n\r\n");
  }
}

TEST(MessageParser, FieldLineIsAllowed_Whole)
{
  for (const std::string& line : std::vector<std::string>{ "X:",
                                                           "X: ",
                                                           "X:\t",
                                                           "X:1",
                                                           "X:  1  ",
                                                           "!#$%&'*+-.^_`|~09azAZ: 1",
                                                           "X: \xc3\xa9\x80\xff",
                                                           "X: a\tb",
                                                           "X: a, \"b;c\" (d)=:e",
                                                           "1: 1",
                                                           "X: 1\r\nX: 2\r\nx: 3" }) {
    expectWhole(MessageParser::Kind::Response, kOk + line + "\r\n" + kEnd, "body");
    expectWhole(MessageParser::Kind::Response, kOk + line + "\n" + kEnd, "body");
    expectWhole(MessageParser::Kind::Request, kPost + line + "\r\n" + kEnd, "body");
    expectWhole(MessageParser::Kind::Response,
                kChunked + "4\r\nbody\r\n0\r\n" + line + "\r\n\r\n",
                "body");
  }
}

// Guards against a body that is not the sender's: bytes between chunks are skipped, or
// are taken for a size.
TEST(MessageParser, ChunksAreNotAllowed_NeverWhole)
{
  std::vector<std::string> bodies{
    "4\r\nbodyXX0\r\n\r\n",
    "4\r\nbody\rX0\r\n\r\n",
    "4\r\nbodyX\n0\r\n\r\n",
    "4\r\nbody\n0\r\n\r\n",
    "4\rXbody\r\n0\r\n\r\n",
    "4\nbody\r\n0\r\n\r\n",
    "4;a\nbody\r\n0\r\n\r\n",
    "4 x\r\nbody\r\n0\r\n\r\n",
    " 4\r\nbody\r\n0\r\n\r\n",
    "+4\r\nbody\r\n0\r\n\r\n",
    "0x4\r\nbody\r\n0\r\n\r\n",
    "\r\n4\r\nbody\r\n0\r\n\r\n",
    "4 \r\nbody\r\n0\r\n\r\n",
    "4\r\nbody\r\n0\r\nX\r\n\r\n",
    "4;\x01\r\nbody\r\n0\r\n\r\n",
    "4;a\rXbody\r\n0\r\n\r\n",
    "4\r\nbody\r\n0\rX\r\n",
    "4\r\nbody\r\n0\r\n\rX",
    "4\r\nbody\r\n;\r\n\r\n",
    "4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
    "4\r\nbody\r\n0\r\n X: 1\r\n\r\n",
    "10000000000000004\r\nbody\r\n0\r\n\r\n",
  };
  for (const auto& body : bodies) {
    expectBodyRefused(MessageParser::Kind::Response, kChunked + body);
    expectBodyRefused(MessageParser::Kind::Request,
                      kPost + "Transfer-Encoding: chunked\r\n\r\n" + body);
  }
}

TEST(MessageParser, ChunksAreAllowed_Whole)
{
  for (const auto* body : { "4\r\nbody\r\n0\r\n\r\n",
                            "0004\r\nbody\r\n000\r\n\r\n",
                            "4;a=b\r\nbody\r\n0;c=\"d;e\"\r\n\r\n",
                            "4 ;a\r\nbody\r\n0\r\n\r\n",
                            "4  ; a = b\r\nbody\r\n0\r\n\r\n",
                            "1\r\nb\r\n3\r\nody\r\n0\r\nX: 1\r\nY: 2\r\n\r\n" }) {
    expectWhole(MessageParser::Kind::Response, kChunked + body, "body");
    expectWhole(MessageParser::Kind::Request,
                kPost + "Transfer-Encoding: chunked\r\n\r\n" + body,
                "body");
  }
}

// Guards against a body whose end this host and its peer see at different places, and
// against one that is passed on in a coding that its header lines no longer name.
TEST(MessageParser, FramingIsNotAllowed_Refused)
{
  const std::vector<std::string> fields{
    "Content-Length:",
    "Content-Length: ",
    "Content-Length: x",
    "Content-Length: -1",
    "Content-Length: +4",
    "Content-Length: 4x",
    "Content-Length: 4 4",
    "Content-Length: 4, 5",
    "Content-Length: 4\r\nContent-Length: 5",
    "Content-Length: 4\r\nContent-Length:",
    "Content-Length: 99999999999999999999",
    "Content-Length: 4\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked\r\nContent-Length: 4",
    "Transfer-Encoding:",
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked, identity",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: chunkedx",
    "Transfer-Encoding: xchunked",
  };
  for (const auto& field : fields) {
    expectHeadRefused(MessageParser::Kind::Response, kOk + field + "\r\n\r\nbody");
    expectHeadRefused(MessageParser::Kind::Request, kPost + field + "\r\n\r\nbody");
  }
  expectHeadRefused(MessageParser::Kind::Response,
                    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  expectHeadRefused(MessageParser::Kind::Request,
                    "POST /t HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  // These have no body, so the bytes that follow belong to the next response.
  for (const auto* status : { "100 Continue", "103 Early", "204 Empty" }) {
    const std::string start = "HTTP/1.1 " + std::string(status) + "\r\n";
    expectHeadRefused(MessageParser::Kind::Response, start + kEnd);
    expectHeadRefused(MessageParser::Kind::Response,
                      start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  }
}

TEST(MessageParser, FramingIsAllowed_Whole)
{
  expectWhole(MessageParser::Kind::Response, kOk + kEnd, "body");
  expectWhole(
    MessageParser::Kind::Response, kOk + "content-length:4 \r\n\r\nbody", "body");
  expectWhole(MessageParser::Kind::Response, kOk + "Content-Length: 0\r\n\r\n", "");
  expectWhole(
    MessageParser::Kind::Response, kOk + "Content-Length: 004\r\n\r\nbody", "body");
  expectWhole(MessageParser::Kind::Response, kOk + "\r\nbody", "body");
  expectWhole(MessageParser::Kind::Response, "HTTP/1.0 200 OK\r\n\r\nbody", "body");
  expectWhole(MessageParser::Kind::Response,
              kOk + "TRANSFER-ENCODING:Chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n",
              "body");
  expectWhole(MessageParser::Kind::Response, "HTTP/1.1 204 Empty\r\n\r\n", "");
  expectWhole(
    MessageParser::Kind::Response, "HTTP/1.1 204 Empty\r\nContent-Length: 0\r\n\r\n", "");
  expectWhole(MessageParser::Kind::Response, "HTTP/1.1 304 Same\r\n\r\n", "");
  expectWhole(MessageParser::Kind::Request, kPost + "\r\n", "");
}
