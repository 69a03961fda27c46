#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/loop.h"
#include "gossip/statesync.h"
#include "router/types/messages.h"

namespace savoryrill::router {

struct SyncTaskOptions
{
  std::string host;
  std::string dataCentre;
  std::uint64_t incarnation = 0;
  std::string endpoint; // of the callers' port, for the member entry
  Duration demandTimeToLive = 3s;
  Duration memberPeriod = 2s; // renewal of the member entry
  Duration memberTimeToLive = 10s;
};

/// Owns the exchange of state with controllers: adopts higher configurations, passes view
/// entries to the dispatch task, publishes demand, leaving upstreams and the own member
/// entry. Not thread safe.
class SyncTask
{
public:
  /// Preconditions: all references outlive the task.
  SyncTask(event::Loop& aLoop,
           SyncTaskOptions aOptions,
           std::unique_ptr<gossip::StateSync> aSync,
           event::Mailbox<DispatchMessage>& aDispatch,
           event::Mailbox<CallerMessage>& aCallers,
           EventLog& aLog,
           Metrics& aMetrics);

  /// Carries out a message.
  void handle(const SyncMessage& aMessage);

  /// Version in force, 0 without one.
  std::uint64_t configVersion() const { return mConfigVersion; }

  /// Publishes that this process leaves; `leave` then says goodbye.
  void startLeaving();
  void leave();

private:
  void handleChange(const peer::Entry& aEntry);
  void adoptConfiguration(const peer::Entry& aEntry);
  void publishMember();
  void on(const PublishDemand& aMessage);
  void on(const PublishLeaving& aMessage);

  SyncTaskOptions mOptions;
  event::Mailbox<DispatchMessage>& mDispatch;
  event::Mailbox<CallerMessage>& mCallers;
  EventLog& mLog;
  Metrics& mMetrics;
  std::uint64_t mConfigVersion = 0;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
  std::unique_ptr<gossip::StateSync> mSync;
  event::Watch mMemberTimer;
};

} // namespace savoryrill::router
