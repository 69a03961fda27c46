#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"

namespace savoryrill::serving {

// Order in which models with waiting requests and no replica are loaded. It handles this
// load pattern: requests for more models than the engines can load in time, as in a burst
// or after seconds without a leader. Each load that serves a late caller then makes
// another caller late.

/// A model with waiting requests and no replica.
struct WaitingModel
{
  std::string model;
  std::uint32_t waiting = 0;
  bool hasCopy = false;                   // some engine has a checkpoint copy
  Duration loadTime = Duration::zero();   // expected
  std::optional<Instant> latestObjective; // of the waiting requests
  std::optional<Instant> firstLeaves;     // when the first of their callers gives up
};

/// Sorts by the order in which the models should be loaded:
///
/// 1. models that some engine has a copy of, since they load quickly;
/// 2. among these, models whose first caller gives up soon although no objective can be
///    met any more, which bounds the wait of late callers; then models that can still
///    meet an objective, with the most waiting requests first; then the others.
///
/// Thread safe.
void
sortByPlacementOrder(std::vector<WaitingModel>& aModels, Instant aNow);

} // namespace savoryrill::serving
