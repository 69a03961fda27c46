#include "testing/internal/proxylistener.h"

#include <sys/socket.h>
#include <utility>
#include <vector>

#include "testing/internal/json.h"

namespace savoryrill::testing {

ProxyListener::ProxyListener(event::Loop& aLoop, ProxyRoute aRoute, Recorder& aRecorder)
  : mLoop(aLoop)
  , mRoute(std::move(aRoute))
  , mRecorder(aRecorder)
{
}

Result<void>
ProxyListener::open()
{
  BOOST_OUTCOME_TRY(socket, listenOn({ mRoute.listenAddress, mRoute.listenPort }));
  mListener = std::move(socket);
  mRoute.listenPort = boundPort(mListener);
  mWatch = mLoop.watch(
    mListener.fd(), { .readable = true }, [this](event::Interest) { accept(); });
  return outcome::success();
}

Result<void>
ProxyListener::setFault(const ProxyFault& aFault)
{
  if (aFault.kind == FaultKind::Refuse) {
    mWatch.reset();
    mListener.close();
  } else if (!mListener.open()) {
    BOOST_OUTCOME_TRYV(open());
  }
  mFault = aFault;
  mRecorder.write("fault_set",
                  fields({ { "route", mRoute.name },
                           { "fault", std::string(nameOf(aFault.kind)) },
                           { "direction", std::string(nameOf(aFault.direction)) },
                           { "after_bytes", Json::UInt64(aFault.afterBytes) },
                           { "delay_ms", Json::Int64(toMs(aFault.delay)) },
                           { "count", Json::UInt64(aFault.count) } }));
  // Copied, since a connection may end meanwhile.
  const auto connections = mConnections;
  for (const auto& [id, connection] : connections) {
    connection->setFault(aFault);
  }
  return outcome::success();
}

void
ProxyListener::accept()
{
  Socket caller(
    ::accept4(mListener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (caller.open()) {
    begin(std::move(caller));
  }
}

void
ProxyListener::begin(Socket aCaller)
{
  const std::uint64_t id = ++mNextId;
  mRecorder.write(
    "connection_begin",
    fields({ { "route", mRoute.name }, { "connection", Json::UInt64(id) } }));
  ProxyConnection::Hooks hooks{ [this] { struck(); },
                                [this, id](const char* aReason) { ended(id, aReason); } };
  const auto connection =
    std::make_shared<ProxyConnection>(mLoop,
                                      std::move(aCaller),
                                      Endpoint{ mRoute.targetAddress, mRoute.targetPort },
                                      mFault,
                                      std::move(hooks));
  mConnections[id] = connection;
  connection->start();
}

void
ProxyListener::struck()
{
  if (mFault.count == 0 || --mFault.count > 0) {
    return;
  }
  // The connection that was struck last is still at work, so the change comes later.
  mFault = ProxyFault{};
  mLoop.post([this, alive = std::weak_ptr(mAlive)] {
    if (!alive.expired() && mFault.kind == FaultKind::Pass) {
      [[maybe_unused]] const auto set = setFault(ProxyFault{});
    }
  });
}

void
ProxyListener::ended(std::uint64_t aId, const char* aReason)
{
  const auto found = mConnections.find(aId);
  if (found == mConnections.end()) {
    return;
  }
  const auto connection = found->second;
  mRecorder.write("connection_end",
                  fields({ { "route", mRoute.name },
                           { "connection", Json::UInt64(aId) },
                           { "reason", aReason },
                           { "to_target", Json::UInt64(connection->bytesToTarget()) },
                           { "to_caller", Json::UInt64(connection->bytesToCaller()) } }));
  mConnections.erase(found);
  // The connection's own methods are still running; it is destroyed afterwards.
  mLoop.post([connection] {});
}

} // namespace savoryrill::testing
