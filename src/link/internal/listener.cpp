#include "link/listener.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace savoryrill::link {

namespace {

// Connections accepted in one iteration of the loop, so that a flood of them leaves time
// for all others.
constexpr std::size_t kMaxAccepts = 64;
// Pause after the process or the host has run out of descriptors or memory. The waiting
// connections would wake the loop again at once.
constexpr Duration kAcceptPause = 100ms;

} // namespace

Result<std::unique_ptr<Listener>>
Listener::create(event::Loop& aLoop,
                 const Endpoint& aEndpoint,
                 IInboundHandler& aHandler,
                 std::size_t aMaxConnections,
                 MemoryBudget* aBudget)
{
  BOOST_OUTCOME_TRY(socket, listenOn(aEndpoint));
  return std::unique_ptr<Listener>(
    new Listener(aLoop, std::move(socket), aHandler, aMaxConnections, aBudget));
}

Listener::Listener(event::Loop& aLoop,
                   Socket aSocket,
                   IInboundHandler& aHandler,
                   std::size_t aMaxConnections,
                   MemoryBudget* aBudget)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mHandler(aHandler)
  , mMaxConnections(aMaxConnections)
  , mBudget(aBudget)
{
  watchSocket();
}

Listener::~Listener()
{
  for (const auto& connection : mConnections) {
    connection->onClosed(nullptr);
  }
}

void
Listener::watchSocket()
{
  mWatch =
    mLoop.watch(mSocket.fd(), { true, false }, [this](event::Interest) { acceptSome(); });
}

void
Listener::stop()
{
  if (mSocket) {
    // Closing the socket would reset connections that are still in the accept queue. It
    // is bounded, so that a flood does not keep a process from stopping.
    for (std::size_t accepted = 0; accepted < mMaxConnections && acceptSome();) {
      accepted += kMaxAccepts;
    }
  }
  mWatch.reset();
  mPause.reset();
  mSocket.close();
}

void
Listener::closeIdle()
{
  const auto connections = mConnections;
  for (const auto& connection : connections) {
    connection->closeIfIdle(CloseReason::Idle);
  }
}

bool
Listener::acceptSome()
{
  mIdle.clear();
  mEvictedForPlace = false;
  for (std::size_t accepted = 0; accepted < kMaxAccepts; ++accepted) {
    Socket socket(accept4(mSocket.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        makePlace();
        mWatch.reset();
        mPause = mLoop.after(kAcceptPause, [this] { watchSocket(); });
      }
      return false;
    }
    if (mOpen >= mMaxConnections && !makePlace()) {
      // Closed without reading a request, so callers may retry safely.
      mHandler.connectionClosed(CloseReason::Refused);
      continue;
    }
    add(std::move(socket));
  }
  return true;
}

/// Closes a connection for a new one; false if none may be closed.
bool
Listener::makePlace()
{
  if (mIdle.empty()) {
    // Sorted once for many new connections, since there may be thousands of idle ones.
    std::vector<std::pair<Instant, std::weak_ptr<InboundConnection>>> idle;
    for (const auto& connection : mConnections) {
      if (const auto since = connection->idleSince()) {
        idle.emplace_back(*since, connection);
      }
    }
    std::ranges::sort(idle, [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
    for (auto& [since, connection] : idle) {
      mIdle.push_back(std::move(connection));
    }
  }
  while (!mIdle.empty()) {
    const auto connection = mIdle.back().lock();
    mIdle.pop_back();
    if (connection && connection->closeIfIdle(CloseReason::Displaced)) {
      return true;
    }
  }
  // Requests that are being received are refused as not run. Their places become free
  // for the next new connections, since their responses are sent first. One at a time, so
  // that a flood of connections does not displace all requests that are arriving.
  if (mBudget != nullptr && !mEvictedForPlace) {
    mEvictedForPlace = mBudget->evictOne(true, mLoop.now());
  }
  return mOpen < mMaxConnections;
}

void
Listener::add(Socket aSocket)
{
  auto connection =
    std::make_shared<InboundConnection>(mLoop, std::move(aSocket), mHandler, mBudget);
  connection->onClosed([this, weak = std::weak_ptr(connection)](InboundConnection*) {
    --mOpen;
    // Erased in a later iteration, as a member function of the connection may be
    // running.
    mLoop.post([this, weak] {
      if (const auto closed = weak.lock()) {
        mConnections.erase(closed);
      }
    });
  });
  mConnections.insert(connection);
  ++mOpen;
  connection->start();
}

} // namespace savoryrill::link
