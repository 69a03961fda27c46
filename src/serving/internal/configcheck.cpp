#include "serving/configcheck.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace savoryrill::serving {

namespace {

class ContradictionFinder
{
public:
  explicit ContradictionFinder(const ServingConfig& aConfig)
    : mConfig(aConfig)
  {
  }

  std::vector<std::string> run()
  {
    for (const auto& route : mConfig.routes) {
      checkMatch(route);
      checkShares(route);
      checkTimes(route);
    }
    for (const auto& [name, group] : mConfig.groups) {
      checkGroup(group);
    }
    return std::move(mFound);
  }

private:
  void add(const std::string& aSubject, const std::string& aText)
  {
    mFound.push_back(aSubject + ": " + aText);
  }

  void checkMatch(const Route& aRoute)
  {
    const auto subject = "route " + aRoute.name;
    if (!aRoute.prefix.starts_with('/')) {
      add(subject, "no path begins with its prefix \"" + aRoute.prefix + "\"");
    }
    // The longest prefix wins, so only an equal one hides a route.
    const auto [first, added] =
      mFirstByPrefix.try_emplace({ aRoute.hostName, aRoute.prefix }, aRoute.name);
    if (!added) {
      add(subject,
          "never matches, since route " + first->second +
            " has the same host name and prefix");
    }
  }

  void checkShares(const Route& aRoute)
  {
    for (const auto& share : aRoute.shares) {
      const auto subject = "route " + aRoute.name + ", group " + share.group;
      if (share.weight <= 0) {
        add(subject, "gets no requests, since its share is 0");
      }
      if (!mConfig.groups.contains(share.group)) {
        add(subject, "is not among the groups");
      }
    }
  }

  void checkTimes(const Route& aRoute)
  {
    const auto subject = "route " + aRoute.name;
    if (aRoute.timeout < aRoute.objective) {
      add(subject, "the timeout is below the objective");
    }
    if (aRoute.kind == RequestKind::Stream && aRoute.callerTimeout < aRoute.objective) {
      add(subject, "callers leave before the objective for the first event");
    }
    if (aRoute.maxAttempts == 0) {
      add(subject, "allows no attempt");
    }
    if (aRoute.kind != RequestKind::Stream && aRoute.resumable) {
      add(subject, "is resumable, but serves no streams");
    }
  }

  void checkGroup(const UpstreamGroup& aGroup)
  {
    const auto subject = "group " + aGroup.name;
    if (aGroup.maxConnections == 0) {
      add(subject, "accepts no connections");
    }
    if (!aGroup.engine) {
      return;
    }
    if (aGroup.engine->concurrency == 0) {
      add(subject, "its engines serve no requests");
    }
    for (const auto& [name, model] : aGroup.engine->models) {
      if (model.footprintMb > aGroup.engine->memoryMb) {
        add(subject + ", model " + name, "no engine has enough memory");
      }
      if (model.adapters > 0 && aGroup.engine->adapterSlots == 0) {
        add(subject + ", model " + name, "has adapters, but engines have no slots");
      }
    }
  }

  const ServingConfig& mConfig;
  std::vector<std::string> mFound;
  std::map<std::pair<std::string, std::string>, std::string> mFirstByPrefix;
};

/// Entries of a configuration by name, each with its values as text.
using EntryTexts = std::map<std::string, std::string>;

EntryTexts
entriesOf(const ServingConfig& aConfig)
{
  EntryTexts entries;
  for (const auto& route : aConfig.routes) {
    std::ostringstream text;
    text << route.hostName << route.prefix << " kind " << nameOf(route.kind)
         << " timeout_ms " << toMs(route.timeout) << " objective_ms "
         << toMs(route.objective) << " max_event_gap_ms " << toMs(route.maxEventGap)
         << " caller_timeout_ms " << toMs(route.callerTimeout) << " priority "
         << route.priority << " max_attempts " << route.maxAttempts << " resumable "
         << route.resumable << " affinity " << route.affinity << " needs_key "
         << route.needsKey;
    for (const auto& share : route.shares) {
      text << " group " << share.group << " " << share.weight;
    }
    entries["route " + route.name] = text.str();
  }
  for (const auto& [name, group] : aConfig.groups) {
    std::ostringstream text;
    text << "health " << group.healthPath << " max_connections " << group.maxConnections;
    if (group.engine) {
      const auto& engine = *group.engine;
      text << " concurrency " << engine.concurrency << " cache_tokens "
           << engine.cacheTokens << " memory_mb " << engine.memoryMb << " adapter_slots "
           << engine.adapterSlots << " loads_per_s " << engine.weightStoreLoadsPerSecond
           << " host_memory_mb " << engine.hostMemoryMb << " disk_mb " << engine.diskMb;
      for (const auto& [model, profile] : engine.models) {
        std::ostringstream values;
        values << "footprint_mb " << profile.footprintMb << " load_ms "
               << toMs(profile.weightStoreLoadTime) << " disk_ms "
               << toMs(profile.diskLoadTime) << " memory_ms "
               << toMs(profile.memoryLoadTime) << " adapters " << profile.adapters
               << " adapter_mb " << profile.adapterMb;
        entries["group " + name + ", model " + model] = values.str();
      }
    }
    entries["group " + name] = text.str();
  }
  if (aConfig.organisations) {
    for (const auto& [name, organisation] : aConfig.organisations->organisations()) {
      std::ostringstream text;
      text << "priority "
           << (organisation.priority ? std::to_string(*organisation.priority)
                                     : "of the route");
      if (const auto& quota = organisation.quota) {
        text << " per_second " << quota->perSecond << " burst " << quota->burst
             << " unit " << nameOf(quota->unit) << " default_tokens "
             << quota->defaultTokens;
      }
      entries["organisation " + name] = text.str();
    }
  }
  std::ostringstream limits;
  limits << "max_head_bytes " << aConfig.limits.maxHeadBytes << " max_body_bytes "
         << aConfig.limits.maxBodyBytes << " receive_timeout_ms "
         << toMs(aConfig.limits.receiveTimeout) << " idle_timeout_ms "
         << toMs(aConfig.limits.idleTimeout);
  entries["limits"] = limits.str();
  entries["keys"] = aConfig.organisations ? "needed" : "not needed";
  return entries;
}

} // namespace

std::vector<std::string>
contradictions(const ServingConfig& aConfig)
{
  return ContradictionFinder(aConfig).run();
}

std::vector<std::string>
differences(const ServingConfig& aInForce, const ServingConfig& aNext)
{
  const auto before = entriesOf(aInForce);
  const auto after = entriesOf(aNext);
  std::vector<std::string> lines;
  if (aNext.version <= aInForce.version) {
    lines.push_back("version: " + std::to_string(aNext.version) + " is not newer than " +
                    std::to_string(aInForce.version));
  }
  for (const auto& [name, text] : before) {
    const auto found = after.find(name);
    if (found == after.end()) {
      lines.push_back(name + ": removed");
    } else if (found->second != text) {
      lines.push_back(name + ": was " + text + "; is " + found->second);
    }
  }
  for (const auto& [name, text] : after) {
    if (!before.contains(name)) {
      lines.push_back(name + ": added, " + text);
    }
  }
  return lines;
}

} // namespace savoryrill::serving
