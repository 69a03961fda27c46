#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "http/server.h"
#include "testing/loopwait.h"
#include "testing/scriptedpeer.h"

// Which requests the server takes for requests.

using namespace savoryrill;
using testing::RawConnection;

TEST_GROUP(HttpServerRequests)
{
  std::unique_ptr<event::Loop> loop;
  std::unique_ptr<http::Server> server;
  int handled = 0;
  std::string body;
  std::string unexpected; // requests with another outcome than expected

  void setup() override
  {
    loop = std::move(event::Loop::create().value());
    server = std::move(
      http::Server::create(*loop,
                           {},
                           [this](const std::shared_ptr<http::Exchange>& aExchange) {
                             ++handled;
                             body = aExchange->request().body;
                             aExchange->respond({ 200, {}, "" });
                           })
        .value());
  }

  void teardown() override
  {
    server.reset();
    loop.reset();
    STRCMP_EQUAL("", unexpected.c_str());
  }

  /// Sends a request and returns the status line of its response.
  std::string statusLineFor(const std::string& aRequest)
  {
    handled = 0;
    body.clear();
    const auto caller = RawConnection::connect(*loop, server->port());
    caller->send(aRequest);
    testing::runUntil(*loop, 300ms, [&] {
      return caller->ended() || caller->received().find("\r\n\r\n") != std::string::npos;
    });
    return caller->received().substr(0, caller->received().find("\r\n"));
  }
};

// Guards against a request that this host and an upstream would read differently.
// libmicrohttpd drops lines without a name, and joins folded ones by a space, as RFC 9112
// permits.
TEST(HttpServerRequests, FieldsAreNotAllowed_Answered400)
{
  for (const std::string& line :
       std::vector<std::string>{ "X Y: 1",
                                 "X : 1",
                                 "X\tY: 1",
                                 "X\x01: 1",
                                 "X: \x01",
                                 "X",
                                 "Content-Length : 4",
                                 "Transfer-Encoding : chunked",
                                 "Content-Length: 4x",
                                 "Content-Length:",
                                 "Content-Length: 4\r\nContent-Length: 5",
                                 "Content-Length: 4\r\nTransfer-Encoding: chunked" }) {
    const auto status =
      statusLineFor("POST /x HTTP/1.1\r\nHost: a\r\n" + line + "\r\n\r\nbody");
    if (!status.starts_with("HTTP/1.1 400") || handled > 0) {
      unexpected += "\n" + line;
    }
  }
}

TEST(HttpServerRequests, FieldsAreAllowed_Handled)
{
  for (const std::string& line : std::vector<std::string>{
         "X:", "!#$%&'*+-.^_`|~x: 1", "X: \xc3\xa9\xff\ta", "X: 1\r\nX: 2" }) {
    const auto status = statusLineFor("POST /x HTTP/1.1\r\nHost: a\r\n" + line +
                                      "\r\nContent-Length: 4\r\n\r\nbody");
    if (!status.starts_with("HTTP/1.1 200") || handled != 1 || body != "body") {
      unexpected += "\n" + line;
    }
  }
}
