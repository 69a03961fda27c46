#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "serving/promptquarantine.h"

using namespace savoryrill;
using serving::PartEvidence;
using serving::PromptQuarantine;

namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kHostDelay = 40ms;   // until evidence reaches another host
constexpr Duration kCrashDelay = 60ms;  // until a crash has been noticed and checked
constexpr Duration kServeDelay = 400ms; // until a response counts as served
constexpr Duration kRecovery = 6s;      // twice the time that hosts need to stay in touch
constexpr Duration kOnlyDeadlyTime = 3s; // only requests with the deadly part come before
constexpr Duration kReplayTime = 40s;

/// Some hosts without any knowledge whose callers send prompts of a few shared parts, one
/// of which crashes upstreams.
class QuarantineReplay
{
public:
  explicit QuarantineReplay(unsigned aSeed)
    : mRandom(aSeed)
    , mHosts(draw(2, 12))
    , mDeadlyPosition(draw(0, 3))
    , mLeastSoundParts(draw(1, 3))
  {
    for (std::size_t host = 0; host < mHosts; ++host) {
      const auto spread = static_cast<double>(host) / static_cast<double>(mHosts);
      mQuarantines.emplace_back(spread);
    }
  }

  /// All hosts end after `aTime` and start with the row as it was one second before.
  void restartAllAfter(Duration aTime) { mRestart = mNow + aTime; }

  void run()
  {
    const Duration sound_period = 10ms * draw(5, 60);
    const Duration deadly_period = 10ms * draw(26, 80);
    Instant next_sound = mNow + kOnlyDeadlyTime;
    Instant next_deadly = mNow;
    const Instant end = mNow + kReplayTime;
    for (; mNow < end; mNow += kStep) {
      deliver();
      if (mRestart && mNow == *mRestart - 1s) {
        mRow = mQuarantines[0].quarantined(mNow);
      }
      if (mRestart && mNow == *mRestart) {
        restartAll();
      }
      if (mNow >= next_deadly) {
        next_deadly += deadly_period;
        arrive(true);
      }
      if (mNow >= next_sound) {
        next_sound += sound_period;
        arrive(false);
      }
    }
  }

  int crashes() const { return mCrashes; }
  int lateDeadly() const { return mLateDeadly; }
  int soundLater() const { return mSoundLater; }
  int soundLaterSent() const { return mSoundLaterSent; }

private:
  struct Event
  {
    Instant at{};
    std::function<void()> apply;
  };

  std::size_t draw(std::size_t aLeast, std::size_t aMost)
  {
    return std::uniform_int_distribution<std::size_t>(aLeast, aMost)(mRandom);
  }

  void after(Duration aDelay, std::function<void()> aApply)
  {
    mEvents.push_back({ mNow + aDelay, std::move(aApply) });
  }

  void deliver()
  {
    std::deque<Event> due;
    std::erase_if(mEvents, [&](Event& aEvent) {
      if (aEvent.at > mNow) {
        return false;
      }
      due.push_back(std::move(aEvent));
      return true;
    });
    std::ranges::stable_sort(due, {}, &Event::at);
    for (const auto& event : due) {
      event.apply();
    }
  }

  void restartAll()
  {
    mEvents.clear();
    for (std::size_t host = 0; host < mHosts; ++host) {
      const auto spread = static_cast<double>(host) / static_cast<double>(mHosts);
      mQuarantines[host] = PromptQuarantine(spread);
      mQuarantines[host].merge(mRow, mNow);
    }
  }

  void share(std::size_t aFrom, const std::vector<PartEvidence>& aEvidence)
  {
    for (std::size_t host = 0; host < mHosts && !aEvidence.empty(); ++host) {
      if (host != aFrom) {
        after(kHostDelay, [this, host, aFrom, aEvidence] {
          const auto merged = mQuarantines[host].merge(aEvidence, mNow);
          if (!merged.newer.empty()) {
            after(kHostDelay, [this, aFrom, newer = merged.newer] {
              mQuarantines[aFrom].merge(newer, mNow);
            });
          }
        });
      }
    }
  }

