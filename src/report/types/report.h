#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "report/types/records.h"

namespace savoryrill::report {

constexpr std::int64_t kMinutesPerHour = 60;
constexpr std::int64_t kMinutesPerDay = 24 * kMinutesPerHour;

/// Windows of burn rates, in minutes.
constexpr std::array<std::int64_t, 5> kWindows{ 5,
                                                30,
                                                kMinutesPerHour,
                                                6 * kMinutesPerHour,
                                                3 * kMinutesPerDay };
constexpr std::array<const char*, 5> kWindowNames{ "5m", "30m", "1h", "6h", "3d" };
constexpr std::size_t kLongestWindow = kWindows.size() - 1;

/// Alert states, the most urgent last.
enum class Alert
{
  None,
  Ticket, // burn rate 1 over 3 d and 6 h
  Slow,   // burn rate 6 over 6 h and 30 min
  Fast    // burn rate 14.4 over 1 h and 5 min
};

/// Name of an alert state in all outputs. Thread safe.
std::string
nameOf(Alert aAlert);

/// Name of an objective in all outputs, such as `first_token_ms`. Thread safe.
std::string
nameOf(ObjectiveKind aKind);

/// Burn rate of one bucket of the plot.
struct BurnPoint
{
  Minute endMinute = 0;
  double burn = 0;
  double requests = 0;
};

struct ObjectiveReport
{
  std::string deployment;
  ObjectiveKind kind = ObjectiveKind::Availability;
  double target = 0;                         // fraction of good requests
  std::optional<std::uint64_t> limitMs;      // of a latency objective
  std::array<Count, kWindows.size()> counts; // by window
  std::array<double, kWindows.size()> burns{};
  double budgetLeft = 1; // of the longest window; negative if overspent
  Alert alert = Alert::None;
  std::vector<BurnPoint> series;
};

struct DeploymentReport
{
  std::string name;
  std::optional<Minute> firstMinute; // of the records
  std::map<std::string, std::uint64_t> refusals;
  std::uint64_t longestColdStartMs = 0;
};

struct ModelReport
{
  std::string name;
  Usage usage;
  std::vector<std::uint64_t> loadTimesMs; // sorted
};

struct ProcessReport
{
  ProcessKey key;
  std::string dataCentre;
};

/// Distribution of the cold loads: loads that took less than `belowMs` and fitted no
/// earlier class.
struct ColdClass
{
  std::uint64_t belowMs = 0; // 0: no limit
  std::uint64_t loads = 0;
};

struct Report
{
  std::int64_t timeMs = 0; // since 1970
  std::vector<ProcessReport> processes;
  std::vector<ObjectiveReport> objectives;   // by deployment
  std::vector<DeploymentReport> deployments; // by name
  std::vector<ModelReport> models;           // most idle time first
  std::map<std::string, std::uint64_t> refusals;
  std::vector<ColdClass> coldClasses;
  std::vector<std::uint64_t> loadTimesMs; // of all models, sorted
  std::vector<std::string> findings;
  std::size_t findingsLeftOut = 0;
};

} // namespace savoryrill::report
