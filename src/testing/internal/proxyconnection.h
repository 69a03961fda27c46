#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "event/loop.h"
#include "testing/internal/socket.h"
#include "testing/types/proxyfault.h"

namespace savoryrill::testing {

/// One connection of the fault proxy and its counterpart at the target. Not thread safe.
class ProxyConnection
{
public:
  struct Hooks
  {
    /// Runs when a counted fault has struck this connection.
    std::function<void()> onStruck;
    /// Runs once at the end, after which the connection may be destroyed from a later
    /// iteration of the loop.
    std::function<void(const char* aReason)> onEnd;
  };

  ProxyConnection(event::Loop& aLoop,
                  Socket aCaller,
                  Endpoint aTarget,
                  const ProxyFault& aFault,
                  Hooks aHooks);

  /// Starts to forward.
  void start();

  /// Takes over another fault; its byte counts begin now.
  void setFault(const ProxyFault& aFault);

  std::uint64_t bytesToTarget() const { return mToTarget.total; }
  std::uint64_t bytesToCaller() const { return mToCaller.total; }

private:
  struct Chunk
  {
    Instant due;
    std::string data;
  };
  /// One direction of the connection.
  struct Pipe
  {
    std::deque<Chunk> chunks;
    std::size_t buffered = 0;
    bool sourceEnded = false;
    bool endForwarded = false;
    std::uint64_t total = 0; // bytes forwarded
  };
  /// A descriptor, what it is watched for and its watch.
  struct Side
  {
    Socket socket;
    event::Interest interest;
    event::Watch watch;
  };

  void connectTarget();
  void pump();
  void read(Side& aSource, Pipe& aPipe);
  void flush(Pipe& aPipe, Side& aDestination, bool aToCaller);
  bool forward(Pipe& aPipe, Side& aDestination, std::size_t aLimit);
  std::uint64_t allowance(bool aToCaller) const;
  void strike(bool aToCaller);
  void loseAnswer();
  void drainTarget();
  void finishIfOver();
  void end(const char* aReason, bool aReset);
  void updateWatches();
  void updateWatch(Side& aSide, bool aIsCaller, event::Interest aInterest);
  void scheduleDelayed();
  bool stalled(bool aToCaller) const;

  event::Loop& mLoop;
  Endpoint mTarget;
  ProxyFault mFault;
  Hooks mHooks;
  Side mCaller;
  Side mUpstream;
  bool mConnected = false;
  bool mDraining = false;
  bool mEnded = false;
  Pipe mToTarget;
  Pipe mToCaller;
  std::uint64_t mFaultBytes = 0;         // forwarded in both directions under this fault
  std::uint64_t mFaultBytesToCaller = 0; // those to the caller
  event::Watch mTimer;
};

} // namespace savoryrill::testing
