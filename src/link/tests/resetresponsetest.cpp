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
