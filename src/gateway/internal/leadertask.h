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
#include "event/deferredcall.h"
#include "event/loop.h"
#include "gateway/internal/peercodec.h"
#include "gateway/internal/permitexchange.h"
#include "gateway/internal/quotaexchange.h"
#include "gateway/iprotocol.h"
#include "gateway/irowstore.h"
#include "gateway/upstreamselector.h"
#include "link/requestclient.h"
#include "serving/leadership.h"
#include "serving/placementplanner.h"
#include "serving/promptquarantine.h"
#include "serving/quotashare.h"
#include "serving/reporttimes.h"
#include "serving/sharinghosts.h"
#include "serving/upstreamlistchanges.h"
#include "transport/peernetwork.h"

namespace savoryrill::gateway {

/// Takes part in the election of the placement leader. As the leader it renews the lease,
/// collects demand from the other hosts, publishes replica views to them and sends load
/// orders to the engines of all groups; otherwise it reports demand to the leader and
/// applies its updates. Not thread safe.
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
    const serving::UpstreamListChanges&
      listChanges; // of the upstream list, as read by this host
    link::RequestClient& client;
    QuotaExchange& quotas; // of this host
  };
  struct Handlers
  {
    /// Returns the demand of this host since the last call.
    std::function<std::vector<serving::DemandItem>()> takeDemand;
    /// Replica views, expected times or permits have changed, so that waiting requests
    /// may be sent.
    std::function<void()> onReplicasChanged;
    /// Receives the number of hosts that exchange demand, also if it has not changed.
    std::function<void(std::uint32_t)> onHostCountReceived;
    /// Returns the version up to which this host knows the upstream list; 0: unknown.
    std::function<std::uint64_t()> listVersion;
    /// Returns the version of the configuration in force at this host.
    std::function<std::uint64_t()> configVersion;
    /// The leader reports this version of the configuration.
    std::function<void(std::uint64_t)> onConfigVersionReceived;
    /// The leader has sent changes of the upstream list; its read of the list began at
    /// the given time or later.
    std::function<void(const serving::UpstreamListUpdate&, Instant)>
      onUpstreamListReceived;
    /// The leader has read the given version of the configuration; its read began at the
    /// given time or later.
    std::function<void(std::uint64_t, Instant)> onConfigConfirmed;
    /// This host has become the leader (true) or has stopped being it (false).
    std::function<void(bool)> onLeadershipChanged;
    /// This host has been without a connection to a leader for a while (false), or has
    /// one again or leads (true).
    std::function<void(bool)> onLeaderContactChanged;
    /// Returns the evidence against prompt parts that a newly connected host should have.
    std::function<std::vector<serving::PartEvidence>()> promptEvidence;
    /// Another host has sent evidence against prompt parts; returns what to send on.
    std::function<serving::PromptQuarantine::MergeResult(
      const std::vector<serving::PartEvidence>&)>
      onPromptEvidenceReceived;
  };

  /// Fails with Unavailable if the peer address cannot be bound.
  static Result<std::unique_ptr<LeaderTask>> create(
    Dependencies aDependencies,
    const config::GatewaySettings& aSettings,
    Handlers aHandlers,
    std::uint64_t aSeed);
  ~LeaderTask() override;

  /// Applies the engine profiles of a configuration.
  void setConfig(const serving::ServingConfig& aConfig);
  /// Applies changes of the upstream list.
  void onUpstreamsChanged(const std::vector<serving::DirectoryChange>& aChanges);
  /// A read of the upstream list begins. Its result is newer than all demand reports that
  /// have arrived so far.
  void onUpstreamListReadStarted();
  /// The upstream list was read; entries may have newer engine reports.
  void onUpstreamListRead();
  /// A read of the configuration begins; as `onUpstreamListReadStarted`.
  void onConfigReadStarted();
  /// That read has succeeded and returned this version; tells the other hosts, if this
  /// host leads.
  void confirmConfig(std::uint64_t aVersion);
  /// A request waits for a permit; asks for it in the next iteration of the loop.
  void onPermitRequested();
  /// There is new demand; reports it in the next iteration of the loop.
  void onDemandIncreased();
  /// Releases the lease, if this host holds it, and does not take it again.
  void releaseLeadership();
  /// Sends evidence against prompt parts to all connected hosts, which pass it on.
  void sharePromptEvidence(const std::vector<serving::PartEvidence>& aEvidence);

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
  bool isConnectedToLeader() const;
  void updateLeaderContact();
  /// Connects to some other hosts while there is no leader, so that news still reaches
  /// all of them.
  void updateSubstitutes();
  void receiveSubstitutes(const std::vector<std::string>& aEndpoints);
  /// Tells a host to which others it should connect while there is no leader.
  void addSubstitutes(peer::Delta& aDelta, std::uint64_t aPeerId);
  void sendPromptEvidence(const std::vector<std::uint64_t>& aPeers,
                          const std::vector<serving::PartEvidence>& aEvidence);
  void receivePromptEvidence(const transport::RemotePeer& aPeer,
                             const std::string& aPayload);
  void exchangePermits();
  PermitExchange::Role permitRole() const;
  /// Number of hosts that request their permits from this one.
  std::uint32_t countServedHosts() const;
  void setHostCount(std::uint32_t aCount);
  void receivePermits(const transport::RemotePeer& aPeer, const std::string& aPayload);
  void sendPermits(const std::string& aHost, const PermitMessage& aMessage);
  /// Lets the quotas of this host use the connections to other hosts.
  void connectQuotas();
  QuotaExchange::Role quotaRole();
  void receiveQuotas(const transport::RemotePeer& aPeer, const std::string& aPayload);
  void sendQuotas(const std::string& aHost, const QuotaMessage& aMessage);

  void reportDemand();
  void receiveDemand(const transport::RemotePeer& aPeer, const HostDemand& aDemand);
  void applyDemand(const std::string& aHost, const HostDemand& aDemand);
  /// Replaces the requests in progress that a host has reported.
  void setHostLoads(const std::string& aHost,
                    const std::map<std::string, std::uint32_t>& aLoads);
  /// Chooses the host that should lead after this one has stopped.
  void nameSuccessor();
  /// Releases the lease of this host, which goes on as a follower. The suited host that
  /// was restarted last, if any, is preferred to `aHost`.
  void releaseTo(const std::string& aHost);
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
  /// Adds the changes of the upstream list that a host does not know yet, if its known
  /// version is recent enough.
  void addListUpdate(peer::Delta& aDelta, std::uint64_t aPeerId);
  void applyListUpdate(const HostListUpdate& aUpdate);
  void receiveConfirmation(const transport::RemotePeer& aPeer,
                           const std::string& aPayload);
  LeaderStatus makeStatus();
  void addStatus(peer::Delta& aDelta, const LeaderStatus& aStatus);
  /// Fills in the expected times of the models that requests wait for.
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
    // From the host's latest demand report: its version of the upstream list, and the
    // number of the report.
    std::uint64_t listVersion = 0;
    std::uint64_t reportNumber = 0;
    // Numbers of the latest reports that had arrived when the read of the list in
    // progress and the last successful one began.
    std::uint64_t reportAtReadStart = 0;
    std::uint64_t reportBeforeLastRead = 0;
    std::uint64_t reportAtConfigReadStart = 0; // as above, for the configuration
    std::optional<Instant> startedAt; // of its process; nothing if it should not lead
    bool needsAllViews = true;        // after it connected or a message to it was lost
  };
  std::map<std::uint64_t, PeerHost> mPeerHosts;
  std::map<std::string, std::map<std::string, std::uint32_t>> mLoads; // by host, upstream
  std::map<std::string, std::uint32_t> mTotalLoads; // of all hosts, by upstream
  PermitExchange mPermits;
  std::string mConnectedTo;
  std::vector<std::string> mSubstitutes; // endpoints, named by the leader
  bool mSubstitutesInUse = false;
  Instant mLastLeaderContact;
  bool mLeaderContact = true; // false once it has been missing for a while
  std::optional<Instant> mSubstitutesSent;
  std::string mKnownLeader;
  bool mLeading = false;
  bool mListRead = false; // since this host became the leader
  bool mStopping = false;
  bool mHandingOver = false; // releasing the lease to a suited host
  Instant mStarted;
  bool mSuitedToLead;     // the link of this host is fast enough for a leader
  std::string mSuccessor; // named by this host's release; empty: none
  std::optional<Instant> mLastPlan;
  event::DeferredCall mDemandReportCall;
  event::DeferredCall mPermitExchangeCall;
  bool mLeaseRequestFailed = false; // the latest one; logged once per outage
  std::uint64_t mSequence = 0;
  serving::ReportTimes mReportTimes; // of the demand reports of this host
  std::uint32_t mHostCount = 0;      // that exchange demand at this moment
  serving::SharingHosts mSharingHosts;
  serving::QuotaShare mQuotaShare;
  std::optional<Instant> mLastDemandReport;
  std::optional<Instant> mLastStatus;
  std::optional<Instant> mLastViews;
  std::uint64_t mFollowedFencingNumber = 0;
  event::Watch mTimer;
  event::Watch mDuePlanTimer;
  event::Watch mPlanPauseTimer;
  event::Watch mPublishTimer;
};

} // namespace savoryrill::gateway
