#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::placement {

/// Demand of one router for a model.
struct DemandItem
{
  config::ModelReference model;
  std::uint32_t waiting = 0;
  std::uint32_t inFlight = 0;
  std::optional<Instant> earliestDeadline;
  std::uint32_t priority = 0; // larger is more important
  std::uint32_t arrivals = 0; // since the router's previous report
};

/// Demand of all routers for a loadable, including its adapters.
struct MergedDemand
{
  std::uint32_t waiting = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t waitingLocally = 0;        // at routers of this data centre
  std::optional<Instant> earliestDeadline; // among the waiting requests
  std::uint32_t priority = 0;              // highest among the waiting requests
  Instant waitingSince; // start of the current period with waiting requests
  /// Waiting and running requests by adapter.
  std::map<std::string, std::uint32_t> adapters;

  bool busy() const { return waiting > 0 || inFlight > 0; }
};

/// Merges the demand of many routers. No I/O; not thread safe.
class DemandTable
{
public:
  explicit DemandTable(std::string aDataCentre);

  /// Replaces the report of a router. `aDataCentre` is the router's.
  void update(const std::string& aRouter,
              const std::string& aDataCentre,
              std::vector<DemandItem> aItems,
              Instant aNow);

  /// Removes the report of a router whose entry has expired.
  void remove(const std::string& aRouter, Instant aNow);

  /// Demand by loadable.
  const std::map<config::Loadable, MergedDemand>& merged() const { return mMerged; }

private:
  struct Report
  {
    std::string dataCentre;
    std::vector<DemandItem> items;
  };
  void merge(Instant aNow);

  std::string mDataCentre;
  std::map<std::string, Report> mReports;
  std::map<config::Loadable, MergedDemand> mMerged;
};

} // namespace savoryrill::placement
