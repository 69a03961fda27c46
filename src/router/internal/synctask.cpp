#include "router/internal/synctask.h"

#include <utility>

#include "config/bundle.h"
#include "router/internal/text.h"
#include "router/types/routerevents.h"

namespace savoryrill::router {

SyncTask::SyncTask(event::Loop& aLoop,
                   SyncTaskOptions aOptions,
                   std::unique_ptr<gossip::StateSync> aSync,
                   event::Mailbox<DispatchMessage>& aDispatch,
                   event::Mailbox<CallerMessage>& aCallers,
                   EventLog& aLog,
                   Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mDispatch(aDispatch)
  , mCallers(aCallers)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mSync(std::move(aSync))
{
  mSync->onChange([this](const peer::Entry& aEntry) { handleChange(aEntry); });
  mMemberTimer = aLoop.every(mOptions.memberPeriod, [this] { publishMember(); });
  publishMember();
}

void
SyncTask::handle(const SyncMessage& aMessage)
{
  std::visit([this](const auto& aTyped) { on(aTyped); }, aMessage);
}

void
SyncTask::handleChange(const peer::Entry& aEntry)
{
  switch (aEntry.kind()) {
    case peer::ENTRY_KIND_CONFIG:
      adoptConfiguration(aEntry);
      break;
    case peer::ENTRY_KIND_UPSTREAM:
    case peer::ENTRY_KIND_ASSIGNMENT:
    case peer::ENTRY_KIND_LEAVING:
      mDispatch.send(EntryChanged{ aEntry });
      break;
    default:
      break;
  }
}

void
SyncTask::adoptConfiguration(const peer::Entry& aEntry)
{
  peer::ConfigContent content;
  if (!content.ParseFromString(aEntry.payload()) || content.version() <= mConfigVersion) {
    return;
  }
  const auto reject = [&](const std::string& aReason) {
    mMetrics.add("savoryrill_router_config_rejected_total");
    mLog.write(
      kConfigRejected,
      { { "version", std::uint64_t(content.version()) }, { "reason", aReason } });
  };
  if (!content.sha256().empty() && sha256Hex(content.bundle()) != content.sha256()) {
    reject("the bundle does not match its hash");
    return;
  }
  auto read = config::configurationOf(
    content.bundle(), mOptions.dataCentre, content.version(), content.change_id());
  if (!read) {
    reject(read.error().message);
    return;
  }
  mConfigVersion = content.version();
  mMetrics.set("savoryrill_router_config_version", double(mConfigVersion));
  mLog.write(kConfigAdopted,
             { { "version", mConfigVersion }, { "change", content.change_id() } });
  const auto configuration =
    std::make_shared<const config::Configuration>(std::move(read.value()));
  mDispatch.send(ConfigurationAdopted{ configuration });
  mCallers.send(ConfigurationAdopted{ configuration });
  publishMember();
}

void
SyncTask::publishMember()
{
  peer::MemberContent content;
  content.set_role(peer::ROLE_ROUTER);
  content.set_host(mOptions.host);
  content.set_data_centre(mOptions.dataCentre);
  content.set_endpoint(mOptions.endpoint);
  content.set_config_version(mConfigVersion);
  content.set_leaving(mLeaving);
  mSync->publish(peer::ENTRY_KIND_MEMBER,
                 "router/" + mOptions.host,
                 mOptions.incarnation,
                 ++mSequence,
                 content.SerializeAsString(),
                 mOptions.memberTimeToLive);
}

void
SyncTask::on(const PublishDemand& aMessage)
{
  mSync->publish(peer::ENTRY_KIND_DEMAND,
                 "demand/" + mOptions.host,
                 mOptions.incarnation,
                 ++mSequence,
                 aMessage.content.SerializeAsString(),
                 mOptions.demandTimeToLive);
}

void
SyncTask::on(const PublishLeaving& aMessage)
{
  peer::LeavingContent content;
  content.set_upstream(aMessage.upstream);
  content.set_upstream_incarnation(aMessage.incarnation);
  content.set_source("router/" + mOptions.host);
  mSync->publish(peer::ENTRY_KIND_LEAVING,
                 aMessage.upstream,
                 aMessage.incarnation,
                 1,
                 content.SerializeAsString());
}

void
SyncTask::startLeaving()
{
  mLeaving = true;
  publishMember();
}

void
SyncTask::leave()
{
  mSync->leave();
}

} // namespace savoryrill::router
