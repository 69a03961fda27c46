#include <CppUTest/TestHarness.h>

#include <cerrno>
#include <map>
#include <sys/socket.h>
#include <thread>

#include "link/inboundconnection.h"
#include "link/listener.h"
#include "link/outboundconnection.h"
#include "link/requestclient.h"
#include "link/tests/outboundfixture.h"
#include "testing/loopwait.h"
#include "testing/scriptedpeer.h"

using namespace savoryrill;
using link::RecordingExchange;
using testing::RawConnection;
using testing::rawResponse;
using testing::ScriptedPeer;

namespace {

constexpr Duration kTestLimit = 5s;

/// Responds to each request with its target and body, or leaves it without a response if
/// `hold` is set.
class EchoHandler : public link::IInboundHandler
{
public:
  void requestReceived(const std::shared_ptr<link::InboundConnection>& aConnection,
                       link::RequestMessage aRequest) override
  {
    requests.push_back(aRequest);
    if (hold) {
      held = aConnection;
      aConnection->onCallerLeft([this] { callerLeft = true; });
      return;
    }
    link::ResponseHead head;
    head.status = 200;
    head.reason = "OK";
    aConnection->respond(head, aRequest.target + " " + aRequest.body);
  }
  void requestRejected(int aStatus, std::string_view) override { rejected = aStatus; }
  const link::InboundLimits& limits() const override { return bounds; }
  bool closesConnections() const override { return closing; }
  void connectionClosed(link::CloseReason aReason) override { ++closed[aReason]; }

  std::map<link::CloseReason, int> closed;
  std::vector<link::RequestMessage> requests;
  std::shared_ptr<link::InboundConnection> held;
  link::InboundLimits bounds;
  int rejected = 0;
  bool hold = false;
  bool callerLeft = false;
  bool closing = false;
};

constexpr std::size_t kEndlessBytes = 32UL * 1024 * 1024;
// Above what one connection may read in two iterations of the loop.
constexpr std::size_t kMaxBytesBeforeNextEvent = 256UL * 1024;

/// Lets the peer send as much as has been read, at once, up to `kEndlessBytes`: the
/// reader always finds as much as it reads with one call. Records how much was read
/// before the loop handled another event.
class EndlessExchange : public RecordingExchange
{
public:
  EndlessExchange(event::Loop& aLoop, std::unique_ptr<ScriptedPeer>& aPeer)
    : mLoop(aLoop)
    , mPeer(aPeer)
  {
  }
  void responseData(std::string_view aData) override
  {
    if (mRead == 0) {
      mLoop.post([this] { readBeforeNextEvent = mRead; });
    }
    mRead += aData.size();
    if (mRead < kEndlessBytes) {
      mPeer->connection(0).send(std::string(aData.size(), 'x'));
    }
  }

  std::optional<std::size_t> readBeforeNextEvent;

private:
  event::Loop& mLoop;
  std::unique_ptr<ScriptedPeer>& mPeer;
  std::size_t mRead = 0;
};

/// Its limits are asked for at each part of a body.
class EndlessBodyHandler : public EchoHandler
{
public:
  const link::InboundLimits& limits() const override
  {
    if (onBody) {
      onBody();
    }
    return bounds;
  }
  std::function<void()> onBody;
};

} // namespace

TEST_GROUP(InboundConnection)
{
  std::unique_ptr<event::Loop> loop;
  EchoHandler handler;
  std::unique_ptr<link::Listener> listener;
  std::unique_ptr<RawConnection> caller;
  std::uint16_t port = 0;

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    port = testing::freePort();
    listener = std::move(
      link::Listener::create(*loop, { "127.0.0.1", port }, handler, 16).value());
    caller = RawConnection::connect(*loop, port);
  }

  void teardown() override
  {
    caller.reset();
    handler.held.reset();
    listener.reset();
    loop.reset();
  }

  template<typename T>
  bool until(T aCondition)
  {
    return testing::runUntil(*loop, kTestLimit, aCondition);
  }

  bool receives(const std::string& aText)
  {
    return until([&] { return caller->received().find(aText) != std::string::npos; });
  }
};

TEST(InboundConnection, PipelinedRequests_AnsweredInOrder)
{
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(receives("/2 "));
  CHECK_TRUE(caller->received().find("/1 ") < caller->received().find("/2 "));
}

