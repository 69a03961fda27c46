#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "testing/types/loadoptions.h"

namespace savoryrill::testing {

/// Plans requests from options: Poisson arrivals and bursts, the same for the same seed,
/// sorted by time and at most `maxRequests`. Fails with InvalidArgument without targets,
/// or without models and services. Thread safe.
Result<std::vector<PlannedRequest>>
planRequests(const LoadOptions& aOptions);

/// Plans the requests of a trace: {"arrivals": [{"at_ms", and either "count" and
/// "spread_ms" (a burst) or "rate" and "duration_ms" (Poisson), "kind": "completion" |
/// "chat" | "service", "model", "service", "stream", "key" (true: with an idempotency
/// key), "duplicate", "priority", "caller", "max_tokens", "prompt_bytes",
/// "prefix_group", "deadline_ms"}]}. Targets, seed and limits come from the options.
/// Fails with Malformed or InvalidArgument. Thread safe.
Result<std::vector<PlannedRequest>>
planTrace(std::string_view aTrace, const LoadOptions& aOptions);

/// The prompt of a request, which carries its marker. Thread safe.
std::string
promptOf(const PlannedRequest& aRequest);

} // namespace savoryrill::testing
