#pragma once

#include <cstdint>
#include <memory>

#include "base/result.h"
#include "event/loop.h"
#include "testing/recorder.h"
#include "testing/types/engineoptions.h"

namespace savoryrill::testing {

/// Stand-in for a model engine (docs/design.md section 8): continuous batching, streams
/// that can be resumed, orders, inventory, cache events, KV cache export and import. The
/// generated text is that of `tokens.h`.
///
/// `POST /testbed/control` sets those of these members that are present: `leaving`,
/// `step_ms`, `slow_factor`, `nonsense` (answers garbage to everything else),
/// `cut_streams_after` (tokens per connection, 0: never), `order_delay_ms` (between the
/// receipt of an order and its handling).
///
/// Records: order_received, order, load_begin, load_end, unload_begin, unload_end,
/// memory, overcommit, request_begin, request_end, request_refused, request_resume,
/// request_disconnect, request_cancel, request_export, request_import, stream_cut,
/// control_set, engine_started. Not thread safe.
class EngineStandIn
{
public:
  /// Fails with Unavailable if the address cannot be bound and with InvalidArgument if
  /// the record file cannot be opened. Precondition: the loop outlives the result.
  static Result<std::unique_ptr<EngineStandIn>> create(event::Loop& aLoop,
                                                       EngineOptions aOptions);
  virtual ~EngineStandIn() = default;

  /// The bound port.
  virtual std::uint16_t port() const = 0;

  /// What has happened.
  virtual const Recorder& recorder() const = 0;
};

} // namespace savoryrill::testing
