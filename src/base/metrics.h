#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace savoryrill {

/// Counters, gauges and distributions of one process, rendered as Prometheus text. A
/// series is named `name` or `name{label="value"}`; the part before the brace is the
/// name of the metric. Distributions use Boost.Accumulators and export count, sum,
/// maximum and estimates of the quantiles 0.5, 0.95 and 0.99. Not thread safe: used by
/// one loop.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds `aAmount` to a counter, which starts at 0.
  void add(const std::string& aSeries, std::uint64_t aAmount = 1);

  /// Sets a gauge.
  void set(const std::string& aSeries, double aValue);

  /// Adds a sample to a distribution, in the unit that the name of the series states.
  void observe(const std::string& aSeries, double aValue);

  /// Value of a counter; 0 if the series does not exist.
  std::uint64_t counter(const std::string& aSeries) const;

  /// Renders all series in the Prometheus text format: counters, then gauges, then
  /// distributions, each sorted by name.
  std::string renderPrometheus() const;

private:
  struct Distribution;
  std::map<std::string, std::uint64_t> mCounters;
  std::map<std::string, double> mGauges;
  std::map<std::string, std::unique_ptr<Distribution>> mDistributions;
};

} // namespace savoryrill
