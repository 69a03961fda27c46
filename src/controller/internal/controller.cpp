#include "controller/controller.h"

#include <chrono>
#include <utility>

#include "base/types/baseevents.h"
#include "controller/internal/assignmenttask.h"
#include "controller/internal/configtask.h"
#include "controller/internal/enginetask.h"
#include "controller/internal/leavingtask.h"
#include "controller/internal/loadtask.h"
#include "controller/internal/sessiontask.h"

namespace savoryrill::controller {

namespace {

constexpr Duration kDrainCheckPeriod = 50ms;
// The time to live is three periods, so that a process does not appear disconnected
// after one lost message.
constexpr Duration kMemberPeriod = 5s;
constexpr Duration kMemberCheckPeriod = 200ms; // for a new configuration version
constexpr Duration kMemberTimeToLive = 15s;

Duration
systemWallTime()
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::system_clock::now().time_since_epoch());
}

template<typename Message, typename Task>
event::Mailbox<Message>
mailboxOf(event::Loop& aLoop, Task& aTask)
{
  return { aLoop, [&aTask](Message&& aMessage) { aTask.handle(std::move(aMessage)); } };
}

class ControllerImpl final : public Controller
{
public:
  ControllerImpl(TaskContext aContext, ControllerOptions aOptions)
    : mContext{ aContext.loop,    aContext.settings, aContext.platform,
                aContext.engines, aContext.sync,     aContext.log,
                aContext.metrics, mOutbox,           aOptions.incarnation }
    , mConfig(mContext)
    , mSession(mContext)
    , mEngine(mContext,
              [this](const std::string& aUpstream,
                     bool aChecksFencing,
                     std::uint64_t aFencing) {
                return mSession.mayOrder(aUpstream, aChecksFencing, aFencing);
              })
    , mAssignment(mContext)
    , mLoad(mContext,
            aOptions.loadPolicy,
            aOptions.wallTime ? aOptions.wallTime : systemWallTime)
    , mLeaving(mContext)
    , mConfigBox(mailboxOf<ConfigMessage>(mContext.loop, mConfig))
    , mSessionBox(mailboxOf<SessionMessage>(mContext.loop, mSession))
    , mEngineBox(mailboxOf<EngineMessage>(mContext.loop, mEngine))
    , mAssignmentBox(mailboxOf<AssignmentMessage>(mContext.loop, mAssignment))
    , mLoadBox(mailboxOf<LoadMessage>(mContext.loop, mLoad))
    , mLeavingBox(mailboxOf<LeavingMessage>(mContext.loop, mLeaving))
  {
    mOutbox.config = [this](ConfigMessage aMessage) {
      mConfigBox.send(std::move(aMessage));
    };
    mOutbox.session = [this](SessionMessage aMessage) {
      mSessionBox.send(std::move(aMessage));
    };
    mOutbox.engine = [this](EngineMessage aMessage) {
      mEngineBox.send(std::move(aMessage));
    };
    mOutbox.assignment = [this](AssignmentMessage aMessage) {
      mAssignmentBox.send(std::move(aMessage));
    };
    mOutbox.load = [this](LoadMessage aMessage) { mLoadBox.send(std::move(aMessage)); };
    mOutbox.leaving = [this](LeavingMessage aMessage) {
      mLeavingBox.send(std::move(aMessage));
    };
    mContext.sync.onChange([this](const peer::Entry& aEntry) { distribute(aEntry); });
    replayEntries();
    mConfig.start();
    mSession.start();
    mEngine.start();
    mAssignment.start();
    mLoad.start();
    mLeaving.start();
    mMemberTimer = mContext.loop.every(kMemberCheckPeriod, [this] {
      const bool due = mContext.loop.now() - mMemberPublishedAt >= kMemberPeriod;
      if (due || mMemberConfigVersion != mConfig.version()) {
        publishMember();
      }
    });
    publishMember();
  }

  ~ControllerImpl() override { mContext.sync.onChange({}); }

  bool ready() const override { return mConfig.version() > 0 && !mDraining; }

  Json::Value status() const override;
  Json::Value report() const override;
  void drain(std::function<void(bool)> aDone) override;

private:
  void distribute(const peer::Entry& aEntry);
  void replayEntries();
  void publishMember();
  void checkDrained();

  Outbox mOutbox;
  TaskContext mContext;
  ConfigTask mConfig;
  SessionTask mSession;
  EngineTask mEngine;
  AssignmentTask mAssignment;
  LoadTask mLoad;
  LeavingTask mLeaving;
  // Destroyed before the tasks that handle their messages.
  event::Mailbox<ConfigMessage> mConfigBox;
  event::Mailbox<SessionMessage> mSessionBox;
  event::Mailbox<EngineMessage> mEngineBox;
  event::Mailbox<AssignmentMessage> mAssignmentBox;
  event::Mailbox<LoadMessage> mLoadBox;
  event::Mailbox<LeavingMessage> mLeavingBox;
  event::Watch mMemberTimer;
  event::Watch mDrainTimer;
  std::uint64_t mMemberSequence = 0;
  std::uint64_t mMemberConfigVersion = 0;
  Instant mMemberPublishedAt;
  bool mDraining = false;
  Instant mDrainDeadline;
  std::function<void(bool)> mDrainDone;
};

