#pragma once

#include <optional>

#include "base/types/time.h"
#include "serving/types/requestdetails.h"

namespace savoryrill::gateway {

/// What decides whether a request without a free upstream may wait for one.
struct WaitingOutlook
{
  bool engine = false;             // the request is for a model
  bool mayConnect = true;          // it has connection attempts left
  Duration remainingTime{};        // until its caller leaves
  Duration totalTime{};            // for which its caller waits in all
  std::optional<Duration> readyIn; // until its model is ready; nullopt if unknown
  Duration takenIn{};              // until an upstream takes a request from this host
  bool leaderUnavailable = false;
};

struct WaitingRefusal
{
  serving::RefusalReason reason = serving::RefusalReason::NoUpstream;
  std::optional<Duration> retryAfter; // if not the time until the model is ready
};

/// Decides whether a request may wait: nullopt, or the reason to refuse it because it
/// cannot be served in time. Thread safe.
std::optional<WaitingRefusal>
refusalOfWaiting(const WaitingOutlook& aOutlook);

/// Minimum time that an attempt needs at an upstream.
inline constexpr Duration kMinServiceTime = 20ms;

} // namespace savoryrill::gateway
