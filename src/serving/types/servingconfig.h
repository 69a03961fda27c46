#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::serving {

/// What a route says about repeating its requests.
enum class RequestKind
{
  Repeatable,    // may run more than once
  NonRepeatable, // runs at most once for each request of a caller
  Stream         // events; repeated only by resuming, where the route allows it
};

/// A weighted choice of the upstream group that serves a route.
struct RouteShare
{
  std::string group;
  double weight = 1.0;
};

/// Where requests of one host name and path prefix go, and what is promised to callers.
struct Route
{
  std::string name;
  std::string hostName;
  std::string prefix; // begins and ends with a slash
  RequestKind kind = RequestKind::NonRepeatable;
  std::vector<RouteShare> shares; // never empty
  Duration timeout = 30s;         // longest wait for the final response
  Duration objective = 1s;        // first event of a stream, whole response of others
  Duration maxEventGap = 300ms;   // between events of a stream
  Duration callerTimeout = 30s;   // callers leave after this time without an event
  std::uint32_t priority = 0;     // 0 is the most urgent
  std::uint32_t maxAttempts = 1;  // upstreams that may receive one request
  bool resumable = false;
  bool affinity = false; // requests state their prompt prefix
};

/// Size and load times of a model.
struct ModelProfile
{
  double footprintMb = 0;
  Duration weightStoreLoadTime = 10s; // load time from the weight store, alone
  Duration diskLoadTime = 3s;
  Duration memoryLoadTime = 1s;
  std::uint32_t adapters = 0;
  double adapterMb = 0;
};

/// Limits that all engines of a group share.
struct EngineProfile
{
  std::uint32_t concurrency = 1;        // requests in a batch
  std::uint64_t cacheTokens = 0;        // memory for prompts and generated tokens
  double memoryMb = 0;                  // for weights and adapters
  std::uint32_t adapterSlots = 0;       // adapters at one engine
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
  std::uint32_t maxConnections = 64;   // at one upstream, from all hosts together
  std::optional<EngineProfile> engine; // nothing for a plain service
};

/// Bounds for callers.
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
