#include "testing/scriptedpeer.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace savoryrill::testing {

namespace {

// Ports handed out to tests lie below those that the kernel gives to other sockets (from
// 32768 on), which are taken and released all the time. Each process has a block of its
// own, so that tests that run at the same time do not take each other's, not even after a
// peer has stopped listening.
constexpr std::uint32_t kFirstPort = 12000;
constexpr std::uint32_t kPortsPerBlock = 100;
constexpr std::uint32_t kPortBlocks = 200;

/// The block of ports of this process. The first port of the block is listened on until
/// the process ends, which keeps other processes from choosing the block.
struct PortBlock
{
  link::Socket guard;
  std::uint32_t firstPort = 0;
  std::uint32_t handedOut = 0;
};

PortBlock
choosePortBlock()
{
  const auto start = static_cast<std::uint32_t>(getpid());
  for (std::uint32_t tries = 0; tries < kPortBlocks; ++tries) {
    const std::uint32_t block = (start + tries) % kPortBlocks;
    const std::uint32_t port = kFirstPort + block * kPortsPerBlock;
    auto guard = link::listenOn({ "127.0.0.1", static_cast<std::uint16_t>(port) });
    if (guard) {
      return { std::move(guard.value()), port + 1, 0 };
    }
  }
  // All blocks are taken; `freePort` skips ports that are in use.
  return { {}, kFirstPort + start % kPortBlocks * kPortsPerBlock + 1, 0 };
}

std::uint16_t
boundPort(int aFd)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(aFd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Length of the first whole request in `aText`, 0 if it is not whole yet.
std::size_t
wholeRequest(const std::string& aText)
{
  const auto head = aText.find("\r\n\r\n");
  if (head == std::string::npos) {
    return 0;
  }
  const auto length = headerOf(aText.substr(0, head + 2), "content-length");
  const std::size_t body = length.empty() ? 0 : std::stoul(length);
  const std::size_t whole = head + 4 + body;
  return aText.size() >= whole ? whole : 0;
}

} // namespace

RawConnection::RawConnection(event::Loop& aLoop, link::Socket aSocket)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
{
  mWatch =
    mLoop.watch(mSocket.fd(), { true, false }, [this](event::Interest) { read(); });
}

std::unique_ptr<RawConnection>
RawConnection::connect(event::Loop& aLoop, std::uint16_t aPort)
{
  auto socket = link::connectTo({ "127.0.0.1", aPort }, 5s);
  return std::make_unique<RawConnection>(aLoop, std::move(socket.value()));
}

void
RawConnection::send(std::string_view aBytes)
{
  while (!aBytes.empty() && mSocket) {
    const ssize_t size = ::send(mSocket.fd(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (size > 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(size));
    } else if (errno == EAGAIN || errno == ENOTCONN) {
      mLoop.runOnce(false);
    } else {
      return;
    }
  }
}

void
RawConnection::pause(bool aPaused)
{
  mWatch.reset();
  if (!aPaused) {
    mWatch =
      mLoop.watch(mSocket.fd(), { true, false }, [this](event::Interest) { read(); });
  }
}

void
RawConnection::close()
{
  mWatch.reset();
  mSocket.close();
}

void
RawConnection::reset()
{
  mWatch.reset();
  mSocket.reset();
}

void
RawConnection::endSending()
{
  shutdown(mSocket.fd(), SHUT_WR);
}

void
RawConnection::read()
{
  std::array<char, 65536> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
  const ssize_t size = recv(mSocket.fd(), buffer.data(), buffer.size(), 0);
  if (size > 0) {
    mReceived.append(buffer.data(), static_cast<std::size_t>(size));
  } else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
    mEnded = true;
    mWatch.reset();
  }
  if (mOnData) {
    const auto callback = mOnData;
    callback();
  }
}

ScriptedPeer::ScriptedPeer(event::Loop& aLoop, Answer aAnswer, int aSegment)
  : mLoop(aLoop)
  , mAnswer(std::move(aAnswer))
  , mListener(std::move(link::listenOn({ "127.0.0.1", freePort() }).value()))
  , mPort(boundPort(mListener.fd()))
{
  if (aSegment > 0) {
    setsockopt(mListener.fd(), IPPROTO_TCP, TCP_MAXSEG, &aSegment, sizeof aSegment);
  }
  mWatch =
    mLoop.watch(mListener.fd(), { true, false }, [this](event::Interest) { accept(); });
}

void
ScriptedPeer::crash()
{
  stopListening();
  for (const auto& connection : mConnections) {
    connection->reset();
  }
}

void
ScriptedPeer::exit()
{
  stopListening();
  for (const auto& connection : mConnections) {
    connection->close();
  }
}

void
ScriptedPeer::stopListening()
{
  mWatch.reset();
  mListener.close();
}

void
ScriptedPeer::accept()
{
  link::Socket accepted(accept4(mListener.fd(), nullptr, nullptr, SOCK_NONBLOCK));
  if (!accepted) {
    return;
  }
  mConnections.push_back(std::make_unique<RawConnection>(mLoop, std::move(accepted)));
  auto& connection = *mConnections.back();
  connection.onData([this, &connection] { takeRequests(connection); });
}

void
ScriptedPeer::takeRequests(RawConnection& aConnection)
{
  std::string text = aConnection.received();
  while (const std::size_t size = wholeRequest(text)) {
    const std::string request = text.substr(0, size);
    text.erase(0, size);
    mRequests.push_back(request);
    aConnection.clear();
    mAnswer(aConnection, request);
  }
}

std::uint16_t
freePort()
{
  static PortBlock block = choosePortBlock();
  constexpr std::uint32_t kPorts = kPortsPerBlock - 1; // without the guard
  for (std::uint32_t tries = 0; tries < kPorts; ++tries) {
    const auto port =
      static_cast<std::uint16_t>(block.firstPort + block.handedOut++ % kPorts);
    if (link::listenOn({ "127.0.0.1", port })) {
      return port;
    }
  }
  const auto listener = std::move(link::listenOn({ "127.0.0.1", 0 }).value());
  return boundPort(listener.fd());
}

std::string
headerOf(const std::string& aText, std::string_view aName)
{
  const auto same = [](char aLeft, char aRight) {
    return std::tolower(static_cast<unsigned char>(aLeft)) ==
           std::tolower(static_cast<unsigned char>(aRight));
  };
  const std::string name = "\r\n" + std::string(aName) + ": ";
  const auto found =
    std::search(aText.begin(), aText.end(), name.begin(), name.end(), same);
  if (found == aText.end()) {
    return "";
  }
  const auto start = found + static_cast<std::ptrdiff_t>(name.size());
  return { start, std::find(start, aText.end(), '\r') };
}

std::string
rawResponse(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace savoryrill::testing
