#include "router/router.h"

#include <utility>

#include "base/types/baseevents.h"
#include "router/internal/callertask.h"
#include "router/internal/claimtask.h"
#include "router/internal/dispatchtask.h"
#include "router/internal/synctask.h"
#include "router/internal/upstreamtask.h"

namespace savoryrill::router {

namespace {

constexpr Duration kIdleCheckPeriod = 20ms;
// Time after the drain limit for sending refusals and recording outcomes.
constexpr Duration kRefusalTimeout = 2s;

class RouterImpl final : public Router
{
public:
  RouterImpl(RouterDependencies aDependencies, const config::Settings& aSettings);

  Result<void> start();

  std::uint16_t port() const override { return mCallerTask->port(); }
  bool ready() const override { return mSyncTask->configVersion() > 0 && !mDraining; }
  Json::Value status() const override;
  Json::Value report() const override;
  void drain() override;
  void stopNow() override;
  void onStopped(std::function<void(bool)> aDone) override
  {
    mOnStopped = std::move(aDone);
  }

private:
  CallerTaskOptions callerOptions() const;
  SyncTaskOptions syncOptions() const;
  void checkIdle();
  void refuseRemaining();
  void stop();

  RouterDependencies mDependencies;
  config::Settings mSettings;
  event::Loop& mLoop;
  bool mDraining = false;
  bool mAccepting = true;
  bool mRefusing = false;
  bool mRefused = false; // requests were refused for the shutdown
  std::uint32_t mIdleChecks = 0;
  std::function<void(bool)> mOnStopped;
  event::Mailbox<DispatchMessage> mDispatchBox;
  event::Mailbox<CallerMessage> mCallerBox;
  event::Mailbox<UpstreamMessage> mUpstreamBox;
  event::Mailbox<ClaimMessage> mClaimBox;
  event::Mailbox<SyncMessage> mSyncBox;
  std::unique_ptr<DispatchTask> mDispatchTask;
  std::unique_ptr<UpstreamTask> mUpstreamTask;
  std::unique_ptr<ClaimTask> mClaimTask;
  std::unique_ptr<CallerTask> mCallerTask;
  std::unique_ptr<SyncTask> mSyncTask;
  event::Watch mStopAccepting;
  event::Watch mDrainLimit;
  event::Watch mIdleCheck;
};

RouterImpl::RouterImpl(RouterDependencies aDependencies,
                       const config::Settings& aSettings)
  : mDependencies(std::move(aDependencies))
  , mSettings(aSettings)
  , mLoop(mDependencies.loop)
  , mDispatchBox(
      mLoop,
      [this](DispatchMessage&& aMessage) { mDispatchTask->handle(std::move(aMessage)); })
  , mCallerBox(mLoop, [this](CallerMessage&& aMessage) { mCallerTask->handle(aMessage); })
  , mUpstreamBox(
      mLoop,
      [this](UpstreamMessage&& aMessage) { mUpstreamTask->handle(std::move(aMessage)); })
  , mClaimBox(
      mLoop,
      [this](ClaimMessage&& aMessage) { mClaimTask->handle(std::move(aMessage)); })
  , mSyncBox(mLoop, [this](SyncMessage&& aMessage) { mSyncTask->handle(aMessage); })
{
}

CallerTaskOptions
RouterImpl::callerOptions() const
{
  CallerTaskOptions options;
  options.server.address = mSettings.callerAddress.address;
  options.server.port = mSettings.callerAddress.port;
  options.server.limits.maxConnections = mSettings.maxConnections;
  options.server.limits.maxBodyBytes = mSettings.maxBodyBytes;
  options.idPrefix =
    mSettings.host + "-" + std::to_string(mDependencies.incarnation) + "-";
  return options;
}

SyncTaskOptions
RouterImpl::syncOptions() const
{
  SyncTaskOptions options;
  options.host = mSettings.host;
  options.dataCentre = mSettings.dataCentre;
  options.incarnation = mDependencies.incarnation;
  options.endpoint =
    mSettings.callerAddress.address + ":" + std::to_string(mCallerTask->port());
  return options;
}

Result<void>
RouterImpl::start()
{
  auto& log = mDependencies.log;
  auto& metrics = mDependencies.metrics;
  DispatchOptions options;
  options.dataCentre = mSettings.dataCentre;
  options.policy = mDependencies.policy;
  options.randomSeed = mDependencies.randomSeed;
  mDispatchTask = std::make_unique<DispatchTask>(
    mLoop,
    std::move(options),
    DispatchPeers{ mCallerBox, mUpstreamBox, mClaimBox, mSyncBox },
    log,
    metrics);
  mUpstreamTask = std::make_unique<UpstreamTask>(mDependencies.client, mDispatchBox);
  mClaimTask = std::make_unique<ClaimTask>(
    mLoop, mDependencies.platform, mDispatchBox, metrics, ClaimTaskOptions{});
  BOOST_OUTCOME_TRY(
    callers, CallerTask::create(mLoop, callerOptions(), mDispatchBox, log, metrics));
  mCallerTask = std::move(callers);
  mSyncTask = std::make_unique<SyncTask>(mLoop,
                                         syncOptions(),
                                         std::move(mDependencies.sync),
                                         mDispatchBox,
                                         mCallerBox,
                                         log,
                                         metrics);
  return outcome::success();
}

Json::Value
RouterImpl::status() const
{
  Json::Value status(Json::objectValue);
  status["process"] = "savoryrill-router";
  status["role"] = "router";
  status["host"] = mSettings.host;
  status["data_centre"] = mSettings.dataCentre;
  status["version"] = SAVORYRILL_VERSION;
  status["config_version"] = Json::UInt64(mSyncTask->configVersion());
  status["ready"] = ready();
  status["draining"] = mDraining;
  status["waiting"] = Json::UInt64(mDispatchTask->waiting());
  status["in_flight"] = Json::UInt64(mDispatchTask->inFlight());
  status["upstreams"] = mDispatchTask->upstreamStatus();
  return status;
}

Json::Value
RouterImpl::report() const
{
  Json::Value report(Json::objectValue);
  report["process"] = "savoryrill-router";
  report["host"] = mSettings.host;
  report["data_centre"] = mSettings.dataCentre;
  report["incarnation"] = Json::UInt64(mDependencies.incarnation);
  report["objectives"] = mDispatchTask->objectives();
  report["deployments"] = mDispatchTask->report();
  return report;
}

void
RouterImpl::drain()
{
  if (std::exchange(mDraining, true)) {
    return;
  }
  mDependencies.log.write(
    kDrainStarted,
    { { "host", mSettings.host }, { "limit_ms", toMs(mSettings.drainLimit) } });
  mSyncTask->startLeaving();
  mStopAccepting = mLoop.after(mSettings.balancerDelay, [this] {
    mAccepting = false;
    mCallerTask->stopAccepting();
  });
  mDrainLimit = mLoop.after(mSettings.drainLimit, [this] { refuseRemaining(); });
  mIdleCheck = mLoop.every(kIdleCheckPeriod, [this] { checkIdle(); });
}

void
RouterImpl::stopNow()
{
  drain();
  refuseRemaining();
}

/// Stops the router once two consecutive checks have found no work. One check is not
/// enough, because messages between the tasks may not have been handled yet.
void
RouterImpl::checkIdle()
{
  const bool idle = !mAccepting && mDispatchTask->openCount() == 0 &&
                    mCallerTask->openExchanges() == 0 && mClaimTask->pendingWrites() == 0;
  mIdleChecks = idle ? mIdleChecks + 1 : 0;
  if (mIdleChecks == 2) {
    stop();
  }
}

void
RouterImpl::refuseRemaining()
{
  if (std::exchange(mRefusing, true)) {
    return;
  }
  mRefused = mDispatchTask->openCount() > 0;
  mAccepting = false;
  mCallerTask->stopAccepting();
  mDispatchBox.send(RefuseAll{});
  mDrainLimit = mLoop.after(kRefusalTimeout, [this] { stop(); });
}

void
RouterImpl::stop()
{
  mIdleCheck.reset();
  mDrainLimit.reset();
  mStopAccepting.reset();
  mSyncTask->leave();
  mDependencies.log.write(
    kProcessStopped,
    { { "host", mSettings.host },
      { "reason", mRefused ? "stopped with refusals" : "drained" } });
  if (const auto done = std::exchange(mOnStopped, nullptr)) {
    done(!mRefused);
  }
}

} // namespace

Result<std::unique_ptr<Router>>
Router::create(RouterDependencies aDependencies, const config::Settings& aSettings)
{
  auto router = std::make_unique<RouterImpl>(std::move(aDependencies), aSettings);
  BOOST_OUTCOME_TRYV(router->start());
  return std::unique_ptr<Router>(std::move(router));
}

} // namespace savoryrill::router
