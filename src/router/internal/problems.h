#pragma once

#include <string>

#include "http/types/message.h"
#include "routing/types/refusal.h"

namespace savoryrill::router {

/// The HTTP response of a refusal: problem JSON with `X-Request-Id` and, if the refusal
/// has one, `Retry-After`. Thread safe.
http::Response
problemResponse(const routing::Refusal& aRefusal, const std::string& aRequestId);

/// The server-sent event that ends a stream with a refusal. Thread safe.
std::string
errorEvent(const routing::Refusal& aRefusal, const std::string& aRequestId);

/// True for headers that apply to a single connection or that each hop sets itself.
/// Thread safe.
bool
isHopByHop(std::string_view aName);

/// `aHeaders` without the hop-by-hop headers, including those that the `Connection`
/// header names. Thread safe.
http::Headers
endToEndHeaders(const http::Headers& aHeaders);

} // namespace savoryrill::router