TEST(InboundConnection, ChunkedBody_ArrivesWhole)
{
  caller->send("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK_TRUE(receives("/c abcde"));
}

// Guards against request smuggling: a request hidden in the body of another one.
TEST(InboundConnection, LengthAndChunksTogether_RejectedAndClosed)
{
  caller->send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
  CHECK_TRUE(receives("400"));
  CHECK_TRUE(until([&] { return caller->ended(); }));
  LONGS_EQUAL(0, handler.requests.size());
}

TEST(InboundConnection, TwoLengths_Rejected)
{
  caller->send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
               "Content-Length: 5\r\n\r\nabcd");
  CHECK_TRUE(receives("400"));
  LONGS_EQUAL(0, handler.requests.size());
}

// Guards against a request that this host and an upstream would read differently.
TEST(InboundConnection, FieldLineIsNotAllowed_Answered400)
{
  for (const auto* line : { "X Y: 1",
                            "Content-Length : 4",
                            "Transfer-Encoding : chunked",
                            " X: 1",
                            "X: 1\r\n folded",
                            "X\x01: 1",
                            "X: \x01" }) {
    caller = RawConnection::connect(*loop, port);
    caller->send("POST /x HTTP/1.1\r\nHost: a\r\n" + std::string(line) + "\r\n\r\nabcd");
    CHECK_TRUE_TEXT(receives("HTTP/1.1 400"), line);
    LONGS_EQUAL_TEXT(0, handler.requests.size(), line);
  }
}

TEST(InboundConnection, HeadAboveLimit_Answered431)
{
  caller->send("GET / HTTP/1.1\r\nHost: a\r\nX-Big: " + std::string(20000, 'x') +
               "\r\n\r\n");
  CHECK_TRUE(receives("431"));
  LONGS_EQUAL(431, handler.rejected);
}

// Guards against heads whose many short lines are not counted with their ends, and which
// take twenty times their size as objects.
TEST(InboundConnection, HeadOfManyShortLinesAboveLimit_Answered431)
{
  std::string lines;
  while (lines.size() < handler.bounds.maxHeadBytes) {
    lines += "a:\n";
  }
  caller->send("GET / HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n");
  CHECK_TRUE(receives("431"));
  LONGS_EQUAL(0, handler.requests.size());
}

TEST(InboundConnection, BodyAboveLimit_Answered413BeforeItArrives)
{
  handler.bounds.maxBodyBytes = 100;
  caller->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nab");
  CHECK_TRUE(receives("413"));
}

TEST(InboundConnection, ChunkedBodyAboveLimit_Answered413)
{
  handler.bounds.maxBodyBytes = 4;
  caller->send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
               "8\r\nabcdefgh\r\n");
  CHECK_TRUE(receives("413"));
}

TEST(InboundConnection, HeadArrivesTooSlowly_Answered408)
{
  handler.bounds.receiveTimeout = 50ms;
  caller->send("GET / HT");
  CHECK_TRUE(receives("408"));
  CHECK_TRUE(until([&] { return caller->ended(); }));
}

TEST(InboundConnection, IdleAboveLimit_ClosedWithoutResponse)
{
  handler.bounds.idleTimeout = 50ms;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(receives("/1 "));
  caller->clear();
  CHECK_TRUE(until([&] { return caller->ended(); }));
  STRCMP_EQUAL("", caller->received().c_str());
}

// Guards against work for callers that have disconnected.
TEST(InboundConnection, CallerLeavesWhileRequestIsInProgress_HandlerIsNotified)
{
  handler.hold = true;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(until([&] { return handler.held != nullptr; }));
  caller->close();
  CHECK_TRUE(until([&] { return handler.callerLeft; }));
}

TEST(InboundConnection, ExpectContinue_InterimResponseIsSent)
{
  caller->send("POST /e HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
               "Content-Length: 2\r\n\r\n");
  CHECK_TRUE(receives("100 Continue"));
  caller->send("ok");
  CHECK_TRUE(receives("/e ok"));
}

TEST(InboundConnection, WhileClosing_ResponseEndsItsConnection)
{
  handler.closing = true;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(receives("Connection: close"));
  CHECK_TRUE(until([&] { return caller->ended(); }));
}

// Guards against an incomplete response that looks complete.
TEST(InboundConnection, StreamAborted_NoTerminatingChunk)
{
  handler.hold = true;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(until([&] { return handler.held != nullptr; }));
  link::ResponseHead head;
  head.status = 200;
  head.reason = "OK";
  head.framing = link::Framing::Chunked;
  handler.held->sendHead(head);
  handler.held->sendData("data");
  CHECK_TRUE(receives("data"));
  handler.held->abort();
  CHECK_TRUE(until([&] { return caller->ended(); }));
  CHECK_TRUE(caller->received().find("0\r\n\r\n") == std::string::npos);
}

