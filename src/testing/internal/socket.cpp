#include "testing/internal/socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace savoryrill::testing {

namespace {

constexpr int kBacklog = 512;

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

auto
failWithErrno(const char* aAction, const Endpoint& aEndpoint)
{
  return fail(ErrorCode::Unavailable,
              std::string(aAction) + " " + aEndpoint.address + ":" +
                std::to_string(aEndpoint.port) + ": " + std::strerror(errno));
}

Socket
newSocket()
{
  return Socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void
setOption(const Socket& aSocket, int aLevel, int aOption)
{
  const int on = 1;
  ::setsockopt(aSocket.fd(), aLevel, aOption, &on, sizeof on);
}

} // namespace

Socket::Socket(Socket&& aOther) noexcept
  : mFd(std::exchange(aOther.mFd, -1))
{
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  if (this != &aOther) {
    close();
    mFd = std::exchange(aOther.mFd, -1);
  }
  return *this;
}

void
Socket::close()
{
  if (mFd >= 0) {
    ::close(std::exchange(mFd, -1));
  }
}

void
Socket::reset()
{
  if (mFd >= 0) {
    const linger immediately{ 1, 0 };
    ::setsockopt(mFd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
  }
}

Result<Endpoint>
parseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  Endpoint endpoint;
  endpoint.address = aText.substr(0, colon);
  in_addr parsed{};
  const bool numeric = inet_pton(AF_INET, endpoint.address.c_str(), &parsed) == 1;
  bool port_valid = false;
  if (colon != std::string::npos) {
    const char* end = aText.data() + aText.size();
    const auto read = std::from_chars(aText.data() + colon + 1, end, endpoint.port);
    port_valid = read.ec == std::errc() && read.ptr == end;
  }
  if (!numeric || !port_valid) {
    return fail(ErrorCode::InvalidArgument,
                "not a numeric IPv4 address and port: " + aText);
  }
  return endpoint;
}

Result<Socket>
listenOn(const Endpoint& aEndpoint)
{
  BOOST_OUTCOME_TRY(address, toSocketAddress(aEndpoint));
  Socket socket = newSocket();
  setOption(socket, SOL_SOCKET, SO_REUSEADDR);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::bind(socket.fd(), generic, sizeof address) != 0 ||
      ::listen(socket.fd(), kBacklog) != 0) {
    return failWithErrno("cannot listen on", aEndpoint);
  }
  return socket;
}

Result<Socket>
connectTo(const Endpoint& aEndpoint)
{
  BOOST_OUTCOME_TRY(address, toSocketAddress(aEndpoint));
  Socket socket = newSocket();
  setOption(socket, IPPROTO_TCP, TCP_NODELAY);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(socket.fd(), generic, sizeof address) != 0 && errno != EINPROGRESS) {
    return failWithErrno("cannot connect to", aEndpoint);
  }
  return socket;
}

std::uint16_t
boundPort(const Socket& aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(aSocket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

} // namespace savoryrill::testing
