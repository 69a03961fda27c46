#include "link/connectioncheck.h"

#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace savoryrill::link {

ConnectionChecker::ConnectionChecker(event::Loop& aLoop, Duration aTimeout)
  : mLoop(aLoop)
  , mTimeout(aTimeout)
{
}

void
ConnectionChecker::start(const Endpoint& aEndpoint, Done aDone)
{
  const std::uint64_t id = ++mLastId;
  auto& check = mChecks[id];
  check.done = std::move(aDone);
  auto socket = connectTo(aEndpoint, mTimeout);
  if (!socket) {
    // The reason may be this host's, such as a lack of descriptors.
    check.timer =
      mLoop.after(Duration::zero(), [this, id] { finish(id, Reachability::Unknown); });
    return;
  }
  check.socket = std::move(socket.value());
  check.timer = mLoop.after(mTimeout, [this, id] { finish(id, Reachability::Unknown); });
  check.watch = mLoop.watch(
    check.socket.fd(), { false, true }, [this, id, fd = check.socket.fd()](auto) {
      int error = 0;
      socklen_t size = sizeof error;
      if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        error = errno;
      }
      finish(id,
             error == 0              ? Reachability::Accepts
             : error == ECONNREFUSED ? Reachability::Refuses
                                     : Reachability::Unknown);
    });
}

void
ConnectionChecker::finish(std::uint64_t aId, Reachability aResult)
{
  auto check = mChecks.extract(aId);
  check.mapped().done(aResult);
}

} // namespace savoryrill::link
