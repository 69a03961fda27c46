#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "placement/tests/simulation.h"

using namespace savoryrill;
using placement::Simulation;

TEST_GROUP(Schedules){
  // Number of random schedules, one per seed; SAVORYRILL_SCHEDULES overrides it.
  static std::uint32_t schedules(){
    const char* text = std::getenv("SAVORYRILL_SCHEDULES");
return text == nullptr ? 600 : static_cast<std::uint32_t>(std::atoi(text));
}
}
;

// Guards against exceeding a replica limit or overcommitting memory during pauses,
// restarts, lost responses, delayed orders, takeovers, moved places and concurrent
// changes of the configuration. Simulation::checkInvariants runs after every event and
// step; Simulation::deliver checks the replica limits.
TEST(Schedules, randomEvents_anyOrder_limitsHold)
{
  constexpr int kSteps = 200; // about 30 simulated seconds
  std::uint64_t loads = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t removals = 0;
  for (std::uint32_t seed = 1; seed <= schedules(); ++seed) {
    Simulation simulation(seed);
    simulation.run(kSteps);
    loads += simulation.loadsAccepted;
    takeovers += simulation.takeovers;
    removals += simulation.removals;
  }
  // The schedules must contain these events, otherwise they test nothing.
  CHECK(loads > 4 * schedules());
  CHECK(takeovers > schedules());
  CHECK(removals > schedules());
}