// Guards against unbounded buffering for a caller that does not read.
TEST(InboundConnection, CallerDoesNotRead_UnsentBytesAreReportedUntilItReads)
{
  constexpr std::size_t kBytes = 16UL * 1024 * 1024; // more than both socket buffers
  handler.hold = true;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(until([&] { return handler.held != nullptr; }));
  caller->pause(true);
  bool drained = false;
  handler.held->onOutputSent([&] { drained = true; });
  link::ResponseHead head;
  head.status = 200;
  head.framing = link::Framing::Chunked;
  handler.held->sendHead(head);
  handler.held->sendData(std::string(kBytes, 'x'));
  CHECK_TRUE(handler.held->unsentBytes() > 0);
  CHECK_FALSE(drained);
  caller->pause(false);
  CHECK_TRUE(until([&] { return drained; }));
  LONGS_EQUAL(0, handler.held->unsentBytes());
}

// Guards against connections that keep their place by empty lines.
TEST(InboundConnection, EmptyLinesWithoutEnd_Answered400)
{
  caller->send("\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(receives("/1 "));
  for (int line = 0; line < 100; ++line) {
    caller->send("\r\n");
  }
  CHECK_TRUE(receives("400"));
  CHECK_TRUE(until([&] { return caller->ended(); }));
}

// Guards against an idle time that empty lines prolong.
TEST(InboundConnection, EmptyLinesWhileIdle_ClosedAfterIdleTime)
{
  handler.bounds.idleTimeout = 200ms;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(receives("/1 "));
  const auto dribble = loop->every(20ms, [&] { caller->send("\r\n"); });
  CHECK_TRUE(until([&] { return caller->ended(); }));
  CHECK_TRUE(caller->received().find("400") == std::string::npos);
}

// Guards against a response that is cut by the idle time while its caller still reads it.
TEST(InboundConnection, ResponseIsReadSlowly_ArrivesWholeAfterIdleTime)
{
  handler.bounds.idleTimeout = 100ms;
  // More than the kernel holds for a caller that does not read.
  constexpr std::size_t kBytes = 16UL * 1024 * 1024;
  handler.bounds.maxBodyBytes = kBytes;
  caller->send("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(kBytes) + "\r\n\r\n" + std::string(kBytes, 'x'));
  CHECK_TRUE(until([&] { return !handler.requests.empty(); }));
  caller->pause(true);
  const Instant end = loop->now() + 400ms;
  until([&] { return loop->now() >= end; });
  CHECK_FALSE(caller->ended());
  caller->pause(false);
  CHECK_TRUE(until([&] { return caller->received().size() >= kBytes; }));
}

// Guards against a reset that destroys the response to a caller that is still sending.
TEST(InboundConnection, CallerSendsOnAfterRejection_ReadsResponse)
{
  handler.bounds.maxBodyBytes = 100;
  constexpr std::size_t kBytes = 512UL * 1024;
  caller->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kBytes) +
               "\r\n\r\n" + std::string(kBytes, 'x'));
  CHECK_TRUE(receives("body is too large"));
  CHECK_TRUE(until([&] { return caller->ended(); }));
}

// Guards against a caller that has stopped reading and holds its response for ever.
TEST(InboundConnection, CallerStopsReading_DisconnectedAfterSomeSeconds)
{
  handler.hold = true;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(until([&] { return handler.held != nullptr; }));
  caller->pause(true);
  link::ResponseHead head;
  head.status = 200;
  head.framing = link::Framing::Chunked;
  handler.held->sendHead(head);
  handler.held->sendData(std::string(16UL * 1024 * 1024, 'x'));
  CHECK_TRUE(handler.held->unsentBytes() > 0);
  CHECK_TRUE(testing::runUntil(*loop, 15s, [&] { return handler.callerLeft; }));
  CHECK_TRUE(handler.held->closed());
}

