#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"
#include "testing/scriptedpeer.h"

using namespace savoryrill;

TEST_GROUP(HttpServer)
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<http::Client> client;
  std::unique_ptr<http::Server> server;

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    client = std::move(http::Client::create(*loop).value());
  }

  void teardown() override
  {
    server.reset();
    client.reset();
    loop.reset();
  }

  void serve(http::Handler aHandler, http::ServerLimits aLimits = {})
  {
    http::ServerOptions options;
    options.limits = aLimits;
    server = std::move(http::Server::create(*loop, options, std::move(aHandler)).value());
  }

  http::ClientRequest request(const std::string& aPath, const std::string& aBody = "")
  {
    http::ClientRequest result;
    result.method = aBody.empty() ? "GET" : "POST";
    result.url = "http://127.0.0.1:" + std::to_string(server->port()) + aPath;
    result.body = aBody;
    return result;
  }

  http::ClientOutcome perform(http::ClientRequest aRequest)
  {
    std::optional<http::ClientOutcome> outcome;
    http::ClientCallbacks callbacks;
    callbacks.onDone = [&](http::ClientOutcome aOutcome) {
      outcome = std::move(aOutcome);
    };
    const auto handle = client->start(std::move(aRequest), std::move(callbacks));
    while (!outcome) {
      loop->runOnce(true);
    }
    return std::move(*outcome);
  }
};

// Guards against lost bodies, headers and query parameters.
TEST(HttpServer, wholeRequest_echoed_matches)
{
  serve([](const std::shared_ptr<http::Exchange>& aExchange) {
    const auto& request = aExchange->request();
    aExchange->respond({ 201,
                         { { "X-Kind", std::string(request.header("x-kind")) } },
                         request.query.at("a") + "|" + request.body });
  });
  auto outgoing = request("/echo?a=b%20c", "payload");
  outgoing.headers["X-Kind"] = "test";
  const auto outcome = perform(outgoing);
  CHECK(outcome.response.has_value());
  LONGS_EQUAL(201, outcome.response.value().status);
  STRCMP_EQUAL("b c|payload", outcome.response.value().body.c_str());
  STRCMP_EQUAL("test", outcome.response.value().headers.at("x-kind").c_str());
  CHECK(outcome.requestSent);
}

// Guards against requests that get no response because the handler releases its exchange
// without responding.
TEST(HttpServer, exchangeReleased_withoutResponse_gives500)
{
  serve([](const std::shared_ptr<http::Exchange>&) {});
  LONGS_EQUAL(500, perform(request("/")).response.value().status);
}

// Guards against request bodies of unbounded size: a body above the limit must be
// rejected with status 413 and reported as not run.
TEST(HttpServer, bodyAboveLimit_refused_with413)
{
  http::ServerLimits limits;
  limits.maxBodyBytes = 10;
  serve([](const std::shared_ptr<http::Exchange>& aExchange) { aExchange->respond({}); },
        limits);
  const auto refused = perform(request("/", "0123456789A"));
  LONGS_EQUAL(413, refused.response.value().status);
  STRCMP_EQUAL("application/problem+json",
               refused.response.value().headers.at("Content-Type").c_str());
  STRCMP_CONTAINS("\"ran\":\"no\"", refused.response.value().body.c_str());
}

// Guards against a response that never reaches the caller if it is sent after the handler
// has returned, while the connection is suspended.
TEST(HttpServer, respondLater_suspendedConnection_responseArrives)
{
  std::shared_ptr<http::Exchange> kept;
  event::Watch timer;
  serve([&](const std::shared_ptr<http::Exchange>& aExchange) {
    kept = aExchange;
    timer = loop->after(5ms, [&] { kept->respond({ 200, {}, "late" }); });
  });
  STRCMP_EQUAL("late", perform(request("/")).response.value().body.c_str());
}

// Guards against stream data that is lost or reordered when the connection is suspended
// between writes and resumed by the next one.
TEST(HttpServer, stream_writtenInSteps_arrivesWhole)
{
  std::shared_ptr<http::Exchange> kept;
  event::Watch timer;
  int steps = 0;
  serve([&](const std::shared_ptr<http::Exchange>& aExchange) {
    kept = aExchange;
    kept->startStream(200, {});
    timer = loop->every(1ms, [&] {
      kept->write("x" + std::to_string(steps));
      if (++steps == 10) {
        kept->finish();
        timer.reset();
      }
    });
  });
  const auto outcome = perform(request("/"));
  STRCMP_EQUAL("x0x1x2x3x4x5x6x7x8x9", outcome.response.value().body.c_str());
}

