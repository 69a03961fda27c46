#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/types/time.h"
#include "gateway/iprotocol.h"
#include "gateway/types/responseprogress.h"
#include "link/outboundconnection.h"

namespace savoryrill::gateway {

/// One attempt of a request at an upstream, and what the upstream has responded so far.
struct Attempt
{
  std::shared_ptr<link::OutboundConnection> connection; // null after the attempt's end
  bool connectionReused = false;                        // carried an earlier request
  std::string upstream;
  std::int64_t upstreamBornMs = 0; // tells incarnations of the same id apart
  std::string poolKey;
  Instant started{};
  /// When the first event or part of a body arrived.
  std::optional<Instant> bodyStarted;
  bool servedRecorded = false;

  link::ResponseHead head;
  ResponseMetadata metadata;
  std::string bufferedBody;
  bool streaming = false;
  bool discarding = false; // the response is not forwarded
  std::size_t discardedBytes = 0;

  ResponseProgress progress() const
  {
    if (bodyStarted) {
      return ResponseProgress::Body;
    }
    return head.status == 0 ? ResponseProgress::Nothing : ResponseProgress::Head;
  }
};

/// What the attempts of one request have led to so far.
struct AttemptHistory
{
  // Attempts of one request, including those that an upstream declined.
  static constexpr std::uint32_t kMaxAttempts = 4;
  // Connection attempts for one request.
  static constexpr std::uint32_t kMaxConnectionAttempts = 6;

  std::set<std::string> excluded;
  std::set<std::string> refusedBy;      // upstreams that refused this request as not run
  std::uint32_t possibleRuns = 0;       // attempts that may have been executed
  std::uint32_t attempts = 0;           // without those whose connection failed
  std::uint32_t connectionAttempts = 0; // including failed connections
  bool mayHaveRun = false;

  bool mayConnect() const { return connectionAttempts < kMaxConnectionAttempts; }
  bool maySend() const { return mayConnect() && attempts < kMaxAttempts; }
  void recordPossibleRun()
  {
    ++possibleRuns;
    mayHaveRun = true;
  }
};

} // namespace savoryrill::gateway
