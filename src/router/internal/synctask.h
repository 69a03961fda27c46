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
  std::string endpoint; // of the port for callers, published in the member entry
  Duration demandTimeToLive = 3s;
  Duration memberPeriod = 2s; // how often the member entry is renewed
  Duration memberTimeToLive = 10s;
};

/// Exchanges state with controllers: adopts configurations of a higher version, passes
/// entries about upstreams and assignments to the dispatch task, and publishes demand,
/// leaving upstreams and the member entry of this router. Not thread safe.
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

  /// Handles a message.
  void handle(const SyncMessage& aMessage);

  /// The configuration version in force, 0 if there is none.
  std::uint64_t configVersion() const { return mConfigVersion; }

  /// Publishes in the member entry that this process is leaving.
  void startLeaving();

  /// Notifies all peers that this process stops.
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
