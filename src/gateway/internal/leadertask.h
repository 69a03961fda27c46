#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "config/gatewaysettings.h"
#include "event/loop.h"
#include "gateway/internal/peercodec.h"
#include "gateway/iprotocol.h"
#include "gateway/irowstore.h"
#include "gateway/upstreamselector.h"
#include "link/callset.h"
#include "serving/leadership.h"
#include "serving/listchanges.h"
#include "serving/placementplanner.h"
#include "transport/peernetwork.h"

namespace savoryrill::gateway {

/// Finds the leader of placement, or is it: keeps the lease, exchanges demand for replica
/// views with the other hosts, and orders loads at the engines of all groups. Not thread
/// safe.
class LeaderTask : private transport::IPeerListener
{
public:
  struct Dependencies
  {
    event::Loop& loop;
    EventLog& log;
    Metrics& metrics;
    IRowStore& store;
    const IControlProtocol& protocol;
    UpstreamSelector& selector;
    const serving::ListChanges& listChanges; // as this host has read it
    link::CallSet& client;
  };
  struct Handlers
  {
    /// Demand of this host since the last call.
    std::function<std::vector<serving::DemandItem>()> takeDemand;
    /// Replica views have changed.
    std::function<void()> replicasChanged;
    /// Hosts that exchange demand.
    std::function<void(std::uint32_t)> hostCountChanged;
    /// Version up to which this host knows the list of upstreams; 0: not at all.
    std::function<std::uint64_t()> listVersion;
    /// Version of the configuration in force here.
    std::function<std::uint64_t()> configVersion;
    /// The leader has this version of the configuration.
    std::function<void(std::uint64_t)> configVersionReceived;
    /// The leader has read the list of upstreams, beginning at the given time or later.
    std::function<void(const serving::ListUpdate&, Instant)> upstreamListReceived;
    /// This host leads from now on, or does not any more.
    std::function<void(bool)> leadershipChanged;
  };

  /// Fails with Unavailable if the peer address cannot be bound.
  static Result<std::unique_ptr<LeaderTask>> create(
    Dependencies aDependencies,
    const config::GatewaySettings& aSettings,
    Handlers aHandlers,
    std::uint64_t aSeed);
  ~LeaderTask() override;

  /// Takes the groups of a configuration.
  void setConfig(const serving::ServingConfig& aConfig);
  /// Takes changes of the list of upstreams.
  void upstreamsChanged(const std::vector<serving::DirectoryChange>& aChanges);
  /// A read of the list begins, whose result counts for what has arrived until now.
  void upstreamListReadStarted();
  /// The list was read: entries have newer reports.
  void upstreamListRead();
  /// Demand has appeared that no report named yet.
  void demandIncreased();
  /// Gives the leadership up.
  void releaseLeadership();

private:
  LeaderTask(Dependencies aDependencies,
             const config::GatewaySettings& aSettings,
             Handlers aHandlers,
             std::uint64_t aSeed);

  void peerJoined(const transport::RemotePeer& aPeer) override;
  void peerLost(const transport::RemotePeer& aPeer) override;
  void digestReceived(const transport::RemotePeer&, const peer::Digest&) override {}
  void deltaReceived(const transport::RemotePeer& aPeer,
                     const peer::Delta& aDelta) override;

  void tick();
  void stepLease();
  void readRow();
  void writeRow(serving::LeadershipStep aStep);
  void updateLeadership();
  void recordLeaseResult(serving::LeadershipStep aStep, const Error* aError);
  void recordBadEntry(const transport::RemotePeer& aPeer, const Error& aError);
  void connectToLeader();

  void reportDemand();
  void receiveDemand(const transport::RemotePeer& aPeer, const HostDemand& aDemand);
  void applyDemand(const std::string& aHost, const HostDemand& aDemand);
  std::map<std::string, std::uint32_t> totalLoads() const;
  void announceRelease();
  void receiveLeaderEntries(const transport::RemotePeer& aPeer,
                            const peer::Delta& aDelta);

  void planAfterPause();
  void plan();
  void scheduleDuePlan();
  void sendOrder(const serving::PlacementOrder& aOrder);
  void readReport(const std::string& aUpstream);
  void publishReplicas();
  void collectChangedViews(Instant aNow);
  void publishLater(Duration aDelay);
  void sendStatus();
  void sendViews(Instant aNow);
  void addViews(peer::Delta& aDelta, const std::vector<std::string>& aUpstreams);
  /// Adds what the list has changed for a host, if that may be told.
  void addListUpdate(peer::Delta& aDelta, std::uint64_t aPeerId);
  void applyListUpdate(const StampedListUpdate& aUpdate);
  LeaderStatus makeStatus();
  void addStatus(peer::Delta& aDelta, const LeaderStatus& aStatus);
  /// Fills in the expected times of the models that callers wait for.
  void addExpectedTimes(LeaderStatus& aStatus);
  void applyStatus(const LeaderStatus& aStatus, Instant aNow);
  serving::PlacementPlanner* plannerOf(const std::string& aGroup);

  Dependencies mDependencies;
  config::GatewaySettings mSettings;
  Handlers mHandlers;
  std::mt19937_64 mRandom;
  std::unique_ptr<transport::PeerNetwork> mPeers;
  serving::Leadership mLeadership;
  std::map<std::string, serving::EngineProfile> mProfiles; // by group
  std::map<std::string, std::unique_ptr<serving::PlacementPlanner>> mPlanners;
  std::map<std::string, std::vector<serving::ReplicaView>> mPublished; // by engine
  std::vector<std::string> mUnsentViews; // engines whose views have changed
  struct PeerHost
  {
    transport::RemotePeer peer;
    // What the host knows of the list, and the number of its message that said so.
    std::uint64_t listVersion = 0;
    std::uint64_t stamp = 0;
    std::uint64_t stampAtReadStart = 0; // the latest when the read under way began
    std::uint64_t stampOfLastRead = 0;  // the same of the last read that succeeded
    bool needsAllViews = true;          // it has connected, or a message to it was lost
  };
  std::map<std::uint64_t, PeerHost> mPeerHosts;
  std::map<std::string, std::map<std::string, std::uint32_t>> mLoads; // by host, upstream
  std::string mConnectedTo;
  std::string mKnownLeader;
  bool mLeading = false;
  bool mListRead = false; // since this host leads
  bool mStopping = false;
  std::optional<Instant> mLastPlan; // when the last plan was made
  bool mDemandPosted = false;
  bool mLeaseRequestFailed = false; // since the last success
  std::uint64_t mSequence = 0;
  std::uint64_t mStamp = 0;                     // of the last demand that was sent
  std::map<std::uint64_t, Instant> mStampTimes; // of recent ones
  std::uint32_t mHostCount = 0;
  std::optional<Instant> mLastDemandReport;
  std::optional<Instant> mLastStatus;
  std::optional<Instant> mLastViews;
  std::uint64_t mFollowedFencing = 0;
  event::Watch mTimer;
  event::Watch mDuePlanTimer;
  event::Watch mPlanPauseTimer;
  event::Watch mPublishTimer;
};

} // namespace savoryrill::gateway
