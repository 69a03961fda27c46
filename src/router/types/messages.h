#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "http/client.h"
#include "platform/types/table.h"
#include "router/types/callerrequest.h"
#include "routing/claimmachine.h"
#include "transport/proto/peer.pb.h"

namespace savoryrill::router {

using ConfigurationPtr = std::shared_ptr<const config::Configuration>;

struct ConfigurationAdopted
{
  ConfigurationPtr configuration;
};

// Messages to the dispatch task.

struct RequestArrived
{
  CallerRequest request;
};
/// The caller has closed its connection, or was disconnected because it reads its
/// response too slowly.
struct CallerDisconnected
{
  std::uint64_t request = 0;
  bool tooSlow = false;
};
struct AttemptHeaders
{
  std::uint64_t attempt = 0;
  http::Response response;
};
struct AttemptData
{
  std::uint64_t attempt = 0;
  std::string data;
};
struct AttemptDone
{
  std::uint64_t attempt = 0;
  http::ClientOutcome outcome;
};
struct ClaimEventArrived
{
  std::uint64_t request = 0;
  routing::ClaimEvent event;
};
/// The body of a recorded outcome from the object store; empty if it cannot be read.
struct OutcomeBodyRead
{
  std::uint64_t request = 0;
  routing::RecordedOutcome outcome;
  std::optional<std::string> body;
};
/// An entry about an upstream or an assignment, as received from a peer.
struct EntryChanged
{
  peer::Entry entry;
};
/// Refuses all remaining requests.
struct RefuseAll
{};

using DispatchMessage = std::variant<ConfigurationAdopted,
                                     RequestArrived,
                                     CallerDisconnected,
                                     AttemptHeaders,
                                     AttemptData,
                                     AttemptDone,
                                     ClaimEventArrived,
                                     OutcomeBodyRead,
                                     EntryChanged,
                                     RefuseAll>;

// Messages to the caller task.

struct SendResponse
{
  std::uint64_t request = 0;
  http::Response response;
};
struct StartResponseStream
{
  std::uint64_t request = 0;
  http::Headers headers;
};
struct SendStreamData
{
  std::uint64_t request = 0;
  std::string data;
};
/// Ends a stream; the connection is aborted unless the stream is complete.
struct EndResponseStream
{
  std::uint64_t request = 0;
  bool complete = true;
};

using CallerMessage = std::variant<ConfigurationAdopted,
                                   SendResponse,
                                   StartResponseStream,
                                   SendStreamData,
                                   EndResponseStream>;

// Messages to the upstream task.

struct StartAttempt
{
  std::uint64_t attempt = 0;
  http::ClientRequest request;
  bool streamBody = false; // deliver the body as it arrives, with `AttemptData`
};
/// Closes the connection of the attempt and sends DELETE to `cancelUrl` unless it is
/// empty.
struct CancelAttempt
{
  std::uint64_t attempt = 0;
  std::string cancelUrl;
};

using UpstreamMessage = std::variant<StartAttempt, CancelAttempt>;

// Messages to the claim task. The messages that it sends back carry the number of the
// request.

struct ClaimOperation
{
  std::uint64_t request = 0;
  std::string key;
  routing::ClaimCommand command; // Insert, ReadRow, Record or Release
};
struct ReadOutcomeBody
{
  std::uint64_t request = 0;
  routing::RecordedOutcome outcome;
};

using ClaimMessage = std::variant<ClaimOperation, ReadOutcomeBody>;

// Messages to the sync task.

struct PublishDemand
{
  peer::DemandContent content;
};
struct PublishLeaving
{
  std::string upstream;
  std::uint64_t incarnation = 0;
};

using SyncMessage = std::variant<PublishDemand, PublishLeaving>;

} // namespace savoryrill::router
