#include "router/internal/attemptresult.h"

#include <algorithm>
#include <array>

#include "base/jsontext.h"

namespace savoryrill::router {

namespace {

using routing::AttemptVerdict;
using routing::RefusalReason;

struct NotRunCode
{
  int status;
  std::string_view code;
  NotRunCause cause;
};

/// Problem codes with which an upstream reports that it did not run a request. They count
/// only with the given status.
constexpr std::array<NotRunCode, 5> kNotRunCodes{ {
  { 409, "model_not_loaded", NotRunCause::ModelNotLoaded },
  { 409, "adapter_not_loaded", NotRunCause::AdapterNotLoaded },
  { 503, "leaving", NotRunCause::Leaving },
  { 503, "overloaded", NotRunCause::Other },
  { 503, "not_run", NotRunCause::Other },
} };

/// The problem code in an upstream's response: the member `code`, or the last segment of
/// `type`.
std::string
codeOf(const Json::Value& aProblem)
{
  if (const auto code = stringMember(aProblem, "code")) {
    return *code;
  }
  const std::string type = stringMember(aProblem, "type").value_or("");
  return type.substr(type.find_last_of(":/") + 1);
}

NotRunCause
causeOf(const http::Response& aResponse)
{
  if (aResponse.status < 400) {
    return NotRunCause::None;
  }
  const auto problem = parseJson(aResponse.body);
  if (!problem || !problem.value().isObject()) {
    return NotRunCause::None;
  }
  const std::string code = codeOf(problem.value());
  for (const auto& known : kNotRunCodes) {
    if (aResponse.status == known.status && code == known.code) {
      return known.cause;
    }
  }
  const bool reports_not_run = stringMember(problem.value(), "ran") == "no";
  return reports_not_run && aResponse.status >= 500 ? NotRunCause::Other
                                                    : NotRunCause::None;
}

AttemptResult
resultOfError(const Error& aError, bool aSent)
{
  AttemptResult result;
  result.detail = aError.message;
  result.verdict = AttemptVerdict::Failed;
  if (!aSent) {
    result.outcome = AttemptOutcome::NotRun;
    result.cause = NotRunCause::NotSent;
    result.reason = RefusalReason::UpstreamUnreachable;
  } else if (aError.code == ErrorCode::LimitExceeded ||
             aError.code == ErrorCode::Malformed) {
    result.reason = RefusalReason::InvalidUpstreamResponse;
  }
  return result;
}

AttemptResult
failedWith(RefusalReason aReason, std::string aDetail)
{
  AttemptResult result;
  result.reason = aReason;
  result.detail = std::move(aDetail);
  result.verdict = AttemptVerdict::Failed;
  return result;
}

} // namespace

AttemptResult
evaluateAttempt(const http::ClientOutcome& aOutcome, bool aEngine)
{
  if (!aOutcome.response) {
    return resultOfError(aOutcome.response.error(), aOutcome.requestSent);
  }
  const auto& response = aOutcome.response.value();
  const std::string status = std::to_string(response.status);
  AttemptResult result;
  result.cause = causeOf(response);
  if (result.cause != NotRunCause::None) {
    result.outcome = AttemptOutcome::NotRun;
    result.reason = RefusalReason::UpstreamUnreachable;
    result.detail = "the upstream did not run the request, status " + status;
    return result;
  }
  if (aEngine && response.status >= 500) {
    return failedWith(RefusalReason::UpstreamFailed, "the engine answered " + status);
  }
  if (aEngine) {
    const auto body = parseJson(response.body);
    if (!body || !body.value().isObject()) {
      return failedWith(RefusalReason::InvalidUpstreamResponse,
                        "the engine's answer is not a JSON object, status " + status);
    }
    const Json::Value& choices = memberOf(body.value(), "choices");
    if (response.status == 200 && (!choices.isArray() || choices.empty())) {
      return failedWith(RefusalReason::InvalidUpstreamResponse,
                        "the engine's answer has no choices");
    }
    if (response.status < 200 || (response.status >= 300 && response.status < 400)) {
      return failedWith(RefusalReason::InvalidUpstreamResponse,
                        "the engine answered " + status);
    }
  }
  result.outcome = AttemptOutcome::Answered;
  return result;
}

} // namespace savoryrill::router
