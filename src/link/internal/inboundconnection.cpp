#include "link/inboundconnection.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <sys/socket.h>

namespace savoryrill::link {

namespace {

constexpr std::size_t kReadBytes = 16UL * 1024;
// Input read in one iteration of the loop, so that a caller that sends without end leaves
// time for all other connections, timers and signals.
constexpr std::size_t kMaxReadBytesPerIteration = 4 * kReadBytes;
// Pipelined input that is buffered while a request is in progress; reading pauses above
// it.
constexpr std::size_t kMaxPipelinedBytes = 16UL * 1024;
// A connection is closed when its output stays unacknowledged for this time. It is above
// the longest pause that a stream may have.
constexpr Duration kCallerPeerTimeout = 6s;

// After a rejection, input is read and discarded for this long: closing a socket with
// unread input resets the connection, and the caller could lose the response.
constexpr Duration kLingerTime = 1s;

std::string
chunkHeader(std::size_t aSize)
{
  std::array<char, 20> text{};
  const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", aSize);
  return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

InboundConnection::InboundConnection(event::Loop& aLoop,
                                     Socket aSocket,
                                     IInboundHandler& aHandler)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mHandler(aHandler)
  , mParser(MessageParser::Kind::Request, *this)
{
  mParser.setMaxHeadBytes(aHandler.limits().maxHeadBytes);
}

InboundConnection::~InboundConnection() = default;

void
InboundConnection::start()
{
  prepareAccepted(mSocket, kCallerPeerTimeout);
  watchSocket();
  armTimer();
}

bool
InboundConnection::headReceived()
{
  const auto& headers = mParser.headers();
  if (mParser.hasLength() && mParser.length() > mHandler.limits().maxBodyBytes) {
    mBodyTooLarge = true;
  }
  const auto* expect = findHeader(headers, "expect");
  if (expect != nullptr && sameHeaderName(*expect, "100-continue") && !mBodyTooLarge) {
    mOutput += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  return true;
}

void
InboundConnection::bodyReceived(std::string_view aData)
{
  if (mBodyTooLarge || mBody.size() + aData.size() > mHandler.limits().maxBodyBytes) {
    mBodyTooLarge = true;
    mBody.clear();
    return;
  }
  mBody.append(aData);
}

void
InboundConnection::messageReceived()
{
  mMessageComplete = true;
}

void
InboundConnection::socketReady(event::Interest aInterest)
{
  const auto self = shared_from_this();
  if (aInterest.writable) {
    flush();
  }
  if (aInterest.readable && !mClosed) {
    readInput();
  }
}

void
InboundConnection::readInput()
{
  std::array<char, kReadBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
  std::size_t total = 0;
  // The watch reports input that is left over in the next iteration.
  while (!mClosed && !mCloseAfterOutput && total < kMaxReadBytesPerIteration) {
    const ssize_t size = recv(mSocket.fd(), buffer.data(), buffer.size(), 0);
    if (size > 0) {
      total += static_cast<std::size_t>(size);
      mInput.append(buffer.data(), static_cast<std::size_t>(size));
      if (static_cast<std::size_t>(size) < buffer.size() || mRequestActive) {
        break;
      }
      parseInput();
      continue;
    }
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    }
    // A caller that closes its side has disconnected, also while it waits for a response;
    // half-closed connections are not supported.
    mInputEnded = true;
    close(false);
    return;
  }
  parseInput();
  if (!mClosed) {
    watchSocket();
  }
}

void
InboundConnection::parseInput()
{
  while (!mRequestActive && !mClosed && !mCloseAfterOutput && !mInput.empty()) {
    const bool was_in_message = mParser.inMessage();
    const std::size_t taken = mParser.parse(mInput);
    if (mParser.headTooLarge()) {
      reject(431, "header lines are too large");
      return;
    }
    if (mParser.failed()) {
      reject(400, "malformed request");
      return;
    }
    mInput.erase(0, taken);
    if (mBodyTooLarge) {
      reject(413, "body is too large");
      return;
    }
    flush();
    if (!mMessageComplete) {
      if (!was_in_message) {
        armTimer();
      }
      return;
    }
    mMessageComplete = false;
    RequestMessage request;
    request.method = mParser.method();
    request.target = mParser.target();
    request.headers = mParser.headers();
    request.body = std::move(mBody);
    request.isHttp10 = mParser.isHttp10();
    mBody.clear();
    mRequestActive = true;
    mHeadSent = false;
    mIsHeadMethod = request.method == "HEAD";
    mIsHttp10 = request.isHttp10;
    mKeepAlive = mParser.keepAlive();
    mTimer.reset();
    mHandler.requestReceived(shared_from_this(), std::move(request));
  }
}

void
InboundConnection::reject(int aStatus, std::string_view aReason)
{
  mHandler.requestRejected(aStatus, aReason);
  mRejected = true;
  mRequestActive = true;
  mHeadSent = false;
  mIsHeadMethod = false;
  mKeepAlive = false;
  ResponseHead head;
  head.status = aStatus;
  head.reason = aReason;
  head.headers.push_back({ "Content-Type", "text/plain" });
  respond(head, aReason);
}

void
InboundConnection::sendHead(const ResponseHead& aHead)
{
  if (mClosed) {
    return;
  }
  mHeadSent = true;
  if (mHandler.closesConnections()) {
    mKeepAlive = false;
  }
  mOutput.append("HTTP/1.1 ").append(std::to_string(aHead.status)).append(" ");
  mOutput.append(aHead.reason).append("\r\n");
  for (const auto& header : aHead.headers) {
    if (!isHopByHopHeader(aHead.headers, header.name) &&
        !sameHeaderName(header.name, "content-length")) {
      mOutput.append(header.name).append(": ").append(header.value).append("\r\n");
    }
  }
  mChunked = false;
  if (aHead.framing == Framing::Length) {
    mOutput.append("Content-Length: ").append(std::to_string(aHead.length));
    mOutput.append("\r\n");
  } else if (aHead.framing != Framing::None) {
    if (mIsHttp10) {
      mKeepAlive = false;
    } else {
      mChunked = true;
      mOutput.append("Transfer-Encoding: chunked\r\n");
    }
  }
  if (!mKeepAlive) {
    mOutput.append("Connection: close\r\n");
  } else if (mIsHttp10) {
    mOutput.append("Connection: keep-alive\r\n");
  }
  mOutput.append("\r\n");
}

void
InboundConnection::sendData(std::string_view aData)
{
  if (mClosed || aData.empty() || mIsHeadMethod) {
    return;
  }
  if (mChunked) {
    mOutput.append(chunkHeader(aData.size())).append(aData).append("\r\n");
  } else {
    mOutput.append(aData);
  }
  flush();
}

void
InboundConnection::finish()
{
  if (mClosed) {
    return;
  }
  const auto self = shared_from_this();
  if (mChunked && !mIsHeadMethod) {
    mOutput.append("0\r\n\r\n");
  }
  mCloseAfterOutput = !mKeepAlive;
  resetRequest();
  flush();
  if (mClosed || mCloseAfterOutput) {
    return;
  }
  armTimer();
  if (!mInput.empty()) {
    // A pipelined request is parsed in a later iteration, not on the stack of `finish`.
    mLoop.post([weak = weak_from_this()] {
      if (const auto connection = weak.lock()) {
        connection->parseInput();
        if (!connection->mClosed) {
          connection->watchSocket();
        }
      }
    });
  }
}

void
InboundConnection::resetRequest()
{
  mRequestActive = false;
  mHeadSent = false;
  mCallerLeftCallback = nullptr;
  mOutputSentCallback = nullptr;
}

void
InboundConnection::abort()
{
  resetRequest();
  close(true);
}

void
InboundConnection::respond(const ResponseHead& aHead, std::string_view aBody)
{
  ResponseHead head = aHead;
  head.framing = Framing::Length;
  head.length = aBody.size();
  sendHead(head);
  sendData(aBody);
  finish();
}

void
InboundConnection::flush()
{
  const bool had_output = mOutputSent < mOutput.size();
  while (!mClosed && mOutputSent < mOutput.size()) {
    const ssize_t size = send(mSocket.fd(),
                              mOutput.data() + mOutputSent,
                              mOutput.size() - mOutputSent,
                              MSG_NOSIGNAL);
    if (size > 0) {
      mOutputSent += static_cast<std::size_t>(size);
    } else if (size < 0 && errno == EINTR) {
      continue;
    } else if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    } else {
      close(true);
      return;
    }
  }
  if (mClosed) {
    return;
  }
  if (mOutputSent == mOutput.size()) {
    mOutput.clear();
    mOutputSent = 0;
    if (mCloseAfterOutput) {
      if (mRejected) {
        linger();
      } else {
        close(false);
      }
      return;
    }
    if (had_output && mOutputSentCallback) {
      const auto callback = mOutputSentCallback;
      callback();
    }
  } else if (mOutputSent > kReadBytes) {
    mOutput.erase(0, mOutputSent);
    mOutputSent = 0;
  }
  if (!mClosed) {
    watchSocket();
  }
}

void
InboundConnection::linger()
{
  if (mLingering) {
    return;
  }
  mLingering = true;
  (void)shutdown(mSocket.fd(), SHUT_WR);
  mTimer = mLoop.after(kLingerTime, [this] {
    const auto self = shared_from_this();
    close(true);
  });
  mWatch = mLoop.watch(mSocket.fd(), { true, false }, [this](event::Interest) {
    const auto self = shared_from_this();
    std::array<char, kReadBytes> discarded; // NOLINT
    const ssize_t size = recv(mSocket.fd(), discarded.data(), discarded.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
      close(false);
    }
  });
}

void
InboundConnection::watchSocket()
{
  const bool writable = mOutputSent < mOutput.size();
  const bool readable =
    !mInputEnded && !mCloseAfterOutput && mInput.size() < kMaxPipelinedBytes;
  if (mWatch && writable == mWatchesWritable && readable == mWatchesReadable) {
    return;
  }
  mWatchesWritable = writable;
  mWatchesReadable = readable;
  mWatch.reset();
  if (writable || readable) {
    mWatch = mLoop.watch(mSocket.fd(),
                         { readable, writable },
                         [this](event::Interest aInterest) { socketReady(aInterest); });
  }
}

void
InboundConnection::armTimer()
{
  const auto& limits = mHandler.limits();
  if (mParser.inMessage()) {
    mTimer = mLoop.after(limits.receiveTimeout, [this] {
      const auto self = shared_from_this();
      reject(408, "request did not arrive in time");
    });
  } else {
    mTimer = mLoop.after(limits.idleTimeout, [this] {
      const auto self = shared_from_this();
      if (!mRequestActive) {
        close(false);
      }
    });
  }
}

/// True if the kernel holds unread input, which may be a request that needs a response.
bool
InboundConnection::hasUnreadInput() const
{
  char byte = 0;
  return recv(mSocket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
InboundConnection::closeIfIdle()
{
  if (!mRequestActive && !mParser.inMessage() && mInput.empty() && unsentBytes() == 0 &&
      !hasUnreadInput()) {
    close(false);
  }
}

void
InboundConnection::close(bool aReset)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mWatch.reset();
  mTimer.reset();
  if (aReset) {
    mSocket.reset();
  } else {
    mSocket.close();
  }
  const auto left = std::move(mCallerLeftCallback);
  mCallerLeftCallback = nullptr;
  mOutputSentCallback = nullptr;
  if (mRequestActive && left) {
    left();
  }
  mRequestActive = false;
  if (mClosedCallback) {
    const auto closed_callback = std::move(mClosedCallback);
    mClosedCallback = nullptr;
    closed_callback(this);
  }
}

Result<std::unique_ptr<Listener>>
Listener::create(event::Loop& aLoop,
                 const Endpoint& aEndpoint,
                 IInboundHandler& aHandler,
                 std::size_t aMaxConnections)
{
  BOOST_OUTCOME_TRY(socket, listenOn(aEndpoint));
  return std::unique_ptr<Listener>(
    new Listener(aLoop, std::move(socket), aHandler, aMaxConnections));
}

Listener::Listener(event::Loop& aLoop,
                   Socket aSocket,
                   IInboundHandler& aHandler,
                   std::size_t aMaxConnections)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mHandler(aHandler)
  , mMaxConnections(aMaxConnections)
{
  mWatch =
    mLoop.watch(mSocket.fd(), { true, false }, [this](event::Interest) { acceptAll(); });
}

Listener::~Listener()
{
  for (const auto& connection : mConnections) {
    connection->onClosed(nullptr);
  }
}

void
Listener::stop()
{
  if (mSocket) {
    // Closing the socket would reset connections that are still in the accept queue.
    acceptAll();
  }
  mWatch.reset();
  mSocket.close();
}

void
Listener::closeIdle()
{
  const auto connections = mConnections;
  for (const auto& connection : connections) {
    connection->closeIfIdle();
  }
}

void
Listener::acceptAll()
{
  while (true) {
    Socket accepted(
      accept4(mSocket.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!accepted) {
      return;
    }
    if (mConnections.size() >= mMaxConnections) {
      continue; // closed without reading a request, so callers may retry safely
    }
    auto connection =
      std::make_shared<InboundConnection>(mLoop, std::move(accepted), mHandler);
    connection->onClosed([this, weak = std::weak_ptr(connection)](InboundConnection*) {
      // Erased in a later iteration, as a member function of the connection may be
      // running.
      mLoop.post([this, weak] {
        if (const auto closed = weak.lock()) {
          mConnections.erase(closed);
        }
      });
    });
    mConnections.insert(connection);
    connection->start();
  }
}

} // namespace savoryrill::link
