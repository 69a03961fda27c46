#pragma once

#include <cstdint>
#include <memory>

#include "base/result.h"
#include "base/types/time.h"
#include "event/loop.h"
#include "testing/recorder.h"
#include "testing/types/listenoptions.h"

namespace savoryrill::testing {

struct ServiceOptions
{
  ListenOptions listen;
  Duration delay = Duration::zero(); // between the begin and the end of a call
};

/// Stand-in for a plain service whose calls may not be repeated. It runs a call for any
/// method and path and counts how often each booking ran; the booking is named by the
/// header `X-Booking-Id` or the body member `booking`. Answers {"booking", "number"}, in
/// which `number` counts the runs of this booking (of all calls without a booking).
///
/// `POST /testbed/faults` sets those of these members that are present: `lose_answers`
/// (number of calls that run and whose connection is then closed), `fail_before` (number
/// of calls that are refused with 503 before they run), `delay_ms`.
///
/// Records: call_begin, call_end, call_refused, faults_set. Not thread safe.
class ServiceStandIn
{
public:
  /// Fails with Unavailable if the address cannot be bound and with InvalidArgument if
  /// the record file cannot be opened. Precondition: the loop outlives the result.
  static Result<std::unique_ptr<ServiceStandIn>> create(event::Loop& aLoop,
                                                        ServiceOptions aOptions);
  virtual ~ServiceStandIn() = default;

  /// The bound port.
  virtual std::uint16_t port() const = 0;

  /// What has happened.
  virtual const Recorder& recorder() const = 0;
};

} // namespace savoryrill::testing
