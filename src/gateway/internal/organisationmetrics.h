#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "base/metrics.h"
#include "serving/types/requestdetails.h"

namespace savoryrill::gateway {

/// Metrics of the requests of each organisation. Load pattern: an operator replaces
/// organisations again and again; those above a bound share the series of `other`. Not
/// thread safe.
class OrganisationMetrics
{
public:
  explicit OrganisationMetrics(Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  /// A request is served or waits for an upstream: its key and quota permit it.
  void recordAdmitted(const std::string& aOrganisation, double aTokens);
  /// A request ended with an error from this host.
  void recordRefused(const std::string& aOrganisation, serving::RefusalReason aReason);

private:
  // The largest number of organisations that one configuration is expected to name.
  static constexpr std::size_t kMaxOrganisations = 1000;

  /// The label of an organisation, for the name of a series.
  std::string labelOf(const std::string& aOrganisation);

  Metrics& mMetrics;
  std::set<std::string> mOrganisations;
};

} // namespace savoryrill::gateway
