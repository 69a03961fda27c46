#include "routing/types/refusal.h"

#include <json/json.h>

namespace savoryrill::routing {

RefusalTraits
traitsOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::MalformedRequest:
      return { 400, "The request is malformed", 0s };
    case RefusalReason::MalformedHeader:
      return { 400, "A request header is malformed", 0s };
    case RefusalReason::UnsupportedContentType:
      return { 415, "The content type is not supported", 0s };
    case RefusalReason::NotAuthenticated:
      return { 401, "The caller's key is missing or unknown", 0s };
    case RefusalReason::UnknownPath:
      return { 404, "There is no such path", 0s };
    case RefusalReason::MethodNotAllowed:
      return { 405, "The method is not allowed here", 0s };
    case RefusalReason::UnknownModel:
      return { 404, "The model is not configured", 0s };
    case RefusalReason::UnknownService:
      return { 404, "The service is not configured", 0s };
    case RefusalReason::NotReady:
      return { 503, "This router has no configuration yet", 2s };
    case RefusalReason::ShuttingDown:
      return { 503, "This router is shutting down", 1s };
    case RefusalReason::QueueFull:
      return { 429, "The queue is full", 2s };
    case RefusalReason::Shed:
      return { 429, "A request of higher priority took the place", 2s };
    case RefusalReason::DeadlineUnreachable:
      return { 503, "The deadline cannot be met", 2s };
    case RefusalReason::DeadlineExceeded:
      return { 504, "The deadline has passed", 1s };
    case RefusalReason::UpstreamUnreachable:
      return { 503, "No upstream could be reached", 1s };
    case RefusalReason::UpstreamFailed:
      return { 502, "The upstream failed", 1s };
    case RefusalReason::InvalidUpstreamResponse:
      return { 502, "The upstream's answer makes no sense", 1s };
    case RefusalReason::StreamCut:
      return { 502, "The stream was cut and could not be resumed", 1s };
    case RefusalReason::RetryBudgetExhausted:
      return { 503, "Too many retries are in progress", 2s };
    case RefusalReason::PlatformUnavailable:
      return { 503, "The claim could not be recorded", 2s };
    case RefusalReason::RequestInProgress:
      return { 409, "A request with this key is in progress", 1s };
    case RefusalReason::IdempotencyKeyReused:
      return { 422, "The key was used for a different request", 0s };
    case RefusalReason::OutcomeUnknown:
      return { 504, "The outcome of the request is unknown", 0s };
    case RefusalReason::OutcomeUnavailable:
      return { 503, "The recorded outcome cannot be read now", 2s };
  }
  return { 500, "Unexpected refusal", 0s };
}

std::string
problemType(RefusalReason aReason)
{
  return "urn:savoryrill:problem:" + std::string(nameOf(aReason));
}

std::string
problemJson(const Refusal& aRefusal, std::string_view aRequestId)
{
  const RefusalTraits traits = traitsOf(aRefusal.reason);
  Json::Value body(Json::objectValue);
  body["type"] = problemType(aRefusal.reason);
  body["title"] = std::string(traits.title);
  body["status"] = traits.status;
  body["detail"] = aRefusal.detail;
  body["ran"] = std::string(nameOf(aRefusal.ran));
  body["request_id"] = std::string(aRequestId);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, body);
}

std::optional<std::int64_t>
retryAfterSeconds(const Refusal& aRefusal)
{
  const Duration wait =
    aRefusal.retryAfter.value_or(Duration(traitsOf(aRefusal.reason).retryAfter));
  if (wait <= Duration::zero()) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::seconds>(wait).count();
}

} // namespace savoryrill::routing
