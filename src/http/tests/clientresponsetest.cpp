#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "testing/loopwait.h"
#include "testing/scriptedpeer.h"

// Which responses the client takes for whole ones.

using namespace savoryrill;
using testing::RawConnection;
using testing::ScriptedPeer;

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kEnd = "Content-Length: 4\r\n\r\nbody";

} // namespace

TEST_GROUP(HttpClientResponses)
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<http::Client> client;
  std::unique_ptr<ScriptedPeer> peer;
  std::optional<http::ClientOutcome> outcome;
  bool headDelivered = false;
  std::string unexpected; // responses with another outcome than expected

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
  }

  void teardown() override
  {
    client.reset();
    peer.reset();
    loop.reset();
    STRCMP_EQUAL("", unexpected.c_str());
  }

  std::unique_ptr<http::RequestHandle> start(const std::string& aBody)
  {
    client = std::move(http::Client::create(*loop).value());
    outcome.reset();
    headDelivered = false;
    http::ClientRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(peer->port()) + "/";
    request.body = aBody;
    http::ClientCallbacks callbacks;
    callbacks.onHeaders = [&](const http::Response&) { headDelivered = true; };
    callbacks.onDone = [&](http::ClientOutcome aOutcome) {
      outcome = std::move(aOutcome);
    };
    return client->start(std::move(request), std::move(callbacks));
  }

  /// Sends a request that the peer answers with `aResponse` and the end of the
  /// connection.
  void receive(const std::string& aResponse)
  {
    peer = std::make_unique<ScriptedPeer>(
      *loop, [&](RawConnection& aConnection, const std::string&) {
        aConnection.send(aResponse);
        aConnection.close();
      });
    const auto handle = start("request");
    CHECK_TRUE(testing::runUntil(*loop, 5s, [&] { return outcome.has_value(); }));
  }

  void expectRefused(const std::string& aResponse)
  {
    receive(aResponse);
    if (outcome->response.has_value() || headDelivered) {
      unexpected += "\n" + aResponse;
    }
  }

  void expectWhole(const std::string& aResponse)
  {
    receive(aResponse);
    if (!outcome->response.has_value() || outcome->response.value().body != "body") {
      unexpected += "\n" + aResponse;
    }
  }
};

// Guards against a status that is none.
TEST(HttpClientResponses, StatusIsNoStatus_Fails)
{
  for (const auto* status : { "000", "0", "099", "20", "0200", "600", "999", "101" }) {
    expectRefused("HTTP/1.1 " + std::string(status) + " -\r\n" + kEnd);
    expectRefused("HTTP/1.1 " + std::string(status) + " -\r\n\r\nbody");
  }
  for (const auto* line : { "HTTP/1.1 200 O\x01K",
                            "HTTP/1.1  200 OK",
                            "HTTP/1.1200 OK",
                            "HTTP/0.9 200 OK",
                            "ICY 200 OK",
                            "body" }) {
    expectRefused(line + std::string("\r\n") + kEnd);
  }
}

// Guards against header lines that a caller gets as they came.
TEST(HttpClientResponses, FieldLineIsNotAllowed_Fails)
{
  for (const std::string& line :
       std::vector<std::string>{ "X Y: 1",
                                 "X : 1",
                                 "X\tY: 1",
                                 "X\x01: 1",
                                 "X: \x01",
                                 " X: 1",
                                 "X: 1\r\n folded",
                                 std::string("X\0: 1", 5),
                                 "X",
                                 ": 1",
                                 "Content-Length : 4",
                                 "Transfer-Encoding : chunked" }) {
    expectRefused(kOk + line + "\r\n" + kEnd);
    expectRefused(kOk + "Server: s\r\n" + line + "\r\n\r\nbody");
    expectRefused("HTTP/1.1 103 Early\r\n" + line + "\r\n\r\n" + kOk + kEnd);
  }
}

// Guards against a body that is not the peer's.
TEST(HttpClientResponses, FramingIsNotAllowed_Fails)
{
  for (const auto* framing : { "Transfer-Encoding: gzip",
                               "Transfer-Encoding: gzip, chunked",
                               "Transfer-Encoding: identity",
                               "Transfer-Encoding:",
                               "Content-Length:",
                               "Content-Length: x",
                               "Content-Length: 4x",
                               "Content-Length: 4, 5",
                               "Content-Length: 4\r\nContent-Length: 5",
                               "Content-Length: 4\r\nTransfer-Encoding: chunked",
                               "Transfer-Encoding: chunked\r\nContent-Length: 4" }) {
    expectRefused(kOk + framing + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  }
}

// libcurl skips bytes between the size of a chunk and the end of its line, and accepts a
// line feed alone there; the body is the peer's all the same.
TEST(HttpClientResponses, ChunksOrTrailersAreNotAllowed_Fails)
{
  for (const auto* body : { "4\r\nbodyXX0\r\n\r\n",
                            "4\rXbody\r\n0\r\n\r\n",
                            "x\r\nbody\r\n0\r\n\r\n",
                            "4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
                            "4\r\nbody\r\n0\r\nX\r\n\r\n",
                            "4\r\nbody\r\n",
                            "4\r\nbody\r\n0\r\n" }) {
    receive(kOk + "Transfer-Encoding: chunked\r\n\r\n" + body);
    if (outcome->response.has_value()) {
      unexpected += "\n" + std::string(body);
    }
  }
}

TEST(HttpClientResponses, ResponseIsAllowed_Whole)
{
  for (const std::string& response : std::vector<std::string>{
         kOk + kEnd,
         kOk + "\r\nbody",
         "HTTP/1.0 200 OK\r\n\r\nbody",
         "HTTP/1.1 200 \r\n" + kEnd,
         "HTTP/1.1 200\r\n" + kEnd,
         kOk + "!#$%&'*+-.^_`|~x: 1\r\n" + kEnd,
         kOk + "X:\r\nY: \xc3\xa9\xff\r\n" + kEnd,
         kOk + "Transfer-Encoding: Chunked\r\n\r\n4;a=\"b\"\r\nbody\r\n0\r\nX: 1\r\n\r\n",
         "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + kOk + kEnd }) {
    expectWhole(response);
  }
}

// Guards against a part of a response that counts as a whole one, since the peer resets
// the connection while a long request is still being sent.
TEST(HttpClientResponses, ConnectionIsResetDuringUpload_Fails)
{
  for (const auto* part : { "", "part" }) {
    peer = std::make_unique<ScriptedPeer>(
      *loop, [](RawConnection&, const std::string&) {}, testing::kEthernetSegment);
    const auto handle = start(std::string(8UL * 1024 * 1024, 'x'));
    CHECK_TRUE(testing::runUntil(*loop, 5s, [&] {
      return peer->connections() == 1 && !peer->connection(0).received().empty();
    }));
    peer->connection(0).pause(true);
    peer->connection(0).send(kOk + "\r\n" + part);
    peer->connection(0).reset();
    CHECK_TRUE(testing::runUntil(*loop, 5s, [&] { return outcome.has_value(); }));
    CHECK_FALSE_TEXT(outcome->response.has_value(), part);
  }
}
