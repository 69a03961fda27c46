#pragma once

#include <cstdint>
#include <json/json.h>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace savoryrill::report {

/// Objectives that a report computes, in the order of its output.
enum class ObjectiveKind
{
  Availability,
  FirstToken,
  ColdStart
};

/// Good and bad events.
struct Count
{
  std::uint64_t good = 0;
  std::uint64_t bad = 0;

  double total() const { return static_cast<double>(good) + static_cast<double>(bad); }
  void add(const Count& aOther);
};

/// What one router counted for a deployment within a minute.
struct MinuteCounts
{
  std::map<ObjectiveKind, Count> objectives;
  std::map<std::string, std::uint64_t> refusals; // by reason
  std::uint64_t longestColdStartMs = 0;

  /// Sum of all counts. Counters of a process only grow, so that of two records of the
  /// same minute the one with the greater sum is the later one.
  double sum() const;
};

/// Limits of a deployment.
struct Objectives
{
  double availability = 0.999;
  std::optional<std::uint64_t> firstTokenMs;
  std::optional<std::uint64_t> coldStartMs;
};

/// Replica time of a model since the start of a controller.
struct Usage
{
  double loadedSeconds = 0;
  double idleSeconds = 0;
  std::uint64_t coldLoads = 0;
};

struct ColdLoad
{
  std::string model;
  std::string upstream;
  std::uint64_t durationMs = 0;
  std::uint64_t timeMs = 0; // since 1970

  auto operator<=>(const ColdLoad&) const = default;
};

/// Names one run of a process. Without an incarnation in its records, the operator
/// address stands in for it.
struct ProcessKey
{
  std::string process;
  std::string host;
  std::uint64_t incarnation = 0;
  std::string address; // only if there is no incarnation

  auto operator<=>(const ProcessKey&) const = default;
};

using Minute = std::int64_t; // since 1970

} // namespace savoryrill::report
