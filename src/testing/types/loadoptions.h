#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "base/types/time.h"

namespace savoryrill::testing {

enum class LoadKind
{
  Completion,
  Chat,
  Service
};

/// How a request of the load generator ended.
enum class LoadOutcome
{
  Ok,             // the whole answer to this request
  Refused,        // problem answer that says that the request did not run
  Unknown,        // problem answer that does not say so
  WrongAnswer,    // whole answer, but not the one to this request
  RanTwice,       // the service counts more than one run of a booking with a key
  ErrorEvent,     // stream that ended with an explicit error event
  Incomplete,     // stream without its terminator and without an error event
  TransportError, // no answer
  Unfinished      // still in progress at the time limit
};

/// One request to send.
struct PlannedRequest
{
  Duration at = Duration::zero(); // after the start
  LoadKind kind = LoadKind::Completion;
  std::string target; // numeric address and port
  std::string model;
  std::string service; // `<service>/<path>` below /v1/services/
  std::string marker;  // unique, except that a duplicate has that of its original
  std::string key;     // Idempotency-Key, empty: none
  bool duplicate = false;
  bool stream = false;
  std::string priority;
  std::string caller;
  std::uint32_t maxTokens = 16;
  std::uint32_t promptBytes = 200;
  std::uint32_t prefixGroup = 0; // prompts of a group share their first 64 bytes
  std::uint64_t deadlineMs = 0;  // 0: none given
};

/// What the plan of requests is made from.
struct LoadOptions
{
  std::vector<std::string> targets; // numeric addresses and ports of routers
  std::vector<std::string> models;
  std::vector<std::string> services; // `<service>/<path>`
  std::vector<std::string> callers = { "load" };
  std::uint64_t seed = 1;
  double ratePerS = 5; // Poisson arrivals, 0: none
  Duration duration = 10s;
  std::uint32_t burstSize = 0; // requests for one model at all targets at once
  Duration burstPeriod = 5s;
  double streamShare = 0.5;
  double chatShare = 0.5;
  double serviceShare = 0;   // non-repeatable, if there are services
  double keyShare = 1;       // of those, with an idempotency key
  double duplicateShare = 0; // of those with a key, sent twice
  std::string priority;
  std::uint32_t maxTokens = 16;
  std::uint32_t promptBytes = 200;
  std::uint32_t prefixGroups = 8;
  std::uint64_t deadlineMs = 0;
  std::uint64_t maxRequests = 100000;
  Duration timeLimit = 300s; // after which unfinished requests are given up
  std::string recordPath;    // empty: records are kept in memory
};

} // namespace savoryrill::testing

namespace savoryrill {

template<>
struct EnumNames<testing::LoadKind>
{
  static constexpr EnumTable<testing::LoadKind, 3> kTable{ {
    { testing::LoadKind::Completion, "completion" },
    { testing::LoadKind::Chat, "chat" },
    { testing::LoadKind::Service, "service" },
  } };
};

template<>
struct EnumNames<testing::LoadOutcome>
{
  static constexpr EnumTable<testing::LoadOutcome, 9> kTable{ {
    { testing::LoadOutcome::Ok, "ok" },
    { testing::LoadOutcome::Refused, "refused" },
    { testing::LoadOutcome::Unknown, "unknown" },
    { testing::LoadOutcome::WrongAnswer, "wrong_answer" },
    { testing::LoadOutcome::RanTwice, "ran_twice" },
    { testing::LoadOutcome::ErrorEvent, "error_event" },
    { testing::LoadOutcome::Incomplete, "incomplete" },
    { testing::LoadOutcome::TransportError, "transport_error" },
    { testing::LoadOutcome::Unfinished, "unfinished" },
  } };
};

} // namespace savoryrill
