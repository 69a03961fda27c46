#include "link/socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config/address.h"

namespace savoryrill::link {

namespace {

// Connections that wait for `accept`. If the queue is full, the kernel drops connection
// requests, which delays callers by a second or more.
constexpr int kListenBacklog = 4096;
// Unanswered probes after which the kernel closes a connection.
constexpr int kKeepAliveProbes = 2;

void
setOption(int aFd, int aLevel, int aName, int aValue)
{
  // If the option cannot be set, only the detection of a vanished peer is delayed.
  (void)setsockopt(aFd, aLevel, aName, &aValue, sizeof aValue);
}

void
setPeerTimeout(int aFd, Duration aPeerTimeout)
{
  // The kernel closes a silent connection after the idle time and two probe intervals, so
  // each of them is a third of the timeout.
  const int seconds = std::max<int>(1, static_cast<int>(toMs(aPeerTimeout) / 3000));
  setOption(aFd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(aFd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(aFd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  setOption(aFd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  setOption(aFd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  setOption(aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(toMs(aPeerTimeout)));
}

Result<sockaddr_in>
toSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  if (inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr) != 1) {
    return fail(ErrorCode::InvalidArgument,
                "not a numeric IPv4 address: " + aEndpoint.address);
  }
  return address;
}

Result<Socket>
newSocket()
{
  Socket created(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!created) {
    return fail(ErrorCode::Unavailable,
                std::string("cannot create a socket: ") + std::strerror(errno));
  }
  return created;
}

} // namespace

Result<Endpoint>
parseEndpoint(std::string_view aText)
{
  const auto endpoint = config::parseAddress(aText);
  if (!endpoint || endpoint->port == 0 || !toSocketAddress(*endpoint).has_value()) {
    return fail(ErrorCode::InvalidArgument,
                "not a numeric IPv4 address with a port: " + std::string(aText));
  }
  return *endpoint;
}

std::string
toString(const Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  if (this != &aOther) {
    close();
    mFd = aOther.release();
  }
  return *this;
}

int
Socket::release()
{
  const int fd = mFd;
  mFd = -1;
  return fd;
}

void
Socket::close()
{
  if (mFd >= 0) {
    ::close(release());
  }
}

void
Socket::reset()
{
  if (mFd >= 0) {
    const linger abort{ 1, 0 };
    (void)setsockopt(mFd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
  }
}

Result<Socket>
listenOn(const Endpoint& aEndpoint)
{
  BOOST_OUTCOME_TRY(address, toSocketAddress(aEndpoint));
  BOOST_OUTCOME_TRY(listener, newSocket());
  setOption(listener.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(listener.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener.fd(), kListenBacklog) != 0) {
    return fail(ErrorCode::Unavailable,
                "cannot listen on " + toString(aEndpoint) + ": " + std::strerror(errno));
  }
  return std::move(listener);
}

Result<Socket>
connectTo(const Endpoint& aEndpoint, Duration aPeerTimeout)
{
  BOOST_OUTCOME_TRY(address, toSocketAddress(aEndpoint));
  BOOST_OUTCOME_TRY(created, newSocket());
  setPeerTimeout(created.fd(), aPeerTimeout);
  if (connect(created.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    return fail(ErrorCode::Unavailable,
                "cannot connect to " + toString(aEndpoint) + ": " + std::strerror(errno));
  }
  return std::move(created);
}

void
prepareAccepted(const Socket& aSocket, Duration aPeerTimeout)
{
  setPeerTimeout(aSocket.fd(), aPeerTimeout);
}

} // namespace savoryrill::link
