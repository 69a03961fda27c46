#include "testing/internal/proxyconnection.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <sys/socket.h>
#include <utility>

namespace savoryrill::testing {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// Back pressure towards the sender, so that a stalled connection holds bounded memory.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
// A target that is silent for this time after a lost answer has sent all of it.
constexpr Duration kDrainSilence = 250ms;
constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();

bool
wouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

ProxyConnection::ProxyConnection(event::Loop& aLoop,
                                 Socket aCaller,
                                 Endpoint aTarget,
                                 const ProxyFault& aFault,
                                 Hooks aHooks)
  : mLoop(aLoop)
  , mTarget(std::move(aTarget))
  , mFault(aFault)
  , mHooks(std::move(aHooks))
{
  mCaller.socket = std::move(aCaller);
}

void
ProxyConnection::start()
{
  if (mFault.kind == FaultKind::Cut) {
    end("cut", true);
    return;
  }
  if (!(stalled(true) && stalled(false))) {
    connectTarget();
  }
  updateWatches();
}

void
ProxyConnection::connectTarget()
{
  auto socket = connectTo(mTarget);
  if (!socket) {
    end("target unreachable", true);
    return;
  }
  mUpstream.socket = std::move(socket.value());
}

void
ProxyConnection::setFault(const ProxyFault& aFault)
{
  if (mEnded) {
    return;
  }
  mFault = aFault;
  mFaultBytes = 0;
  mFaultBytesToCaller = 0;
  if (mFault.kind == FaultKind::Cut) {
    end("cut", true);
    return;
  }
  if (!mUpstream.socket.open() && !(stalled(true) && stalled(false))) {
    connectTarget();
  }
  pump();
}

bool
ProxyConnection::stalled(bool aToCaller) const
{
  const auto other = aToCaller ? Direction::ToTarget : Direction::ToCaller;
  return mFault.kind == FaultKind::Blackhole && mFault.direction != other;
}

void
ProxyConnection::read(Side& aSource, Pipe& aPipe)
{
  char buffer[kReadBytes];
  const ssize_t got = ::recv(aSource.socket.fd(), buffer, sizeof buffer, 0);
  if (got > 0) {
    aPipe.chunks.push_back(
      { mLoop.now() + mFault.delay, std::string(buffer, static_cast<size_t>(got)) });
    aPipe.buffered += static_cast<std::size_t>(got);
  } else if (got == 0) {
    aPipe.sourceEnded = true;
  } else if (!wouldBlock()) {
    end("reset by a peer", true);
  }
}

void
ProxyConnection::pump()
{
  if (!mEnded && mConnected && !mDraining) {
    flush(mToTarget, mUpstream, false);
  }
  if (!mEnded && !mDraining) {
    flush(mToCaller, mCaller, true);
  }
  if (!mEnded) {
    finishIfOver();
  }
  if (!mEnded) {
    updateWatches();
    scheduleDelayed();
  }
}

/// Bytes that the fault still lets through in a direction.
std::uint64_t
ProxyConnection::allowance(bool aToCaller) const
{
  const auto left = [&](std::uint64_t aUsed) {
    return mFault.afterBytes - std::min(aUsed, mFault.afterBytes);
  };
  switch (mFault.kind) {
    case FaultKind::Reset:
      return left(mFaultBytes);
    case FaultKind::Truncate:
      return aToCaller ? left(mFaultBytesToCaller) : kUnlimited;
    case FaultKind::LoseAnswer:
      return aToCaller ? 0 : kUnlimited;
    default:
      return kUnlimited;
  }
}

void
ProxyConnection::flush(Pipe& aPipe, Side& aDestination, bool aToCaller)
{
  while (!aPipe.chunks.empty() && aPipe.chunks.front().due <= mLoop.now() &&
         !stalled(aToCaller)) {
    const std::uint64_t allowed = allowance(aToCaller);
    if (allowed == 0) {
      strike(aToCaller);
      return;
    }
    const std::size_t limit =
      std::min<std::uint64_t>(allowed, aPipe.chunks.front().data.size());
    const std::uint64_t before = aPipe.total;
    const bool took_all = forward(aPipe, aDestination, limit);
    const std::uint64_t moved = aPipe.total - before;
    mFaultBytes += moved;
    mFaultBytesToCaller += aToCaller ? moved : 0;
    if (!took_all) {
      return;
    }
  }
  // A truncation at the exact end of the data strikes without waiting for more.
  const bool exhausted = allowance(aToCaller) == 0 && mFault.afterBytes > 0;
  if (!mEnded && exhausted && aPipe.total > 0) {
    strike(aToCaller);
    return;
  }
  if (aPipe.chunks.empty() && aPipe.sourceEnded && !aPipe.endForwarded &&
      !stalled(aToCaller)) {
    aPipe.endForwarded = true;
    ::shutdown(aDestination.socket.fd(), SHUT_WR);
  }
}

/// Sends up to `aLimit` bytes of the first chunk; false if the socket takes no more.
bool
ProxyConnection::forward(Pipe& aPipe, Side& aDestination, std::size_t aLimit)
{
  auto& data = aPipe.chunks.front().data;
  const ssize_t sent =
    ::send(aDestination.socket.fd(), data.data(), aLimit, MSG_NOSIGNAL);
  if (sent < 0) {
    if (!wouldBlock()) {
      end("reset by a peer", true);
    }
    return false;
  }
  aPipe.total += static_cast<std::uint64_t>(sent);
  aPipe.buffered -= static_cast<std::size_t>(sent);
  data.erase(0, static_cast<std::size_t>(sent));
  if (data.empty()) {
    aPipe.chunks.pop_front();
  }
  return static_cast<std::size_t>(sent) == aLimit;
}

void
ProxyConnection::strike(bool aToCaller)
{
  const FaultKind kind = mFault.kind;
  mHooks.onStruck();
  if (kind == FaultKind::LoseAnswer && aToCaller) {
    loseAnswer();
  } else if (kind == FaultKind::Truncate) {
    end("answer truncated", false);
  } else {
    end("reset after bytes", true);
  }
}

void
ProxyConnection::loseAnswer()
{
  mDraining = true;
  mToCaller.chunks.clear();
  mToCaller.buffered = 0;
  mCaller.watch.reset();
  mCaller.socket.close();
  drainTarget();
}

/// Lets the target send its whole answer, which is discarded, so that the target itself
/// does not see a broken connection in the middle.
void
ProxyConnection::drainTarget()
{
  mToCaller.chunks.clear();
  mToCaller.buffered = 0;
  if (mToCaller.sourceEnded) {
    end("answer lost", false);
    return;
  }
  mTimer = mLoop.after(kDrainSilence, [this] { end("answer lost", false); });
}

void
ProxyConnection::finishIfOver()
{
  if (mToTarget.endForwarded && mToCaller.endForwarded) {
    end("closed by both", false);
  }
}

void
ProxyConnection::end(const char* aReason, bool aReset)
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  mTimer.reset();
  for (Side* side : { &mCaller, &mUpstream }) {
    side->watch.reset();
    if (aReset) {
      side->socket.reset();
    } else {
      side->socket.close();
    }
  }
  mHooks.onEnd(aReason);
}

