#pragma once

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

#include "link/outboundconnection.h"
#include "testing/loopwait.h"
#include "testing/scriptedpeer.h"

namespace savoryrill::link {

inline constexpr Duration kOutboundTestLimit = 5s;

/// Records the response to one request. A response whose `X-Id` is not `own` belongs to
/// another request.
class RecordingExchange : public IExchangeHandler
{
public:
  bool matchesResponse(const ResponseHead& aHead) override
  {
    const auto* id = findHeader(aHead.headers, "x-id");
    return id == nullptr || *id == "own";
  }
  void responseStarted(const ResponseHead& aHead) override
  {
    status = aHead.status;
    head = aHead;
  }
  void responseData(std::string_view aData) override { body.append(aData); }
  void responseFinished() override { finished = true; }
  void exchangeFailed(ExchangeFault aFault) override { fault = aFault; }
  bool done() const { return finished || fault.has_value(); }

  int status = 0;
  ResponseHead head;
  std::string body;
  bool finished = false;
  std::optional<ExchangeFault> fault;
};

/// A pool of connections and a scripted peer that they lead to.
struct OutboundFixture : public Utest
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<OutboundPool> pool;
  std::unique_ptr<testing::ScriptedPeer> peer;
  RecordingExchange exchange;
  std::shared_ptr<OutboundConnection> connection;
  event::Watch mRest;

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    pool = std::make_unique<OutboundPool>(*loop, OutboundPool::Options{});
  }

  void teardown() override
  {
    connection.reset();
    pool.reset();
    peer.reset();
    loop.reset();
  }

  template<typename T>
  bool until(T aCondition)
  {
    return testing::runUntil(*loop, kOutboundTestLimit, aCondition);
  }

  void respondWith(std::string aBytes, bool aClose = false)
  {
    peer = std::make_unique<testing::ScriptedPeer>(
      *loop, [aBytes, aClose](testing::RawConnection& aConnection, const std::string&) {
        aConnection.send(aBytes);
        if (aClose) {
          aConnection.close();
        }
      });
  }

  bool sendRequest()
  {
    exchange = {};
    connection = pool->take("u", { "127.0.0.1", peer->port() }, 4).connection;
    connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, exchange);
    const bool ended = until([&] { return exchange.done(); });
    pool->giveBack("u", connection);
    return ended;
  }
};

} // namespace savoryrill::link
