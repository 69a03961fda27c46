#include "link/inboundconnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <linux/sockios.h>
#include <sys/ioctl.h>
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
// The discarded input is read slowly and up to a limit, so that a caller that sends
// without end costs little: 1.6 MB/s and 1 MB. It is enough for a caller to come to the
// end of a body that is a little too large.
constexpr Duration kDiscardPause = 10ms;
constexpr std::size_t kMaxDiscardedBytes = 1024UL * 1024;

// A caller whose host confirms no byte of the output for this many checks has stopped
// reading. Together as long as `kCallerPeerTimeout`. Checks are counted, not time, so
// that a suspended process does not disconnect its callers.
constexpr Duration kUnreadCheckPeriod = 1s;
constexpr int kMaxUnreadChecks = 6;

// What a connection takes without buffers: the object, its watches and callbacks.
constexpr std::size_t kConnectionMemory = 2UL * 1024;
// Output up to this size is sent without new allocations.
constexpr std::size_t kKeptOutputBytes = 4UL * 1024;

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
                                     IInboundHandler& aHandler,
                                     MemoryBudget* aBudget)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mHandler(aHandler)
  , mParser(MessageParser::Kind::Request, *this)
  , mBudget(aBudget)
  , mIdleSince(aLoop.now())
{
  mParser.setMaxHeadBytes(aHandler.limits().maxHeadBytes);
  if (mBudget != nullptr) {
    mAccount =
      std::make_shared<MemoryAccount>(*mBudget, static_cast<IMemoryHolder&>(*this));
    mConnectionCharge = charge(MemoryKind::Connection);
    mHeadCharge = charge(MemoryKind::Head);
    mBodyCharge = charge(MemoryKind::Body);
    mInputCharge = charge(MemoryKind::Input);
    mOutputCharge = charge(MemoryKind::Output);
    mRequestCharge = charge(MemoryKind::Request);
    mConnectionCharge.set(kConnectionMemory);
  }
}

InboundConnection::~InboundConnection()
{
  if (mAccount) {
    mAccount->detach(); // charges of others may outlive the connection
  }
}

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
  if (mAccount && mParser.hasLength()) {
    mAccount->setExpectedBytes(static_cast<std::size_t>(mParser.length()));
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
    releaseBuffer(mBody);
    return;
  }
  appendGrowing(mBody,
                aData,
                mParser.hasLength() ? static_cast<std::size_t>(mParser.length())
                                    : mHandler.limits().maxBodyBytes);
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
    close(false, CloseReason::CallerLeft);
    return;
  }
  parseInput();
  updateCharges();
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
    if (mParser.failed() || mParser.tooManyEmptyLines()) {
      reject(400, "malformed request");
      return;
    }
    mInput.erase(0, taken);
    if (mInput.empty()) {
      releaseBuffer(mInput);
    }
    const bool in_message = mParser.inMessage() || mMessageComplete;
    if (mAccount && in_message) {
      if (!was_in_message) {
        mAccount->startRequest(mHandler.limits().maxBodyBytes, mLoop.now());
        if (mParser.length() > 0) {
          // The head came in one read, and its length is known already.
          mAccount->setExpectedBytes(static_cast<std::size_t>(mParser.length()));
        }
      }
      mAccount->recordProgress(taken, mLoop.now());
    }
    if (mBodyTooLarge) {
      reject(413, "body is too large");
      return;
    }
    flush();
    if (mClosed) {
      return; // the body has been released, so the request must not be handled
    }
    updateCharges();
    if (mMessageComplete) {
      setRequestStage(MemoryAccount::Stage::Waiting);
    }
    if (!makeRoom()) {
      return;
    }
    if (!mMessageComplete) {
      if (!was_in_message && in_message) {
        armTimer(); // empty lines do not prolong the idle time
      }
      return;
    }
    handleRequest();
  }
}

void
InboundConnection::handleRequest()
{
  mMessageComplete = false;
  RequestMessage request;
  request.method = mParser.method();
  const std::size_t head_memory = mParser.headMemory();
  request.target = mParser.takeTarget();
  request.headers = mParser.takeHeaders();
  request.body = std::exchange(mBody, {});
  request.isHttp10 = mParser.isHttp10();
  releaseBuffer(mBody);
  mRequestActive = true;
  mHeadSent = false;
  mIsHeadMethod = request.method == "HEAD";
  mIsHttp10 = request.isHttp10;
  mKeepAlive = mParser.keepAlive();
  mTimer.reset();
  updateCharges();
  mRequestCharge.set(head_memory + bufferMemory(request.body));
  mHandler.requestReceived(shared_from_this(), std::move(request));
}