// Guards against disconnecting a caller that reads slowly but steadily: in longer than a
// caller may stop reading, it makes no room in the large buffer of the socket.
TEST(InboundConnection, CallerReadsSlowlyButSteadily_ReceivesWholeResponse)
{
  constexpr std::size_t kBytes = 16UL * 1024 * 1024;
  constexpr Duration kSlowTime = 9s;
  handler.hold = true;
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(until([&] { return handler.held != nullptr; }));
  std::size_t received = 0;
  bool slow = true;
  caller->pause(true);
  caller->onData([&] {
    received += caller->received().size();
    caller->clear();
    if (slow) {
      caller->pause(true);
    }
  });
  const auto reading = loop->every(500ms, [&] { caller->pause(false); });
  handler.held->respond({ 200, "OK", {}, {}, 0 }, std::string(kBytes, 'x'));
  CHECK_TRUE(handler.held->unsentBytes() > 0);
  const Instant end = loop->now() + kSlowTime;
  testing::runUntil(*loop, 2 * kSlowTime, [&] { return loop->now() >= end; });
  CHECK_FALSE(handler.held->closed());
  slow = false;
  CHECK_TRUE(until([&] { return received > kBytes; }));
}

// Guards against idle connections that take all places.
TEST(InboundConnection, AllPlacesIdle_NewcomerTakesPlaceOfLongestIdle)
{
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (int connection = 0; connection < 15; ++connection) {
    idle.push_back(RawConnection::connect(*loop, port));
  }
  CHECK_TRUE(until([&] { return listener->connections() == 16; }));
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(receives("/1 "));
  const auto newcomer = RawConnection::connect(*loop, port);
  newcomer->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(
    until([&] { return newcomer->received().find("/2 ") != std::string::npos; }));
  CHECK_TRUE(until([&] { return idle.front()->ended(); }));
  CHECK_FALSE(caller->ended());
  LONGS_EQUAL(16, listener->connections());
  LONGS_EQUAL(1, handler.closed[link::CloseReason::Displaced]);
}

// Guards against the sum of bodies that are each within the limit, and against memory
// that stays counted.
TEST(InboundConnection, BodiesTogetherAboveBudget_OneIsRefusedAsNotRun)
{
  constexpr std::size_t kBody = 3UL * 1024 * 1024;
  link::MemoryBudget budget(8UL * 1024 * 1024);
  const auto counted_port = testing::freePort();
  auto counted = std::move(
    link::Listener::create(*loop, { "127.0.0.1", counted_port }, handler, 16, &budget)
      .value());
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (int number = 0; number < 3; ++number) {
    callers.push_back(RawConnection::connect(*loop, counted_port));
    callers.back()->send(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kBody) +
      "\r\n\r\n" + std::string(kBody - 1, 'x'));
  }
  CHECK_TRUE(until([&] { return handler.rejected == 503; }));
  CHECK_FALSE(budget.exceeded());
  LONGS_EQUAL(1, budget.evicted());
  LONGS_EQUAL(0, handler.requests.size());
  callers.clear();
  CHECK_TRUE(until([&] { return counted->connections() == 0; }));
  LONGS_EQUAL(0, budget.bytes());
}

