#pragma once

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
#include "gateway/internal/refusal.h"
#include "gateway/iprotocol.h"
#include "gateway/upstreamboard.h"
#include "link/inboundconnection.h"
#include "link/outboundconnection.h"
#include "routing/retrybudget.h"
#include "serving/routetable.h"
#include "serving/types/requestdetails.h"

namespace savoryrill::gateway {

class Call;

/// What calls share. References outlive all calls.
struct CallContext
{
  event::Loop& loop;
  EventLog& log;
  Metrics& metrics;
  const ICallProtocol& protocol;
  UpstreamBoard& board;
  link::OutboundPool& pool;
};

/// Told by calls about changes that concern others.
class ICallOwner
{
public:
  virtual ~ICallOwner() = default;
  /// A call waits for an upstream, or its model.
  virtual void callWaits(Call& aCall) = 0;
  /// An upstream has a place again, or the call has ended.
  virtual void placeFreed() = 0;
  virtual void callEnded(Call& aCall) = 0;
  /// Takes a repeated send from the budget that all hosts share.
  virtual bool takeRepeat(const std::string& aGroup) = 0;
  /// Hosts that share the connections of an upstream.
  virtual std::uint32_t hosts() const = 0;
};

/// One request of a caller from its arrival to its final response. Sends it to one
/// upstream at a time. A request that may not be repeated is sent again only if no byte
/// of it was sent, or the upstream said that it did not run it. Not thread safe.
class Call
  : public std::enable_shared_from_this<Call>
  , private link::IExchangeHandler
{
public:
  Call(CallContext& aContext,
       ICallOwner& aOwner,
       std::shared_ptr<link::InboundConnection> aCaller,
       link::RequestMessage aRequest,
       serving::RequestDetails aDetails,
       std::shared_ptr<const serving::RouteTable> aRoutes,
       const serving::Route& aRoute,
       std::string aGroup);
  ~Call() override;

  /// Sends it, or lets it wait, or refuses it.
  void start();

  /// Tries again to send a waiting call; ends it if it cannot be served any more.
  void retry();

  /// Ends it without an upstream, if it waits.
  void refuse(serving::RefusalReason aReason);

  /// Ends it in any state: refused, answered that its outcome is unknown, or cut.
  void endNow(serving::RefusalReason aReason);

  bool waits() const { return mState == State::Waiting; }
  bool ended() const { return mState == State::Ended; }
  /// True if an upstream's response was handed on whole.
  bool answered() const { return mAnswered; }
  const serving::ModelKey& model() const { return mDetails.model; }
  const std::string& group() const { return mGroup; }
  std::uint32_t priority() const { return mRoute->priority; }
  Instant arrived() const { return mArrived; }
  /// When its final response is due.
  Instant due() const { return mDue; }
  /// Until when it can meet its objective.
  Instant objective() const { return mArrived + mRoute->objective; }

private:
  enum class State
  {
    Waiting,
    Sent,
    Responding, // a part of the response has been handed on
    Ended
  };

  bool matchesResponse(const link::ResponseHead& aHead) override;
  void responseStarted(const link::ResponseHead& aHead) override;
  void responseData(std::string_view aData) override;
  void responseFinished() override;
  void exchangeFailed(link::ExchangeFault aFault) override;

  const serving::UpstreamGroup* groupProfile() const;
  UpstreamBoard::Query query() const;
  /// Time until it could run, from what the leader told; nothing if that is not known.
  std::optional<Duration> expectedTime() const;
  bool trySend();
  void wait();
  bool repeatable() const;
  void sendAgainOrFail(bool aMayHaveRun, serving::RefusalReason aReason);
  void passHead();
  void passEvents(std::string_view aData);
  void respondCollected();
  void releaseConnection(bool aCancel);
  void noteFailure(std::string_view aReason);
  void refuseNow(serving::RefusalReason aReason);
  void cut(std::string_view aReason);
  void callerLeft();
  void end();
  void logFinished(int aStatus);
  std::int64_t elapsedMs() const;

  CallContext& mContext;
  ICallOwner& mOwner;
  std::shared_ptr<link::InboundConnection> mCaller;
  link::RequestMessage mRequest;
  serving::RequestDetails mDetails;
  std::shared_ptr<const serving::RouteTable> mRoutes;
  const serving::Route* mRoute;
  std::string mGroup;
  Instant mArrived;
  Instant mDue;
  State mState = State::Waiting;
  event::Watch mTimer;

  std::shared_ptr<link::OutboundConnection> mConnection;
  std::string mUpstream;
  std::string mPoolKey;
  std::set<std::string> mExcluded;
  std::uint32_t mRuns = 0;     // sends that may have run
  std::uint32_t mSends = 0;    // all sends
  std::uint32_t mAttempts = 0; // including connections that failed
  bool mMayHaveRun = false;
  bool mWaitLogged = false;
  bool mAnswered = false;
  Instant mSentAt{};
  std::int64_t mWaitedMs = 0;

  link::ResponseHead mHead;
  ResponseMarks mMarks;
  std::string mCollected;
  bool mHeadPassed = false;
  bool mDiscarding = false;
  std::size_t mDiscardedBytes = 0;
  bool mStreaming = false;
  EventStream mEvents;
  std::uint64_t mEventBytes = 0;
};

} // namespace savoryrill::gateway
