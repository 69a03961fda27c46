#include "link/memorybudget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace savoryrill::link {

namespace {

// The reserve for small requests: enough for a hundred ordinary ones even if the budget
// is small.
constexpr std::size_t kReserveDivisor = 16;
constexpr std::size_t kMinReserve = 1024UL * 1024;

// A caller that has stopped sending is given up before one that sends slowly.
constexpr double kStalledTimeWeight = 4;
// Keeps requests that have just begun comparable.
constexpr double kMinAgeSeconds = 0.01;

} // namespace

MemoryAccount::MemoryAccount(MemoryBudget& aBudget, IMemoryHolder& aHolder)
  : mBudget(aBudget)
  , mHolder(&aHolder)
{
  mBudget.mAccounts.insert(this);
}

MemoryAccount::~MemoryAccount()
{
  mBudget.mAccounts.erase(this);
}

void
MemoryAccount::startRequest(std::size_t aExpectedBytes, Instant aNow)
{
  mGaveUp = false;
  mStage = Stage::Incomplete;
  mExpectedBytes = aExpectedBytes;
  mProgressBytes = 0;
  mStarted = aNow;
  mLastProgress = aNow;
}

void
MemoryAccount::recordProgress(std::size_t aBytes, Instant aNow)
{
  mProgressBytes += aBytes;
  mLastProgress = aNow;
}

MemoryAccount::Stage
MemoryAccount::stage() const
{
  return mStage != Stage::Incomplete && bytes(MemoryKind::Output) > 0 ? Stage::Unread
                                                                      : mStage;
}

void
MemoryAccount::change(MemoryKind aKind, std::size_t aFrom, std::size_t aTo)
{
  const std::size_t before = mTotal;
  mBytes[static_cast<std::size_t>(aKind)] += aTo - aFrom;
  mTotal += aTo - aFrom;
  mBudget.change(aKind, aFrom, aTo, before, mTotal);
}

double
MemoryAccount::progress(Instant aNow) const
{
  const double part = static_cast<double>(mProgressBytes) /
                      static_cast<double>(std::max<std::size_t>(1, mExpectedBytes));
  const double age = std::max(kMinAgeSeconds, toSeconds(aNow - mStarted));
  return part / (age + kStalledTimeWeight * toSeconds(aNow - mLastProgress));
}

MemoryCharge::MemoryCharge(MemoryCharge&& aOther) noexcept
  : mAccount(std::move(aOther.mAccount))
  , mKind(aOther.mKind)
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

MemoryCharge&
MemoryCharge::operator=(MemoryCharge&& aOther) noexcept
{
  if (this != &aOther) {
    set(0);
    mAccount = std::move(aOther.mAccount);
    mKind = aOther.mKind;
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

void
MemoryCharge::set(std::size_t aBytes)
{
  if (mAccount && aBytes != mBytes) {
    mAccount->change(mKind, std::exchange(mBytes, aBytes), aBytes);
  }
}

MemoryBudget::MemoryBudget(std::size_t aLimit)
  : mLimit(aLimit)
  , mReserve(std::min(aLimit, std::max(kMinReserve, aLimit / kReserveDivisor)))
{
}

void
MemoryBudget::change(MemoryKind aKind,
                     std::size_t aFrom,
                     std::size_t aTo,
                     std::size_t aAccountFrom,
                     std::size_t aAccountTo)
{
  mBytes[static_cast<std::size_t>(aKind)] += aTo - aFrom;
  mTotal += aTo - aFrom;
  mLarge -= isLarge(aAccountFrom) ? aAccountFrom : 0;
  mLarge += isLarge(aAccountTo) ? aAccountTo : 0;
  if (aTo > aFrom && exceeded() && mOnShortage) {
    mOnShortage();
  }
}

bool
MemoryBudget::evictOne(bool aOnlyIncomplete, Instant aNow)
{
  auto* chosen = choose(aOnlyIncomplete, aNow);
  if (chosen == nullptr) {
    return false;
  }
  ++mEvicted;
  chosen->mGaveUp = true;
  chosen->mHolder->giveUpMemory();
  return true;
}

MemoryAccount*
MemoryBudget::choose(bool aOnlyIncomplete, Instant aNow) const
{
  // While large requests hold the reserve too, giving up a small one would not help.
  const bool only_large = largeExceeded();
  MemoryAccount* chosen = nullptr;
  for (auto* account : mAccounts) {
    const auto stage = account->stage();
    const bool skipped = account->mHolder == nullptr || account->mGaveUp ||
                         stage == MemoryAccount::Stage::Idle ||
                         (only_large && !isLarge(account->bytes())) ||
                         (aOnlyIncomplete && stage != MemoryAccount::Stage::Incomplete);
    if (!skipped && (chosen == nullptr || goesBefore(*account, *chosen, aNow))) {
      chosen = account;
    }
  }
  return chosen;
}

bool
MemoryBudget::goesBefore(const MemoryAccount& aLeft,
                         const MemoryAccount& aRight,
                         Instant aNow)
{
  const auto left_stage = aLeft.stage();
  const auto right_stage = aRight.stage();
  if (left_stage != right_stage) {
    return left_stage < right_stage;
  }
  const bool left_large = isLarge(aLeft.bytes());
  const bool right_large = isLarge(aRight.bytes());
  if (left_large != right_large) {
    return left_large;
  }
  if (left_stage == MemoryAccount::Stage::Incomplete) {
    return aLeft.progress(aNow) < aRight.progress(aNow);
  }
  if (left_stage == MemoryAccount::Stage::Unread) {
    return aLeft.mLastProgress < aRight.mLastProgress;
  }
  return aLeft.bytes() > aRight.bytes();
}

void
appendGrowing(std::string& aBuffer, std::string_view aData, std::size_t aMost)
{
  const std::size_t needed = aBuffer.size() + aData.size();
  if (needed > aBuffer.capacity()) {
    // `reserve` of a string that holds something may double its capacity.
    std::string grown;
    grown.reserve(grownCapacity(aBuffer.capacity(), needed, aMost));
    grown.append(aBuffer);
    aBuffer.swap(grown);
  }
  aBuffer.append(aData);
}

void
releaseBuffer(std::string& aBuffer)
{
  std::string().swap(aBuffer);
}

std::size_t
bufferMemory(const std::string& aBuffer)
{
  static const std::size_t kInObject = std::string().capacity();
  return aBuffer.capacity() <= kInObject ? 0 : aBuffer.capacity();
}

std::size_t
grownCapacity(std::size_t aCapacity, std::size_t aNeeded, std::size_t aMost)
{
  if (aNeeded <= aCapacity) {
    return aCapacity;
  }
  return std::max(aNeeded, std::min(aCapacity + aCapacity / 2, aMost));
}

} // namespace savoryrill::link
