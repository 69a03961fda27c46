#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace savoryrill::serving {

// Fairness among organisations. It handles this load pattern: capacity is scarce, and one
// organisation sends several times its usual amount within its quota. In order of arrival
// its requests fill the queue, and callers of other organisations leave before their
// turn.

/// Virtual token counters: the tokens served to each organisation at this host, divided
/// by its weight. The waiting organisation with the smallest counter is served next. An
/// organisation gains no credit for the time in which it had nothing to send. Not thread
/// safe.
class OrganisationService
{
public:
  /// States which organisations have requests that wait. The counter of one that begins
  /// to wait is raised to the smallest counter of those that already wait, or to that of
  /// the organisation served last if none does.
  void setWaiting(const std::set<std::string>& aOrganisations);
  /// A request of `aTokens` was sent to an upstream, whether it waited or not.
  void served(const std::string& aOrganisation, double aTokens, std::uint32_t aPriority);
  /// Counter that a request of the organisation is ordered by.
  double counter(const std::string& aOrganisation) const;

  /// Part of the capacity that an organisation is entitled to, relative to priority 0.
  static double weight(std::uint32_t aPriority) { return 1.0 / (1.0 + aPriority); }
  /// Organisations whose counters differ from that of one that begins to wait.
  std::size_t size() const { return mCounters.size(); }

private:
  void raiseFloor(double aFloor);

  std::map<std::string, double> mCounters; // only those above the floor, or that wait
  std::set<std::string> mWaiting;
  double mFloor = 0; // counter of an organisation that begins to wait
};

} // namespace savoryrill::serving
