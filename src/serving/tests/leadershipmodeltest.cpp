#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>
#include <random>

#include "serving/leadership.h"

using namespace savoryrill;
using serving::LeaderRow;
using serving::Leadership;
using serving::LeadershipStep;

namespace {

constexpr Duration kModelTick = 20ms;
constexpr Duration kCallTimeout = 1200ms; // of a call to the store
constexpr Duration kModelGap = 3000ms;
constexpr Duration kCopyAge = 9s; // at most

/// Hosts that elect a leader by a row of a store that loses calls and responses, is away,
/// and comes back from copies; hosts are suspended and restarted. Every host orders
/// whenever it may.
class ElectionModel
{
public:
  explicit ElectionModel(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
    for (int host = 0; host < 3; ++host) {
      mHosts.push_back({ "host" + std::to_string(host), nullptr, 0, {}, {}, {} });
      restart(mHosts.back());
    }
  }

  /// Returns what breaks a rule, or nothing.
  std::string run()
  {
    mFaultsEnd = mNow + 60s;
    const Instant end = mFaultsEnd + 15s;
    for (; mNow < end && mProblem.empty(); mNow += kModelTick) {
      mCopies.push_back({ mNow, mRow, mVersion });
      if (mNow < mFaultsEnd) {
        inject();
      }
      while (mCopies.front().taken < mNow - kCopyAge) {
        mCopies.pop_front();
      }
      for (auto& host : mHosts) {
        if (mNow >= host.suspendedUntil) {
          step(host);
        }
      }
    }
    if (mProblem.empty() && mNow - mLastOrder > 1s) {
      mProblem = "no host orders after the faults";
    }
    return mProblem;
  }

private:
  struct Call
  {
    LeadershipStep step = LeadershipStep::None;
    LeaderRow row;
    serving::StorePosition base = 0;
    std::uint64_t era = 0; // that the host knew when it sent the call
    Instant appliesAt{};   // `Instant::max()` if lost or applied
    Instant endsAt{};
    bool answered = false;
    bool applied = false;
    std::optional<LeaderRow> read;
    serving::StorePosition position = 0; // of the response
  };
  struct Host
  {
    std::string name;
    std::unique_ptr<Leadership> leadership;
    std::uint64_t era = 0; // that the store has stated to it
    std::optional<Call> call;
    Instant suspendedUntil{};
    std::vector<Call> late; // calls of ended processes, which may still be applied
  };
  struct Copy
  {
    Instant taken;
    std::optional<LeaderRow> row; // with its version within the era
    std::uint64_t version = 0;
  };

  int below(int aLimit)
  {
    return std::uniform_int_distribution<int>(0, aLimit - 1)(mRandom);
  }
  Duration upTo(Duration aLimit)
  {
    return Duration(
      std::uniform_int_distribution<Duration::rep>(0, aLimit.count())(mRandom));
  }

  void restart(Host& aHost)
  {
    Leadership::Options options;
    options.host = aHost.name;
    options.endpoint = aHost.name + ":1";
    options.handoverGap = kModelGap;
    aHost.leadership = std::make_unique<Leadership>(options);
    aHost.era = 0;
    if (aHost.call) {
      aHost.late.push_back(*aHost.call);
      aHost.call.reset();
    }
  }

  void inject()
  {
    auto& host = mHosts[below(static_cast<int>(mHosts.size()))];
    switch (below(400)) {
      case 0:
        host.suspendedUntil = mNow + upTo(5s);
        break;
      case 1:
        restart(host);
        host.suspendedUntil = mNow + upTo(1s);
        break;
      case 2:
        mAwayUntil = mNow + upTo(3s);
        break;
      case 3: {
        const auto& copy = mCopies[below(static_cast<int>(mCopies.size()))];
        mRow = copy.row;
        mVersion = copy.version;
        ++mEra;
        mAwayUntil = mNow + upTo(2s);
        break;
      }
      case 4:
        mStopping = host.name;
        mStoppingUntil = mNow + 500ms;
        break;
      default:
        break;
    }
  }

  void apply(Call& aCall)
  {
    aCall.appliesAt = Instant::max();
    mVersion += below(3); // writes of others
    aCall.position = serving::makeStorePosition(mEra, mVersion);
    if (aCall.step == LeadershipStep::Read) {
      aCall.read = mRow;
      if (aCall.read) {
        aCall.read->version = serving::makeStorePosition(mEra, mRow->version);
      }
    } else if ((mRow ? mRow->version : 0) == serving::rowVersionOf(aCall.base)) {
      mRow = aCall.row;
      mRow->version = ++mVersion;
      aCall.applied = true;
      aCall.position = serving::makeStorePosition(mEra, mVersion);
    }
    aCall.answered = true;
  }

