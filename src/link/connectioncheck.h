#pragma once

#include <functional>
#include <map>
#include <memory>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "event/loop.h"
#include "link/socket.h"

namespace savoryrill::link {

/// Whether an endpoint accepts connections.
enum class Reachability
{
  Accepts,
  Refuses, // its host answers, and no process listens there
  Unknown  // nothing answered in time
};

/// Finds out whether endpoints accept connections. Sends no byte over them. Not thread
/// safe.
class ConnectionChecker
{
public:
  using Done = std::function<void(Reachability)>;

  ConnectionChecker(event::Loop& aLoop, Duration aTimeout);

  /// Starts a check. `aDone` runs once, in a later iteration of the loop, unless the
  /// checker is destroyed first.
  void start(const Endpoint& aEndpoint, Done aDone);

private:
  struct Check
  {
    Socket socket;
    event::Watch watch;
    event::Watch timer;
    Done done;
  };
  void finish(std::uint64_t aId, Reachability aResult);

  event::Loop& mLoop;
  Duration mTimeout;
  std::map<std::uint64_t, Check> mChecks;
  std::uint64_t mLastId = 0;
};

} // namespace savoryrill::link

namespace savoryrill {

template<>
struct EnumNames<link::Reachability>
{
  static constexpr EnumTable<link::Reachability, 3> kTable{ {
    { link::Reachability::Accepts, "accepts" },
    { link::Reachability::Refuses, "refuses" },
    { link::Reachability::Unknown, "unknown" },
  } };
};

} // namespace savoryrill
