#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "config/types/configuration.h"
#include "http/types/message.h"

namespace savoryrill::router {

/// A request to a model engine.
struct InferenceTarget
{
  config::ModelReference model;
  bool stream = false;
  std::vector<std::uint64_t> prefixes; // hashes of the prompt's prefixes
};

/// A request that is forwarded to a plain service.
struct ServiceTarget
{
  std::string service;
};

using Target = std::variant<InferenceTarget, ServiceTarget>;

/// A validated request of a caller, ready for dispatch.
struct CallerRequest
{
  std::uint64_t number = 0; // unique within this router process
  std::string id;           // unique across processes; the caller's `X-Request-Id`
  std::string callerName;
  Target target;
  std::string method;
  std::string path; // at the upstream, encoded, with the query
  http::Headers headers;
  std::string body;
  config::Priority priority = config::Priority::Normal;
  Instant arrival;
  Instant deadline;
  bool repeatable = true;     // may be sent again after an attempt that may have run
  std::string idempotencyKey; // empty if absent
  std::string digest;         // SHA-256 of method, path and body; only with a key
};

} // namespace savoryrill::router
