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

/// Checks a caller's request and turns it into what the dispatch needs; `number` and `id`
/// are left to the caller of this function. Never fails otherwise than with a refusal,
/// whatever the bytes. Thread safe.
RequestOrRefusal
readRequest(const http::Request& aRequest,
            const config::Configuration& aConfiguration,
            Instant aNow);

/// The caller's name, from its key if callers are configured, else from `X-Caller-Id`.
/// Thread safe.
std::variant<std::string, routing::Refusal>
identifyCaller(const http::Request& aRequest,
               const config::Configuration& aConfiguration);

/// Body of `GET /v1/models`. Thread safe.
std::string
modelList(const config::Configuration& aConfiguration);

} // namespace savoryrill::router
