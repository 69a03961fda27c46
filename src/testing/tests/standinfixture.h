#pragma once

#include <json/value.h>
#include <memory>
#include <optional>
#include <string>

#include "event/loop.h"
#include "http/client.h"
#include "testing/internal/json.h"

namespace savoryrill::testing {

/// A loop and a client with which the tests talk to stand-ins over loopback.
struct StandInFixture
{
  struct Answer
  {
    int status = 0; // 0: no answer
    http::Headers headers;
    std::string body;
    Json::Value json = Json::objectValue;
  };

  /// A call in progress.
  struct Running
  {
    std::unique_ptr<http::RequestHandle> call;
    std::string data; // arrived so far
    std::optional<Answer> answer;
  };

  std::unique_ptr<event::Loop> loop = std::move(event::Loop::create().value());
  std::unique_ptr<http::Client> client = std::move(http::Client::create(*loop).value());

  std::shared_ptr<Running> start(const std::string& aMethod,
                                 std::uint16_t aPort,
                                 const std::string& aPath,
                                 const std::string& aBody = "",
                                 http::Headers aHeaders = {})
  {
    auto running = std::make_shared<Running>();
    http::ClientRequest request;
    request.method = aMethod;
    request.url = "http://127.0.0.1:" + std::to_string(aPort) + aPath;
    request.headers = std::move(aHeaders);
    request.body = aBody;
    request.freshConnection = true;
    const std::weak_ptr<Running> weak = running;
    http::ClientCallbacks callbacks;
    callbacks.onData = [weak](std::string_view aData) {
      if (const auto target = weak.lock()) {
        target->data.append(aData);
      }
    };
    callbacks.onDone = [weak](http::ClientOutcome aOutcome) {
      if (const auto target = weak.lock()) {
        target->answer = answerOf(aOutcome, target->data);
      }
    };
    running->call = client->start(request, callbacks);
    return running;
  }

  static Answer answerOf(const http::ClientOutcome& aOutcome, const std::string& aData)
  {
    Answer answer;
    answer.body = aData;
    if (!aOutcome.response) {
      return answer;
    }
    answer.status = aOutcome.response.value().status;
    answer.headers = aOutcome.response.value().headers;
    if (auto parsed = parseObject(aData)) {
      answer.json = parsed.value();
    }
    return answer;
  }

  Answer wait(const std::shared_ptr<Running>& aRunning)
  {
    while (!aRunning->answer) {
      loop->runOnce(true);
    }
    return *aRunning->answer;
  }

  Answer call(const std::string& aMethod,
              std::uint16_t aPort,
              const std::string& aPath,
              const std::string& aBody = "",
              http::Headers aHeaders = {})
  {
    return wait(start(aMethod, aPort, aPath, aBody, std::move(aHeaders)));
  }
};

} // namespace savoryrill::testing
