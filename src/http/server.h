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

/// Limits that bound the resources which slow or hostile callers can hold.
struct ServerLimits
{
  std::size_t maxConnections = 1024;
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
  /// A connection without traffic is closed after this time.
  Duration idleTimeout = 75s;
  /// The header and body of a request must arrive within this time after its request
  /// line. The first request line of a connection must arrive within this time after the
  /// accept.
  Duration receiveTimeout = 20s;
};

struct ServerOptions
{
  std::string address = "127.0.0.1"; // numeric
  std::uint16_t port = 0;            // 0 selects a free port
  ServerLimits limits;
};

/// A request in progress and its response. The handler may keep it and respond later,
/// from the loop's thread. Exactly one of `respond`, `startStream` and `drop` must be
/// called; later calls are ignored. If the last reference is released without a response,
/// the caller receives status 500, so that no request is silently dropped; an unfinished
/// stream is aborted. Not thread safe.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;

  /// Sends a complete response.
  virtual void respond(Response aResponse) = 0;

  /// Starts a chunked response of unknown length.
  virtual void startStream(int aStatus, Headers aHeaders) = 0;

  /// Appends to the stream. Precondition: `startStream` was called. Data written after
  /// the caller has disconnected is discarded.
  virtual void write(std::string_view aData) = 0;

  /// Bytes of the stream that are still in the exchange's buffer, for back pressure.
  virtual std::size_t unsentBytes() const = 0;

  /// Ends the stream with the terminating chunk.
  virtual void finish() = 0;

  /// Ends the stream by closing the connection without the terminating chunk, so that the
  /// caller detects that the response is incomplete.
  virtual void abort() = 0;

  /// Closes the connection without any response, not even a status line. Called instead
  /// of `respond` and `startStream`; used by stand-ins that simulate lost responses.
  virtual void drop()
  {
    startStream(500, {});
    abort();
  }

  /// True once the caller has disconnected, the response has been sent or the exchange
  /// has been dropped.
  virtual bool closed() const = 0;

  /// `aCallback` runs once, when the exchange has ended; its argument is true if the
  /// complete response was sent and false if the connection was closed before that.
  virtual void onClosed(std::function<void(bool)> aCallback) = 0;
};

using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;

/// An HTTP/1.1 server (libmicrohttpd) that runs on an event loop. Oversize headers,
/// oversize bodies (413), timeouts and malformed requests are handled by the server; the
/// handler receives complete requests only. Not thread safe.
class Server
{
public:
  /// Fails with Unavailable if the address cannot be bound.
  static Result<std::unique_ptr<Server>> create(event::Loop& aLoop,
                                                ServerOptions aOptions,
                                                Handler aHandler);
  virtual ~Server() = default;

  /// The bound port.
  virtual std::uint16_t port() const = 0;

  /// Stops accepting connections; requests in progress continue, and kept-alive
  /// connections are closed after their current response.
  virtual void stopAccepting() = 0;

  /// Number of exchanges that have not ended yet.
  virtual std::size_t activeExchanges() const = 0;
};

} // namespace savoryrill::http
