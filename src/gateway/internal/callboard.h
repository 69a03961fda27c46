#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "gateway/internal/call.h"
#include "link/inboundconnection.h"
#include "serving/types/placement.h"

namespace savoryrill::gateway {

/// All requests of this host's callers. Matches them with routes, lets those wait that
/// cannot be sent now, and keeps the demand that the leader of placement is told. Not
/// thread safe.
class CallBoard
  : public link::IInboundHandler
  , private ICallOwner
{
public:
  struct Options
  {
    /// Waiting requests above which new ones are refused; bounds the memory.
    std::size_t mostWaiting = 600;
    double retryShare = 0.2;
    double retryReserve = 50; // of all hosts together
  };

  CallBoard(CallContext aContext, Options aOptions, std::uint64_t aSeed);
  ~CallBoard() override;

  void setOptions(Options aOptions);
  void setRoutes(std::shared_ptr<const serving::RouteTable> aRoutes);
  bool hasRoutes() const { return mRoutes != nullptr; }
  void setHosts(std::uint32_t aHosts);
  /// Responses end their connections from now on.
  void stop() { mStopping = true; }
  /// Requests that arrive from now on, or wait, are refused as not run.
  void refuseNew();
  /// Ends all requests with the response that is true for them.
  void endAll();

  /// Tries to send waiting requests, the most urgent and oldest first.
  void retryWaiting();

  /// Demand since the last call of this method.
  std::vector<serving::DemandItem> takeDemand();

  std::size_t active() const { return mCalls.size(); }
  std::size_t waiting() const { return mWaiting.size(); }

  /// Runs soon after a request has begun to wait for its model.
  void onDemand(std::function<void()> aCallback) { mOnDemand = std::move(aCallback); }

private:
  void requestReceived(const std::shared_ptr<link::InboundConnection>& aConnection,
                       link::RequestMessage aRequest) override;
  void requestRejected(int aStatus, std::string_view aReason) override;
  const link::InboundLimits& limits() const override { return mLimits; }
  bool closesConnections() const override { return mStopping; }

  void callWaits(Call& aCall) override;
  void placeFreed() override;
  void callEnded(Call& aCall) override;
  bool takeRepeat(const std::string& aGroup) override;
  std::uint32_t hosts() const override { return mHosts; }

  void refuseAtOnce(const std::shared_ptr<link::InboundConnection>& aConnection,
                    const std::string& aCallId,
                    const std::string& aTarget,
                    serving::RefusalReason aReason);
  routing::RetryBudget& budgetOf(const std::string& aGroup);
  routing::RetryBudget::Limits budgetLimits() const;
  void limitBudgets();

  CallContext mContext;
  Options mOptions;
  std::mt19937_64 mRandom;
  std::shared_ptr<const serving::RouteTable> mRoutes;
  link::InboundLimits mLimits;
  std::unordered_set<std::shared_ptr<Call>> mCalls;
  std::vector<std::shared_ptr<Call>> mWaiting;
  std::map<std::string, routing::RetryBudget> mBudgets;
  std::map<serving::ModelKey, std::uint32_t> mArrivals; // since the last report
  std::map<serving::ModelKey, std::uint32_t> mFinished; // likewise
  std::function<void()> mOnDemand;
  std::uint32_t mHosts = 1;
  bool mStopping = false;
  bool mRefusing = false;
  bool mRetryPosted = false;
};

} // namespace savoryrill::gateway
