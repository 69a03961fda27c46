#pragma once

#include <cstdint>
#include <string_view>

#include "base/types/time.h"

namespace savoryrill::serving {

/// What the order of waiting requests depends on.
struct WaitingRequest
{
  std::uint32_t priority = 0; // of the organisation, or else of the route; 0: most urgent
  std::string_view organisation; // empty: none; its text outlives this
  double counter = 0;            // of the organisation, see `OrganisationService`
  Instant arrived{};
  Instant objective{};    // when the first event or whole response is due
  Instant callerLeaves{}; // when the caller gives up
  /// Expected time at the upstream until the first event or whole response.
  Duration timeToFirstEvent = Duration::zero();
  Duration work = Duration::zero();     // expected time for which it occupies a slot
  Duration loadsFor = Duration::zero(); // until its model is loaded; zero if it is
  double tokens = 0;                    // added to the counter when it is served
  bool promoted = false;                // its kind or organisation is served too seldom
};

} // namespace savoryrill::serving
