#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "serving/organisationdirectory.h"

namespace savoryrill::serving {

/// Whether and how the requests of a route may be retried.
enum class RequestKind
{
  Repeatable,    // may run more than once
  NonRepeatable, // runs at most once for each request of a caller
  Stream         // events; retried only by resuming, where the route allows it
};

/// An upstream group that serves a weighted share of a route's requests.
struct RouteShare
{
  std::string group;
  double weight = 1.0;
};

/// Where requests for a host name and path prefix are sent, and what callers are
/// promised.
struct Route
{
  std::string name;
  std::string hostName;
  std::string prefix; // begins and ends with a slash
  RequestKind kind = RequestKind::NonRepeatable;
  std::vector<RouteShare> shares; // never empty
  Duration timeout = 30s;         // maximum time until the final response
  Duration objective = 1s;        // until the first event of a stream or a whole response
  Duration maxEventGap = 300ms;   // objective for the time between events of a stream
  Duration callerTimeout = 30s;   // callers leave after this time without an event
  std::uint32_t priority = 0;     // 0 is the most urgent
  std::uint32_t maxAttempts = 1;  // maximum number of upstreams that receive a request
  bool resumable = false;
  bool affinity = false; // requests state their prompt prefix
  bool needsKey = true;  // where the configuration names organisations
};

/// Size and load times of a model.
struct ModelProfile
{
  double footprintMb = 0;
  Duration weightStoreLoadTime = 10s; // at full speed
  Duration diskLoadTime = 3s;
  Duration memoryLoadTime = 1s;
  std::uint32_t adapters = 0;
  double adapterMb = 0;
};

/// Limits of the engines of a group, and the models that they can load.
struct EngineProfile
{
  std::uint32_t concurrency = 1;        // maximum number of requests in a batch
  std::uint64_t cacheTokens = 0;        // cache for prompts and generated tokens
  double memoryMb = 0;                  // for weights and adapters
  std::uint32_t adapterSlots = 0;       // maximum number of adapters at an engine
  double weightStoreLoadsPerSecond = 0; // of all engines together
  double hostMemoryMb = 0;              // checkpoint copies in memory
  double diskMb = 0;                    // checkpoint copies on disk
  std::map<std::string, ModelProfile> models;
};

/// Upstreams that serve the same routes.
struct UpstreamGroup
{
  std::string name;
  std::string healthPath;
  std::uint32_t maxConnections = 64;   // to one upstream, from all hosts together
  std::optional<EngineProfile> engine; // absent for a plain service
};

/// Limits for inbound connections.
struct CallerLimits
{
  std::size_t maxHeadBytes = 16UL * 1024;
  std::size_t maxBodyBytes = 4UL * 1024 * 1024;
  Duration receiveTimeout = 3s;
  Duration idleTimeout = 15s;
};

/// A configuration in force: routes, upstream groups and limits.
struct ServingConfig
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, UpstreamGroup> groups;
  CallerLimits limits;
  /// Null: callers need no key.
  std::shared_ptr<const OrganisationDirectory> organisations;
  /// Errors of the configuration that do not prevent its use; they name no key.
  std::vector<std::string> findings;
};

} // namespace savoryrill::serving

namespace savoryrill {

template<>
struct EnumNames<serving::RequestKind>
{
  static constexpr EnumTable<serving::RequestKind, 3> kTable{ {
    { serving::RequestKind::Repeatable, "repeatable" },
    { serving::RequestKind::NonRepeatable, "non-repeatable" },
    { serving::RequestKind::Stream, "stream" },
  } };
};

} // namespace savoryrill