// Guards against an honest small request that is refused before a large one that has
// hardly begun, since the length in a head that came in one read did not count.
TEST(InboundConnection, HeadAndPartOfBodyInOneRead_AnnouncedLengthCounts)
{
  link::MemoryBudget budget(8UL * 1024 * 1024);
  const auto counted_port = testing::freePort();
  auto counted = std::move(
    link::Listener::create(*loop, { "127.0.0.1", counted_port }, handler, 16, &budget)
      .value());
  const auto sends = [&](std::size_t aLength, std::size_t aPart) {
    auto connection = RawConnection::connect(*loop, counted_port);
    connection->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                     std::to_string(aLength) + "\r\n\r\n" + std::string(aPart, 'x'));
    return connection;
  };
  const auto small = sends(10'000, 8'000);
  const auto large = sends(4'000'000, 12'000);
  CHECK_TRUE(until([&] { return budget.bytes(link::MemoryKind::Body) >= 20'000; }));
  CHECK_TRUE(budget.evictOne(true, loop->now()));
  CHECK_TRUE(until([&] { return large->received().find("503") != std::string::npos; }));
  CHECK_TRUE(small->received().empty());
}

// Guards against a caller that keeps the loop from all others while it sends a body
// faster than it is read.
TEST(InboundConnection, BodyComesAsFastAsItIsRead_LoopHandlesOtherEvents)
{
  EndlessBodyHandler flooded;
  flooded.bounds.maxBodyBytes = 2 * kEndlessBytes;
  const auto flooded_port = testing::freePort();
  const auto flooded_listener = std::move(
    link::Listener::create(*loop, { "127.0.0.1", flooded_port }, flooded, 16).value());
  const auto socket =
    std::move(link::connectTo({ "127.0.0.1", flooded_port }, 5s).value());
  CHECK_TRUE(until([&] { return flooded_listener->connections() == 1; }));
  std::size_t read = 0;
  std::optional<std::size_t> read_before_next_event;
  flooded.onBody = [&] {
    if (read == 0) {
      loop->post([&] { read_before_next_event = read; });
    }
    read += 16UL * 1024;
  };
  std::thread sender([&] {
    const auto send_all = [&](const std::string& aBytes) {
      for (std::size_t sent = 0; sent < aBytes.size();) {
        const ssize_t size =
          ::send(socket.fd(), aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN) {
          return; // the connection has been closed
        }
        sent += size > 0 ? static_cast<std::size_t>(size) : 0;
      }
    };
    send_all("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
             std::to_string(2 * kEndlessBytes) + "\r\n\r\n");
    send_all(std::string(kEndlessBytes, 'x'));
  });
  CHECK_TRUE(until([&] { return read >= kEndlessBytes; }));
  sender.join();
  CHECK_TRUE(*read_before_next_event < kMaxBytesBeforeNextEvent);
  flooded.onBody = nullptr;
}

TEST_GROUP_BASE(OutboundConnection, link::OutboundFixture){};

TEST(OutboundConnection, IdleConnection_Reused)
{
  respondWith(rawResponse(200, "", "body"));
  CHECK_TRUE(sendRequest());
  CHECK_TRUE(sendRequest());
  STRCMP_EQUAL("body", exchange.body.c_str());
  LONGS_EQUAL(1, pool->opened());
}

// Guards against upstreams that take the descriptors of the store and of other hosts.
TEST(OutboundConnection, PoolIsFull_IdleConnectionOfOtherKeyMakesRoom)
{
  respondWith(rawResponse(200, "", "body"));
  link::OutboundPool::Options options;
  options.maxConnections = 2;
  pool = std::make_unique<link::OutboundPool>(*loop, options);
  CHECK_TRUE(sendRequest());
  const link::Endpoint endpoint{ "127.0.0.1", peer->port() };
  const auto first = pool->take("v", endpoint, 4);
  const auto second = pool->take("w", endpoint, 4);
  CHECK_TRUE(first.connection && second.connection);
  CHECK_TRUE(connection->closed());
  CHECK_TRUE(pool->take("x", endpoint, 4).connection == nullptr);
  LONGS_EQUAL(2, pool->open());
}

// Guards against a body that is sent in part or twice: it is not copied, and its socket
// takes it in several parts.
TEST(OutboundConnection, LargeBodyFollowsHead_ArrivesWhole)
{
  respondWith(rawResponse(200, "", "done"));
  std::string body(4UL * 1024 * 1024, 'x');
  for (std::size_t at = 0; at < body.size(); at += 1000) {
    body[at] = static_cast<char>('a' + at / 1000 % 26);
  }
  const std::string head =
    "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
  connection->send(head, false, exchange, body);
  CHECK_TRUE(until([&] { return exchange.done(); }));
  CHECK_TRUE(peer->requests().size() == 1 && peer->requests().front() == head + body);
  CHECK_TRUE(connection->reusable() && connection->requestStarted() == false);
}

// Guards against responses that reach the wrong caller.
TEST(OutboundConnection, ResponseToOtherRequestComesFirst_SkippedAndConnectionNotReused)
{
  respondWith(rawResponse(200, "X-Id: other\r\n", "theirs") +
              rawResponse(200, "X-Id: own\r\n", "mine"));
  CHECK_TRUE(sendRequest());
  STRCMP_EQUAL("mine", exchange.body.c_str());
  CHECK_FALSE(connection->reusable());
}

// Guards against an upstream that keeps the loop from all other connections, timers and
// signals while it sends a response faster than it is read.
TEST(OutboundConnection, BodyComesAsFastAsItIsRead_LoopHandlesOtherEvents)
{
  respondWith("HTTP/1.1 200 OK\r\n\r\n" + std::string(64UL * 1024, 'x'));
  EndlessExchange endless(*loop, peer);
  connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
  connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, endless);
  CHECK_TRUE(until([&] { return endless.readBeforeNextEvent.has_value(); }));
  CHECK_TRUE(*endless.readBeforeNextEvent < kMaxBytesBeforeNextEvent);
  connection->cancel();
}

TEST(OutboundConnection, BytesAfterResponse_ConnectionNotReused)
{
  respondWith(rawResponse(200, "X-Id: own\r\n", "mine") + rawResponse(200, "", "extra"));
  CHECK_TRUE(sendRequest());
  STRCMP_EQUAL("mine", exchange.body.c_str());
  CHECK_FALSE(connection->reusable());
}

// Guards against a late response that arrives while the connection is idle and is taken
// for the response to the next request.
TEST(OutboundConnection, ResponseWhileIdle_ConnectionNotReused)
{
  respondWith(rawResponse(200, "X-Id: own\r\n", "mine"));
  CHECK_TRUE(sendRequest());
  peer->connection(0).send(rawResponse(200, "X-Id: own\r\n", "late"));
  CHECK_TRUE(sendRequest());
  LONGS_EQUAL(2, pool->opened());
  STRCMP_EQUAL("mine", exchange.body.c_str());
}

TEST(OutboundConnection, InterimResponse_Ignored)
{
  respondWith("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + rawResponse(200, "", "b"));
  CHECK_TRUE(sendRequest());
  LONGS_EQUAL(200, exchange.status);
}

TEST(OutboundConnection, ResponseShorterThanItsLength_Fails)
{
  respondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true);
  CHECK_TRUE(sendRequest());
  CHECK_FALSE(exchange.finished);
  CHECK_TRUE(exchange.fault == link::ExchangeFault::Broken);
}

TEST(OutboundConnection, ChunkedResponseWithoutEnd_Fails)
{
  respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true);
  CHECK_TRUE(sendRequest());
  CHECK_FALSE(exchange.finished);
}

TEST(OutboundConnection, ResponseWithoutLength_EndsWithConnection)
{
  respondWith("HTTP/1.1 200 OK\r\n\r\nabc", true);
  CHECK_TRUE(sendRequest());
  CHECK_TRUE(exchange.finished);
  STRCMP_EQUAL("abc", exchange.body.c_str());
}

// Guards against a truncated response that looks complete.
TEST(OutboundConnection, ResponseWithoutLengthIsReset_Fails)
{
  peer = std::make_unique<ScriptedPeer>(
    *loop, [](RawConnection& aConnection, const std::string&) {
      aConnection.send("HTTP/1.1 200 OK\r\n\r\nabc");
      aConnection.reset();
    });
  CHECK_TRUE(sendRequest());
  CHECK_FALSE(exchange.finished);
}

// Guards against a head that is not checked since its response is not the awaited one.
TEST(OutboundConnection, SkippedResponseIsNotAllowed_Malformed)
{
  const std::string own = rawResponse(200, "X-Id: own\r\n", "mine");
  for (const auto* skipped :
       { "HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n",
         "HTTP/1.1 099 Early\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX-Id: other\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 000 -\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" }) {
    respondWith(skipped + own);
    CHECK_TRUE(sendRequest());
    CHECK_TRUE_TEXT(exchange.fault == link::ExchangeFault::Malformed, skipped);
    LONGS_EQUAL_TEXT(0, exchange.status, skipped);
  }
}

TEST(OutboundConnection, BytesAreNotAResponse_Malformed)
{
  respondWith("garbage\r\n\r\n");
  CHECK_TRUE(sendRequest());
  CHECK_TRUE(exchange.fault == link::ExchangeFault::Malformed);
}

// Guards against resending a request that may have run. HTTP libraries silently resend a
// request on a new connection if the peer closes the reused connection when the request
// arrives.
TEST(OutboundConnection, IdleConnectionClosedByPeer_RequestIsSentOnce)
{
  respondWith(rawResponse(200, "", "first"));
  CHECK_TRUE(sendRequest());
  peer->setAnswer(
    [](RawConnection& aConnection, const std::string&) { aConnection.close(); });
  CHECK_TRUE(sendRequest());
  CHECK_TRUE(exchange.fault == link::ExchangeFault::Broken);
  LONGS_EQUAL(2, peer->requests().size());
}

// Guards against the next request's bytes being read as the rest of an unfinished body.
TEST(OutboundConnection, ResponseBeforeLongBodyIsRead_ConnectionNotReused)
{
  respondWith("");
  exchange = {};
  connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
  const std::size_t size = 16UL * 1024 * 1024;
  connection->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) +
                     "\r\n\r\n" + std::string(size, 'x'),
                   false,
                   exchange);
  CHECK_TRUE(until([&] { return peer->connections() == 1; }));
  peer->connection(0).pause(true);
  peer->connection(0).send(rawResponse(413, "", "too long"));
  CHECK_TRUE(until([&] { return exchange.done(); }));
  LONGS_EQUAL(413, exchange.status);
  CHECK_TRUE(connection->closed());
  pool->giveBack("u", connection);
}

