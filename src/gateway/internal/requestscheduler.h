#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "gateway/internal/requesttask.h"
#include "link/inbound.h"
#include "serving/types/placement.h"

namespace savoryrill::gateway {

/// All requests of this host's callers. Matches them with routes, lets those wait that
/// cannot be sent now, and keeps the demand that the leader of placement is told. Not
/// thread safe.
class RequestScheduler
  : public link::IInboundHandler
  , private IRequestOwner
{
public:
  struct Options
  {
    /// Waiting requests above which new ones are refused; bounds the memory.
    std::size_t maxWaiting = 600;
    double retryShare = 0.2;
    double retryReserve = 50; // of all hosts together
  };

  RequestScheduler(RequestContext aContext, Options aOptions, std::uint64_t aSeed);
  ~RequestScheduler() override;

  void setOptions(Options aOptions);
  void setRoutes(std::shared_ptr<const serving::RouteTable> aRoutes);
  bool hasRoutes() const { return mRoutes != nullptr; }
  void setHostCount(std::uint32_t aHostCount);
  /// Responses end their connections from now on.
  void stop() { mStopping = true; }
  /// Requests that arrive from now on, or wait, are refused as not run.
  void refuseNew();
  /// Ends all requests with the response that is true for them.
  void terminateAll();

  /// Tries to send waiting requests, the most urgent and oldest first.
  void sendWaiting();

  /// Demand since the last call of this method.
  std::vector<serving::DemandItem> takeDemand();

  std::size_t active() const { return mRequests.size(); }
  std::size_t waiting() const { return mWaiting.size(); }

  /// Runs soon after a request has begun to wait for its model.
  void onDemand(std::function<void()> aCallback) { mOnDemand = std::move(aCallback); }

private:
  void requestReceived(const std::shared_ptr<link::Inbound>& aConnection,
                       link::RequestMessage aRequest) override;
  void requestRejected(int aStatus, std::string_view aReason) override;
  const link::InboundLimits& limits() const override { return mLimits; }
  bool closesConnections() const override { return mStopping; }

  void requestWaiting(RequestTask& aRequest) override;
  void slotFreed() override;
  void requestEnded(RequestTask& aRequest) override;
  bool takeRetry(const std::string& aGroup) override;
  std::uint32_t hostCount() const override { return mHostCount; }

  void refuseOnArrival(const std::shared_ptr<link::Inbound>& aConnection,
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
  std::map<std::string, routing::RetryBudget> mBudgets;
  std::map<serving::ModelKey, std::uint32_t> mArrivals; // since the last report
  std::map<serving::ModelKey, std::uint32_t> mFinished; // likewise
  std::function<void()> mOnDemand;
  std::uint32_t mHostCount = 1;
  bool mStopping = false;
  bool mRefusing = false;
  bool mSendPosted = false;
};

} // namespace savoryrill::gateway
