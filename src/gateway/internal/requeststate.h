#pragma once

#include <variant>

namespace savoryrill::gateway {

/// Without a free upstream, or its model is not loaded.
struct WaitingForUpstream
{};

/// An attempt has been sent, and no part of its response has been forwarded.
struct AwaitingResponse
{};

/// A part of the response has been forwarded.
struct Responding
{};

/// The caller has received its response or has disconnected.
struct Ended
{};

/// State of a request between its arrival and its end.
using RequestState =
  std::variant<WaitingForUpstream, AwaitingResponse, Responding, Ended>;

/// Combines functions into a visitor of `RequestState`.
template<typename... Functions>
struct StateVisitor : Functions...
{
  using Functions::operator()...;
};

} // namespace savoryrill::gateway
