#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "event/deferredcall.h"
#include "gateway/internal/requestorder.h"
#include "gateway/internal/requesttask.h"
#include "link/inboundconnection.h"
#include "serving/types/placement.h"

namespace savoryrill::gateway {

/// Holds all requests of this host's callers: matches them with routes, queues those that
/// cannot be sent yet, and counts the demand that is reported to the placement leader.
/// Not thread safe.
class RequestScheduler
  : public link::IInboundHandler
  , private IRequestOwner
{
public:
  struct Options
  {
    /// Maximum number of waiting requests; further ones that would have to wait are
    /// refused. Bounds the memory.
    std::size_t maxWaiting = 600;
    double retryShare = 0.2;  // retries per request
    double retryReserve = 50; // burst of retries, shared by all hosts
    serving::SchedulingPolicy scheduling;
  };

  RequestScheduler(RequestContext aContext, Options aOptions, std::uint64_t aSeed);
  ~RequestScheduler() override;

  void setOptions(Options aOptions);
  void setRoutes(std::shared_ptr<const serving::RouteTable> aRoutes);
  bool hasOrganisations() const { return organisations() != nullptr; }
  bool hasRoutes() const { return mRoutes != nullptr; }
  /// `aQuotas` outlives the requests; null: no organisation has a limit.
  void setQuotas(IQuotas* aQuotas) { mContext.quotas = aQuotas; }
  void setHostCount(std::uint32_t aHostCount);
  /// Closes each inbound connection after its response from now on.
  void startDraining() { mDraining = true; }
  /// Refuses waiting requests and those that arrive from now on, as not executed.
  void refuseNew();
  /// Ends all requests at once; each response says if its request may have run.
  void terminateAll();

  /// Tries to send waiting requests, in the order of `Options::scheduling`.
  void sendWaiting();

  /// Requests waiting and in progress by model, with the arrivals and completions since
  /// the last call of this method.
  std::vector<serving::DemandItem> takeDemand();

  std::size_t active() const { return mRequests.size(); }
  std::size_t waiting() const { return mWaiting.size(); }

  /// Sets a callback that runs when a request begins to wait for a model.
  void setDemandCallback(std::function<void()> aCallback)
  {
    mDemandCallback = std::move(aCallback);
  }

  using UpstreamLeavingCallback =
    std::function<void(const std::string& aUpstream, std::int64_t aBornMs)>;
  /// Called when an incarnation of an upstream has said that it is about to stop, within
  /// the handling of its response.
  void setUpstreamLeavingCallback(UpstreamLeavingCallback aCallback)
  {
    mUpstreamLeavingCallback = std::move(aCallback);
  }

private:
  void requestReceived(const std::shared_ptr<link::InboundConnection>& aConnection,
                       link::RequestMessage aRequest) override;
  void requestRejected(int aStatus, std::string_view aReason) override;
  const link::InboundLimits& limits() const override { return mLimits; }
  bool closesConnections() const override { return mDraining; }
  void connectionClosed(link::CloseReason aReason) override;

  void onRequestWaiting(RequestTask& aRequest) override;
  void onSlotFreed() override;
  void onRequestEnded(RequestTask& aRequest) override;
  void onUpstreamLeaving(const std::string& aUpstream, std::int64_t aBornMs) override;
  void onRequestSent(const RequestTask& aRequest) override;
  serving::ArrivalAssessment assessArrival(const RequestTask& aRequest,
                                           Duration aBacklog) override;
  std::optional<Duration> returnTime(const RequestTask& aRequest,
                                     serving::RefusalReason aReason,
                                     std::optional<Duration> aReadyIn) override;
  bool takeRetry(const std::string& aGroup) override;
  std::uint32_t hostCount() const override { return mHostCount; }
  serving::CallerAuthentication::Directory organisations() const override
  {
    return mRoutes ? mRoutes->config().organisations : nullptr;
  }

  void refuseOnArrival(const std::shared_ptr<link::InboundConnection>& aConnection,
                       const std::string& aRequestId,
                       const std::string& aTarget,
                       serving::RefusalReason aReason);
  routing::RetryBudget& budgetOf(const std::string& aGroup);
  routing::RetryBudget::Limits budgetLimits() const;
  void updateBudgetLimits();

  RequestContext mContext;
  Options mOptions;
  std::mt19937_64 mRandom;
  std::shared_ptr<const serving::RouteTable> mRoutes;
  link::InboundLimits mLimits;
  std::unordered_set<std::shared_ptr<RequestTask>> mRequests;
  std::vector<std::shared_ptr<RequestTask>> mWaiting;
  RequestOrder mOrder;
  std::map<std::string, routing::RetryBudget> mBudgets;
  std::map<serving::ModelKey, std::uint32_t> mArrivals; // since the last takeDemand
  std::map<serving::ModelKey, std::uint32_t> mFinished; // since the last takeDemand
  std::function<void()> mDemandCallback;
  UpstreamLeavingCallback mUpstreamLeavingCallback;
  std::uint32_t mHostCount = 1;
  bool mDraining = false;
  bool mRefusesNew = false;
  event::DeferredCall mSendCall;
};

} // namespace savoryrill::gateway
