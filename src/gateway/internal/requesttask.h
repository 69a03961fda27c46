#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "gateway/internal/eventstream.h"
#include "gateway/internal/quarantinetask.h"
#include "gateway/internal/refusal.h"
#include "gateway/internal/streamtimes.h"
#include "gateway/iprotocol.h"
#include "gateway/types/responseprogress.h"
#include "gateway/upstreamselector.h"
#include "link/inboundconnection.h"
#include "link/outboundconnection.h"
#include "routing/retrybudget.h"
#include "serving/routetable.h"
#include "serving/schedulingpolicy.h"
#include "serving/types/requestdetails.h"

namespace savoryrill::gateway {

class RequestTask;

/// Dependencies that all requests share. The references outlive all requests.
struct RequestContext
{
  event::Loop& loop;
  EventLog& log;
  Metrics& metrics;
  const IRequestProtocol& protocol;
  UpstreamSelector& selector;
  QuarantineTask& quarantine;
  link::OutboundPool& pool;
};

/// Owner of the requests. Requests notify it of changes that concern other requests.
class IRequestOwner
{
public:
  virtual ~IRequestOwner() = default;
  /// The request waits for an upstream or for its model.
  virtual void onRequestWaiting(RequestTask& aRequest) = 0;
  /// An attempt has ended, so its upstream may have a free slot.
  virtual void onSlotFreed() = 0;
  virtual void onRequestEnded(RequestTask& aRequest) = 0;
  /// An incarnation of an upstream has said in a response that it is about to stop.
  virtual void onUpstreamLeaving(const std::string& aUpstream, std::int64_t aBornMs) = 0;
  /// The request is sent to an upstream for the first time.
  virtual void onRequestSent(const RequestTask& aRequest) = 0;
  /// Decides about a request that has to wait for its model; see `assessArrival`.
  virtual serving::ArrivalAssessment assessArrival(const RequestTask& aRequest,
                                                   Duration aBacklog) = 0;
  /// When the caller of a refused request should return; `aReadyIn` if it needs not be
  /// spread.
  virtual std::optional<Duration> returnTime(const RequestTask& aRequest,
                                             serving::RefusalReason aReason,
                                             std::optional<Duration> aReadyIn) = 0;
  /// Takes one retry from this host's part of the budget that all hosts share; false if
  /// none is left.
  virtual bool takeRetry(const std::string& aGroup) = 0;
  /// Number of hosts that share the connections of an upstream.
  virtual std::uint32_t hostCount() const = 0;
};

/// One request of a caller from its arrival to its final response. Sends it to one
/// upstream at a time. A request that is not safe to retry is sent again only if no byte
/// of it left this host or the upstream stated that it did not execute it. Not thread
/// safe.
class RequestTask
  : public std::enable_shared_from_this<RequestTask>
  , private link::IExchangeHandler
{
public:
  RequestTask(RequestContext& aContext,
              IRequestOwner& aOwner,
              std::shared_ptr<link::InboundConnection> aCaller,
              link::RequestMessage aRequest,
              serving::RequestDetails aDetails,
              std::shared_ptr<const serving::RouteTable> aRoutes,
              const serving::Route& aRoute,
              std::string aGroup);
  ~RequestTask() override;

  /// Sends the request, queues it or refuses it.
  void start();

  /// Sends a waiting request if an upstream is free; refuses it if it cannot be served in
  /// time any more.
  void sendIfPossible();

  /// Refuses the request if it is waiting.
  void refuseIfWaiting(serving::RefusalReason aReason);

  /// Ends the request in any state: with a refusal, which says if the request may have
  /// run, or by aborting a response that has begun.
  void terminate(serving::RefusalReason aReason);

  bool isWaiting() const { return mState == State::Waiting; }
  bool ended() const { return mState == State::Ended; }
  /// True if an upstream's response was forwarded completely.
  bool completed() const { return mCompleted; }
  const serving::ModelKey& model() const { return mDetails.model; }
  const std::string& group() const { return mGroup; }
  std::uint32_t priority() const { return mRoute->priority; }
  /// Organisation of the caller; empty if unknown.
  const std::string& organisation() const { return mOrganisation; }
  const std::string& routeName() const { return mRoute->name; }
  /// Tokens of the prompt and the maximum number to generate; 0 if not stated.
  double tokens() const { return double(mDetails.promptTokens) + mDetails.outputTokens; }
  /// Maximum time until the final response.
  Duration timeLimit() const { return mDeadline - mArrived; }
  /// When its model is expected to be loaded; nothing if unknown when it last had to
  /// wait.
  std::optional<Instant> modelReadyAt() const { return mModelReadyAt; }
  bool hadToWait() const { return mAdmitted; }
  /// True if a part of the response has been forwarded.
  bool hasBegun() const { return mHeadForwarded; }
  /// True if an attempt has reached an upstream.
  bool wasSent() const { return mSent; }
  /// Of the last attempt. Precondition: `completed()`.
  Duration timeAtUpstream(Instant aNow) const { return aNow - mAttemptStarted; }
  Duration timeToFirstEvent(Instant aNow) const
  {
    return std::max(Duration::zero(),
                    mStreamTimes.firstEvent().value_or(aNow) - mAttemptStarted);
  }
  Instant arrived() const { return mArrived; }
  /// When the caller gives up if it receives nothing more until then. Callers disconnect
  /// after `callerTimeout` without an event of a stream.
  Instant callerLeavesAt() const
  {
    const Instant last = mStreamTimes.lastEvent().value_or(mArrived);
    return std::min(mDeadline, last + mRoute->callerTimeout);
  }
  /// Time by which the first event of a stream, or else the complete response, must
  /// arrive to meet the route's objective.
  Instant objective() const { return mArrived + mRoute->objective; }

private:
  enum class State
  {
    Waiting,
    AwaitingResponse,
    Responding, // a part of the response has been forwarded
    Ended
  };

  bool matchesResponse(const link::ResponseHead& aHead) override;
  void responseStarted(const link::ResponseHead& aHead) override;
  void responseData(std::string_view aData) override;
  void responseFinished() override;
  void exchangeFailed(link::ExchangeFault aFault) override;
  /// Ends an attempt without a complete response. `aReason` is for the log.
  void failAttempt(link::ExchangeFault aFault, std::string_view aReason);

  const serving::UpstreamGroup* groupProfile() const;
  UpstreamSelector::Query query() const;
  /// Expected time until the request could run, as reported by the leader; nullopt if
  /// unknown.
  std::optional<Duration> expectedDelay() const;
  bool startAttempt();
  /// Refuses the request if a part of its prompt is in quarantine; true if so.
  bool refuseQuarantined();
  /// Tells the quarantine that the upstream has dealt with the request without crashing.
  void recordServed();
  /// Tells the quarantine that the connection of the attempt has ended, unless the
  /// upstream had survived the beginning of the response before.
  void recordConnectionEnd(QuarantineTask::Response aResponse);
  /// True if the response is a stream that its upstream has ended before its end.
  bool streamIsBrokenOff() const;
  void waitOrRefuse();
  bool mayRetry() const;
  void retryOrFail(bool aMayHaveRun, serving::RefusalReason aReason);
  /// Records what the response says about its upstream, apart from the request.
  void recordUpstreamState();
  void recordRateLimit();
  void forwardHead();
  void forwardEvents(std::string_view aData);
  void sendBufferedResponse();
  void releaseConnection(bool aCancel);
  ResponseProgress progressOfAttempt() const;
  void recordBodyOfAttempt();
  void logAttemptFailure(std::string_view aReason);
  /// Ends the request with a refusal, or by aborting a response that has begun.
  /// `aRetryAfter`: when the caller may come back, if it is not the time until the model
  /// is ready.
  void refuse(serving::RefusalReason aReason,
              std::optional<Duration> aRetryAfter = std::nullopt);
  void abortResponse(std::string_view aReason);
  void onCallerDisconnected();
  void end();
  void recordResponse(int aStatus);
  std::int64_t elapsedMs() const;
  /// From the request's arrival to the first event of its stream; -1 before it.
  std::int64_t firstEventMs() const;

  RequestContext& mContext;
  IRequestOwner& mOwner;
  std::shared_ptr<link::InboundConnection> mCaller;
  link::RequestMessage mRequest;
  serving::RequestDetails mDetails;
  std::shared_ptr<const serving::RouteTable> mRoutes;
  const serving::Route* mRoute;
  std::string mGroup;
  std::string mOrganisation;
  Instant mArrived;
  Instant mDeadline;
  State mState = State::Waiting;
  event::Watch mTimer;

  std::shared_ptr<link::OutboundConnection> mConnection;
  std::string mUpstream;
  std::int64_t mUpstreamBornMs = 0; // tells incarnations of the same id apart
  std::string mPoolKey;
  bool mConnectionReused = false; // it has carried an earlier request
  std::set<std::string> mExcluded;
  std::set<std::string> mRefusedBy;      // upstreams that refused this request as not run
  std::uint32_t mPossibleRuns = 0;       // attempts that may have been executed
  std::uint32_t mAttempts = 0;           // without those whose connection failed
  std::uint32_t mConnectionAttempts = 0; // including failed connections
  bool mMayHaveRun = false;
  bool mServedRecorded = false; // in the current attempt
  bool mSent = false;
  std::optional<Instant> mModelReadyAt;
  Duration mAhead = -1ms; // expected time until it is sent, when it first had to wait
  bool mAdmitted = false; // to the queue, when the request first had to wait
  bool mCompleted = false;
  Instant mAttemptStarted{};
  /// When the first event or part of a body arrived in the current attempt.
  std::optional<Instant> mAttemptBodyStarted;
  std::int64_t mWaitedMs = 0;

  link::ResponseHead mHead;
  ResponseMetadata mMetadata;
  std::string mBufferedBody;
  bool mHeadForwarded = false;
  bool mDiscarding = false;
  std::size_t mDiscardedBytes = 0;
  bool mStreaming = false;
  EventStream mEvents;
  StreamTimes mStreamTimes;
};

} // namespace savoryrill::gateway
