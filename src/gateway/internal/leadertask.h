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
#include "gateway/upstreamboard.h"
#include "link/requestclient.h"
#include "serving/leadership.h"
#include "serving/placementplanner.h"
#include "serving/upstreamlistchanges.h"
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
    UpstreamBoard& board;
    const serving::UpstreamListChanges& list; // as this host has read it
    link::RequestClient& calls;
  };
  struct Handlers
  {
    /// Demand of this host since the last call.
    std::function<std::vector<serving::DemandItem>()> demand;
    /// Replica views have changed.
    std::function<void()> replicasChanged;
    /// Hosts that exchange demand.
    std::function<void(std::uint32_t)> hostsChanged;
    /// Version up to which this host knows the list of upstreams; 0: not at all.
    std::function<std::uint64_t()> listVersion;
    /// Version of the configuration in force here.
    std::function<std::uint64_t()> configVersion;
    /// The leader has this version of the configuration.
    std::function<void(std::uint64_t)> configTold;
    /// The leader has read the list of upstreams, beginning at the given time or later.
    std::function<void(const serving::UpstreamListUpdate&, Instant)> listTold;
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
  void listReadStarted();
  /// The list was read: entries have newer reports.
  void upstreamsRead();
  /// Demand has appeared that no report named yet.
  void demandAppeared();
  /// Gives the leadership up.
  void stop();

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
  void rowChanged();
  void noteLeaseCall(serving::LeadershipStep aStep, const Error* aError);
  void noteBadEntry(const transport::RemotePeer& aPeer, const Error& aError);
  void followEndpoint();

  void reportDemand();
  void takeRemoteDemand(const transport::RemotePeer& aPeer, const HostDemand& aDemand);
  void takeDemand(const std::string& aHost, const HostDemand& aDemand);
  std::map<std::string, std::uint32_t> loadsOfAll() const;
  void announceRelease();
  void takeReplicas(const transport::RemotePeer& aPeer, const peer::Delta& aDelta);

  void planSoon();
  void plan();
  void planWhenDue();
  void sendOrder(const serving::PlacementOrder& aOrder);
  void readReport(const std::string& aUpstream);
  void publishReplicas();
  void collectChangedViews(Instant aNow);
  void publishSoon(Duration aDelay);
  void sendNews();
  void sendViews(Instant aNow);
  void addViews(peer::Delta& aDelta, const std::vector<std::string>& aUpstreams);
  /// Adds what the list has changed for a host, if that may be told.
  void addListNews(peer::Delta& aDelta, std::uint64_t aPeerId);
  void takeListNews(const ListNews& aNews);
  LeaderNews makeNews();
  void addNews(peer::Delta& aDelta, const LeaderNews& aNews);
  /// Fills in the expected times of the models that callers wait for.
  void addTimes(LeaderNews& aNews);
  void takeNews(const LeaderNews& aNews, Instant aNow);
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
  std::vector<std::string> mUnsent; // engines whose views have changed
  struct Remote
  {
    transport::RemotePeer peer;
    // What the host knows of the list, and the number of its message that said so.
    std::uint64_t listVersion = 0;
    std::uint64_t stamp = 0;
    std::uint64_t stampAtRead = 0; // the latest when the read under way began
    std::uint64_t stampRead = 0;   // the same of the last read that succeeded
    bool needsAllViews = true;     // it has connected, or a message to it was lost
  };
  std::map<std::uint64_t, Remote> mRemote;
  std::map<std::string, std::map<std::string, std::uint32_t>> mLoads; // by host, upstream
  std::string mConnectedTo;
  std::string mKnownLeader;
  bool mLeading = false;
  bool mListRead = false; // since this host leads
  bool mStopping = false;
  std::optional<Instant> mPlanned; // when the last plan was made
  bool mDemandPosted = false;
  bool mLeaseCallFailed = false; // since the last success
  std::uint64_t mSequence = 0;
  std::uint64_t mStamp = 0;                    // of the last demand that was sent
  std::map<std::uint64_t, Instant> mStampSent; // of recent ones
  std::uint32_t mHosts = 0;
  std::optional<Instant> mDemandSent;
  std::optional<Instant> mNewsSent;
  std::optional<Instant> mViewsSent;
  std::uint64_t mFollowedFencing = 0;
  event::Watch mTimer;
  event::Watch mPlanTimer;
  event::Watch mPaceTimer;
  event::Watch mPublishTimer;
};

} // namespace savoryrill::gateway