void
InboundConnection::setRequestStage(MemoryAccount::Stage aStage)
{
  if (mAccount) {
    mAccount->setStage(aStage);
  }
}

void
InboundConnection::updateCharges()
{
  const bool collects = !mRequestActive && !mClosed;
  mHeadCharge.set(collects ? mParser.headMemory() : 0);
  mBodyCharge.set(bufferMemory(mBody));
  mInputCharge.set(bufferMemory(mInput));
  mOutputCharge.set(unsentBytes() == 0 ? 0 : bufferMemory(mOutput));
}

bool
InboundConnection::makeRoom()
{
  if (mBudget == nullptr) {
    return true;
  }
  // Complete requests are not ended here, but in a later iteration of the loop, since
  // this may run while one of them is being handled.
  while (mBudget->exceeded() && mBudget->evictOne(true, mLoop.now())) {
    if (mClosed || mRejected) {
      return false;
    }
  }
  return true;
}

void
InboundConnection::giveUpMemory()
{
  const auto self = shared_from_this();
  if (mClosed) {
    return;
  }
  if (mRequestActive && mMemoryNeededCallback) {
    const auto callback = mMemoryNeededCallback;
    callback();
  } else if (!mRequestActive && unsentBytes() == 0) {
    reject(503, "Service Unavailable"); // it has not been received in full
  } else {
    close(true, CloseReason::Memory);
  }
}

void
InboundConnection::reject(int aStatus, std::string_view aReason)
{
  mHandler.requestRejected(aStatus, aReason);
  mRejected = true;
  mMessageComplete = false;
  mTimer.reset();
  releaseBuffer(mBody);
  releaseBuffer(mInput);
  mRequestActive = true;
  mHeadSent = false;
  mIsHeadMethod = false;
  mKeepAlive = false;
  updateCharges();
  ResponseHead head;
  head.status = aStatus;
  head.reason = aReason;
  head.headers.push_back({ "Content-Type", "text/plain" });
  if (aStatus == 503) {
    head.headers.push_back({ "Retry-After", "1" });
  }
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
    mOutput.append(chunkHeader(aData.size()));
    appendGrowing(mOutput, aData, mOutput.size() + aData.size() + 2);
    mOutput.append("\r\n");
  } else {
    appendGrowing(mOutput, aData, mOutput.size() + aData.size());
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
  mMemoryNeededCallback = nullptr;
  mRequestCharge.set(0);
  mIdleSince = mLoop.now();
  setRequestStage(MemoryAccount::Stage::Idle);
}

void
InboundConnection::abort()
{
  resetRequest();
  close(true, CloseReason::Aborted);
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
      mAcceptedBytes += static_cast<std::uint64_t>(size);
    } else if (size < 0 && errno == EINTR) {
      continue;
    } else if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    } else {
      close(true, CloseReason::Broken);
      return;
    }
  }
  if (mClosed) {
    return;
  }
  if (mOutputSent == mOutput.size()) {
    outputSent();
    if (mCloseAfterOutput) {
      if (mRejected) {
        linger();
      } else {
        close(false, CloseReason::Complete);
      }
      return;
    }
    if (had_output && !mRequestActive) {
      mIdleSince = mLoop.now();
    }
    if (had_output && mOutputSentCallback) {
      const auto callback = mOutputSentCallback;
      callback();
    }
  } else {
    if (mOutputSent > kReadBytes) {
      mOutput.erase(0, mOutputSent);
      mOutputSent = 0;
    }
    mOutputCharge.set(bufferMemory(mOutput));
    watchUnreadOutput();
  }
  if (!mClosed) {
    watchSocket();
  }
}

void
InboundConnection::outputSent()
{
  mOutput.clear();
  mOutputSent = 0;
  if (mOutput.capacity() > kKeptOutputBytes) {
    releaseBuffer(mOutput);
  }
  mOutputCharge.set(0);
  mUnreadTimer.reset();
  mUnreadChecks = 0;
}

