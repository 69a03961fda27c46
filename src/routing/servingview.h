#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::routing {

/// A replica as last reported by the controller that owns the upstream.
struct ReplicaView
{
  peer::ReplicaState state = peer::REPLICA_STATE_UNSPECIFIED;
  std::set<std::string> adapters;
  Instant readyAt; // expected end of the load
};

/// Last reported state of an upstream.
struct UpstreamView
{
  bool reported = false; // the owning controller has published an entry
  bool reachable = true;
  std::uint64_t incarnation = 0;
  std::uint32_t reportedLoad = 0; // running and waiting requests; reported with a delay
  std::map<config::Loadable, ReplicaView> replicas;
  std::set<std::uint64_t> cachedPrefixes;
};

/// Tells which upstreams can serve a model or service, from the configuration and the
/// `upstream`, `assignment` and `leaving` entries. An upstream counts as leaving while
/// the newest incarnation that is marked as leaving is not older than the reported one.
/// Not thread safe; no I/O.
class ServingView
{
public:
  using ConfigurationPtr = std::shared_ptr<const config::Configuration>;

  /// Replaces the configuration. Entries of upstreams that are not configured are kept,
  /// but no query returns these upstreams.
  void setConfiguration(ConfigurationPtr aConfiguration);

  /// Applies an entry of any kind. Kinds other than `upstream`, `assignment` and
  /// `leaving` and payloads that cannot be parsed are ignored. An empty payload removes
  /// the entry. Returns true if the view may have changed.
  bool apply(const peer::Entry& aEntry, Instant aNow);

  /// The configuration in force, or null.
  const ConfigurationPtr& configuration() const { return mConfiguration; }

  /// Names of usable upstreams (configured, reachable and not leaving) that have the
  /// model and its adapter, if any, loaded.
  std::vector<std::string> serving(const config::ModelReference& aModel) const;

  /// Names of the usable upstreams of a pool in `aDataCentre` or, if there are none, in
  /// all other data centres.
  std::vector<std::string> usableInPool(const std::string& aPool,
                                        const std::string& aDataCentre) const;

  /// Expected time until the first of the replicas that are loading at usable upstreams
  /// is ready; nothing if none is loading.
  std::optional<Duration> readyIn(const config::Loadable& aLoadable, Instant aNow) const;

  /// Names of usable upstreams that the model is assigned to, except those that are to
  /// release it.
  std::vector<std::string> assigned(const config::Loadable& aLoadable) const;

  /// True if the upstream is leaving in its reported incarnation.
  bool isLeaving(const std::string& aUpstream) const;

  /// Marks the reported incarnation of an upstream as leaving.
  void markLeaving(const std::string& aUpstream);

  /// Removes a replica or, if the model names an adapter, just this adapter until the
  /// next entry of the upstream. For use after the upstream has responded that it is not
  /// loaded.
  void markNotLoaded(const std::string& aUpstream, const config::ModelReference& aModel);

  /// Last reported state of an upstream, or a default value if there is none.
  const UpstreamView& upstream(const std::string& aName) const;

  /// Configured properties of an upstream, or null.
  const config::Upstream* configured(const std::string& aName) const;

private:
  bool applyUpstream(const peer::Entry& aEntry, Instant aNow);
  bool applyAssignment(const peer::Entry& aEntry);
  bool applyLeaving(const peer::Entry& aEntry);
  bool usable(const std::string& aUpstream) const;

  ConfigurationPtr mConfiguration;
  std::map<std::string, UpstreamView> mUpstreams;
  std::map<std::string, std::set<std::string>> mAssigned; // by `deployment@version`
  std::map<std::string, std::uint64_t> mLeaving; // newest incarnation marked as leaving
};

} // namespace savoryrill::routing