// Guards against a truncated stream that looks complete to the caller.
TEST(HttpServer, stream_aborted_isErrorAtCaller)
{
  serve([&](const std::shared_ptr<http::Exchange>& aExchange) {
    aExchange->startStream(200, {});
    aExchange->write("part");
    aExchange->abort();
  });
  const auto outcome = perform(request("/"));
  CHECK_FALSE(outcome.response.has_value());
  CHECK(outcome.requestSent);
}

// Guards against a status line that is sent for a dropped exchange.
TEST(HttpServer, exchange_droppedInHandlerOrLater_callerGetsNoStatus)
{
  std::shared_ptr<http::Exchange> kept;
  event::Watch timer;
  serve([&](const std::shared_ptr<http::Exchange>& aExchange) {
    if (aExchange->request().path == "/now") {
      aExchange->drop();
      return;
    }
    kept = aExchange;
    timer = loop->after(5ms, [&] { kept->drop(); });
  });
  for (const char* path : { "/now", "/later" }) {
    bool headers = false;
    std::optional<http::ClientOutcome> outcome;
    http::ClientCallbacks callbacks;
    callbacks.onHeaders = [&](const http::Response&) { headers = true; };
    callbacks.onDone = [&](http::ClientOutcome aOutcome) {
      outcome = std::move(aOutcome);
    };
    const auto handle = client->start(request(path), callbacks);
    while (!outcome) {
      loop->runOnce(true);
    }
    CHECK_FALSE(outcome->response.has_value());
    CHECK_FALSE(headers);
  }
}

// Guards against further work on a waiting request whose caller has disconnected:
// libmicrohttpd does not report it while the connection is suspended.
TEST(HttpServer, callerDisconnects_whileWaiting_isDetected)
{
  std::shared_ptr<http::Exchange> kept;
  bool closed = false;
  bool whole = true;
  serve([&](const std::shared_ptr<http::Exchange>& aExchange) {
    kept = aExchange;
    kept->onClosed([&](bool aWhole) {
      closed = true;
      whole = aWhole;
    });
  });
  auto handle = client->start(request("/"), {});
  while (!kept) {
    loop->runOnce(true);
  }
  handle.reset();
  while (!closed) {
    loop->runOnce(true);
  }
  CHECK_FALSE(whole);
}

// Guards against incomplete requests that hold a connection without a time limit.
TEST(HttpServer, requestIncomplete_pastReceiveTimeout_connectionClosed)
{
  http::ServerLimits limits;
  limits.receiveTimeout = 50ms;
  serve([](const std::shared_ptr<http::Exchange>& aExchange) { aExchange->respond({}); },
        limits);
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server->port());
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  LONGS_EQUAL(0, ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address));
  LONGS_EQUAL(4, ::send(fd, "GET ", 4, MSG_NOSIGNAL));
  bool ended = false;
  const auto watch = loop->watch(fd, { .readable = true }, [&](event::Interest) {
    char byte = 0;
    ended = ::recv(fd, &byte, 1, MSG_DONTWAIT) <= 0;
  });
  while (!ended) {
    loop->runOnce(true);
  }
  ::close(fd);
}

// Guards against a stop that aborts requests in progress.
TEST(HttpServer, stopAccepting_requestInProgress_completes)
{
  event::Watch timer;
  serve([&](const std::shared_ptr<http::Exchange>& aExchange) {
    server->stopAccepting();
    timer = loop->after(5ms, [aExchange] { aExchange->respond({ 200, {}, "done" }); });
  });
  STRCMP_EQUAL("done", perform(request("/")).response.value().body.c_str());
  const auto refused = perform(request("/"));
  CHECK_FALSE(refused.response.has_value());
  CHECK_FALSE(refused.requestSent);
}

