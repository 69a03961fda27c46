#include "gateway/internal/refusal.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace savoryrill::gateway {

using serving::RefusalReason;

namespace {

// Retry-After if the time until the request can run is unknown.
constexpr Duration kDefaultRetryAfter = 500ms;
constexpr Duration kMinRetryAfter = 50ms;
// Without a leader: outages of the store last seconds, and callers retry only once or
// twice, within a third of the time limit of a request.
constexpr Duration kNoLeaderRetryAfter = 2s;
// A host without a confirmation reads the store about once a second.
constexpr Duration kUnconfirmedRetryAfter = 1s;
// Retry-After is sent in hundredths of a second. Rounding down would bring callers back
// just before there is room.
constexpr Duration kRetryAfterUnit = 10ms;

Duration
defaultRetryAfter(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoLeader:
      return kNoLeaderRetryAfter;
    case RefusalReason::Unconfirmed:
      return kUnconfirmedRetryAfter;
    default:
      return kDefaultRetryAfter;
  }
}

} // namespace

Refusal
refusalFor(RefusalReason aReason, bool aMayHaveRun, std::optional<Duration> aReadyIn)
{
  Refusal refusal;
  refusal.reason = aReason;
  refusal.mayHaveRun = aMayHaveRun;
  switch (aReason) {
    case RefusalReason::BadRequest:
      refusal.status = 400;
      return refusal;
    case RefusalReason::NoRoute:
      refusal.status = 404;
      return refusal;
    case RefusalReason::MissingKey:
    case RefusalReason::UnknownKey:
      refusal.status = aMayHaveRun ? 502 : 401;
      return refusal;
    case RefusalReason::QuotaExceeded:
      refusal.status = aMayHaveRun ? 502 : 429;
      break;
    case RefusalReason::OutcomeUnknown:
    case RefusalReason::UpstreamFailed:
      refusal.status = aMayHaveRun ? 502 : 503;
      break;
    case RefusalReason::DeadlinePassed:
      refusal.status = aMayHaveRun ? 504 : 503;
      break;
    default:
      refusal.status = aMayHaveRun ? 502 : 503;
      break;
  }
  if (!aMayHaveRun) {
    const Duration ready_in = aReadyIn.value_or(defaultRetryAfter(aReason));
    refusal.retryAfter = std::max(kMinRetryAfter, ready_in);
    if (aReason == RefusalReason::QuotaExceeded) {
      *refusal.retryAfter += kRetryAfterUnit;
    }
  }
  return refusal;
}

link::ResponseHead
headOf(const Refusal& aRefusal, const std::string& aRequestId)
{
  link::ResponseHead head;
  head.status = aRefusal.status;
  head.reason = reasonPhrase(aRefusal.status);
  head.headers.push_back({ "Content-Type", "application/problem+json" });
  if (!aRequestId.empty()) {
    head.headers.push_back({ "X-Request-Id", aRequestId });
  }
  if (aRefusal.status == 401) {
    head.headers.push_back({ "WWW-Authenticate", "Token" });
  }
  if (aRefusal.retryAfter) {
    std::array<char, 32> seconds{};
    std::snprintf(
      seconds.data(), seconds.size(), "%.2f", toSeconds(*aRefusal.retryAfter));
    head.headers.push_back({ "Retry-After", seconds.data() });
  }
  return head;
}

std::string
bodyOf(const Refusal& aRefusal)
{
  return R"({"type":"savoryrill:)" + std::string(nameOf(aRefusal.reason)) +
         R"(","status":)" + std::to_string(aRefusal.status) + R"(,"ran":")" +
         (aRefusal.mayHaveRun ? "unknown" : "no") + R"("})";
}

std::string
reasonPhrase(int aStatus)
{
  constexpr std::array<std::pair<int, const char*>, 11> kPhrases{ {
    { 200, "OK" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 404, "Not Found" },
    { 408, "Request Timeout" },
    { 413, "Content Too Large" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  } };
  for (const auto& [status, phrase] : kPhrases) {
    if (status == aStatus) {
      return phrase;
    }
  }
  return "Unknown";
}

} // namespace savoryrill::gateway
