#pragma once

#include <cstdint>
#include <json/json.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "router/internal/activerequest.h"
#include "router/internal/attemptresult.h"
#include "router/internal/demandcollector.h"
#include "router/internal/objectivestatistics.h"
#include "router/types/messages.h"
#include "routing/admission.h"
#include "routing/attemptregistry.h"
#include "routing/claimmachine.h"
#include "routing/retrybudget.h"
#include "routing/servingview.h"
#include "routing/upstreamchoice.h"
#include "routing/upstreamloads.h"
#include "routing/waitqueue.h"

namespace savoryrill::router {

struct DispatchOptions
{
  std::string dataCentre;
  routing::ChoicePolicy policy = routing::PowerOfTwoChoices{};
  std::uint64_t randomSeed = 1;
  Duration demandPeriod = 500ms;
  std::uint32_t maxFailures = 3; // failed attempts of one request that may have run
  std::uint32_t maxResumes = 5;  // resumptions of one interrupted stream
  /// How long after the deadline an attempt that may not be repeated may continue, so
  /// that its outcome is still recorded. A caller that is still connected has been sent
  /// `outcome-unknown` by then.
  Duration lateOutcomeTimeout = 10s;
};

/// The mailboxes of the tasks that the dispatch task sends messages to.
struct DispatchPeers
{
  event::Mailbox<CallerMessage>& callers;
  event::Mailbox<UpstreamMessage>& upstreams;
  event::Mailbox<ClaimMessage>& claims;
  event::Mailbox<SyncMessage>& sync;
};

/// Owns waiting requests, attempts, deadlines, claims, in-flight counts, circuit breakers
/// and the retry budget, and decides with the classes of `routing` what happens to each
/// request. Every request ends with a response, an explicit refusal, or the disconnection
/// of its caller. Not thread safe.
class DispatchTask
{
public:
  /// Preconditions: all references outlive the task.
  DispatchTask(event::Loop& aLoop,
               DispatchOptions aOptions,
               DispatchPeers aPeers,
               EventLog& aLog,
               Metrics& aMetrics);

  /// Handles a message.
  void handle(DispatchMessage aMessage);

  /// Number of requests that wait for an upstream or a claim.
  std::size_t waiting() const;

  /// Number of attempts in progress.
  std::size_t inFlight() const { return mRegistry.openCount(); }

  /// 0 once all requests have ended and their claims are settled. Not an exact number: a
  /// request with a claim is counted twice.
  std::size_t openCount() const { return mRequests.size() + mClaims.size(); }

  /// State of each configured upstream: circuit, requests in flight, reported load,
  /// reachable, leaving.
  Json::Value upstreamStatus() const;

  /// Counts of good and bad requests, for reports.
  Json::Value report() const { return mStatistics.toJson(); }

  /// The objectives in force, by deployment.
  Json::Value objectives() const;

private:
  struct Claim
  {
    std::string key;
    routing::ClaimMachine machine;
  };

  void on(ConfigurationAdopted& aMessage);
  void on(RequestArrived& aMessage);
  void on(CallerDisconnected& aMessage);
  void on(AttemptHeaders& aMessage);
  void on(AttemptData& aMessage);
  void on(AttemptDone& aMessage);
  void on(ClaimEventArrived& aMessage);
  void on(OutcomeBodyRead& aMessage);
  void on(EntryChanged& aMessage);
  void on(RefuseAll& aMessage);

  ActiveRequest* find(std::uint64_t aNumber);
  ActiveRequest* findAttempt(std::uint64_t aAttempt);

  // Admission and queue (dispatchqueue.cpp).
  std::optional<routing::Refusal> checkServiceCapacity(
    const ActiveRequest& aRequest) const;
  void admit(ActiveRequest& aRequest);
  Duration untilLoaded(const config::ModelReference& aModel, Instant aNow) const;
  routing::AdmissionInput admissionInput(const ActiveRequest& aRequest,
                                         Duration aUntilLoaded) const;
  routing::WaitQueue& queueOf(const ActiveRequest& aRequest);
  static routing::WaitingRequest toWaitingRequest(const ActiveRequest& aRequest,
                                                  Instant aNotBefore);
  void reportWaiting(const ActiveRequest& aRequest);
  std::vector<routing::Candidate> candidates(const ActiveRequest& aRequest) const;
  void dispatchWaiting();
  void scheduleDispatch();

  // Deadlines, responses, refusals and demand (dispatchtask.cpp).
  void handleDeadline(std::uint64_t aNumber);
  routing::AttemptVerdict verdictAtDeadline(const ActiveRequest& aRequest) const;
  void refuse(ActiveRequest& aRequest, const routing::Refusal& aRefusal);
  void sendRefusal(ActiveRequest& aRequest, const routing::Refusal& aRefusal);
  void finish(ActiveRequest& aRequest, http::Response aResponse);
  void recordResponse(ActiveRequest& aRequest);
  void removeRequest(std::uint64_t aNumber);
  void publishDemand();
  void updateMetrics();

  // Attempts (dispatchattempts.cpp).
  void dispatch(ActiveRequest& aRequest, const std::string& aUpstream);
  void startAttempt(ActiveRequest& aRequest);
  http::ClientRequest upstreamRequest(const ActiveRequest& aRequest) const;
  void cancel(ActiveRequest& aRequest, routing::AttemptVerdict aVerdict);
  void forwardEvent(ActiveRequest& aRequest, const SseEvent& aEvent);
  void startResponse(ActiveRequest& aRequest);
  void failStream(ActiveRequest& aRequest, routing::RefusalReason aReason);
  void endStream(ActiveRequest& aRequest, const http::ClientOutcome& aOutcome);
  void finishStream(ActiveRequest& aRequest);
  void resume(ActiveRequest& aRequest);
  void finishAttempt(ActiveRequest& aRequest, http::ClientOutcome aOutcome);
  void handleFailedAttempt(ActiveRequest& aRequest, const AttemptResult& aResult);
  void updateServingView(const ActiveRequest& aRequest, NotRunCause aCause);
  void retry(ActiveRequest& aRequest, const AttemptResult& aResult);

  // Claims (dispatchclaims.cpp).
  void startClaim(ActiveRequest& aRequest);
  void applyClaimEvent(std::uint64_t aNumber, const routing::ClaimEvent& aEvent);
  void execute(std::uint64_t aNumber, std::vector<routing::ClaimCommand> aCommands);
  void execute(std::uint64_t aNumber, const routing::ClaimCommand& aCommand);
  void replayOutcome(ActiveRequest& aRequest, const routing::RecordedOutcome& aOutcome);

  event::Loop& mLoop;
  DispatchOptions mOptions;
  DispatchPeers mPeers;
  EventLog& mLog;
  Metrics& mMetrics;
  routing::ServingView mView;
  routing::UpstreamLoads mLoads;
  routing::RetryBudget mBudget;
  routing::AttemptRegistry mRegistry;
  routing::DurationEstimator mDurations;
  std::mt19937_64 mRandom;
  std::map<std::uint64_t, std::unique_ptr<ActiveRequest>> mRequests;
  std::map<std::string, routing::WaitQueue> mQueues; // by deployment or service
  std::map<std::uint64_t, Claim> mClaims;
  DemandCollector mDemand;
  bool mDemandPublished = false;
  ObjectiveStatistics mStatistics;
  bool mRefusing = false;
  event::Watch mDispatchTimer;
  event::Watch mDemandTimer;
};

} // namespace savoryrill::router
