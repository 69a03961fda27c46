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

/// Why an exchange with an upstream ended without a whole response.
enum class ExchangeFault
{
  NotConnected, // no byte of the request left this process
  Broken,       // the connection ended after a part of the request was sent
  Malformed,    // bytes that are no response
  TooLate       // no connection in time; no byte of the request left this process
};

/// Receives the response to one request. Calls come from the loop, after `send` has
/// returned; each of them may cancel the exchange.
class IExchangeHandler
{
public:
  virtual ~IExchangeHandler() = default;
  /// True if a response head belongs to this request. A response that does not belong is
  /// skipped, and the connection is not used again.
  virtual bool matchesResponse(const ResponseHead& aHead) = 0;
  virtual void responseStarted(const ResponseHead& aHead) = 0;
  virtual void responseData(std::string_view aData) = 0;
  virtual void responseFinished() = 0;
  virtual void exchangeFailed(ExchangeFault aFault) = 0;
};

/// One connection to an upstream, which carries one request at a time. Nothing is ever
/// sent twice. Not thread safe.
class OutboundConnection
  : public std::enable_shared_from_this<OutboundConnection>
  , private IMessageListener
{
public:
  OutboundConnection(event::Loop& aLoop, Socket aSocket, Duration aConnectTimeout);
  ~OutboundConnection() override;

  /// Sends a serialised request. `aWithoutBody` says that the response to it has none
  /// whatever its headers announce. Precondition: `idle()`.
  void send(std::string aRequest, bool aWithoutBody, IExchangeHandler& aHandler);

  /// As above, for a request that needs a permission. It is asked for right before the
  /// first byte leaves, since the process may have been paused or the connection may have
  /// taken long; without it the exchange fails with NotConnected. Empty: it needs none.
  void sendIfPermitted(std::function<bool()> aIsPermitted,
                       std::string aRequest,
                       IExchangeHandler& aHandler);

  /// Ends the exchange and closes the connection with a reset; no handler call follows.
  void cancel();

  /// Stops and resumes reading, so that a slow caller does not fill the memory.
  void pause(bool aPaused);

  bool idle() const { return mHandler == nullptr && !mClosed; }
  bool closed() const { return mClosed; }
  bool reusable() const { return idle() && mReusable; }
  bool connected() const { return mConnected; }
  /// True once a byte of the current request has been handed to the socket.
  bool requestStarted() const { return mOutputSent > 0; }
  /// Time for which the peer keeps the connection open, if it said so.
  Duration keepAlive() const { return mKeepAlive; }
  /// True if the peer has sent something, or closed, while the connection was idle.
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

  event::Loop& mLoop;
  Socket mSocket;
  MessageParser mParser;
  IExchangeHandler* mHandler = nullptr;
  event::Watch mWatch;
  event::Watch mConnectTimer;
  std::string mOutput;
  std::size_t mOutputSent = 0;
  ResponseHead mHead;
  Duration mKeepAlive = Duration::zero();
  bool mWithoutBody = false;
  bool mSkipping = false;
  bool mMessageComplete = false;
  std::uint32_t mSkippedMessages = 0; // during this exchange
  std::size_t mSkippedBytes = 0;      // of their bodies
  std::function<bool()> mIsPermitted; // asked before the first byte of the request
  bool mConnected = false;
  bool mReusable = true;
  bool mClosed = false;
  bool mPaused = false;
  bool mWatchesWritable = false;
};

/// Idle connections, by upstream. Not thread safe.
class OutboundPool
{
public:
  struct Options
  {
    Duration connectTimeout = 400ms;
    Duration peerTimeout = 1500ms;  // without acknowledgement or keep-alive answer
    Duration maxIdle = 10s;         // of an idle connection
    Duration idleMargin = 1s;       // closed this long before the peer closes it
    Duration assumedKeepAlive = 4s; // if the peer does not say how long it keeps one
  };

  OutboundPool(event::Loop& aLoop, Options aOptions);

  struct Lease
  {
    std::shared_ptr<OutboundConnection> connection; // null: no connection can be made
    bool reused = false;
  };

  /// A connection to `aEndpoint` for one exchange: an idle one of `aKey`, else a new one
  /// if fewer than `aMaxConnections` of the key are open. The key names one incarnation
  /// of an upstream, so that a successor at the same address never gets an old
  /// connection.
  Lease take(const std::string& aKey,
             const Endpoint& aEndpoint,
             std::size_t aMaxConnections);

  /// Gives a connection back after its exchange; it is closed unless it can be used
  /// again.
  void giveBack(const std::string& aKey,
                const std::shared_ptr<OutboundConnection>& aConnection);

  /// Closes idle connections of a key.
  void closeIdle(const std::string& aKey);

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
    { link::ExchangeFault::TooLate, "too-late" },
  } };
};

} // namespace savoryrill