TEST(OutboundConnection, Paused_NothingIsDeliveredUntilResumed)
{
  respondWith(rawResponse(200, "", "body"));
  exchange = {};
  connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
  connection->send("GET / HTTP/1.1\r\n\r\n", false, exchange);
  connection->pause(true);
  const Instant end = loop->now() + 100ms;
  until([&] { return loop->now() >= end; });
  CHECK_FALSE(exchange.done());
  connection->pause(false);
  CHECK_TRUE(until([&] { return exchange.finished; }));
  pool->giveBack("u", connection);
}

TEST(OutboundConnection, NothingListens_NotConnected)
{
  const auto port = testing::freePort();
  connection = pool->take("u", { "127.0.0.1", port }, 4).connection;
  connection->send("GET / HTTP/1.1\r\n\r\n", false, exchange);
  CHECK_TRUE(until([&] { return exchange.done(); }));
  CHECK_TRUE(exchange.fault == link::ExchangeFault::NotConnected);
  pool->giveBack("u", connection);
}

TEST(OutboundConnection, MaxConnectionsReached_NoConnection)
{
  respondWith("");
  const auto first = pool->take("u", { "127.0.0.1", peer->port() }, 1);
  const auto second = pool->take("u", { "127.0.0.1", peer->port() }, 1);
  CHECK_TRUE(first.connection != nullptr);
  CHECK_TRUE(second.connection == nullptr);
  first.connection->cancel();
  pool->giveBack("u", first.connection);
  CHECK_TRUE(pool->take("u", { "127.0.0.1", peer->port() }, 1).connection != nullptr);
}

