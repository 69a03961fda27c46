#pragma once

#include <memory>
#include <variant>

#include "gateway/iquotas.h"

namespace savoryrill::gateway {

/// Without a free upstream, or its model is not loaded.
struct WaitingForUpstream
{};

/// The quota of its organisation has not been granted yet.
struct AwaitingQuota
{
  std::unique_ptr<IQuotas::Pending> pending; // null while the quota is being asked for
};

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
  std::variant<WaitingForUpstream, AwaitingQuota, AwaitingResponse, Responding, Ended>;

/// Combines functions into a visitor of `RequestState`.
template<typename... Functions>
struct StateVisitor : Functions...
{
  using Functions::operator()...;
};
template<typename... Functions>
StateVisitor(Functions...) -> StateVisitor<Functions...>;

} // namespace savoryrill::gateway
