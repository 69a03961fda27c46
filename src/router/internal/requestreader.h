#pragma once

#include <string>
#include <variant>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "http/types/message.h"
#include "router/types/callerrequest.h"
#include "routing/types/refusal.h"

namespace savoryrill::router {

using RequestOrRefusal = std::variant<CallerRequest, routing::Refusal>;

/// Validates a caller's request and converts it for dispatch; the calling code sets
/// `number` and `id`. Any invalid input, whatever its bytes, gives a refusal. Thread
/// safe.
RequestOrRefusal
readRequest(const http::Request& aRequest,
            const config::Configuration& aConfiguration,
            Instant aNow);

/// The caller's name: from its API key if callers are configured, else from
/// `X-Caller-Id`. Thread safe.
std::variant<std::string, routing::Refusal>
identifyCaller(const http::Request& aRequest,
               const config::Configuration& aConfiguration);

/// Body of `GET /v1/models`. Thread safe.
std::string
modelList(const config::Configuration& aConfiguration);

} // namespace savoryrill::router
