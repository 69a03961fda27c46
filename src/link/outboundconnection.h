#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/types/enumnames.h"
#include "base/types/time.h"
#include "event/loop.h"
#include "link/internal/messageparser.h"
#include "link/socket.h"
#include "link/types/message.h"

namespace savoryrill::link {

/// Why an exchange with an upstream ended without a complete response.
enum class ExchangeFault
{
  NotConnected,  // no byte of the request left this process
  Broken,        // the connection ended after a part of the request was sent
  Malformed,     // the received bytes are not a valid response
  ConnectTimeout // no byte of the request left this process
};

/// Receives the response to one request. Its functions are called from the loop, after
/// `send` has returned; each of them may cancel the exchange.
class IExchangeHandler
{
public:
  virtual ~IExchangeHandler() = default;
  /// True if a response head belongs to this request. A response to another request is
  /// skipped, and the connection is not reused.
  virtual bool matchesResponse(const ResponseHead& aHead) = 0;
  virtual void responseStarted(const ResponseHead& aHead) = 0;
  virtual void responseData(std::string_view aData) = 0;
  virtual void responseFinished() = 0;
  virtual void exchangeFailed(ExchangeFault aFault) = 0;
};

/// A connection to an upstream. Carries one request at a time and never sends a request
/// twice. Not thread safe.
class OutboundConnection
  : public std::enable_shared_from_this<OutboundConnection>
  , private IMessageListener
{
public:
  OutboundConnection(event::Loop& aLoop, Socket aSocket, Duration aConnectTimeout);
  ~OutboundConnection() override;

  /// Sends a serialised request and then `aBody`, which is not copied, since it may be
  /// large. `aWithoutBody`: the response has no body, whatever its headers announce
  /// (HEAD). Preconditions: `idle()`; `aBody` stays valid until the exchange ends.
  void send(std::string aRequest,
            bool aWithoutBody,
            IExchangeHandler& aHandler,
            std::string_view aBody = {});

  /// Sends a request only if `aIsPermitted` returns true; otherwise the exchange fails
  /// with NotConnected. The function is called right before the first byte is sent, since
  /// a permission may have expired while the process was paused or the connection was
  /// being opened. An empty function permits every request.
  void sendIfPermitted(std::function<bool()> aIsPermitted,
                       std::string aRequest,
                       IExchangeHandler& aHandler);

  /// Ends the exchange and resets the connection; the handler is not called again.
  void cancel();

  /// Pauses or resumes reading, so that a response to a slow caller does not pile up in
  /// memory.
  void pause(bool aPaused);

  bool idle() const { return mHandler == nullptr && !mClosed; }
  bool closed() const { return mClosed; }
  bool reusable() const { return idle() && mReusable; }
  bool connected() const { return mConnected; }
  /// True once a byte of the current request has been handed to the socket.
  bool requestStarted() const { return mOutputSent > 0; }
  /// Idle time after which the peer closes the connection, as its last response
  /// announced; zero if it announced none.
  Duration keepAlive() const { return mKeepAlive; }
  /// True if the peer has sent data or closed the connection while it was idle.
  bool hasUnexpectedInput();

private:
  bool headReceived() override;
  void bodyReceived(std::string_view aData) override;
  void messageReceived() override;

  void socketReady(event::Interest aInterest);
  void finishConnecting();
  void flush();
  void readInput();
  void parseInput(std::string_view aData);
  void handleInputEnd(bool aOrderly);
  void failExchange(ExchangeFault aFault);
  void watchSocket();
  void close(bool aReset);
  bool hasUnsentOutput() const { return mOutputSent < mOutput.size() + mBody.size(); }
  void discardOutput(std::size_t aSent);

  event::Loop& mLoop;
  Socket mSocket;
  MessageParser mParser;
  IExchangeHandler* mHandler = nullptr;
  event::Watch mWatch;
  event::Watch mConnectTimer;
  std::string mOutput;
  std::string_view mBody;      // sent after `mOutput`
  std::size_t mOutputSent = 0; // of both
  ResponseHead mHead;
  Duration mKeepAlive = Duration::zero();
  bool mWithoutBody = false;
  bool mSkipping = false;
  bool mMessageComplete = false;
  std::uint32_t mSkippedMessages = 0; // in this exchange
  std::size_t mSkippedBytes = 0;      // bodies of skipped messages
  std::function<bool()> mIsPermitted; // called before the first byte of the request
  bool mConnected = false;
  bool mReusable = true;
  bool mClosed = false;
  bool mInputBroken = false; // a send took the error of the connection
  bool mPaused = false;
  bool mWatchesWritable = false;
  bool mWatchesReadable = false;
};

/// Opens connections to upstreams and keeps idle ones for reuse. Not thread safe.
class OutboundPool
{
public:
  struct Options
  {
    Duration connectTimeout = 400ms;
    /// A connection is closed when data or keep-alive probes stay unacknowledged for this
    /// time.
    Duration peerTimeout = 1500ms;
    Duration maxIdle = 10s; // longest time for which a connection is kept idle
    Duration idleMargin =
      1s; // idle connections are closed this long before the peer does
    Duration assumedKeepAlive = 4s; // if the peer announces no keep-alive time
    /// Open connections to all peers together; 0: no limit.
    std::size_t maxConnections = 0;
  };

  OutboundPool(event::Loop& aLoop, Options aOptions);

  struct PooledConnection
  {
    std::shared_ptr<OutboundConnection> connection; // null: no connection is available
    bool reused = false; // was idle in the pool, not newly opened
  };

  enum class Source
  {
    IdleOrNew,
    OnlyNew // idle connections are closed if they leave no room
  };

  /// Returns a connection to `aEndpoint` for one exchange: an idle connection of `aKey`,
  /// or a new one if fewer than `aMaxConnections` connections of the key are open. An
  /// idle connection of another key is closed if the pool has no room for a new one. The
  /// key names one incarnation of an upstream, so that a connection to an earlier
  /// incarnation at the same address is never used for its successor.
  PooledConnection take(const std::string& aKey,
                        const Endpoint& aEndpoint,
                        std::size_t aMaxConnections,
                        Source aSource = Source::IdleOrNew);

  /// Returns a connection to the pool after its exchange; it is closed unless it is
  /// reusable.
  void giveBack(const std::string& aKey,
                const std::shared_ptr<OutboundConnection>& aConnection);

  /// Closes idle connections of a key.
  void closeIdle(const std::string& aKey);

  /// Connections that are open now, idle ones included.
  std::size_t open() const;

  /// The same of one key.
  std::size_t open(const std::string& aKey) const;

  /// Connections opened since the start.
  std::uint64_t opened() const { return mOpened; }

private:
  struct IdleConnection
  {
    std::shared_ptr<OutboundConnection> connection;
    Instant expiry;
  };
  struct Entry
  {
    std::list<IdleConnection> idle;
    std::size_t open = 0;
  };
  void closeExpired();
  /// False if the pool is full and none of its connections is idle.
  bool makeRoom();

  event::Loop& mLoop;
  Options mOptions;
  std::map<std::string, Entry> mEntries;
  event::Watch mTimer;
  std::uint64_t mOpened = 0;
};

} // namespace savoryrill::link

namespace savoryrill {

template<>
struct EnumNames<link::ExchangeFault>
{
  static constexpr EnumTable<link::ExchangeFault, 4> kTable{ {
    { link::ExchangeFault::NotConnected, "not-connected" },
    { link::ExchangeFault::Broken, "broken" },
    { link::ExchangeFault::Malformed, "malformed" },
    { link::ExchangeFault::ConnectTimeout, "too-late" },
  } };
};

} // namespace savoryrill