  /// Sound requests have the first parts of those with the deadly one, or all but that.
  std::vector<std::string> partsOf(bool aDeadly)
  {
    std::vector<std::string> parts{ "first", "second", "third" };
    if (aDeadly) {
      parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(mDeadlyPosition),
                   "deadly");
    } else {
      parts.resize(draw(mLeastSoundParts, parts.size()));
    }
    return parts;
  }

  void arrive(bool aDeadly)
  {
    const auto host = draw(0, mHosts - 1);
    const auto id = "r" + std::to_string(++mRequests);
    const bool later = mLastCrash && mNow > *mLastCrash + kRecovery;
    if (!aDeadly && later) {
      ++mSoundLaterSent;
    }
    attempt(host, id, partsOf(aDeadly), aDeadly, later, mNow + 2s);
  }

  void attempt(std::size_t aHost,
               const std::string& aId,
               const std::vector<std::string>& aParts,
               bool aDeadly,
               bool aLater,
               Instant aHoldUntil)
  {
    auto& quarantine = mQuarantines[aHost];
    if (const auto refusal = quarantine.check(aId, aParts, mNow)) {
      if (refusal->undecided && mNow < aHoldUntil) {
        after(50ms, [this, aHost, aId, aParts, aDeadly, aLater, aHoldUntil] {
          attempt(aHost, aId, aParts, aDeadly, aLater, aHoldUntil);
        });
      }
      return;
    }
    if (!aDeadly) {
      mSoundLater += aLater ? 1 : 0;
      after(kServeDelay, [this, aHost, aId, aParts] {
        share(aHost, mQuarantines[aHost].recordServed(aParts, mNow));
        mQuarantines[aHost].releaseProbe(aId);
      });
      return;
    }
    ++mCrashes;
    mLastCrash = mNow;
    if (mCrashes == 5) {
      mFifthCrash = mNow;
    }
    if (mFifthCrash && mNow > *mFifthCrash + 3s) {
      ++mLateDeadly;
    }
    after(kCrashDelay, [this, aHost, aId, aParts, crashed = mNow] {
      share(
        aHost,
        mQuarantines[aHost].recordCrash(
          "u" + aId, { { aId, aId.ends_with("1") ? "m" : "n", aParts } }, crashed, mNow));
      mQuarantines[aHost].releaseProbe(aId);
    });
  }

  std::mt19937 mRandom;
  std::size_t mHosts;
  std::size_t mDeadlyPosition; // in the prompt
  std::size_t mLeastSoundParts;
  std::vector<PromptQuarantine> mQuarantines;
  std::deque<Event> mEvents;
  Instant mNow{ std::chrono::hours(1) };
  int mRequests = 0;
  int mCrashes = 0;
  int mLateDeadly = 0;
  int mSoundLater = 0;
  int mSoundLaterSent = 0;
  std::optional<Instant> mLastCrash;
  std::optional<Instant> mFifthCrash;
  std::optional<Instant> mRestart;
  std::vector<PartEvidence> mRow;
};

} // namespace

TEST_GROUP(PromptQuarantineReplay){
  static void playAndCheck(QuarantineReplay & aReplay, unsigned aSeed){ aReplay.run();
const auto text = "seed " + std::to_string(aSeed);
CHECK_TRUE_TEXT(aReplay.crashes() >= 3, text.c_str());
CHECK_TRUE_TEXT(aReplay.lateDeadly() <= 3, text.c_str());
CHECK_TRUE_TEXT(aReplay.soundLaterSent() >= 20, text.c_str());
CHECK_TRUE_TEXT(2 * aReplay.soundLater() >= aReplay.soundLaterSent(), text.c_str());
}
}
;

// Guards against sound callers that are shut out, and against crashes without end, if
// nothing that hosts know tells a deadly part from those around it (incident 0023).
TEST(PromptQuarantineReplay, NothingKnownBeforeTheCrashes_SoundServedAndCrashesFew)
{
  for (unsigned seed = 1; seed <= 60; ++seed) {
    QuarantineReplay replay(seed);
    playAndCheck(replay, seed);
  }
}

// Guards against the same when all hosts end shortly after the crashes and the row of the
// store is older than what they had learned.
TEST(PromptQuarantineReplay, AllHostsStartFromAnOldRow_SoundServedAndCrashesFew)
{
  for (unsigned seed = 1; seed <= 60; ++seed) {
    QuarantineReplay replay(seed);
    replay.restartAllAfter(100ms * (10 + seed));
    playAndCheck(replay, seed);
  }
}
