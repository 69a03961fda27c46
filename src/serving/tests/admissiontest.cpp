#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

#include "serving/admission.h"
#include "serving/tests/engineworld.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(EndRate)
{
  Instant now{ 100s };
  EndRate rate;
};

TEST(EndRate, SteadyEnds_MeanIsTheirRate)
{
  for (int at = 0; at < 20; ++at) {
    now += 400ms;
    rate.ended(8, now);
  }
  DOUBLES_EQUAL(20, *rate.perSecond(now), 4);
}

// Guards against a rate that starts at zero and makes the first backlogs look endless.
TEST(EndRate, OnlyJustStarted_NothingIsSaidOrTheMeanIsRight)
{
  CHECK_FALSE(rate.perSecond(now).has_value());
  rate.ended(8, now);
  now += 400ms;
  rate.ended(8, now);
  CHECK_FALSE(rate.perSecond(now).has_value());
  for (int at = 0; at < 2; ++at) {
    now += 400ms;
    rate.ended(8, now);
  }
  DOUBLES_EQUAL(20, *rate.perSecond(now), 5);
}

TEST(EndRate, EndsStop_MeanFalls)
{
  for (int at = 0; at < 20; ++at) {
    now += 400ms;
    rate.ended(8, now);
  }
  CHECK_TRUE(*rate.perSecond(now + 6s) < 1.5);
}

TEST_GROUP(Admission)
{
  // Requests arrive above the rate at which a model's copies end them, in turn.
  struct Outcome
  {
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int heldInVain = 0;
  };

  static Outcome replay(bool aBounded)
  {
    constexpr Duration kObjective = 1s;
    constexpr Duration kPatience = 4s;
    constexpr int kEndsPerSecond = 20;
    constexpr int kArrivalsPerSecond = 30;
    Outcome outcome;
    std::deque<Instant> waiting;
    EndRate rate;
    std::optional<Duration> told; // what hosts know, renewed twice a second
    const Instant start{ 100s };
    std::uint32_t ended = 0;
    for (int tick = 0; tick < 20 * 300; ++tick) { // 20 s in steps of a 300th
      const Instant now = start + tick * 1s / 300;
      while (!waiting.empty() && now - waiting.front() > kPatience) {
        waiting.pop_front();
        ++outcome.heldInVain;
      }
      if (tick % (300 / kEndsPerSecond) == 0 && !waiting.empty()) {
        const bool in_time = now - waiting.front() <= kObjective;
        waiting.pop_front();
        ++(in_time ? outcome.inTime : outcome.late);
        ++ended;
      }
      if (tick % 120 == 0) {
        rate.ended(std::exchange(ended, 0), now);
      }
      if (tick % 150 == 0) {
        const auto per_second = rate.perSecond(now);
        told = per_second ? std::optional(Duration(static_cast<std::int64_t>(
                              1e6 * static_cast<double>(waiting.size()) / *per_second)))
                          : std::nullopt;
      }
      if (tick % (300 / kArrivalsPerSecond) == 0) {
        if (aBounded && told && !worthWaiting(*told, kObjective)) {
          ++outcome.refused;
        } else {
          waiting.push_back(now);
        }
      }
    }
    return outcome;
  }
};

// Load pattern: for 20 s half as many requests again as the copies of a model can take.
// Without the bound nearly all are served late and many are held in vain.
TEST(Admission, MoreArriveThanCopiesCanTake_MostAreServedInTime)
{
  const auto unbounded = replay(false);
  const auto bounded = replay(true);
  CHECK_TRUE(bounded.inTime > 2 * unbounded.inTime);
  CHECK_TRUE(bounded.inTime >= (bounded.inTime + bounded.late) * 3 / 4);
  CHECK_TRUE(bounded.heldInVain == 0);
  CHECK_TRUE(unbounded.heldInVain > 50);
  // Nothing is refused for the sake of others that could have been served.
  CHECK_TRUE(bounded.inTime + bounded.late >=
             (unbounded.inTime + unbounded.late) * 95 / 100);
}

TEST(Admission, BacklogTime_IsTheBacklogOverTheRateOfEnds)
{
  EngineWorld world;
  world.addModel("a");
  world.addEngine("u1", { "a" });
  auto busy = EngineWorld::inFlight("a", 12);
  busy.waiting = 10;
  busy.finished = 4; // in 400 ms
  world.setDemand("h", { busy });
  CHECK_FALSE(world.planner->backlogTime("a", world.now).has_value());
  world.run(8s);
  const auto time = world.planner->backlogTime("a", world.now);
  CHECK_TRUE(time && *time > 600ms && *time < 1600ms);
  CHECK_FALSE(world.planner->backlogTime("b", world.now).has_value());
  busy.waiting = 0;
  world.setDemand("h", { busy });
  world.run(100ms);
  CHECK_FALSE(world.planner->backlogTime("a", world.now).has_value());
}
