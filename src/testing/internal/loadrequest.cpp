#include "testing/internal/loadrequest.h"

#include <sstream>
#include <utility>

#include "testing/internal/json.h"
#include "testing/loadplan.h"
#include "testing/tokens.h"

namespace savoryrill::testing {

namespace {

constexpr std::string_view kData = "data: ";

/// The text of a whole answer or of one streamed piece, whatever the kind of request.
std::string
textOf(const Json::Value& aAnswer)
{
  const Json::Value& choices = aAnswer["choices"];
  if (!choices.isArray() || choices.empty() || !choices[0].isObject()) {
    return {};
  }
  const Json::Value& choice = choices[0];
  for (const char* member : { "message", "delta" }) {
    if (choice[member].isObject()) {
      return textMember(choice[member], "content");
    }
  }
  return textMember(choice, "text");
}

struct StreamText
{
  std::string text;
  bool done = false;
  bool error = false;
};

StreamText
readStream(const std::string& aBody)
{
  StreamText result;
  std::istringstream lines(aBody);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (line == "data: [DONE]") {
      result.done = true;
    } else if (line.starts_with("event: error")) {
      result.error = true;
    } else if (line.starts_with(kData)) {
      const auto event = parseObject(std::string_view(line).substr(kData.size()));
      if (event) {
        result.error = result.error || event.value().isMember("error");
        result.text += textOf(event.value());
      }
    }
  }
  return result;
}

} // namespace

LoadRequest::LoadRequest(event::Loop& aLoop,
                         http::Client& aClient,
                         const PlannedRequest& aPlan,
                         Duration aTimeout,
                         std::function<void(const LoadResult&)> aDone)
  : mLoop(aLoop)
  , mPlan(aPlan)
  , mPrompt(promptOf(aPlan))
  , mDone(std::move(aDone))
{
  mResult.sent = mLoop.now();
  http::ClientCallbacks callbacks;
  callbacks.onHeaders = [this](const http::Response& aResponse) {
    mResult.status = aResponse.status;
    const auto id = aResponse.headers.find("X-Request-Id");
    mResult.requestId = id == aResponse.headers.end() ? "" : id->second;
  };
  callbacks.onData = [this](std::string_view aData) {
    mBody.append(aData);
    const bool token = mResult.status == 200 && mBody.find(kData) != std::string::npos;
    if (mPlan.stream && token && !mResult.firstToken) {
      mResult.firstToken = mLoop.now();
    }
  };
  callbacks.onDone = [this](const http::ClientOutcome& aOutcome) { ended(aOutcome); };
  mCall = aClient.start(build(aTimeout), std::move(callbacks));
}

http::ClientRequest
LoadRequest::build(Duration aTimeout) const
{
  http::ClientRequest request;
  request.method = "POST";
  request.freshConnection = true;
  request.totalTimeout = aTimeout;
  request.headers["Content-Type"] = "application/json";
  const auto header = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      request.headers[aName] = aValue;
    }
  };
  header("X-Caller-Id", mPlan.caller);
  header("X-Request-Priority", mPlan.priority);
  header("Idempotency-Key", mPlan.key);
  header("X-Request-Deadline-Ms",
         mPlan.deadlineMs == 0 ? "" : std::to_string(mPlan.deadlineMs));
  const std::string base = "http://" + mPlan.target + "/v1/";
  if (mPlan.kind == LoadKind::Service) {
    request.url = base + "services/" + mPlan.service;
    request.body = toText(fields({ { "booking", mPlan.marker } }));
    return request;
  }
  auto body = fields({ { "model", mPlan.model },
                       { "max_tokens", mPlan.maxTokens },
                       { "stream", mPlan.stream } });
  if (mPlan.kind == LoadKind::Chat) {
    request.url = base + "chat/completions";
    body["messages"].append(fields({ { "role", "user" }, { "content", mPrompt } }));
  } else {
    request.url = base + "completions";
    body["prompt"] = mPrompt;
  }
  request.body = toText(body);
  return request;
}

void
LoadRequest::ended(const http::ClientOutcome& aOutcome)
{
  mResult.end = mLoop.now();
  mResult.requestSent = aOutcome.requestSent;
  if (!aOutcome.response) {
    mResult.error = aOutcome.response.error().message;
    const bool cut_stream = mPlan.stream && mResult.status == 200;
    mResult.outcome = cut_stream ? judgeStream() : LoadOutcome::TransportError;
    // An error event may stand before the cut, but a cut stream is never whole.
    if (mResult.outcome != LoadOutcome::ErrorEvent && cut_stream) {
      mResult.outcome = LoadOutcome::Incomplete;
    }
  } else if (mResult.status == 200) {
    mResult.outcome = judgeAnswer();
    if (!mPlan.stream) {
      mResult.firstToken = mResult.end;
    }
  } else {
    judgeProblem();
  }
  // The callback may destroy this object.
  const auto done = std::move(mDone);
  const LoadResult result = mResult;
  done(result);
}

void
LoadRequest::judgeProblem()
{
  const auto problem = parseObject(mBody);
  if (problem) {
    mResult.problemType = textMember(problem.value(), "type");
    mResult.problemCode = textMember(problem.value(), "code");
    mResult.ran = textMember(problem.value(), "ran");
  }
  mResult.outcome = mResult.ran == "no" ? LoadOutcome::Refused : LoadOutcome::Unknown;
}

LoadOutcome
LoadRequest::judgeAnswer() const
{
  if (mPlan.kind == LoadKind::Service) {
    return judgeService();
  }
  return mPlan.stream ? judgeStream() : judgeWhole();
}

LoadOutcome
LoadRequest::judgeStream() const
{
  const auto stream = readStream(mBody);
  if (stream.error) {
    return LoadOutcome::ErrorEvent;
  }
  if (!stream.done) {
    return LoadOutcome::Incomplete;
  }
  const bool right = stream.text == answerText(mPrompt, mPlan.maxTokens);
  return right ? LoadOutcome::Ok : LoadOutcome::WrongAnswer;
}

LoadOutcome
LoadRequest::judgeWhole() const
{
  const auto answer = parseObject(mBody);
  const bool right =
    answer && textOf(answer.value()) == answerText(mPrompt, mPlan.maxTokens);
  return right ? LoadOutcome::Ok : LoadOutcome::WrongAnswer;
}

LoadOutcome
LoadRequest::judgeService() const
{
  const auto answer = parseObject(mBody);
  if (!answer || textMember(answer.value(), "booking") != mPlan.marker) {
    return LoadOutcome::WrongAnswer;
  }
  const bool once = numberMember(answer.value(), "number") == 1;
  return once ? LoadOutcome::Ok : LoadOutcome::RanTwice;
}

LoadResult
LoadRequest::unfinished() const
{
  LoadResult result = mResult;
  result.outcome = LoadOutcome::Unfinished;
  result.end = mLoop.now();
  return result;
}

} // namespace savoryrill::testing
