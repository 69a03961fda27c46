#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <string>

#include "serving/retryspread.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(RetrySpread)
{
  struct Outcome
  {
    int refused = 0;
    int refusedAgain = 0;
    int atOnce = 0; // most returns within 100 ms
  };

  // 20 requests a second are served. 14 a second arrive, and 60 a second for 3 s. A
  // caller returns once, when it was told to. Requests are refused at a backlog of 1 s.
  static Outcome replay(bool aSpread, std::uint64_t aSeed)
  {
    constexpr double kServedPerMs = 0.02;
    std::mt19937_64 random(aSeed);
    std::uniform_real_distribution<double> uniform(0, 1);
    Outcome outcome;
    RetrySpread spread;
    std::multimap<int, bool> returns;
    std::map<int, int> returnsBy100Ms;
    double waiting = 0;
    double done = 0;
    for (int at = 0; at < 30'000; ++at) {
      const Instant now{ 100s + at * 1ms };
      const double served = std::min(waiting, kServedPerMs);
      waiting -= served;
      for (done += served; done >= 1; done -= 1) {
        spread.completed("m", now);
      }
      const double rate = at >= 5'000 && at < 8'000 ? 0.060 : 0.014;
      const int again = static_cast<int>(returns.erase(at));
      const int arrivals = again + (uniform(random) < rate ? 1 : 0);
      for (int item = 0; item < arrivals; ++item) {
        const Duration backlog{ static_cast<std::int64_t>(waiting / kServedPerMs * 1e3) };
        if (shouldQueue(backlog, 1s)) {
          waiting += 1;
        } else if (item < again) {
          ++outcome.refusedAgain;
        } else {
          ++outcome.refused;
          const auto in = aSpread
                            ? spread.returnTime("m", backlog, 10s, uniform(random), now)
                            : backlog;
          const int when = at + static_cast<int>(toMs(in));
          returns.emplace(when, true);
          outcome.atOnce = std::max(outcome.atOnce, ++returnsBy100Ms[when / 100]);
        }
      }
    }
    return outcome;
  }

  Instant now{ 100s };
  RetrySpread spread;
};

// Load pattern: 3 s of three times the capacity. Guards against times at which refused
// callers return together or before the burst is served.
TEST(RetrySpread, Burst_FewAreRefusedAgain)
{
  std::printf(
    "\nseed  refused  again: backlog  spread  most in 100 ms: backlog  spread\n");
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto before = replay(false, seed);
    const auto after = replay(true, seed);
    std::printf("%4d  %7d  %14d  %6d  %23d  %6d\n",
                static_cast<int>(seed),
                before.refused,
                before.refusedAgain,
                after.refusedAgain,
                before.atOnce,
                after.atOnce);
    CHECK_TRUE(after.refusedAgain * 2 < before.refusedAgain);
    CHECK_TRUE(after.atOnce < before.atOnce);
  }
}

TEST(RetrySpread, RateUnknown_TimesAreSpreadAfterTheBacklog)
{
  CHECK_TRUE(spread.returnTime("m", 200ms, 5s, 0, now) == 200ms);
  CHECK_TRUE(spread.returnTime("m", 200ms, 5s, 0.9, now) >= 600ms);
  CHECK_TRUE(spread.returnTime("m", 9s, 5s, 0.9, now) >= 9s);
}

// Guards against times in the far future after many refusals.
TEST(RetrySpread, ManyRefused_TimesStayBeforeTheLatest)
{
  for (int at = 0; at < 40; ++at) {
    now += 100ms;
    spread.completed("m", now);
  }
  for (int at = 0; at < 1'000; ++at) {
    CHECK_TRUE(spread.returnTime("m", 100ms, 3s, 0.99, now) <= 3s + 250ms);
  }
}

TEST(RetrySpread, ModelsUnused_AreForgotten)
{
  for (int at = 0; at < 3'000; ++at) {
    now += 1s;
    spread.completed("m" + std::to_string(at), now);
  }
  CHECK_TRUE(spread.size() < 1'100);
}
