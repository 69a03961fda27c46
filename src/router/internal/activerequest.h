#pragma once

#include <cstdint>
#include <string>

#include "event/loop.h"
#include "http/types/message.h"
#include "router/internal/sseevents.h"
#include "router/types/callerrequest.h"

namespace savoryrill::router {

enum class RequestPhase
{
  Claiming,
  Waiting,
  Running,
  AwaitingResume, // back-off before an interrupted stream is resumed
  ReadingOutcome
};

/// The part of a streamed response that has arrived.
struct StreamProgress
{
  int status = 0;
  http::Headers headers;
  bool isEventStream = false; // the response consists of server-sent events
  bool started = false;       // the first event has been forwarded to the caller
  bool finished = false;      // the terminator (`[DONE]`) has arrived
  std::string lastEventId;
  SseReader reader;
  std::string body; // received so far, if the response is not an event stream
  std::uint32_t resumeCount = 0;
};

/// A request that has not ended.
struct ActiveRequest
{
  CallerRequest callerRequest;
  RequestPhase phase = RequestPhase::Waiting;
  /// False once the caller has a response or has disconnected. An attempt that may not be
  /// repeated goes on after that, so that its outcome is recorded.
  bool callerWaiting = true;
  bool mayHaveRun = false; // an earlier attempt ended with an unknown outcome
  bool coldStart = false;  // no replica was loaded when the request arrived
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0; // attempts that failed and may have run
  std::uint32_t retries = 0;
  std::uint64_t attempt = 0; // number of the attempt in progress, while running
  std::string upstream;
  std::string address;
  std::string upstreamRequestId;
  Instant dispatchedAt;
  StreamProgress stream;
  event::Watch deadlineTimer;
  event::Watch resumeTimer;

  const InferenceTarget* inference() const
  {
    return std::get_if<InferenceTarget>(&callerRequest.target);
  }
  bool streams() const { return inference() != nullptr && inference()->stream; }
  /// Name of the model or service, for log entries.
  std::string modelOrService() const
  {
    const auto* target = inference();
    return target != nullptr ? config::toString(target->model)
                             : std::get<ServiceTarget>(callerRequest.target).service;
  }
  /// Name of the deployment or service; requests with the same name share a queue.
  std::string deploymentOrService() const
  {
    const auto* target = inference();
    return target != nullptr ? target->model.loadable.deployment
                             : std::get<ServiceTarget>(callerRequest.target).service;
  }
};

} // namespace savoryrill::router
