#include "routing/servingview.h"

#include <algorithm>
#include <utility>

namespace savoryrill::routing {

void
ServingView::setConfiguration(ConfigurationPtr aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
}

bool
ServingView::apply(const peer::Entry& aEntry, Instant aNow)
{
  switch (aEntry.kind()) {
    case peer::ENTRY_KIND_UPSTREAM:
      return applyUpstream(aEntry, aNow);
    case peer::ENTRY_KIND_ASSIGNMENT:
      return applyAssignment(aEntry);
    case peer::ENTRY_KIND_LEAVING:
      return applyLeaving(aEntry);
    default:
      return false;
  }
}

bool
ServingView::applyUpstream(const peer::Entry& aEntry, Instant aNow)
{
  if (aEntry.payload().empty()) {
    return mUpstreams.erase(aEntry.key()) > 0;
  }
  peer::UpstreamContent content;
  if (!content.ParseFromString(aEntry.payload())) {
    return false;
  }
  UpstreamView view;
  view.reported = true;
  view.reachable = content.reachable();
  view.incarnation = content.upstream_incarnation();
  view.reportedLoad = content.running() + content.waiting();
  for (const auto& replica : content.replicas()) {
    ReplicaView entry;
    entry.state = replica.state();
    entry.adapters.insert(replica.adapters().begin(), replica.adapters().end());
    entry.readyAt = aNow + std::chrono::milliseconds(replica.ready_in_ms());
    view.replicas[{ replica.deployment(), replica.version() }] = std::move(entry);
  }
  view.cachedPrefixes.insert(content.cached_prefixes().begin(),
                             content.cached_prefixes().end());
  mUpstreams[aEntry.key()] = std::move(view);
  if (content.leaving()) {
    markLeaving(aEntry.key());
  }
  return true;
}

bool
ServingView::applyAssignment(const peer::Entry& aEntry)
{
  if (aEntry.payload().empty()) {
    return mAssigned.erase(aEntry.key()) > 0;
  }
  peer::AssignmentContent content;
  if (!content.ParseFromString(aEntry.payload())) {
    return false;
  }
  std::set<std::string> upstreams;
  for (const auto& place : content.places()) {
    if (!place.releasing()) {
      upstreams.insert(place.upstream());
    }
  }
  mAssigned[config::toString(
    config::Loadable{ content.deployment(), content.version() })] = std::move(upstreams);
  return true;
}

bool
ServingView::applyLeaving(const peer::Entry& aEntry)
{
  if (aEntry.payload().empty()) {
    return mLeaving.erase(aEntry.key()) > 0;
  }
  peer::LeavingContent content;
  if (!content.ParseFromString(aEntry.payload())) {
    return false;
  }
  const auto [entry, added] =
    mLeaving.try_emplace(content.upstream(), content.upstream_incarnation());
  entry->second = std::max(entry->second, content.upstream_incarnation());
  return true;
}

bool
ServingView::isLeaving(const std::string& aUpstream) const
{
  const auto leaving = mLeaving.find(aUpstream);
  return leaving != mLeaving.end() && leaving->second >= upstream(aUpstream).incarnation;
}

void
ServingView::markLeaving(const std::string& aUpstream)
{
  const std::uint64_t incarnation = upstream(aUpstream).incarnation;
  const auto [entry, added] = mLeaving.try_emplace(aUpstream, incarnation);
  entry->second = std::max(entry->second, incarnation);
}

void
ServingView::markNotLoaded(const std::string& aUpstream,
                           const config::ModelReference& aModel)
{
  const auto found = mUpstreams.find(aUpstream);
  if (found == mUpstreams.end()) {
    return;
  }
  auto& replicas = found->second.replicas;
  if (aModel.adapter.empty()) {
    replicas.erase(aModel.loadable);
  } else if (const auto replica = replicas.find(aModel.loadable);
             replica != replicas.end()) {
    replica->second.adapters.erase(aModel.adapter);
  }
}

const UpstreamView&
ServingView::upstream(const std::string& aName) const
{
  static const UpstreamView sUnknown;
  const auto found = mUpstreams.find(aName);
  return found == mUpstreams.end() ? sUnknown : found->second;
}

const config::Upstream*
ServingView::configured(const std::string& aName) const
{
  if (!mConfiguration) {
    return nullptr;
  }
  const auto found = mConfiguration->upstreams.find(aName);
  return found == mConfiguration->upstreams.end() ? nullptr : &found->second;
}

bool
ServingView::usable(const std::string& aUpstream) const
{
  return configured(aUpstream) != nullptr && upstream(aUpstream).reachable &&
         !isLeaving(aUpstream);
}

std::vector<std::string>
ServingView::serving(const config::ModelReference& aModel) const
{
  std::vector<std::string> names;
  for (const auto& [name, view] : mUpstreams) {
    const auto replica = view.replicas.find(aModel.loadable);
    const bool loaded =
      replica != view.replicas.end() &&
      replica->second.state == peer::REPLICA_STATE_LOADED &&
      (aModel.adapter.empty() || replica->second.adapters.count(aModel.adapter) > 0);
    if (loaded && usable(name)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
ServingView::usableInPool(const std::string& aPool, const std::string& aDataCentre) const
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  if (!mConfiguration) {
    return near;
  }
  for (const auto& [name, properties] : mConfiguration->upstreams) {
    if (properties.pool == aPool && usable(name)) {
      (properties.dataCentre == aDataCentre ? near : far).push_back(name);
    }
  }
  return near.empty() ? far : near;
}

std::optional<Duration>
ServingView::readyIn(const config::Loadable& aLoadable, Instant aNow) const
{
  std::optional<Duration> shortest;
  for (const auto& [name, view] : mUpstreams) {
    const auto replica = view.replicas.find(aLoadable);
    const bool loading = replica != view.replicas.end() &&
                         replica->second.state == peer::REPLICA_STATE_LOADING;
    if (!loading || !usable(name)) {
      continue;
    }
    const Duration left = std::max(Duration::zero(), replica->second.readyAt - aNow);
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest;
}

std::vector<std::string>
ServingView::assigned(const config::Loadable& aLoadable) const
{
  std::vector<std::string> names;
  const auto upstreams = mAssigned.find(config::toString(aLoadable));
  if (upstreams != mAssigned.end()) {
    for (const auto& name : upstreams->second) {
      if (usable(name)) {
        names.push_back(name);
      }
    }
  }
  return names;
}

} // namespace savoryrill::routing
