#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include "base/types/time.h"
#include "config/types/configuration.h"

namespace savoryrill::placement {

/// A load from the weight store: upstream and loadable.
using WeightStoreLoad = std::pair<std::string, config::Loadable>;

/// One controller's use of the weight store, which is shared by all data centres. While
/// controllers of other data centres can be seen, the places and the start rate are used
/// in common, from the loads in flight that they publish. A cut-off data centre uses a
/// fixed share. Views lag by a few milliseconds, so that the limits can be passed by a
/// few loads; that costs speed, not safety. No I/O; not thread safe.
class WeightStoreLimiter
{
public:
  explicit WeightStoreLimiter(std::size_t aDataCentres);

  void setLimits(const config::WeightStore& aLimits, std::size_t aDataCentres);

  /// The loads from the store that are in flight now: own ones and those that other
  /// controllers in view publish. `aIsolated`: no other data centre is in view;
  /// `aControllers`: live controllers in view, the own one included.
  void observe(std::set<WeightStoreLoad> aInFlight,
               bool aIsolated,
               std::size_t aControllers,
               Instant aNow);

  /// True if one more load may start.
  bool mayStart(Instant aNow) const;

  /// Counts a load that this controller starts.
  void started(const WeightStoreLoad& aLoad, Instant aNow);

  /// Loads that may be in flight in view.
  std::uint32_t maxLoads() const;

  /// Adapter loads that this controller may have in flight. They are too short for
  /// others' loads to be taken into account, so that each controller has a fixed share.
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