void
InboundConnection::watchUnreadOutput()
{
  if (!mUnreadTimer) {
    mUnreadChecks = 0;
    if (mAccount) {
      mAccount->recordProgress(0, mLoop.now());
    }
    mUnreadTimer = mLoop.every(kUnreadCheckPeriod, [this] {
      const auto self = shared_from_this();
      checkUnreadOutput();
    });
  }
}

/// The socket's buffer may be so large that a steady slow reader makes no room in it for
/// a long time. So the bytes are counted that the caller's host has confirmed.
void
InboundConnection::checkUnreadOutput()
{
  int unconfirmed = 0;
  if (ioctl(mSocket.fd(), SIOCOUTQ, &unconfirmed) != 0) {
    unconfirmed = 0;
  }
  const std::uint64_t read =
    mAcceptedBytes - std::min(mAcceptedBytes, static_cast<std::uint64_t>(unconfirmed));
  if (read > mReadBytes) {
    mReadBytes = read;
    mUnreadChecks = 0;
    if (mAccount) {
      mAccount->recordProgress(0, mLoop.now());
    }
  } else if (++mUnreadChecks >= kMaxUnreadChecks) {
    close(true, CloseReason::Unread);
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
  mWatch.reset();
  mTimer = mLoop.after(kLingerTime, [this] {
    const auto self = shared_from_this();
    close(true, CloseReason::Rejected);
  });
  mDiscardTimer = mLoop.every(kDiscardPause, [this] {
    const auto self = shared_from_this();
    discardInput();
  });
}

void
InboundConnection::discardInput()
{
  std::array<char, kReadBytes>
    discarded; // NOLINT(cppcoreguidelines-pro-type-member-init)
  const ssize_t size = recv(mSocket.fd(), discarded.data(), discarded.size(), 0);
  if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
    close(false, CloseReason::Rejected);
    return;
  }
  mDiscardedBytes += static_cast<std::size_t>(std::max<ssize_t>(0, size));
  if (mDiscardedBytes >= kMaxDiscardedBytes) {
    // The caller still has the rest of the time to read its response.
    mDiscardTimer.reset();
  }
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
      if (mRequestActive) {
        return;
      }
      if (unsentBytes() > 0) {
        // A caller that reads a response slowly is not idle. One that has stopped is
        // disconnected by `checkUnreadOutput`.
        armTimer();
        return;
      }
      close(false, CloseReason::Idle);
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

std::optional<Instant>
InboundConnection::idleSince() const
{
  const bool idle = !mClosed && (mLingering || (!mRequestActive && !mParser.inMessage() &&
                                                mInput.empty() && unsentBytes() == 0));
  return idle ? std::optional(mIdleSince) : std::nullopt;
}

bool
InboundConnection::closeIfIdle(CloseReason aReason)
{
  // A rejected request has had its response, whatever the caller goes on to send. It is
  // left the time to read that unless its place is needed.
  const bool answered = mLingering && aReason == CloseReason::Displaced;
  if (!idleSince() || (mLingering && !answered) || (!answered && hasUnreadInput())) {
    return false;
  }
  const auto self = shared_from_this();
  close(false, aReason);
  return true;
}

void
InboundConnection::close(bool aReset, CloseReason aReason)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mWatch.reset();
  mTimer.reset();
  mUnreadTimer.reset();
  mDiscardTimer.reset();
  releaseBuffer(mBody);
  releaseBuffer(mInput);
  releaseBuffer(mOutput);
  mOutputSent = 0;
  updateCharges();
  mConnectionCharge.set(0);
  if (mAccount) {
    mAccount->detach();
  }
  mHandler.connectionClosed(aReason);
  if (aReset) {
    mSocket.reset();
  } else {
    mSocket.close();
  }
  const auto left = std::move(mCallerLeftCallback);
  mCallerLeftCallback = nullptr;
  mOutputSentCallback = nullptr;
  mMemoryNeededCallback = nullptr;
  if (mRequestActive && left) {
    left();
  }
  mRequestActive = false;
  mRequestCharge.set(0);
  if (mClosedCallback) {
    const auto closed_callback = std::move(mClosedCallback);
    mClosedCallback = nullptr;
    closed_callback(this);
  }
}

} // namespace savoryrill::link
