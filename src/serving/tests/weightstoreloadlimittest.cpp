#include <CppUTest/TestHarness.h>

#include <vector>

#include "serving/weightstoreloadlimit.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(WeightStoreLoadLimit)
{
  static constexpr Duration kFullSpeedTime = 10s;
  Instant now{ 100s };
  WeightStoreLoadLimit limit;

  /// Runs as many loads as the limit allows for `aTime`; more than `aFullSpeed`
  /// concurrent loads share the store's speed. Returns the number of loads completed.
  int simulate(Duration aTime, std::uint32_t aFullSpeed)
  {
    struct Load
    {
      std::string engine;
      double rest = 0; // seconds at full speed
    };
    std::vector<Load> loads;
    int ended = 0;
    int next = 0;
    for (const Instant end = now + aTime; now < end; now += 100ms) {
      while (loads.size() < limit.maxLoads()) {
        loads.push_back({ "u" + std::to_string(next++), toSeconds(kFullSpeedTime) });
        limit.started(loads.back().engine, kFullSpeedTime, now);
      }
      const double speed = std::min(
        1.0, static_cast<double>(aFullSpeed) / static_cast<double>(loads.size()));
      for (auto& load : loads) {
        load.rest -= 0.1 * speed;
        if (load.rest <= 0) {
          limit.ended(load.engine, true, now);
          ++ended;
        }
      }
      std::erase_if(loads, [](const Load& aLoad) { return aLoad.rest <= 0; });
      limit.checkOverdue(now);
    }
    return ended;
  }
};

// Load pattern: the weight store runs one load at full speed. With four concurrent loads
// none would be completed within 40 s.
TEST(WeightStoreLoadLimit, OneRunsAtFullSpeed_LimitStaysNearOne)
{
  CHECK_TRUE(simulate(40s, 1) >= 3);
  simulate(60s, 1);
  LONGS_EQUAL(1, limit.maxLoads());
}

TEST(WeightStoreLoadLimit, FourRunAtFullSpeed_LimitReachesFour)
{
  simulate(60s, 4);
  simulate(120s, 4);
  LONGS_EQUAL(4, limit.maxLoads());
}

TEST(WeightStoreLoadLimit, ManyRunAtFullSpeed_LimitGrows)
{
  simulate(100s, 100);
  CHECK_TRUE(limit.maxLoads() >= 9);
}

// Guards against lowering the limit after a load that was not completed, for example
// because the engine crashed.
TEST(WeightStoreLoadLimit, LoadIsNotCompleted_LimitIsUnchanged)
{
  simulate(25s, 4);
  const auto before = limit.maxLoads();
  limit.started("x", kFullSpeedTime, now);
  limit.ended("x", false, now + 50s);
  LONGS_EQUAL(before, limit.maxLoads());
}
