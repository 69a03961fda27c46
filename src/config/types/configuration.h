#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::config {

enum class PoolKind
{
  Engine,
  Service
};

enum class Priority
{
  Low,
  Normal,
  High
};

/// What the quota of an organisation counts.
enum class QuotaUnit
{
  Requests,
  Tokens // of the prompt, plus the maximum number to generate
};

/// Keeps an idle replica for a fixed time.
struct FixedKeepAlive
{
  Duration idle = 600s;
};

/// Keeps an idle replica until a quantile of the model's observed idle times, between
/// bounds.
struct HistogramKeepAlive
{
  Duration minimum = 60s;
  Duration maximum = 1800s;
};

/// A time of day, in UTC, before which a model is loaded ahead of its first request.
struct PrewarmTime
{
  std::uint32_t minuteOfDay = 0;
  Duration lead = 60s;
};

using KeepAlive = std::variant<FixedKeepAlive, HistogramKeepAlive>;

struct Objectives
{
  double availability = 0.999; // fraction of requests answered
  Duration firstToken = 380ms; // for 95 in 100 requests at a loaded replica
  Duration coldStart = 15s;    // for 95 in 100 requests that waited for a load
};

struct Adapter
{
  std::uint32_t sizeMb = 0;
};

struct Deployment
{
  std::string pool;
  std::uint32_t maxReplicas = 1;     // of one version, over all data centres
  std::uint32_t footprintMb = 0;     // weights and KV cache headroom
  Duration loadTime = 10s;           // expected, from the remote store at full speed
  std::vector<std::string> versions; // the last one is the default
  std::map<std::string, Adapter> adapters;
  Priority priority = Priority::Normal;
  Duration deadline = 30s;
  std::uint32_t maxQueue = 64;           // waiting requests per router
  std::uint64_t maxQueueBytes = 1 << 20; // their bodies, per router
  double coldStartWeight = 0.5; // 1: only cold-start time matters, 0: only idle hours
  KeepAlive keepAlive;
  std::vector<PrewarmTime> prewarm;
  Objectives objectives;
};

struct Service
{
  std::string pool;
  std::string path; // prefix at the upstream
  std::vector<std::string> methods;
  bool repeatable = false;
  Duration deadline = 10s;
  std::uint32_t maxQueue = 64; // requests in progress per router
};

struct Upstream
{
  std::string pool;
  std::string dataCentre;
  std::string address; // numeric address and port
  std::uint32_t memoryMb = 0;
  std::uint32_t adapterMemoryMb = 0; // set aside for adapters, part of memoryMb
  bool checksFencing = false;
  std::uint32_t maxConcurrency = 16;
};

struct WeightStore
{
  double loadsPerSecond = 4;
  std::uint32_t fullSpeedLoads = 4;
  std::uint32_t adaptersInFlight = 32;
};

/// A caller, told apart by the hash of its key. Without callers, every caller is accepted
/// and names itself with `X-Caller-Id`.
struct Caller
{
  std::string keySha256; // lower-case hexadecimal
};

/// Callers that share keys, a priority and a quota, for the gateway.
struct Organisation
{
  std::vector<std::string> keysSha256; // lower-case hexadecimal
  std::optional<Priority> priority;    // used instead of that of the deployment
  QuotaUnit unit = QuotaUnit::Requests;
  double ratePerSecond = 0; // 0: no limit
  double burst = 0;
  double defaultTokens = 0; // of a request that states no number of tokens
};

/// The configuration in force at one site: the base with that site's overlay applied.
struct Configuration
{
  std::uint64_t version = 0; // of the commit, 0 if never committed
  std::string changeId;
  std::string site; // data centre whose overlay was applied
  std::string region;
  std::vector<std::string> dataCentres;
  WeightStore weightStore;
  std::map<std::string, PoolKind> pools;
  std::map<std::string, Upstream> upstreams;
  std::map<std::string, Deployment> deployments;
  std::map<std::string, Service> services;
  std::map<std::string, Caller> callers;
  std::map<std::string, Organisation> organisations;
};

/// A deployment in one version, the unit of placement and loading.
struct Loadable
{
  std::string deployment;
  std::string version;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Loadable&) const = default;
};

/// What a caller's `model` names: a loadable and maybe one of its adapters.
struct ModelReference
{
  Loadable loadable;
  std::string adapter; // empty: none
  auto operator<=>(const ModelReference&) const = default;
};

/// `deployment@version`, the form of table row keys. Thread safe.
std::string
toString(const Loadable& aLoadable);

/// `deployment@version` or `deployment@version+adapter`. Thread safe.
std::string
toString(const ModelReference& aReference);

/// Reads `deployment[@version][+adapter]` and checks that the configuration has it;
/// without a version the last listed one is taken. Nothing if it is unknown. Thread safe.
std::optional<ModelReference>
findModel(const Configuration& aConfiguration, std::string_view aName);

} // namespace savoryrill::config

namespace savoryrill {

template<>
struct EnumNames<config::PoolKind>
{
  static constexpr EnumTable<config::PoolKind, 2> kTable{ {
    { config::PoolKind::Engine, "engine" },
    { config::PoolKind::Service, "service" },
  } };
};

template<>
struct EnumNames<config::QuotaUnit>
{
  static constexpr EnumTable<config::QuotaUnit, 2> kTable{ {
    { config::QuotaUnit::Requests, "requests" },
    { config::QuotaUnit::Tokens, "tokens" },
  } };
};

template<>
struct EnumNames<config::Priority>
{
  static constexpr EnumTable<config::Priority, 3> kTable{ {
    { config::Priority::Low, "low" },
    { config::Priority::Normal, "normal" },
    { config::Priority::High, "high" },
  } };
};

} // namespace savoryrill
