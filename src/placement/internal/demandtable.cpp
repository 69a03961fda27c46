#include "placement/demandtable.h"

#include <algorithm>
#include <utility>

namespace savoryrill::placement {

DemandTable::DemandTable(std::string aDataCentre)
  : mDataCentre(std::move(aDataCentre))
{
}

void
DemandTable::update(const std::string& aRouter,
                    const std::string& aDataCentre,
                    std::vector<DemandItem> aItems,
                    Instant aNow)
{
  mReports[aRouter] = { aDataCentre, std::move(aItems) };
  merge(aNow);
}

void
DemandTable::remove(const std::string& aRouter, Instant aNow)
{
  if (mReports.erase(aRouter) > 0) {
    merge(aNow);
  }
}

void
DemandTable::merge(Instant aNow)
{
  std::map<config::Loadable, MergedDemand> merged;
  for (const auto& [router, report] : mReports) {
    for (const auto& item : report.items) {
      auto& demand = merged[item.model.loadable];
      demand.waiting += item.waiting;
      demand.inFlight += item.inFlight;
      if (report.dataCentre == mDataCentre) {
        demand.waitingLocally += item.waiting;
      }
      if (item.waiting > 0) {
        demand.priority = std::max(demand.priority, item.priority);
        if (item.earliestDeadline) {
          demand.earliestDeadline =
            std::min(demand.earliestDeadline.value_or(*item.earliestDeadline),
                     *item.earliestDeadline);
        }
      }
      if (!item.model.adapter.empty() && item.waiting + item.inFlight > 0) {
        demand.adapters[item.model.adapter] += item.waiting + item.inFlight;
      }
    }
  }
  for (auto& [loadable, demand] : merged) {
    const auto known = mMerged.find(loadable);
    const bool was_waiting = known != mMerged.end() && known->second.waiting > 0;
    demand.waitingSince = was_waiting ? known->second.waitingSince : aNow;
  }
  mMerged = std::move(merged);
}

} // namespace savoryrill::placement
