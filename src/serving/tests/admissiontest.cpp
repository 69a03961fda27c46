#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

#include "serving/admission.h"
#include "serving/tests/enginesimulation.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(CompletionRate)
{
  Instant now{ 100s };
  CompletionRate rate;
};

TEST(CompletionRate, SteadyCompletions_MeanIsTheirRate)
{
  for (int at = 0; at < 20; ++at) {
    now += 400ms;
    rate.completed(8, now);
  }
  DOUBLES_EQUAL(20, *rate.perSecond(now), 4);
}

// Guards against a rate that starts near zero, which would give far too long times for
// the first backlogs.
TEST(CompletionRate, JustStarted_NoRateOrAccurateRate)
{
  CHECK_FALSE(rate.perSecond(now).has_value());
  rate.completed(8, now);
  now += 400ms;
  rate.completed(8, now);
  CHECK_FALSE(rate.perSecond(now).has_value());
  for (int at = 0; at < 2; ++at) {
    now += 400ms;
    rate.completed(8, now);
  }
  DOUBLES_EQUAL(20, *rate.perSecond(now), 5);
}

TEST(CompletionRate, CompletionsStop_MeanFalls)
{
  for (int at = 0; at < 20; ++at) {
    now += 400ms;
    rate.completed(8, now);
  }
  CHECK_TRUE(*rate.perSecond(now + 6s) < 1.5);
}

TEST_GROUP(Admission)
{
  // Simulates a model whose requests arrive faster than its replicas complete them, in
  // order of arrival.
  struct Outcome
  {
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int abandoned = 0;
  };

  static Outcome simulate(bool aBounded)
  {
    constexpr Duration kObjective = 1s;
    constexpr Duration kCallerTimeout = 4s;
    constexpr int kCompletionsPerSecond = 20;
    constexpr int kArrivalsPerSecond = 30;
    Outcome outcome;
    std::deque<Instant> waiting;
    CompletionRate rate;
    // The backlog time that hosts know, updated twice a second.
    std::optional<Duration> published;
    const Instant start{ 100s };
    std::uint32_t ended = 0;
    for (int tick = 0; tick < 20 * 300; ++tick) { // 20 s in steps of 1/300 s
      const Instant now = start + tick * 1s / 300;
      while (!waiting.empty() && now - waiting.front() > kCallerTimeout) {
        waiting.pop_front();
        ++outcome.abandoned;
      }
      if (tick % (300 / kCompletionsPerSecond) == 0 && !waiting.empty()) {
        const bool in_time = now - waiting.front() <= kObjective;
        waiting.pop_front();
        ++(in_time ? outcome.inTime : outcome.late);
        ++ended;
      }
      if (tick % 120 == 0) {
        rate.completed(std::exchange(ended, 0), now);
      }
      if (tick % 150 == 0) {
        const auto per_second = rate.perSecond(now);
        published = per_second
                      ? std::optional(Duration(static_cast<std::int64_t>(
                          1e6 * static_cast<double>(waiting.size()) / *per_second)))
                      : std::nullopt;
      }
      if (tick % (300 / kArrivalsPerSecond) == 0) {
        if (aBounded && published && !shouldQueue(*published, kObjective)) {
          ++outcome.refused;
        } else {
          waiting.push_back(now);
        }
      }
    }
    return outcome;
  }
};

// Load pattern: for 20 s requests arrive at 1.5 times the rate that the replicas of a
// model can complete. Without the bound nearly all are served late, and many callers
// leave after a long wait.
TEST(Admission, ArrivalsExceedCompletions_MostAreServedInTime)
{
  const auto unbounded = simulate(false);
  const auto bounded = simulate(true);
  CHECK_TRUE(bounded.inTime > 2 * unbounded.inTime);
  CHECK_TRUE(bounded.inTime >= (bounded.inTime + bounded.late) * 3 / 4);
  CHECK_TRUE(bounded.abandoned == 0);
  CHECK_TRUE(unbounded.abandoned > 50);
  // Refusals don't lower the number of requests served.
  CHECK_TRUE(bounded.inTime + bounded.late >=
             (unbounded.inTime + unbounded.late) * 95 / 100);
}

TEST(Admission, BacklogTime_IsWaitingRequestsOverCompletionRate)
{
  EngineSimulation simulation;
  simulation.addModel("a");
  simulation.addEngine("u1", { "a" });
  auto busy = EngineSimulation::inFlight("a", 12);
  busy.waiting = 10;
  busy.finished = 4; // in 400 ms
  simulation.setDemand("h", { busy });
  CHECK_FALSE(simulation.planner->backlogTime("a", simulation.now).has_value());
  simulation.run(8s);
  const auto time = simulation.planner->backlogTime("a", simulation.now);
  CHECK_TRUE(time && *time > 600ms && *time < 1600ms);
  CHECK_FALSE(simulation.planner->backlogTime("b", simulation.now).has_value());
  busy.waiting = 0;
  simulation.setDemand("h", { busy });
  simulation.run(100ms);
  CHECK_FALSE(simulation.planner->backlogTime("a", simulation.now).has_value());
}
