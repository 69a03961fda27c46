#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "base/result.h"
#include "event/loop.h"
#include "link/internal/messageparser.h"
#include "link/socket.h"
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
};

/// A connection from a caller. Carries one request at a time; pipelined requests wait.
/// While a request is in progress, the connection detects that the caller disconnects.
/// Not thread safe.
class InboundConnection
  : public std::enable_shared_from_this<InboundConnection>
  , private IMessageListener
{
public:
  InboundConnection(event::Loop& aLoop, Socket aSocket, IInboundHandler& aHandler);
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
  /// Runs whenever all output has been handed to the socket.
  void onOutputSent(std::function<void()> aCallback)
  {
    mOutputSentCallback = std::move(aCallback);
  }
  void onClosed(std::function<void(InboundConnection*)> aCallback)
  {
    mClosedCallback = std::move(aCallback);
  }

  /// Closes the connection unless a request is in progress or partly received.
  void closeIfIdle();

private:
  bool headReceived() override;
  void bodyReceived(std::string_view aData) override;
  void messageReceived() override;

  void socketReady(event::Interest aInterest);
  void readInput();
  void parseInput();
  void reject(int aStatus, std::string_view aReason);
  void flush();
  void watchSocket();
  void armTimer();
  bool hasUnreadInput() const;
  void linger();
  void resetRequest();
  void close(bool aReset);

  event::Loop& mLoop;
  Socket mSocket;
  IInboundHandler& mHandler;
  MessageParser mParser;
  event::Watch mWatch;
  event::Watch mTimer;
  std::string mInput;
  std::string mOutput;
  std::size_t mOutputSent = 0;
  std::string mBody;
  std::function<void()> mCallerLeftCallback;
  std::function<void()> mOutputSentCallback;
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

/// Accepts connections from callers and owns them. Not thread safe.
class Listener
{
public:
  /// Fails with Unavailable if the address cannot be bound. Preconditions: all references
  /// outlive the result.
  static Result<std::unique_ptr<Listener>> create(event::Loop& aLoop,
                                                  const Endpoint& aEndpoint,
                                                  IInboundHandler& aHandler,
                                                  std::size_t aMaxConnections);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Stops accepting; open connections continue.
  void stop();
  /// Closes connections on which no request is in progress.
  void closeIdle();
  std::size_t connections() const { return mConnections.size(); }

private:
  Listener(event::Loop& aLoop,
           Socket aSocket,
           IInboundHandler& aHandler,
           std::size_t aMaxConnections);
  void acceptAll();

  event::Loop& mLoop;
  Socket mSocket;
  IInboundHandler& mHandler;
  std::size_t mMaxConnections;
  event::Watch mWatch;
  std::unordered_set<std::shared_ptr<InboundConnection>> mConnections;
};

} // namespace savoryrill::link
