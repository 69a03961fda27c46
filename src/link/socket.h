#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/types/time.h"
#include "config/settings.h"

namespace savoryrill::link {

/// A numeric IPv4 address and port.
using Endpoint = config::SocketAddress;

/// Parses "ADDRESS:PORT" with a port above 0. Fails with InvalidArgument. Thread safe.
Result<Endpoint>
parseEndpoint(std::string_view aText);

/// "ADDRESS:PORT". Thread safe.
std::string
toString(const Endpoint& aEndpoint);

/// Owns a socket descriptor.
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aFd)
    : mFd(aFd)
  {
  }
  Socket(Socket&& aOther) noexcept
    : mFd(aOther.release())
  {
  }
  Socket& operator=(Socket&& aOther) noexcept;
  ~Socket() { close(); }

  int fd() const { return mFd; }
  explicit operator bool() const { return mFd >= 0; }
  int release();
  void close();

  /// Closes with a TCP reset, so that bytes still in transit are dropped.
  void reset();

private:
  int mFd = -1;
};

/// Opens a non-blocking listening socket. Fails with Unavailable.
Result<Socket>
listenOn(const Endpoint& aEndpoint);

/// Starts to connect without blocking. Unacknowledged data and a silent peer end the
/// connection after `aPeerTimeout`. Fails with Unavailable.
Result<Socket>
connectTo(const Endpoint& aEndpoint, Duration aPeerTimeout);

/// Sets the socket options of an accepted connection. Keep-alive probes detect a vanished
/// peer after about `aPeerTimeout`.
void
prepareAccepted(const Socket& aSocket, Duration aPeerTimeout);

} // namespace savoryrill::link
