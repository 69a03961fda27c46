#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace savoryrill::testing {

/// Owns a descriptor. Not thread safe.
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aFd)
    : mFd(aFd)
  {
  }
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  ~Socket() { close(); }

  int fd() const { return mFd; }
  bool open() const { return mFd >= 0; }
  void close();

  /// Closes so that the peer sees a reset instead of an orderly end.
  void reset();

private:
  int mFd = -1;
};

struct Endpoint
{
  std::string address; // numeric IPv4
  std::uint16_t port = 0;
};

/// Reads `address:port`. Fails with InvalidArgument. Thread safe.
Result<Endpoint>
parseEndpoint(const std::string& aText);

/// Listens without blocking. Fails with Unavailable or InvalidArgument.
Result<Socket>
listenOn(const Endpoint& aEndpoint);

/// Starts to connect without blocking; the descriptor becomes writable at the end. Fails
/// with Unavailable or InvalidArgument.
Result<Socket>
connectTo(const Endpoint& aEndpoint);

/// The port that a listening socket is bound to.
std::uint16_t
boundPort(const Socket& aSocket);

} // namespace savoryrill::testing
