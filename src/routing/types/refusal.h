#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::routing {

/// Why a request is refused. The names are the last part of the stable problem type
/// `urn:savoryrill:problem:<name>`.
enum class RefusalReason
{
  MalformedRequest,
  MalformedHeader,
  UnsupportedContentType,
  NotAuthenticated,
  UnknownPath,
  MethodNotAllowed,
  UnknownModel,
  UnknownService,
  NotReady,
  ShuttingDown,
  QueueFull,
  Shed,
  DeadlineUnreachable,
  DeadlineExceeded,
  UpstreamUnreachable,
  UpstreamFailed,
  InvalidUpstreamResponse,
  StreamCut,
  RetryBudgetExhausted,
  PlatformUnavailable,
  RequestInProgress,
  IdempotencyKeyReused,
  OutcomeUnknown,
  OutcomeUnavailable
};

/// Whether an upstream may have executed the refused request: no, or unknown. Sent as
/// `ran` in the problem.
enum class Ran
{
  No,
  Unknown
};

/// How a refusal with this reason is presented to the caller.
struct RefusalTraits
{
  int status = 500;
  std::string_view title;
  /// Default of `Retry-After`; zero if sending the request again does not help.
  std::chrono::seconds retryAfter{ 0 };
};

/// The refusal of a request, as the caller receives it.
struct Refusal
{
  RefusalReason reason = RefusalReason::MalformedRequest;
  std::string detail;
  Ran ran = Ran::No;
  std::optional<Duration> retryAfter; // overrides the default of the reason
};

/// Returns the HTTP status, title and default of `Retry-After` of a reason. Thread safe.
RefusalTraits
traitsOf(RefusalReason aReason);

/// Returns `urn:savoryrill:problem:<name>`. Thread safe.
std::string
problemType(RefusalReason aReason);

/// Returns the body of a refusal as RFC 9457 problem details with the additional members
/// `ran` and `request_id`. Thread safe.
std::string
problemJson(const Refusal& aRefusal, std::string_view aRequestId);

/// Returns the value of `Retry-After` in whole seconds, rounded up, or nothing if the
/// header is to be left out. Thread safe.
std::optional<std::int64_t>
retryAfterSeconds(const Refusal& aRefusal);

} // namespace savoryrill::routing

namespace savoryrill {

template<>
struct EnumNames<routing::RefusalReason>
{
  using Reason = routing::RefusalReason;
  static constexpr EnumTable<Reason, 24> kTable{ {
    { Reason::MalformedRequest, "malformed-request" },
    { Reason::MalformedHeader, "malformed-header" },
    { Reason::UnsupportedContentType, "unsupported-content-type" },
    { Reason::NotAuthenticated, "not-authenticated" },
    { Reason::UnknownPath, "unknown-path" },
    { Reason::MethodNotAllowed, "method-not-allowed" },
    { Reason::UnknownModel, "unknown-model" },
    { Reason::UnknownService, "unknown-service" },
    { Reason::NotReady, "not-ready" },
    { Reason::ShuttingDown, "shutting-down" },
    { Reason::QueueFull, "queue-full" },
    { Reason::Shed, "shed" },
    { Reason::DeadlineUnreachable, "deadline-unreachable" },
    { Reason::DeadlineExceeded, "deadline-exceeded" },
    { Reason::UpstreamUnreachable, "upstream-unreachable" },
    { Reason::UpstreamFailed, "upstream-failed" },
    { Reason::InvalidUpstreamResponse, "upstream-nonsense" },
    { Reason::StreamCut, "stream-cut" },
    { Reason::RetryBudgetExhausted, "retry-budget-exhausted" },
    { Reason::PlatformUnavailable, "platform-unavailable" },
    { Reason::RequestInProgress, "request-in-progress" },
    { Reason::IdempotencyKeyReused, "idempotency-key-reused" },
    { Reason::OutcomeUnknown, "outcome-unknown" },
    { Reason::OutcomeUnavailable, "outcome-unavailable" },
  } };
};

template<>
struct EnumNames<routing::Ran>
{
  static constexpr EnumTable<routing::Ran, 2> kTable{ {
    { routing::Ran::No, "no" },
    { routing::Ran::Unknown, "unknown" },
  } };
};

} // namespace savoryrill
