#include "base/metrics.h"

// Boost 1.74's extended_p_square_quantile.hpp uses this header without including it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace savoryrill {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };

std::string
withLabel(const std::string& aSeries,
          const std::string& aSuffix,
          const std::string& aLabel)
{
  const auto brace = aSeries.find('{');
  const std::string name = aSeries.substr(0, brace) + aSuffix;
  if (brace == std::string::npos) {
    return aLabel.empty() ? name : name + "{" + aLabel + "}";
  }
  const std::string labels = aSeries.substr(brace + 1, aSeries.size() - brace - 2);
  return aLabel.empty() ? name + "{" + labels + "}"
                        : name + "{" + labels + "," + aLabel + "}";
}

} // namespace

struct Metrics::Distribution
{
  using Set = acc::accumulator_set<double,
                                   acc::stats<acc::tag::count,
                                              acc::tag::sum,
                                              acc::tag::max,
                                              acc::tag::extended_p_square_quantile>>;
  Set set{ acc::extended_p_square_probabilities = kQuantiles };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void
Metrics::add(const std::string& aSeries, std::uint64_t aAmount)
{
  mCounters[aSeries] += aAmount;
}

void
Metrics::set(const std::string& aSeries, double aValue)
{
  mGauges[aSeries] = aValue;
}

void
Metrics::observe(const std::string& aSeries, double aValue)
{
  auto& distribution = mDistributions[aSeries];
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->set(aValue);
}

std::uint64_t
Metrics::counter(const std::string& aSeries) const
{
  const auto found = mCounters.find(aSeries);
  return found == mCounters.end() ? 0 : found->second;
}

std::string
Metrics::renderPrometheus() const
{
  std::ostringstream out;
  for (const auto& [series, value] : mCounters) {
    out << series << ' ' << value << '\n';
  }
  for (const auto& [series, value] : mGauges) {
    out << series << ' ' << value << '\n';
  }
  for (const auto& [series, distribution] : mDistributions) {
    const auto& set = distribution->set;
    for (const double quantile : kQuantiles) {
      std::ostringstream label;
      label << "quantile=\"" << quantile << '"';
      out << withLabel(series, "", label.str()) << ' '
          << acc::quantile(set, acc::quantile_probability = quantile) << '\n';
    }
    out << withLabel(series, "_count", "") << ' ' << acc::count(set) << '\n';
    out << withLabel(series, "_sum", "") << ' ' << acc::sum(set) << '\n';
    out << withLabel(series, "_max", "") << ' ' << acc::max(set) << '\n';
  }
  return out.str();
}

} // namespace savoryrill
