#include "router/internal/demandcollector.h"

#include <algorithm>

namespace savoryrill::router {

void
DemandCollector::retainUntil(const config::ModelReference& aModel, Instant aUntil)
{
  auto& until = mRetained[aModel];
  until = std::max(until, aUntil);
}

void
DemandCollector::startCount(Instant aNow)
{
  mNow = aNow;
  mItems.clear();
  std::erase_if(mRetained, [&](const auto& aItem) { return aItem.second <= aNow; });
  for (const auto& [model, until] : mRetained) {
    mItems[model].waiting = 1;
    mItems[model].earliestDeadline = until;
  }
  for (const auto& [model, count] : mArrivals) {
    mItems.try_emplace(model);
  }
}

void
DemandCollector::addWaiting(const config::ModelReference& aModel,
                            Instant aDeadline,
                            config::Priority aPriority)
{
  auto& item = mItems[aModel];
  ++item.waiting;
  item.earliestDeadline = std::min(item.earliestDeadline, aDeadline);
  item.priority = std::max(item.priority, aPriority);
}

void
DemandCollector::addInFlight(const config::ModelReference& aModel)
{
  ++mItems[aModel].inFlight;
}

peer::DemandContent
DemandCollector::takeContent()
{
  peer::DemandContent content;
  for (const auto& [model, item] : mItems) {
    auto& entry = *content.add_items();
    entry.set_deployment(model.loadable.deployment);
    entry.set_version(model.loadable.version);
    entry.set_adapter(model.adapter);
    entry.set_waiting(item.waiting);
    entry.set_in_flight(item.inFlight);
    entry.set_priority(static_cast<std::uint32_t>(item.priority));
    if (item.waiting > 0) {
      const auto left = std::max(Duration::zero(), item.earliestDeadline - mNow);
      entry.set_earliest_deadline_ms(static_cast<std::uint32_t>(toMs(left)));
    }
    const auto arrivals = mArrivals.find(model);
    entry.set_arrivals(arrivals == mArrivals.end() ? 0 : arrivals->second);
  }
  mArrivals.clear();
  return content;
}

} // namespace savoryrill::router
