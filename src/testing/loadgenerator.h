#pragma once

#include <functional>
#include <json/value.h>
#include <memory>
#include <vector>

#include "base/result.h"
#include "event/loop.h"
#include "testing/recorder.h"
#include "testing/types/loadoptions.h"

namespace savoryrill::testing {

/// Sends planned requests and checks every answer against its marker. Each request goes
/// over its own connection, so that libcurl never sends one twice.
///
/// Records: one `request` line each with plan, times (microseconds of CLOCK_BOOTTIME),
/// status, outcome, problem type, `ran` and request id. Not thread safe.
class LoadGenerator
{
public:
  /// Fails with InvalidArgument if the record file cannot be opened. Precondition: the
  /// loop outlives the result.
  static Result<std::unique_ptr<LoadGenerator>> create(event::Loop& aLoop,
                                                       std::vector<PlannedRequest> aPlan,
                                                       const LoadOptions& aOptions);
  virtual ~LoadGenerator() = default;

  /// Starts to send; `aDone` runs once on the loop when all requests have ended or the
  /// time limit has passed.
  virtual void start(std::function<void()> aDone) = 0;

  /// {"requests", "outcomes": {outcome: count}, "problems": {type: count},
  /// "first_token_ms" and "total_ms": {"p50", "p99", "max"}}; the times are those of the
  /// requests with the outcome ok.
  virtual Json::Value summary() const = 0;

  /// What has happened.
  virtual const Recorder& recorder() const = 0;
};

} // namespace savoryrill::testing
