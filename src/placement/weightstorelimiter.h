#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::placement {

/// A load from the weight store, by upstream and loadable.
using WeightStoreLoad = std::pair<std::string, config::Loadable>;

/// Limits one controller's loads from the weight store, which all data centres share.
/// While controllers of other data centres are visible, the limits on loads in flight and
/// on the start rate apply to all loads together, counted from the loads that the
/// controllers publish. An isolated data centre uses a fixed share. Published loads
/// arrive with a delay of a few milliseconds, so that the limits can be exceeded by a few
/// loads; this costs speed, not safety. No I/O; not thread safe.
class WeightStoreLimiter
{
public:
  explicit WeightStoreLimiter(std::size_t aDataCentres);

  void setLimits(const config::WeightStore& aLimits, std::size_t aDataCentres);

  /// Takes the loads from the weight store that are in flight now: own ones and those
  /// that other visible controllers publish. `aIsolated`: no other data centre is
  /// visible; `aControllers`: number of visible live controllers, including this one.
  void observe(std::set<WeightStoreLoad> aInFlight,
               bool aIsolated,
               std::size_t aControllers,
               Instant aNow);

  /// True if one more load may start.
  bool mayStart(Instant aNow) const;

  /// Counts a load that this controller starts.
  void started(const WeightStoreLoad& aLoad, Instant aNow);

  /// Maximum number of loads in flight, over all visible controllers.
  std::uint32_t maxLoads() const;

  /// Maximum number of adapter loads that this controller may have in flight. Adapter
  /// loads are too short to be coordinated through published loads, so each controller
  /// has an equal share of the limit.
  std::uint32_t maxAdapterLoads() const;

  std::size_t inFlight() const { return mInFlight.size(); }

private:
  double startRate() const;

  config::WeightStore mLimits;
  std::size_t mDataCentres;
  std::size_t mControllers = 1;
  bool mIsolated = false;
  std::set<WeightStoreLoad> mInFlight;
  std::deque<Instant> mStarts;
};

} // namespace savoryrill::placement