void
ProxyConnection::scheduleDelayed()
{
  if (mDraining) {
    return;
  }
  const Instant now = mLoop.now();
  Duration next = Duration::max();
  for (const Pipe* pipe : { &mToTarget, &mToCaller }) {
    if (!pipe->chunks.empty() && pipe->chunks.front().due > now) {
      next = std::min(next, pipe->chunks.front().due - now);
    }
  }
  mTimer.reset();
  if (next != Duration::max()) {
    mTimer = mLoop.after(next, [this] { pump(); });
  }
}

void
ProxyConnection::updateWatches()
{
  const auto wants_write = [&](const Pipe& aPipe) {
    return !aPipe.chunks.empty() && aPipe.chunks.front().due <= mLoop.now();
  };
  const auto wants_read = [](const Pipe& aPipe) {
    return !aPipe.sourceEnded && aPipe.buffered < kMaxBufferedBytes;
  };
  const bool to_target = !stalled(false);
  const bool to_caller = !stalled(true);
  // A descriptor of a stalled direction is not watched, so that not even a reset passes.
  if (mCaller.socket.open()) {
    updateWatch(
      mCaller,
      true,
      { to_target && wants_read(mToTarget), to_caller && wants_write(mToCaller) });
  }
  if (mUpstream.socket.open()) {
    updateWatch(mUpstream,
                false,
                { to_caller && mConnected && (mDraining || wants_read(mToCaller)),
                  to_target && (!mConnected || wants_write(mToTarget)) });
  }
}

void
ProxyConnection::updateWatch(Side& aSide, bool aIsCaller, event::Interest aInterest)
{
  const bool same = aSide.interest.readable == aInterest.readable &&
                    aSide.interest.writable == aInterest.writable;
  if (same) {
    return;
  }
  aSide.interest = aInterest;
  aSide.watch.reset();
  if (!aInterest.readable && !aInterest.writable) {
    return;
  }
  aSide.watch = mLoop.watch(
    aSide.socket.fd(), aInterest, [this, &aSide, aIsCaller](event::Interest aReady) {
      if (aReady.writable && !aIsCaller) {
        mConnected = true;
      }
      if (aReady.readable) {
        read(aSide, aIsCaller ? mToTarget : mToCaller);
      }
      if (!mEnded && mDraining) {
        drainTarget();
      }
      if (!mEnded) {
        pump();
      }
    });
}

} // namespace savoryrill::testing