/// Responds to the first request of each connection and closes the connection at the
/// second one (with `closeFirst`, at the first one) without a response, as a server does
/// that crashes after it has run the request.
struct ClosingServer
{
  explicit ClosingServer(event::Loop& aLoop)
    : loop(aLoop)
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t length = sizeof address;
    LONGS_EQUAL(0, ::bind(listener, reinterpret_cast<sockaddr*>(&address), length));
    LONGS_EQUAL(0, ::listen(listener, 8));
    LONGS_EQUAL(0,
                ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length));
    url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    watches[listener] =
      loop.watch(listener, { .readable = true }, [this](event::Interest) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
        watches[fd] =
          loop.watch(fd, { .readable = true }, [this, fd](event::Interest) { read(fd); });
      });
  }

  ~ClosingServer()
  {
    for (auto& [fd, watch] : watches) {
      watch.reset();
      ::close(fd);
    }
  }

  void read(int aFd)
  {
    char data[4096];
    const bool received = ::recv(aFd, data, sizeof data, MSG_DONTWAIT) > 0;
    requests += received ? 1 : 0;
    if (received && ++requestsByConnection[aFd] == 1 && !closeFirst) {
      const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      CHECK(::send(aFd, response.data(), response.size(), MSG_NOSIGNAL) > 0);
      return;
    }
    watches.erase(aFd);
    ::close(aFd);
  }

  event::Loop& loop;
  int listener;
  std::string url;
  bool closeFirst = false;
  int requests = 0;
  std::map<int, int> requestsByConnection;
  std::map<int, event::Watch> watches;
};

TEST_GROUP(HttpClient)
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<http::Client> client;

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    client = std::move(http::Client::create(*loop).value());
  }

  void teardown() override
  {
    client.reset();
    loop.reset();
  }

  /// Sends a request and waits for its outcome.
  http::ClientOutcome perform(
    const std::string& aMethod, const std::string& aUrl, bool aFreshConnection)
  {
    std::optional<http::ClientOutcome> outcome;
    http::ClientRequest request;
    request.method = aMethod;
    request.url = aUrl;
    request.freshConnection = aFreshConnection;
    http::ClientCallbacks callbacks;
    callbacks.onDone = [&](http::ClientOutcome aOutcome) {
      outcome = std::move(aOutcome);
    };
    const auto handle = client->start(request, callbacks);
    while (!outcome) {
      loop->runOnce(true);
    }
    return std::move(*outcome);
  }
};

// Guards against a request that runs twice: if a reused connection is closed without a
// response, libcurl sends the request again by itself.
TEST(HttpClient, freshConnection_peerClosesWithoutResponse_sentOnce)
{
  ClosingServer server(*loop);
  CHECK(perform("POST", server.url, false)
          .response.has_value()); // leaves a connection to reuse
  server.closeFirst = true;
  const auto outcome = perform("POST", server.url, true);
  CHECK_FALSE(outcome.response.has_value());
  CHECK(outcome.requestSent);
  LONGS_EQUAL(2, server.requests);
}

// Guards against an earlier refusal that a faulty upstream sends once more on a kept
// connection, and that is taken for the refusal of a request which may have run.
TEST(HttpClient, freshConnection_earlierRefusalRepeated_ownResponseReceived)
{
  const std::string refusal =
    testing::rawResponse(503, "Content-Type: application/json\r\n", R"({"ran":"no"})");
  testing::ScriptedPeer* server = nullptr;
  testing::ScriptedPeer peer(
    *loop, [&](testing::RawConnection& aConnection, const std::string& aRequest) {
      if (aRequest.starts_with("GET /refused")) {
        aConnection.send(refusal);
        return;
      }
      server->connection(0).send(
        refusal); // on the kept connection of the earlier request
      aConnection.send(testing::rawResponse(200, "", "done"));
    });
  server = &peer;
  const auto status_of = [&](const std::string& aMethod, const std::string& aPath) {
    const auto url = "http://127.0.0.1:" + std::to_string(peer.port()) + aPath;
    const auto outcome = perform(aMethod, url, aMethod == "POST");
    return outcome.response ? outcome.response.value().status : 0;
  };
  LONGS_EQUAL(503, status_of("GET", "/refused"));
  LONGS_EQUAL(200, status_of("POST", "/order"));
  LONGS_EQUAL(2, peer.connections());
}

// Guards against a transport error that is taken for a response, and against a request
// that is reported as sent although no connection existed.
TEST(HttpClient, nothingListening_request_failsAsNotSent)
{
  const auto outcome = perform("GET", "http://127.0.0.1:1/", false);
  CHECK_FALSE(outcome.response.has_value());
  CHECK_FALSE(outcome.requestSent);
}