TEST(OutboundConnection, RequestWithoutResponse_TimesOutAsUnknown)
{
  respondWith("");
  link::RequestClient client(*loop, *pool);
  std::optional<ErrorCode> code;
  link::BufferedRequest request;
  request.key = "u";
  request.endpoint = { "127.0.0.1", peer->port() };
  request.request = link::jsonRequest("GET", "/", request.endpoint, "");
  request.timeout = 100ms;
  client.start(request, [&](Result<link::BufferedResponse> aResponse) {
    code = aResponse ? ErrorCode::Internal : aResponse.error().code;
  });
  CHECK_TRUE(until([&] { return code.has_value(); }));
  CHECK_TRUE(*code == ErrorCode::OutcomeUnknown);
}

/// A faulty upstream that sends `aStart` and then `aMore` repeatedly until its connection
/// is closed.
TEST_GROUP(OutboundFlood)
{
  static constexpr std::size_t kMaxSentBytes = 4UL * 1024 * 1024;

  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<link::OutboundPool> pool;
  std::unique_ptr<ScriptedPeer> peer;
  RecordingExchange exchange;
  RawConnection* flooded = nullptr;
  std::size_t sent = 0;

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    pool = std::make_unique<link::OutboundPool>(*loop, link::OutboundPool::Options{});
  }

  void teardown() override
  {
    pool.reset();
    peer.reset();
    loop.reset();
  }

  /// True if the connection was closed before `kMaxSentBytes` were sent.
  bool closedAfter(const std::string& aStart, const std::string& aMore)
  {
    peer = std::make_unique<ScriptedPeer>(
      *loop, [&, aStart](RawConnection& aConnection, const std::string&) {
        flooded = &aConnection;
        aConnection.send(aStart);
      });
    const auto connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
    connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, exchange);
    const auto flood = loop->every(1ms, [&] {
      if (flooded != nullptr && !flooded->ended()) {
        flooded->send(aMore);
        sent += aMore.size();
      }
    });
    const Instant end = loop->now() + kTestLimit;
    while (!exchange.done() && sent < kMaxSentBytes && loop->now() < end) {
      loop->runOnce(true);
    }
    const bool closed = exchange.done() && connection->closed();
    pool->giveBack("u", connection);
    return closed;
  }

  bool malformed() const
  {
    return exchange.fault == link::ExchangeFault::Malformed;
  }
};

