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
  AwaitingResume, // before a cut stream is resumed
  ReadingOutcome
};

/// The answer of a streamed attempt, as far as it has arrived.
struct StreamProgress
{
  int status = 0;
  http::Headers headers;
  bool isEventStream = false; // the engine sends server-sent events
  bool started = false;       // the caller has received the first one
  bool finished = false;      // the terminator has arrived
  std::string lastEventId;
  SseReader reader;
  std::string body; // of an answer that is no event stream
  std::uint32_t resumeCount = 0;
};

/// A request that has not ended.
struct ActiveRequest
{
  CallerRequest callerRequest;
  RequestPhase phase = RequestPhase::Waiting;
  /// False once the caller has been answered or has left, while an attempt that may not
  /// be repeated goes on, so that its outcome is recorded.
  bool callerWaiting = true;
  bool mayHaveRun = false; // an earlier attempt ended without certainty
  bool coldStart = false;  // no replica was loaded on arrival
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0; // attempts that may have run
  std::uint32_t retries = 0;
  std::uint64_t attempt = 0; // the open one, while running
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
  /// Model or service, for logs and queues.
  std::string modelOrService() const
  {
    const auto* target = inference();
    return target != nullptr ? config::toString(target->model)
                             : std::get<ServiceTarget>(callerRequest.target).service;
  }
  /// Deployment or service.
  std::string deploymentOrService() const
  {
    const auto* target = inference();
    return target != nullptr ? target->model.loadable.deployment
                             : std::get<ServiceTarget>(callerRequest.target).service;
  }
};

} // namespace savoryrill::router