  void send(Host& aHost, LeadershipStep aStep)
  {
    auto& leadership = *aHost.leadership;
    Call call;
    call.step = aStep;
    call.row = leadership.rowFor(aStep, std::to_string(++mTerms), mNow);
    call.base = leadership.baseVersion();
    call.era = aHost.era;
    leadership.callSent(aStep, call.row.term, mNow);
    if (aStep != LeadershipStep::Read && call.base != 0 &&
        serving::storeEraOf(call.base) != aHost.era) {
      leadership.writeUncertain(mNow); // as the store client does, without a call
      return;
    }
    const bool faulty = mNow < mFaultsEnd;
    const bool lost = faulty && below(20) == 0;
    const bool delayed = faulty && below(40) == 0;
    call.appliesAt = lost ? Instant::max() : mNow + upTo(delayed ? 4s : 60ms);
    call.endsAt =
      faulty && below(20) == 0 ? mNow + kCallTimeout : mNow + 60ms + upTo(60ms);
    aHost.call = call;
  }

  void complete(Host& aHost)
  {
    const Call call = *aHost.call;
    auto& leadership = *aHost.leadership;
    const auto era = serving::storeEraOf(call.position);
    const bool late = !call.answered || mNow >= call.endsAt + 1s || era < aHost.era;
    if (!call.answered) {
      aHost.late.push_back(call);
    }
    aHost.call.reset();
    if (!late) {
      aHost.era = era;
    }
    leadership.setStoreEra(aHost.era);
    if (late) {
      if (call.step == LeadershipStep::Read) {
        leadership.callFailed(mNow);
      } else {
        leadership.writeUncertain(mNow);
      }
    } else if (call.step == LeadershipStep::Read) {
      leadership.rowRead(call.read, mNow);
    } else if (!call.applied || era != call.era) {
      leadership.writeUncertain(mNow);
    } else {
      leadership.writeApplied(call.step, call.row, call.position, mNow);
    }
  }

  void step(Host& aHost)
  {
    const bool away = mNow < mAwayUntil;
    for (auto& late : aHost.late) {
      if (!away && mNow >= late.appliesAt) {
        apply(late);
      }
    }
    std::erase_if(aHost.late,
                  [](const Call& aCall) { return aCall.appliesAt == Instant::max(); });
    if (aHost.call) {
      if (!away && mNow >= aHost.call->appliesAt) {
        apply(*aHost.call);
      }
      if (mNow >= (aHost.call->answered ? aHost.call->endsAt
                                        : aHost.call->endsAt + kCallTimeout)) {
        complete(aHost);
      }
    }
    auto& leadership = *aHost.leadership;
    leadership.setStoreEra(aHost.era);
    const bool stopping = aHost.name == mStopping && mNow < mStoppingUntil;
    const auto next = leadership.next(mNow, stopping);
    if (next != LeadershipStep::None) {
      send(aHost, next);
    }
    if (leadership.mayOrder(mNow)) {
      order(aHost);
    }
  }

  void order(Host& aHost)
  {
    const auto fencing = aHost.leadership->fencingNumber();
    if (!mHolder.empty() && mHolder != aHost.name) {
      if (mNow - mLastOrder < kModelGap) {
        mProblem = aHost.name + " orders " +
                   std::to_string((mNow - mLastOrder) / std::chrono::milliseconds(1)) +
                   " ms after " + mHolder;
      } else if (fencing <= mFencing) {
        mProblem = aHost.name + " orders with an old fencing number";
      }
    }
    mHolder = aHost.name;
    mFencing = fencing;
    mLastOrder = mNow;
  }

  std::mt19937 mRandom;
  Instant mNow{ 1000s };
  Instant mFaultsEnd{};
  std::vector<Host> mHosts;
  std::optional<LeaderRow> mRow; // its version is that within the era
  std::uint64_t mVersion = 0;
  std::uint64_t mEra = serving::kFirstStoreEra;
  std::deque<Copy> mCopies;
  Instant mAwayUntil{};
  std::string mStopping;
  Instant mStoppingUntil{};
  std::uint64_t mTerms = 0;
  std::string mHolder; // of the last order
  std::uint64_t mFencing = 0;
  Instant mLastOrder{};
  std::string mProblem;
};

} // namespace

TEST_GROUP(LeadershipModel){};

// Guards against orders of two hosts within the handover gap, whatever row a copy of the
// store holds: that of an earlier holder, a released one, or none.
TEST(LeadershipModel, StoreReturnsFromCopies_HostsTakeTurnsWithTheGapBetween)
{
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    const auto problem = ElectionModel(seed).run();
    STRCMP_EQUAL("",
                 problem.empty() ? "" : (std::to_string(seed) + ": " + problem).c_str());
  }
}
