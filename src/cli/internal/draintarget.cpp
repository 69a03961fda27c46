#include "cli/internal/draintarget.h"

#include <algorithm>
#include <optional>

#include "cli/internal/await.h"
#include "cli/internal/confighead.h"
#include "config/bundle.h"

namespace savoryrill::cli {

namespace {

/// Bytes of the configuration in force; nothing if they cannot be read.
std::optional<std::string>
readBundleInForce(const Environment& aEnvironment, platform::IPlatform& aPlatform)
{
  const auto row =
    await<std::optional<platform::Row>>(aEnvironment.loop, [&](auto aDone) {
      aPlatform.readRow(kHeadKey, std::move(aDone));
    });
  if (!row || !row.value()) {
    return std::nullopt;
  }
  const auto head = parseHead(row.value()->value);
  if (!head) {
    return std::nullopt;
  }
  const auto object =
    await<std::optional<std::string>>(aEnvironment.loop, [&](auto aDone) {
      aPlatform.readObject(head.value().object, std::move(aDone));
    });
  return object ? object.value() : std::nullopt;
}

} // namespace

TargetKnowledge
findUpstream(const Environment& aEnvironment,
             platform::IPlatform& aPlatform,
             const std::string& aName)
{
  const auto bytes = readBundleInForce(aEnvironment, aPlatform);
  const auto bundle = bytes ? config::parseBundle(*bytes)
                            : Result<config::Bundle>(fail(ErrorCode::NotFound, ""));
  if (!bundle) {
    return TargetKnowledge::Unreadable;
  }
  const auto checked = config::checkBundle(bundle.value());
  if (checked.sites.empty()) {
    return TargetKnowledge::Unreadable;
  }
  // All sites have the same upstreams.
  const auto& upstreams = checked.sites.begin()->second.upstreams;
  return upstreams.count(aName) > 0 ? TargetKnowledge::Known : TargetKnowledge::Unknown;
}

TargetKnowledge
findHost(const Environment& aEnvironment,
         platform::IPlatform& aPlatform,
         const std::string& aName)
{
  const auto hosts = await<std::vector<platform::HostEntry>>(
    aEnvironment.loop, [&](auto aDone) { aPlatform.readHosts(std::move(aDone)); });
  if (!hosts) {
    return TargetKnowledge::Unreadable;
  }
  const bool listed =
    std::any_of(hosts.value().begin(),
                hosts.value().end(),
                [&](const platform::HostEntry& aHost) { return aHost.name == aName; });
  return listed ? TargetKnowledge::Known : TargetKnowledge::Unknown;
}

} // namespace savoryrill::cli
