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
  /// Uses a new connection and forbids its reuse. Required for requests that may not be
  /// repeated: on a kept-alive connection that the peer has closed, libcurl silently
  /// sends the request again, although the first copy may have run.
  bool freshConnection = false;
  /// An answer body above this size fails the call (whole bodies only, not streams).
  std::size_t maxBodyBytes = 16 * 1024 * 1024;
};

/// How a call ended.
struct ClientOutcome
{
  /// Status, headers and, unless `onData` took it, body; or the transport error. An
  /// answer that was cut before its end is an error, also if the status had arrived.
  Result<Response> response;
  /// False only if it is certain that no byte of the request left this process.
  bool requestSent = false;
};

struct ClientCallbacks
{
  /// Optional: runs after the connection is made, as the last step before the request is
  /// handed to the socket. If it returns false, nothing is sent and the call fails with
  /// PermissionDenied. Must not use the client or the call.
  std::function<bool()> maySend;
  /// Optional: status and headers, before any data.
  std::function<void(const Response&)> onHeaders;
  /// Optional: takes the body in pieces instead of collecting it.
  std::function<void(std::string_view)> onData;
  /// Runs once at the end, unless the call was cancelled.
  std::function<void(ClientOutcome)> onDone;
};

/// Handle of a call in progress; destroying it cancels the call and closes its
/// connection, after which no callback runs. May be destroyed from a callback.
class RequestHandle
{
public:
  virtual ~RequestHandle() = default;
};

/// A libcurl multi client on a loop. Not thread safe.
class Client
{
public:
  /// Fails with Internal if libcurl cannot be set up.
  static Result<std::unique_ptr<Client>> create(event::Loop& aLoop);
  virtual ~Client() = default;

  /// Starts a call. Callbacks run in later iterations of the loop, never inside `start`.
  [[nodiscard]] virtual std::unique_ptr<RequestHandle> start(
    ClientRequest aRequest,
    ClientCallbacks aCallbacks) = 0;
};

} // namespace savoryrill::http