// Each of these guards against an upstream that exhausts memory, or occupies a request
// endlessly, with data that never ends.
TEST(OutboundFlood, StatusLineWithoutEnd_Closed)
{
  CHECK_TRUE(closedAfter("HTTP/1.1 200 ", std::string(4096, 'a')));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, HeaderLineWithoutEnd_Closed)
{
  CHECK_TRUE(closedAfter("HTTP/1.1 200 OK\r\nX-A: ", std::string(4096, 'a')));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, HeadersWithoutEnd_Closed)
{
  CHECK_TRUE(closedAfter("HTTP/1.1 200 OK\r\n", "X-A: b\r\nX-B: c\r\nX-C: d\r\n"));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, InterimResponsesWithoutEnd_Closed)
{
  CHECK_TRUE(closedAfter("", "HTTP/1.1 102 Processing\r\n\r\n"));
  CHECK_TRUE(malformed());
  CHECK_TRUE(sent < 100'000);
}

TEST(OutboundFlood, ResponsesToOthersWithoutEnd_Closed)
{
  CHECK_TRUE(closedAfter("", rawResponse(200, "X-Id: other\r\n", "theirs")));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, BodyOfAnotherResponseWithoutEnd_Closed)
{
  CHECK_TRUE(
    closedAfter("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999\r\n\r\n",
                std::string(8192, 'a')));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, ChunkExtensionWithoutEnd_Closed)
{
  CHECK_TRUE(closedAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
                         std::string(4096, 'a')));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, ChunkSizeWithoutEnd_Closed)
{
  CHECK_TRUE(closedAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                         std::string(512, '0')));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, TrailersWithoutEnd_Closed)
{
  CHECK_TRUE(
    closedAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
                "X-A: b\r\nX-B: c\r\nX-C: d\r\n"));
  CHECK_TRUE(malformed());
}

TEST(OutboundFlood, BytesAfterCompleteResponse_ConnectionNotReused)
{
  CHECK_TRUE(closedAfter(rawResponse(200, "", "body"), std::string(4096, 'a')) ||
             exchange.finished);
  CHECK_TRUE(exchange.finished);
  STRCMP_EQUAL("body", exchange.body.c_str());
  const auto wake = loop->every(5ms, [] {});
  const Instant end = loop->now() + kTestLimit;
  while (!flooded->ended() && loop->now() < end) {
    loop->runOnce(true);
    flooded->send("a");
  }
  CHECK_TRUE(flooded->ended());
}

// Guards against a late duplicate of an earlier response that reaches the next caller.
// The duplicate is split at every position into a part that arrives at once and a later
// one.
TEST(OutboundConnection, DuplicateResponseDuringNextRequest_NeverDelivered)
{
  const std::string copy = rawResponse(200, "X-Id: other\r\n", "theirs");
  const std::string own = rawResponse(200, "X-Id: own\r\n", "mine");
  for (std::size_t split = 0; split < copy.size(); ++split) {
    const auto answer = [&](RawConnection& aConnection, const std::string&) {
      if (peer->requests().size() == 1) {
        aConnection.send(rawResponse(200, "", "first"));
        return;
      }
      aConnection.send(copy.substr(0, split));
      mRest = loop->after(
        2ms, [&, target = &aConnection] { target->send(copy.substr(split) + own); });
    };
    peer = std::make_unique<ScriptedPeer>(*loop, answer);
    CHECK_TRUE(sendRequest());
    STRCMP_EQUAL("first", exchange.body.c_str());
    CHECK_TRUE(sendRequest());
    STRCMP_EQUAL("mine", exchange.body.c_str());
    pool->closeIdle("u");
  }
}

// Guards against an order that is sent after its permission has expired, since connecting
// took long or the process was paused.
TEST(OutboundConnection, PermissionExpiresBeforeFirstByte_NothingIsSent)
{
  respondWith(rawResponse(200, "", "body"));
  for (const bool reused : { false, true }) {
    if (reused) {
      CHECK_TRUE(sendRequest());
    }
    const auto before = peer->requests().size();
    exchange = {};
    connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
    bool allowed = true;
    connection->sendIfPermitted(
      [&] { return allowed; }, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", exchange);
    allowed = false;
    CHECK_TRUE(until([&] { return exchange.done(); }));
    CHECK_TRUE(exchange.fault == link::ExchangeFault::NotConnected);
    LONGS_EQUAL(before, peer->requests().size());
    pool->giveBack("u", connection);
  }
}

// Guards against requests that are lost in a planned stop because they were not read yet:
// on a connection in the accept queue, or in the receive buffer of an open one.
TEST(InboundConnection, StopWhileRequestsArrive_AllGetResponses)
{
  handler.closing = true;
  auto second = RawConnection::connect(*loop, port);
  CHECK_TRUE(until([&] { return true; }));
  caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  second->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  listener->stop();
  listener->closeIdle();
  CHECK_TRUE(receives("/1 "));
  CHECK_TRUE(until([&] { return second->received().find("/2 ") != std::string::npos; }));
}
