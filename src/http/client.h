#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "base/types/time.h"
#include "event/loop.h"
#include "http/types/message.h"

namespace savoryrill::http {

struct ClientRequest
{
  std::string method = "GET";
  std::string url; // http://<numeric address>:<port>/<path>
  Headers headers;
  std::string body;
  Duration connectTimeout = 1s;
  Duration totalTimeout = 30s;
  /// Uses a new connection and forbids its reuse. Required for requests that must not run
  /// twice: if the peer closes a kept-alive connection without a response, libcurl
  /// silently sends the request again, although the peer may already have run it.
  bool freshConnection = false;
  /// A response body above this size fails the request. Applies to collected bodies, not
  /// to those that `onData` receives.
  std::size_t maxBodyBytes = 16 * 1024 * 1024;
};

/// Outcome of a request.
struct ClientOutcome
{
  /// Status, headers and, unless `onData` received it, body; or the transport error. A
  /// truncated response is an error, even if its status has arrived. Malformed: its head
  /// or a trailer violates the protocol.
  Result<Response> response;
  /// False only if it is certain that no byte of the request left this process.
  bool requestSent = false;
};

struct ClientCallbacks
{
  /// Optional: runs after the connection is established, as the last step before the
  /// request is written to the socket. If it returns false, nothing is sent and the
  /// request fails with PermissionDenied. Must not use the client or the request handle.
  std::function<bool()> maySend;
  /// Optional: receives the status and headers, before any data.
  std::function<void(const Response&)> onHeaders;
  /// Optional: receives the body in pieces; it is then not collected in the response.
  std::function<void(std::string_view)> onData;
  /// Runs once at the end, unless the request was cancelled.
  std::function<void(ClientOutcome)> onDone;
};

/// Handle of a request in progress; destroying it cancels the request and closes its
/// connection, after which no callback runs. May be destroyed from a callback.
class RequestHandle
{
public:
  virtual ~RequestHandle() = default;
};

/// An HTTP client (libcurl) that runs on an event loop. Not thread safe.
class Client
{
public:
  /// Fails with Internal if libcurl cannot be set up.
  static Result<std::unique_ptr<Client>> create(event::Loop& aLoop);
  virtual ~Client() = default;

  /// Starts a request. Callbacks run in later iterations of the loop, never inside
  /// `start`.
  [[nodiscard]] virtual std::unique_ptr<RequestHandle> start(
    ClientRequest aRequest,
    ClientCallbacks aCallbacks) = 0;
};

} // namespace savoryrill::http
