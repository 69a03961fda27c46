#pragma once

#include <cstdint>
#include <memory>
#include <unordered_set>
#include <vector>

#include "base/result.h"
#include "event/loop.h"
#include "link/inboundconnection.h"

namespace savoryrill::link {

/// Accepts connections from callers and owns them. While all places are taken, a new
/// connection takes the place of the one that has been idle for longest, or else of a
/// request that is being received. Not thread safe.
class Listener
{
public:
  /// Fails with Unavailable if the address cannot be bound. `aBudget` counts what is held
  /// for the connections; null: nothing is counted. Preconditions: all references outlive
  /// the result.
  static Result<std::unique_ptr<Listener>> create(event::Loop& aLoop,
                                                  const Endpoint& aEndpoint,
                                                  IInboundHandler& aHandler,
                                                  std::size_t aMaxConnections,
                                                  MemoryBudget* aBudget = nullptr);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Stops accepting; open connections continue.
  void stop();
  /// Closes connections on which no request is in progress.
  void closeIdle();
  std::size_t connections() const { return mOpen; }

private:
  Listener(event::Loop& aLoop,
           Socket aSocket,
           IInboundHandler& aHandler,
           std::size_t aMaxConnections,
           MemoryBudget* aBudget);
  /// Accepts waiting connections, at most `kMaxAccepts`; true if more may be waiting.
  bool acceptSome();
  void watchSocket();
  void add(Socket aSocket);
  bool makePlace();

  event::Loop& mLoop;
  Socket mSocket;
  IInboundHandler& mHandler;
  std::size_t mMaxConnections;
  MemoryBudget* mBudget;
  event::Watch mWatch;
  event::Watch mPause;
  std::unordered_set<std::shared_ptr<InboundConnection>> mConnections;
  std::size_t mOpen = 0; // connections without those that are closed
  /// Idle connections while places are needed, the longest idle last.
  std::vector<std::weak_ptr<InboundConnection>> mIdle;
  bool mEvictedForPlace = false; // in the current iteration of the loop
};

} // namespace savoryrill::link
