#pragma once

#include <cstdint>
#include <memory>

#include "base/result.h"
#include "event/loop.h"
#include "testing/recorder.h"
#include "testing/types/platformoptions.h"

namespace savoryrill::testing {

/// Stand-in for the platform: transactional table, object store, host list and weight
/// store over HTTP and JSON (docs/design.md section 8), with switchable faults:
///
/// `POST /testbed/faults` sets those of these members that are present: `table_down`,
/// `objects_down`, `hosts_down` (answered with 503), `table_delay_ms` (before a table
/// call is carried out), `lose_write_answers` (number of transactions with writes that
/// are applied without an answer), `lose_writes_matching` (only those that write a key
/// with this prefix), `weights_slow_factor`. `POST /testbed/hosts` {"hosts": [...]}
/// replaces the host list; the change is visible after the lag.
///
/// Records: transaction, fetch_queued, fetch_started, fetch_ended, fetch_cancelled,
/// object_put, hosts_set, faults_set. Not thread safe.
class PlatformStandIn
{
public:
  /// Fails with Unavailable if the address cannot be bound and with InvalidArgument if
  /// the record file cannot be opened. Precondition: the loop outlives the result.
  static Result<std::unique_ptr<PlatformStandIn>> create(event::Loop& aLoop,
                                                         PlatformOptions aOptions);
  virtual ~PlatformStandIn() = default;

  /// The bound port.
  virtual std::uint16_t port() const = 0;

  /// What has happened.
  virtual const Recorder& recorder() const = 0;
};

} // namespace savoryrill::testing
