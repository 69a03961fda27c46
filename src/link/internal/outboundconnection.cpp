#include "link/outboundconnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>
#include <sys/uio.h>

namespace savoryrill::link {

namespace {

constexpr std::size_t kReadBytes = 32UL * 1024;
// Input read in one iteration of the loop. A peer that sends as fast as this process
// reads would otherwise keep the loop from all other connections, timers and signals.
constexpr std::size_t kMaxReadBytesPerIteration = 2 * kReadBytes;
// Limits for interim responses and responses to other requests that precede the awaited
// response. A healthy upstream sends one or two; a faulty one may send them endlessly.
constexpr std::uint32_t kMaxSkippedMessages = 16;
constexpr std::size_t kMaxSkippedBytes = 256UL * 1024;

/// Time from a `Keep-Alive: timeout=SECONDS` header; zero if there is none.
Duration
parseKeepAlive(const HeaderList& aHeaders)
{
  const auto* value = findHeader(aHeaders, "keep-alive");
  if (value == nullptr) {
    return Duration::zero();
  }
  constexpr std::string_view kName = "timeout=";
  const auto at = value->find(kName);
  if (at == std::string::npos) {
    return Duration::zero();
  }
  std::uint32_t seconds = 0;
  std::from_chars(
    value->data() + at + kName.size(), value->data() + value->size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace

OutboundConnection::OutboundConnection(event::Loop& aLoop,
                                       Socket aSocket,
                                       Duration aConnectTimeout)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mParser(MessageParser::Kind::Response, *this)
{
  mConnectTimer = mLoop.after(aConnectTimeout, [this] {
    const auto self = shared_from_this();
    if (!mConnected) {
      failExchange(ExchangeFault::ConnectTimeout);
    }
  });
}

OutboundConnection::~OutboundConnection() = default;

void
OutboundConnection::send(std::string aRequest,
                         bool aWithoutBody,
                         IExchangeHandler& aHandler,
                         std::string_view aBody)
{
  mHandler = &aHandler;
  mOutput = std::move(aRequest);
  mBody = aBody;
  mOutputSent = 0;
  mWithoutBody = aWithoutBody;
  mSkipping = false;
  mMessageComplete = false;
  mSkippedMessages = 0;
  mSkippedBytes = 0;
  if (mConnected) {
    // Sent from the loop, so that the handler is never called inside `send`.
    mWatchesWritable = true;
    mWatch.reset();
  }
  watchSocket();
}

void
OutboundConnection::sendIfPermitted(std::function<bool()> aIsPermitted,
                                    std::string aRequest,
                                    IExchangeHandler& aHandler)
{
  mIsPermitted = std::move(aIsPermitted);
  send(std::move(aRequest), false, aHandler);
}

void
OutboundConnection::cancel()
{
  mHandler = nullptr;
  close(true);
}

void
OutboundConnection::pause(bool aPaused)
{
  if (mPaused != aPaused && !mClosed) {
    mPaused = aPaused;
    mWatch.reset();
    watchSocket();
  }
}

bool
OutboundConnection::hasUnexpectedInput()
{
  char byte = 0;
  const ssize_t size = recv(mSocket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
OutboundConnection::headReceived()
{
  mHead = ResponseHead{};
  mHead.status = mParser.status();
  mHead.reason = mParser.reason();
  mHead.headers = mParser.headers();
  const bool empty =
    mWithoutBody || mHead.status / 100 == 1 || mHead.status == 204 || mHead.status == 304;
  if (empty) {
    mHead.framing = Framing::None;
  } else if (mParser.chunked()) {
    mHead.framing = Framing::Chunked;
  } else if (mParser.hasLength()) {
    mHead.framing = Framing::Length;
    mHead.length = mParser.length();
  } else {
    mHead.framing = Framing::UntilClose;
  }
  if (mHead.status / 100 == 1) {
    mSkipping = true; // an interim response
    ++mSkippedMessages;
    return true;
  }
  mSkipping = mHandler == nullptr || !mHandler->matchesResponse(mHead);
  if (mSkipping) {
    mReusable = false;
    ++mSkippedMessages;
    return !mWithoutBody;
  }
  mReusable = mReusable && mParser.keepAlive() && mHead.framing != Framing::UntilClose;
  mKeepAlive = parseKeepAlive(mHead.headers);
  mHandler->responseStarted(mHead);
  return !mWithoutBody;
}

void
OutboundConnection::bodyReceived(std::string_view aData)
{
  if (mSkipping) {
    mSkippedBytes += aData.size();
  } else if (mHandler != nullptr) {
    mHandler->responseData(aData);
  }
}

void
OutboundConnection::messageReceived()
{
  mMessageComplete = true;
}

void
OutboundConnection::socketReady(event::Interest aInterest)
{
  const auto self = shared_from_this();
  if (!mConnected) {
    finishConnecting();
  }
  if (aInterest.writable && !mClosed && mConnected) {
    flush();
  }
  if (aInterest.readable && !mClosed && mConnected) {
    readInput();
  }
}

void
OutboundConnection::finishConnecting()
{
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(mSocket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    failExchange(ExchangeFault::NotConnected);
    return;
  }
  mConnected = true;
  mConnectTimer.reset();
}

void
OutboundConnection::flush()
{
  if (mIsPermitted && mOutputSent == 0 && !mOutput.empty()) {
    if (!std::exchange(mIsPermitted, nullptr)()) {
      failExchange(ExchangeFault::NotConnected);
      return;
    }
  }
  while (hasUnsentOutput()) {
    const auto head =
      std::string_view(mOutput).substr(std::min(mOutputSent, mOutput.size()));
    const auto body = mBody.substr(mOutputSent - std::min(mOutputSent, mOutput.size()));
    std::array<iovec, 2> parts{ { { const_cast<char*>(head.data()), head.size() },
                                  { const_cast<char*>(body.data()), body.size() } } };
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const ssize_t size = sendmsg(mSocket.fd(), &message, MSG_NOSIGNAL);
    if (size > 0) {
      mOutputSent += static_cast<std::size_t>(size);
    } else if (size < 0 && errno == EINTR) {
      continue;
    } else if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    } else if (mOutputSent == 0) {
      failExchange(ExchangeFault::NotConnected);
      return;
    } else {
      // The socket reports its error only once, so a later `recv` returns 0 as after an
      // orderly end. EPIPE: the upstream had ended its side in order before the reset.
      mInputBroken = errno != EPIPE;
      // The upstream may have sent a response before it closed the connection, so reading
      // continues. A value above 0 keeps the request marked as started.
      mReusable = false;
      discardOutput(1);
      break;
    }
  }
  if (!hasUnsentOutput() && mOutputSent > 0) {
    discardOutput(mOutputSent);
  }
  watchSocket();
}

void
OutboundConnection::readInput()
{
  std::array<char, kReadBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
  std::size_t total = 0;
  // The watch reports input that is left over in the next iteration.
  while (!mClosed && !mPaused && total < kMaxReadBytesPerIteration) {
    const ssize_t size = recv(mSocket.fd(), buffer.data(), buffer.size(), 0);
    if (size > 0) {
      total += static_cast<std::size_t>(size);
      parseInput({ buffer.data(), static_cast<std::size_t>(size) });
      if (static_cast<std::size_t>(size) < buffer.size()) {
        break;
      }
    } else if (size < 0 && errno == EINTR) {
      continue;
    } else if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    } else {
      handleInputEnd(size == 0 && !mInputBroken);
      return;
    }
  }
  if (!mClosed) {
    watchSocket();
  }
}

void
OutboundConnection::parseInput(std::string_view aData)
{
  while (!aData.empty() && !mClosed) {
    if (mHandler == nullptr) {
      close(true); // data without a request
      return;
    }
    const std::size_t taken = mParser.parse(aData);
    if (mClosed) {
      return; // cancelled by the handler
    }
    if (mParser.failed() || mParser.headTooLarge() ||
        mSkippedMessages > kMaxSkippedMessages || mSkippedBytes > kMaxSkippedBytes) {
      failExchange(ExchangeFault::Malformed);
      return;
    }
    aData.remove_prefix(taken);
    if (!mMessageComplete) {
      continue;
    }
    mMessageComplete = false;
    if (mSkipping) {
      mSkipping = false;
      continue;
    }
    if (hasUnsentOutput()) {
      mReusable = false; // the response came before the whole request was sent
    }
    if (!aData.empty()) {
      mReusable = false;
      aData = {};
    }
    auto* handler = std::exchange(mHandler, nullptr);
    discardOutput(0);
    if (!mReusable) {
      close(false);
    }
    handler->responseFinished();
    return;
  }
}

void
OutboundConnection::handleInputEnd(bool aOrderly)
{
  if (mHandler == nullptr) {
    close(false);
    return;
  }
  if (aOrderly && mParser.inMessage() && !mSkipping &&
      mHead.framing == Framing::UntilClose && mHead.status != 0) {
    mParser.finish();
    if (mMessageComplete && !mClosed) {
      auto* handler = std::exchange(mHandler, nullptr);
      close(false);
      handler->responseFinished();
      return;
    }
  }
  if (!mClosed) {
    failExchange(ExchangeFault::Broken);
  }
}

void
OutboundConnection::failExchange(ExchangeFault aFault)
{
  auto* handler = std::exchange(mHandler, nullptr);
  close(true);
  if (handler != nullptr) {
    handler->exchangeFailed(aFault);
  }
}

void
OutboundConnection::watchSocket()
{
  if (mClosed) {
    return;
  }
  const bool writable = !mConnected || hasUnsentOutput();
  const bool readable = mConnected && !mPaused;
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
OutboundConnection::close(bool aReset)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mReusable = false;
  discardOutput(mOutputSent);
  mWatch.reset();
  mConnectTimer.reset();
  if (aReset) {
    mSocket.reset();
  } else {
    mSocket.close();
  }
}

/// Releases the output. `aSent` above 0 keeps the request marked as started.
void
OutboundConnection::discardOutput(std::size_t aSent)
{
  std::string().swap(mOutput);
  mBody = {};
  mOutputSent = aSent;
}

OutboundPool::OutboundPool(event::Loop& aLoop, Options aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
{
  mTimer = mLoop.every(mOptions.idleMargin, [this] { closeExpired(); });
}

OutboundPool::PooledConnection
OutboundPool::take(const std::string& aKey,
                   const Endpoint& aEndpoint,
                   std::size_t aMaxConnections,
                   Source aSource)
{
  auto& entry = mEntries[aKey];
  if (aSource == Source::OnlyNew && entry.open >= aMaxConnections &&
      !entry.idle.empty()) {
    entry.idle.back().connection->cancel();
    entry.idle.pop_back();
    --entry.open;
  }
  while (aSource == Source::IdleOrNew && !entry.idle.empty()) {
    // The most recently used connection first, so that the others can expire.
    auto idle = std::move(entry.idle.back());
    entry.idle.pop_back();
    if (idle.connection->reusable() && mLoop.now() < idle.expiry &&
        !idle.connection->hasUnexpectedInput()) {
      return { idle.connection, true };
    }
    --entry.open;
    idle.connection->cancel();
  }
  if (entry.open >= aMaxConnections) {
    return {};
  }
  if (!makeRoom()) {
    return {};
  }
  auto socket = connectTo(aEndpoint, mOptions.peerTimeout);
  if (!socket) {
    return {};
  }
  ++entry.open;
  ++mOpened;
  return { std::make_shared<OutboundConnection>(
             mLoop, std::move(socket.value()), mOptions.connectTimeout),
           false };
}

void
OutboundPool::giveBack(const std::string& aKey,
                       const std::shared_ptr<OutboundConnection>& aConnection)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    aConnection->cancel();
    return;
  }
  if (!aConnection->reusable()) {
    --found->second.open;
    aConnection->cancel();
    return;
  }
  const auto announced = aConnection->keepAlive();
  const auto keep = announced > Duration::zero() ? announced : mOptions.assumedKeepAlive;
  const auto idle_time = std::min(keep - mOptions.idleMargin, mOptions.maxIdle);
  found->second.idle.push_back({ aConnection, mLoop.now() + idle_time });
}

void
OutboundPool::closeIdle(const std::string& aKey)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return;
  }
  for (const auto& idle : found->second.idle) {
    idle.connection->cancel();
  }
  found->second.open -= found->second.idle.size();
  found->second.idle.clear();
  if (found->second.open == 0) {
    mEntries.erase(found);
  }
}

bool
OutboundPool::makeRoom()
{
  if (mOptions.maxConnections == 0 || open() < mOptions.maxConnections) {
    return true;
  }
  for (auto& [key, entry] : mEntries) {
    if (!entry.idle.empty()) {
      entry.idle.front().connection->cancel();
      entry.idle.pop_front();
      --entry.open;
      return true;
    }
  }
  return false;
}

std::size_t
OutboundPool::open() const
{
  std::size_t open = 0;
  for (const auto& [key, entry] : mEntries) {
    open += entry.open;
  }
  return open;
}

std::size_t
OutboundPool::open(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? 0 : found->second.open;
}

void
OutboundPool::closeExpired()
{
  const auto now = mLoop.now();
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    auto& idle = entry->second.idle;
    for (auto item = idle.begin(); item != idle.end();) {
      if (item->connection->reusable() && now < item->expiry) {
        ++item;
        continue;
      }
      item->connection->cancel();
      --entry->second.open;
      item = idle.erase(item);
    }
    entry = entry->second.open == 0 ? mEntries.erase(entry) : std::next(entry);
  }
}

} // namespace savoryrill::link
