#include "serving/organisationservice.h"

#include <algorithm>
#include <limits>

namespace savoryrill::serving {

void
OrganisationService::setWaiting(const std::set<std::string>& aOrganisations)
{
  // The floor follows those that already waited, before others join them.
  double smallest = std::numeric_limits<double>::infinity();
  for (const auto& organisation : aOrganisations) {
    if (mWaiting.contains(organisation)) {
      smallest = std::min(smallest, counter(organisation));
    }
  }
  mWaiting = aOrganisations;
  for (const auto& organisation : mWaiting) {
    mCounters[organisation] = counter(organisation);
  }
  if (smallest < std::numeric_limits<double>::infinity()) {
    raiseFloor(smallest);
  }
}

void
OrganisationService::served(const std::string& aOrganisation,
                            double aTokens,
                            std::uint32_t aPriority)
{
  const double before = counter(aOrganisation);
  mCounters[aOrganisation] = before + aTokens / weight(aPriority);
  if (mWaiting.empty()) {
    // Nobody was delayed by this request, so it is not held against its organisation.
    raiseFloor(before);
  }
}

double
OrganisationService::counter(const std::string& aOrganisation) const
{
  const auto found = mCounters.find(aOrganisation);
  return found == mCounters.end() ? mFloor : std::max(found->second, mFloor);
}

void
OrganisationService::raiseFloor(double aFloor)
{
  mFloor = std::max(mFloor, aFloor);
  std::erase_if(mCounters, [this](const auto& aItem) {
    return aItem.second <= mFloor && !mWaiting.contains(aItem.first);
  });
}

} // namespace savoryrill::serving
