#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "event/loop.h"
#include "link/internal/messageparser.h"
#include "link/memorybudget.h"
#include "link/socket.h"
#include "link/types/closereason.h"
#include "link/types/message.h"

namespace savoryrill::link {

/// Bounds for what a caller may send and how long it may take.
struct InboundLimits
{
  std::size_t maxHeadBytes = 16UL * 1024;
  std::size_t maxBodyBytes = 4UL * 1024 * 1024;
  Duration receiveTimeout = 5s; // from the first byte of a request to its last
  Duration idleTimeout = 15s;   // between requests of a connection
};

class InboundConnection;

/// Receives the requests of all connections of a listener.
class IInboundHandler
{
public:
  virtual ~IInboundHandler() = default;
  /// A request has arrived in full. The handler may respond at once or later.
  virtual void requestReceived(const std::shared_ptr<InboundConnection>& aConnection,
                               RequestMessage aRequest) = 0;
  /// The connection rejects a request with `aStatus` before it has arrived in full, and
  /// sends the response itself.
  virtual void requestRejected(int aStatus, std::string_view aReason) = 0;
  virtual const InboundLimits& limits() const = 0;
  /// True while each response must be the last on its connection.
  virtual bool closesConnections() const = 0;
  /// A connection has been closed, or refused before it was served.
  virtual void connectionClosed(CloseReason) {}
};

/// A connection from a caller. Carries one request at a time; pipelined requests wait.
/// While a request is in progress, the connection detects that the caller disconnects. A
/// caller that has stopped reading its response is disconnected after some seconds; one
/// that reads slowly is not. Not thread safe.
class InboundConnection
  : public std::enable_shared_from_this<InboundConnection>
  , private IMessageListener
  , private IMemoryHolder
{
public:
  /// `aBudget` counts what is held for the connection; null: nothing is counted.
  InboundConnection(event::Loop& aLoop,
                    Socket aSocket,
                    IInboundHandler& aHandler,
                    MemoryBudget* aBudget = nullptr);
  ~InboundConnection() override;

  /// Begins to read. Precondition: owned by a shared pointer.
  void start();

  /// Starts a response. Precondition: a request is in progress and has no response yet.
  /// Hop-by-hop headers of `aHead` are left out. The body is framed as `aHead.framing`
  /// says, but UntilClose becomes Chunked if the caller supports it.
  void sendHead(const ResponseHead& aHead);
  /// Sends a part of the body. Precondition: `sendHead` was called.
  void sendData(std::string_view aData);
  /// Completes the response.
  void finish();
  /// Resets the connection, so that the caller sees an incomplete response.
  void abort();
  /// Sends a complete response with a Content-Length.
  void respond(const ResponseHead& aHead, std::string_view aBody);

  bool responding() const { return mHeadSent; }
  bool busy() const { return mRequestActive; }
  bool closed() const { return mClosed; }
  /// Bytes that the socket has not accepted yet, since the caller reads slowly.
  std::size_t unsentBytes() const { return mOutput.size() - mOutputSent; }

  /// Runs once if the caller disconnects before the response is complete.
  void onCallerLeft(std::function<void()> aCallback)
  {
    mCallerLeftCallback = std::move(aCallback);
  }
  /// Runs if the process needs the memory of the request in progress. The callback ends
  /// the request. Without a callback, the connection is closed.
  void onMemoryNeeded(std::function<void()> aCallback)
  {
    mMemoryNeededCallback = std::move(aCallback);
  }
  /// Whether the request in progress may have been sent to an upstream.
  void setRequestStage(MemoryAccount::Stage aStage);
  /// A charge for memory that is held elsewhere for this connection.
  MemoryCharge charge(MemoryKind aKind) const { return { mAccount, aKind }; }

  /// Runs whenever all output has been handed to the socket.
  void onOutputSent(std::function<void()> aCallback)
  {
    mOutputSentCallback = std::move(aCallback);
  }
  void onClosed(std::function<void(InboundConnection*)> aCallback)
  {
    mClosedCallback = std::move(aCallback);
  }

  /// Since when no request has been in progress or partly received. Empty lines between
  /// requests do not count. nullopt: it is not idle.
  std::optional<Instant> idleSince() const;
  /// Closes the connection unless a request is in progress or partly received; true if it
  /// is closed.
  bool closeIfIdle(CloseReason aReason);

private:
  bool headReceived() override;
  void bodyReceived(std::string_view aData) override;
  void messageReceived() override;
  void giveUpMemory() override;

  void socketReady(event::Interest aInterest);
  void readInput();
  void parseInput();
  void handleRequest();
  void reject(int aStatus, std::string_view aReason);
  /// Makes other connections give up memory that this one needs; false if this one had to
  /// give up its own.
  bool makeRoom();
  void updateCharges();
  void flush();
  void outputSent();
  void watchUnreadOutput();
  void checkUnreadOutput();
  void watchSocket();
  void armTimer();
  bool hasUnreadInput() const;
  void linger();
  void discardInput();
  void resetRequest();
  void close(bool aReset, CloseReason aReason);

  event::Loop& mLoop;
  Socket mSocket;
  IInboundHandler& mHandler;
  MessageParser mParser;
  MemoryBudget* mBudget;
  event::Watch mWatch;
  event::Watch mTimer;
  event::Watch mDiscardTimer; // after a rejection
  event::Watch mUnreadTimer;  // while the socket does not accept all output
  std::shared_ptr<MemoryAccount> mAccount;
  MemoryCharge mConnectionCharge;
  MemoryCharge mHeadCharge;
  MemoryCharge mBodyCharge;
  MemoryCharge mInputCharge;
  MemoryCharge mOutputCharge;
  MemoryCharge mRequestCharge;
  Instant mIdleSince;
  std::string mInput;
  std::string mOutput;
  std::size_t mOutputSent = 0;
  std::uint64_t mAcceptedBytes = 0; // by the socket, since the start
  std::uint64_t mReadBytes = 0;     // of these, confirmed by the caller's host
  int mUnreadChecks = 0;            // without progress
  std::size_t mDiscardedBytes = 0;  // after a rejection
  std::string mBody;
  std::function<void()> mCallerLeftCallback;
  std::function<void()> mOutputSentCallback;
  std::function<void()> mMemoryNeededCallback;
  std::function<void(InboundConnection*)> mClosedCallback;
  bool mBodyTooLarge = false;
  bool mMessageComplete = false;
  bool mRequestActive = false;
  bool mHeadSent = false;
  bool mChunked = false;
  bool mIsHeadMethod = false;
  bool mIsHttp10 = false;
  bool mKeepAlive = true;
  bool mCloseAfterOutput = false;
  bool mInputEnded = false;
  bool mRejected = false;
  bool mLingering = false;
  bool mClosed = false;
  bool mWatchesWritable = false;
  bool mWatchesReadable = false;
};

} // namespace savoryrill::link
