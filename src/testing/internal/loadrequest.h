#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event/loop.h"
#include "http/client.h"
#include "testing/types/loadoptions.h"

namespace savoryrill::testing {

/// What is known about a request at its end.
struct LoadResult
{
  LoadOutcome outcome = LoadOutcome::Unfinished;
  Instant sent;
  std::optional<Instant> firstToken;
  Instant end;
  int status = 0; // 0: no answer
  std::string problemType;
  std::string problemCode;
  std::string ran;
  std::string requestId;
  std::string error;
  bool requestSent = true; // false: certainly no byte left
};

/// One request of the load generator in progress. Not thread safe.
class LoadRequest
{
public:
  /// Sends the request; `aDone` runs once at its end. Precondition: loop and client
  /// outlive this object.
  LoadRequest(event::Loop& aLoop,
              http::Client& aClient,
              const PlannedRequest& aPlan,
              Duration aTimeout,
              std::function<void(const LoadResult&)> aDone);

  /// The result so far, for a request that is given up.
  LoadResult unfinished() const;

private:
  http::ClientRequest build(Duration aTimeout) const;
  void ended(const http::ClientOutcome& aOutcome);
  void judgeProblem();
  LoadOutcome judgeAnswer() const;
  LoadOutcome judgeStream() const;
  LoadOutcome judgeWhole() const;
  LoadOutcome judgeService() const;

  event::Loop& mLoop;
  PlannedRequest mPlan;
  std::string mPrompt;
  std::function<void(const LoadResult&)> mDone;
  LoadResult mResult;
  std::string mBody;
  std::unique_ptr<http::RequestHandle> mCall;
};

} // namespace savoryrill::testing
