#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/types/time.h"
#include "link/types/memorykind.h"

namespace savoryrill::link {

class MemoryBudget;

/// A connection that can release the memory that is held for it.
class IMemoryHolder
{
public:
  virtual ~IMemoryHolder() = default;
  /// Refuses the request or closes the connection.
  virtual void giveUpMemory() = 0;
};

/// The memory that is held for one caller's connection, and how far its request is. Not
/// thread safe.
class MemoryAccount
{
public:
  /// Later stages are given up later.
  enum class Stage
  {
    Incomplete, // the request is being received
    Unread,     // the caller does not read the response as fast as it arrives
    Waiting,    // the request is complete and has not been sent to an upstream
    Running,
    Idle // no request; never given up for its memory
  };

  /// Preconditions: `aBudget` outlives the account, `aHolder` until `detach`.
  MemoryAccount(MemoryBudget& aBudget, IMemoryHolder& aHolder);
  ~MemoryAccount();
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /// The connection is closed: it is not chosen any more.
  void detach() { mHolder = nullptr; }

  /// A request begins to arrive. `aExpectedBytes`: its size, or the limit if unknown.
  void startRequest(std::size_t aExpectedBytes, Instant aNow);
  void setExpectedBytes(std::size_t aBytes) { mExpectedBytes = aBytes; }
  void recordProgress(std::size_t aBytes, Instant aNow);
  void setStage(Stage aStage) { mStage = aStage; }

  /// The stage, or Unread while output has not been accepted by the caller.
  Stage stage() const;
  std::size_t bytes() const { return mTotal; }
  std::size_t bytes(MemoryKind aKind) const
  {
    return mBytes[static_cast<std::size_t>(aKind)];
  }

private:
  friend class MemoryBudget;
  friend class MemoryCharge;
  void change(MemoryKind aKind, std::size_t aFrom, std::size_t aTo);
  /// Part of the expected bytes that arrive in a second. Time without any progress counts
  /// several times.
  double progress(Instant aNow) const;

  MemoryBudget& mBudget;
  IMemoryHolder* mHolder;
  bool mGaveUp = false; // for the current request
  std::array<std::size_t, kMemoryKinds> mBytes{};
  std::size_t mTotal = 0;
  Stage mStage = Stage::Idle;
  std::size_t mExpectedBytes = 1;
  std::size_t mProgressBytes = 0;
  Instant mStarted{};
  Instant mLastProgress{};
};

/// A part of the memory of an account, released when the charge is destroyed. A charge
/// without an account counts nothing. Not thread safe.
class MemoryCharge
{
public:
  MemoryCharge() = default;
  MemoryCharge(std::shared_ptr<MemoryAccount> aAccount, MemoryKind aKind)
    : mAccount(std::move(aAccount))
    , mKind(aKind)
  {
  }
  MemoryCharge(MemoryCharge&& aOther) noexcept;
  MemoryCharge& operator=(MemoryCharge&& aOther) noexcept;
  ~MemoryCharge() { set(0); }

  /// Changes the amount that is held now.
  void set(std::size_t aBytes);
  std::size_t bytes() const { return mBytes; }

private:
  std::shared_ptr<MemoryAccount> mAccount;
  MemoryKind mKind = MemoryKind::Connection;
  std::size_t mBytes = 0;
};

/// Counts the memory that a process holds for the connections of callers, and chooses
/// what is given up when there is too much of it.
///
/// Load pattern: many callers send nearly all of a large body and then stop, or do not
/// read their responses. Each of them is within the limits of a connection; their sum is
/// not within the memory of the host. A part of the budget is reserved for small
/// requests, so that ordinary callers are served meanwhile.
///
/// Uses no clock, sockets or files. Not thread safe.
class MemoryBudget
{
public:
  /// Requests up to this size may use the reserve. Ordinary requests have a few thousand
  /// tokens, which take less.
  static constexpr std::size_t kSmallRequestBytes = 64UL * 1024;

  /// Preconditions: accounts are destroyed before the budget.
  explicit MemoryBudget(std::size_t aLimit);

  std::size_t limit() const { return mLimit; }
  std::size_t reserve() const { return mReserve; }
  std::size_t bytes() const { return mTotal; }
  std::size_t bytes(MemoryKind aKind) const
  {
    return mBytes[static_cast<std::size_t>(aKind)];
  }
  std::size_t accounts() const { return mAccounts.size(); }

  /// True while more memory is held than allowed.
  bool exceeded() const { return mTotal > mLimit || largeExceeded(); }

  /// Makes the connection that should release its memory first do so; false if there is
  /// none. With `aOnlyIncomplete`, only requests that are being received are chosen: this
  /// is safe while another request is being handled.
  bool evictOne(bool aOnlyIncomplete, Instant aNow);

  /// Sets a callback that runs when memory has to be given up by complete requests. It
  /// must defer its work to a later iteration of the loop.
  void onShortage(std::function<void()> aCallback) { mOnShortage = std::move(aCallback); }

  /// Connections that were made to release their memory, since the start.
  std::uint64_t evicted() const { return mEvicted; }

private:
  friend class MemoryAccount;
  bool largeExceeded() const { return mLarge > mLimit - mReserve; }
  static bool isLarge(std::size_t aBytes) { return aBytes > kSmallRequestBytes; }
  MemoryAccount* choose(bool aOnlyIncomplete, Instant aNow) const;
  static bool goesBefore(const MemoryAccount& aLeft,
                         const MemoryAccount& aRight,
                         Instant aNow);
  void change(MemoryKind aKind,
              std::size_t aFrom,
              std::size_t aTo,
              std::size_t aAccountFrom,
              std::size_t aAccountTo);

  std::size_t mLimit;
  std::size_t mReserve;
  std::array<std::size_t, kMemoryKinds> mBytes{};
  std::size_t mTotal = 0;
  std::size_t mLarge = 0; // of accounts above `kSmallRequestBytes`
  std::set<MemoryAccount*> mAccounts;
  std::uint64_t mEvicted = 0;
  std::function<void()> mOnShortage;
};

/// Appends to a buffer that is expected to hold `aMost` bytes at most, without the
/// doubling of std::string, which reserves memory for bytes that may never arrive.
void
appendGrowing(std::string& aBuffer, std::string_view aData, std::size_t aMost);

/// Releases the memory of a buffer, which `clear` keeps.
void
releaseBuffer(std::string& aBuffer);

/// Memory that a buffer takes apart from the object itself.
std::size_t
bufferMemory(const std::string& aBuffer);

/// The capacity to which a buffer grows so that it can hold `aNeeded` bytes: half as much
/// again as it has, but not more than `aMost` unless that is needed.
std::size_t
grownCapacity(std::size_t aCapacity, std::size_t aNeeded, std::size_t aMost);

} // namespace savoryrill::link
