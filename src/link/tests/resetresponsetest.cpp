#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "link/tests/outboundfixture.h"

// Responses that begin before a long request has been sent, and end with their
// connection.

using namespace savoryrill;
using testing::RawConnection;
using testing::ScriptedPeer;

namespace {

constexpr std::size_t kRequestBytes = 1024UL * 1024;

const std::vector<std::string> kUnframedHeads{
  "HTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.0 200 OK\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
};
const std::vector<std::size_t> kPartSizes{ 0, 3, 10000, 65000 };

} // namespace

TEST_GROUP_BASE(ResponseDuringUpload, link::OutboundFixture){
  /// Sends a request that the peer stops reading after its head; the peer then sends
  /// `aResponse`, and `aEnd` ends the connection. Tells whether the exchange ended.
  bool upload(const std::string& aResponse,
              const std::function<void(RawConnection&)>& aEnd,
              Duration aPeerTimeout = 1500ms){ exchange = {};
connection.reset();
link::OutboundPool::Options options;
options.peerTimeout = aPeerTimeout;
pool = std::make_unique<link::OutboundPool>(*loop, options);
peer = std::make_unique<ScriptedPeer>(
  *loop,
  [](RawConnection&, const std::string&) {},
  testing::kEthernetSegment);
connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
connection->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kRequestBytes) +
                   "\r\n\r\n" + std::string(kRequestBytes, 'x'),
                 false,
                 exchange);
const bool arrived = until(
  [&] { return peer->connections() == 1 && !peer->connection(0).received().empty(); });
if (!arrived || !peer->requests().empty()) {
  return false;
}
peer->connection(0).pause(true);
peer->connection(0).send(aResponse);
aEnd(peer->connection(0));
const bool ended = until([&] { return exchange.done(); });
pool->giveBack("u", connection);
return ended;
}
}
;

// Guards against a response that waits in the socket until the peer timeout, as the
// connection is new and only watched for sending.
TEST(ResponseDuringUpload, RequestIsNotRead_ResponseIsReadAtOnce)
{
  CHECK_TRUE(upload(
    "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
    [](RawConnection&) {},
    60s));
  CHECK_TRUE(exchange.finished);
  STRCMP_EQUAL("whole", exchange.body.c_str());
}

// Guards against a part of a response that counts as a whole one: the error of the reset
// is reported once, to whichever call asks first, and a send asks before a read.
TEST(ResponseDuringUpload, ConnectionIsReset_Fails)
{
  for (const auto& head : kUnframedHeads) {
    for (const std::size_t size : kPartSizes) {
      CHECK_TRUE(upload(head + std::string(size, 'p'),
                        [](RawConnection& aConnection) { aConnection.reset(); }));
      CHECK_FALSE_TEXT(exchange.finished, (head + std::to_string(size)).c_str());
      CHECK_TRUE(exchange.fault == link::ExchangeFault::Broken);
    }
  }
}

// Guards against the same after a part of the response has been read.
TEST(ResponseDuringUpload, ConnectionIsResetAfterPartWasRead_Fails)
{
  for (const auto& head : kUnframedHeads) {
    CHECK_TRUE(upload(head + "part", [&](RawConnection& aConnection) {
      until([&] { return exchange.body == "part"; });
      aConnection.reset();
    }));
    CHECK_FALSE_TEXT(exchange.finished, head.c_str());
    CHECK_TRUE(exchange.fault == link::ExchangeFault::Broken);
  }
}

// Guards against a process that ends while its part of the request is unread: the kernel
// then sends a reset, no end.
TEST(ResponseDuringUpload, PeerClosesWithRequestUnread_Fails)
{
  for (const auto& head : kUnframedHeads) {
    CHECK_TRUE(upload(head + "part", [&](RawConnection& aConnection) {
      until([&] { return exchange.body == "part"; });
      aConnection.close();
    }));
    CHECK_FALSE_TEXT(exchange.finished, head.c_str());
    CHECK_TRUE(exchange.fault == link::ExchangeFault::Broken);
  }
}

// Guards against an upstream that reads a long request late and whose response counts as
// complete when this host gives up sending.
TEST(ResponseDuringUpload, RequestIsNotReadWithinPeerTimeout_Fails)
{
  CHECK_TRUE(upload(kUnframedHeads[0] + "part", [](RawConnection&) {}));
  CHECK_FALSE(exchange.finished);
  CHECK_TRUE(exchange.fault == link::ExchangeFault::Broken);
}

// Guards against refusing a whole response since its request was not read.
TEST(ResponseDuringUpload, PeerEndsItsSideInOrder_Finishes)
{
  for (const auto& head : kUnframedHeads) {
    CHECK_TRUE(upload(head + "whole",
                      [](RawConnection& aConnection) { aConnection.endSending(); }));
    CHECK_TRUE_TEXT(exchange.finished, head.c_str());
    STRCMP_EQUAL("whole", exchange.body.c_str());
  }
}

// Guards against the same if the reset follows the end before either has been read.
TEST(ResponseDuringUpload, PeerEndsItsSideInOrderAndThenResets_Finishes)
{
  for (const auto& head : kUnframedHeads) {
    CHECK_TRUE(upload(head + "whole", [](RawConnection& aConnection) {
      aConnection.endSending();
      aConnection.reset();
    }));
    CHECK_TRUE_TEXT(exchange.finished, head.c_str());
    STRCMP_EQUAL("whole", exchange.body.c_str());
  }
}

// Guards against refusing a response that shows its end by itself.
TEST(ResponseDuringUpload, FramedResponseAndThenReset_Finishes)
{
  const std::vector<std::string> responses{
    "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
  };
  for (const auto& response : responses) {
    CHECK_TRUE(upload(response, [](RawConnection& aConnection) { aConnection.reset(); }));
    CHECK_TRUE_TEXT(exchange.finished, response.c_str());
    STRCMP_EQUAL("whole", exchange.body.c_str());
  }
}
