#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "gateway/internal/attempt.h"
#include "gateway/internal/eventstream.h"
#include "gateway/internal/organisationmetrics.h"
#include "gateway/internal/quarantinetask.h"
#include "gateway/internal/refusal.h"
#include "gateway/internal/requeststate.h"
#include "gateway/internal/streamtimes.h"
#include "gateway/iprotocol.h"
#include "gateway/upstreamselector.h"
#include "link/inboundconnection.h"
#include "link/outboundconnection.h"
#include "routing/retrybudget.h"
#include "serving/callerauthentication.h"
#include "serving/configconfirmation.h"
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
  const serving::ConfigConfirmation& confirmation;
  OrganisationMetrics& organisationMetrics;
  IQuotas* quotas = nullptr; // null: no organisation has a limit
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
  /// Of the configuration in force; null if it names no organisations.
  virtual serving::CallerAuthentication::Directory organisations() const = 0;
  /// Number of hosts that share the connections of an upstream.
  virtual std::uint32_t hostCount() const = 0;
};

/// One request of a caller from its arrival to its final response. Sends it to one
/// upstream at a time. A request that is not safe to retry is sent again only if no byte
/// of it left this host or the upstream stated that it did not execute it. Before each
/// attempt, its key is checked against the configuration then in force. Not thread safe.
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
              serving::CallerAuthentication aAuthentication,
              std::shared_ptr<const serving::RouteTable> aRoutes,
              const serving::Route& aRoute,
              std::string aGroup);
  ~RequestTask() override;

  /// Sends the request, queues it or refuses it.
  void start();

  /// Sends a waiting request if an upstream is free; refuses it if it cannot be served in
  /// time any more.
  void sendIfPossible();

  /// Refuses the request if it is waiting, also for its quota.
  void refuseIfWaiting(serving::RefusalReason aReason);

  /// Ends the request in any state: with a refusal, which says if the request may have
  /// run, or by aborting a response that has begun.
  void terminate(serving::RefusalReason aReason);

  /// True while it waits for an upstream or for its model.
  bool isWaiting() const { return std::holds_alternative<WaitingForUpstream>(mState); }
  bool isAwaitingQuota() const { return std::holds_alternative<AwaitingQuota>(mState); }
  bool ended() const { return std::holds_alternative<Ended>(mState); }
  /// True if an upstream's response was forwarded completely.
  bool completed() const { return mCompleted; }
  const serving::ModelKey& model() const { return mDetails.model; }
  const std::string& group() const { return mGroup; }
  /// That of the organisation takes precedence over that of the route.
  std::uint32_t priority() const
  {
    const auto* organisation = mAuthentication.organisation();
    return organisation != nullptr ? organisation->priority.value_or(mRoute->priority)
                                   : mRoute->priority;
  }
  /// Organisation of the caller; empty if it has none.
  std::string organisation() const
  {
    const auto* organisation = mAuthentication.organisation();
    return organisation != nullptr ? organisation->name : std::string();
  }
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
  Duration timeAtUpstream(Instant aNow) const { return aNow - mAttempt.started; }
  Duration timeToFirstEvent(Instant aNow) const
  {
    return std::max(Duration::zero(),
                    mStreamTimes.firstEvent().value_or(aNow) - mAttempt.started);
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
  /// Charges the request to the quota of its organisation, then serves it.
  void requestQuota();
  void onQuotaOutcome(const QuotaOutcome& aOutcome);
  /// Sends, queues or refuses a request within its quota.
  void serve();
  /// Gives the charge back if the request has not run.
  void refundQuota();
  bool startAttempt();
  /// Why the request must not be sent under the configuration now in force; nullopt if it
  /// may be.
  std::optional<serving::RefusalReason> authenticationProblem();
  /// Refuses the request if it must not be sent under the configuration now in force;
  /// true if so.
  bool refuseUnauthenticated();
  /// Refuses the request if a part of its prompt is in quarantine, or lets it wait while
  /// another request is to show whether the part is the cause; true if so.
  bool keptByQuarantine();
  /// Tells the quarantine that the upstream has dealt with the request without crashing.
  void recordServed();
  /// Tells the quarantine that the connection of the attempt has ended, unless the
  /// upstream had survived the beginning of the response before.
  void recordConnectionEnd(QuarantineTask::Response aResponse);
  /// True if the response is a stream that its upstream has ended before its end.
  bool streamIsBrokenOff() const;
  void waitForUpstream();
  void waitOrRefuse();
  bool mayRetry() const;
  void retryOrFail(bool aMayHaveRun, serving::RefusalReason aReason);
  /// Records what the response says about its upstream, apart from the request.
  void recordUpstreamState();
  void recordRateLimit();
  void forwardHead();
  void forwardEvents(std::string_view aData);
  void sendBufferedResponse();
  void releaseBufferedBody();
  void releaseConnection(bool aCancel);
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
  serving::CallerAuthentication mAuthentication;
  std::shared_ptr<const serving::RouteTable> mRoutes;
  const serving::Route* mRoute;
  std::string mGroup;
  Instant mArrived;
  Instant mDeadline;
  RequestState mState;
  event::Watch mTimer;

  std::optional<QuotaCharge> mCharge;
  Attempt mAttempt;                   // the current one, or else the last one
  link::MemoryCharge mBufferedCharge; // for the body that `mAttempt` holds
  AttemptHistory mHistory;
  bool mSent = false;
  std::optional<Instant> mModelReadyAt;
  Duration mAhead = -1ms; // expected time until it is sent, when it first had to wait
  bool mAdmitted = false; // to the queue, when the request first had to wait
  std::optional<Instant> mHeldSince; // by the quarantine
  bool mCompleted = false;
  std::int64_t mWaitedMs = 0;
  bool mHeadForwarded = false;
  EventStream mEvents;
  StreamTimes mStreamTimes;
};

} // namespace savoryrill::gateway
