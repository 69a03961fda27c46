#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "testing/internal/proxyconnection.h"
#include "testing/recorder.h"

namespace savoryrill::testing {

/// One route of the fault proxy: its listening socket, fault and connections. Not thread
/// safe.
class ProxyListener
{
public:
  /// Precondition: loop and recorder outlive this object.
  ProxyListener(event::Loop& aLoop, ProxyRoute aRoute, Recorder& aRecorder);

  /// Listens. Fails with Unavailable or InvalidArgument.
  Result<void> open();

  /// Fails with Unavailable if the address cannot be bound again after Refuse.
  Result<void> setFault(const ProxyFault& aFault);

  const ProxyFault& fault() const { return mFault; }
  std::uint16_t port() const { return mRoute.listenPort; }
  std::size_t connections() const { return mConnections.size(); }

private:
  void accept();
  void begin(Socket aCaller);
  void struck();
  void ended(std::uint64_t aId, const char* aReason);

  event::Loop& mLoop;
  ProxyRoute mRoute;
  Recorder& mRecorder;
  ProxyFault mFault;
  Socket mListener;
  event::Watch mWatch;
  std::uint64_t mNextId = 0;
  std::map<std::uint64_t, std::shared_ptr<ProxyConnection>> mConnections;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace savoryrill::testing