void
ControllerImpl::distribute(const peer::Entry& aEntry)
{
  const EntryChanged changed{ aEntry };
  switch (aEntry.kind()) {
    case peer::ENTRY_KIND_CONFIG:
      mOutbox.config(changed);
      break;
    case peer::ENTRY_KIND_ASSIGNMENT:
      mOutbox.assignment(changed);
      break;
    default:
      mOutbox.assignment(changed);
      mOutbox.load(changed);
      mOutbox.leaving(changed);
      break;
  }
}

void
ControllerImpl::replayEntries()
{
  const Instant now = mContext.loop.now();
  for (const auto kind : { peer::ENTRY_KIND_CONFIG,
                           peer::ENTRY_KIND_MEMBER,
                           peer::ENTRY_KIND_UPSTREAM,
                           peer::ENTRY_KIND_ASSIGNMENT,
                           peer::ENTRY_KIND_LEAVING,
                           peer::ENTRY_KIND_DEMAND }) {
    for (const auto& entry : mContext.sync.entries().entries(kind, now)) {
      distribute(entry);
    }
  }
}

void
ControllerImpl::publishMember()
{
  const auto& settings = mContext.settings;
  peer::MemberContent content;
  content.set_role(peer::ROLE_CONTROLLER);
  content.set_host(settings.host);
  content.set_data_centre(settings.dataCentre);
  content.set_endpoint(settings.peerAddress.address + ":" +
                       std::to_string(settings.peerAddress.port));
  content.set_config_version(mConfig.version());
  content.set_leaving(mDraining);
  mMemberConfigVersion = mConfig.version();
  mMemberPublishedAt = mContext.loop.now();
  mContext.sync.publish(peer::ENTRY_KIND_MEMBER,
                        "controller/" + settings.host,
                        mContext.incarnation,
                        ++mMemberSequence,
                        content.SerializeAsString(),
                        kMemberTimeToLive);
}

Json::Value
ControllerImpl::status() const
{
  const auto& settings = mContext.settings;
  Json::Value status;
  status["process"] = "savoryrill-controller";
  status["role"] = "controller";
  status["host"] = settings.host;
  status["data_centre"] = settings.dataCentre;
  status["version"] = SAVORYRILL_VERSION;
  status["config_version"] = Json::UInt64(mConfig.version());
  status["ready"] = ready();
  status["draining"] = mDraining;
  auto& session = status["session"];
  session["incarnation"] = Json::UInt64(mSession.session().incarnation());
  session["established"] = mSession.session().established();
  session["valid"] = mSession.session().valid(mContext.loop.now());
  status["owned_upstreams"] = Json::Value(Json::objectValue);
  for (const auto* engine : mEngine.engines()) {
    auto& item = status["owned_upstreams"][engine->name()];
    item["fencing_number"] = Json::UInt64(engine->ownership().fencingNumber);
    item["ready"] = mEngine.mayLoad(*engine);
    item["free_mb"] = engine->ledger().freeModelsMb();
    item["models"] = Json::Value(Json::arrayValue);
    for (const auto& [loadable, size] : engine->ledger().models()) {
      item["models"].append(config::toString(loadable));
    }
  }
  status["assignments"] = Json::UInt64(mAssignment.view().assignments.size());
  status["loads_queued"] = Json::UInt64(mLoad.queued());
  status["loads_running"] = Json::UInt64(mEngine.loadsRunning());
  return status;
}

Json::Value
ControllerImpl::report() const
{
  auto report = mLoad.usage().toJson();
  report["process"] = "savoryrill-controller";
  report["incarnation"] = Json::UInt64(mContext.incarnation);
  report["host"] = mContext.settings.host;
  report["data_centre"] = mContext.settings.dataCentre;
  return report;
}

void
ControllerImpl::drain(std::function<void(bool)> aDone)
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mDrainDone = std::move(aDone);
  mDrainDeadline = mContext.loop.now() + mContext.settings.drainLimit;
  mContext.log.write(kDrainStarted);
  publishMember();
  mSession.leave();
  mDrainTimer = mContext.loop.every(kDrainCheckPeriod, [this] { checkDrained(); });
}

void
ControllerImpl::checkDrained()
{
  const bool handed_over = mSession.handedOver();
  if (!handed_over && mContext.loop.now() < mDrainDeadline) {
    return;
  }
  mDrainTimer.reset();
  mContext.sync.leave();
  if (const auto done = std::move(mDrainDone)) {
    done(handed_over);
  }
}

} // namespace

std::unique_ptr<Controller>
Controller::create(event::Loop& aLoop,
                   const config::Settings& aSettings,
                   platform::IPlatform& aPlatform,
                   upstream::IEngineControl& aEngines,
                   gossip::StateSync& aSync,
                   EventLog& aLog,
                   Metrics& aMetrics,
                   ControllerOptions aOptions)
{
  const Outbox unused; // the constructor sets its own outbox and the incarnation
  return std::make_unique<ControllerImpl>(
    TaskContext{
      aLoop, aSettings, aPlatform, aEngines, aSync, aLog, aMetrics, unused, 0 },
    std::move(aOptions));
}

} // namespace savoryrill::controller
