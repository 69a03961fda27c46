#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "placement/tests/simulation.h"

using namespace savoryrill;
using placement::Simulation;

TEST_GROUP(Schedules){
  // SAVORYRILL_SCHEDULES runs more schedules than the default; each seed is one.
  static std::uint32_t schedules(){
    const char* wanted = std::getenv("SAVORYRILL_SCHEDULES");
return wanted == nullptr ? 600 : static_cast<std::uint32_t>(std::atoi(wanted));
}
}
;

// Guards against passing a replica limit or overcommitting memory under pauses, restarts,
// lost answers, delayed orders, takeovers, moved places and racing configurations. The
// invariants are checked after every step; see Simulation::checkInvariants and deliver.
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
  // The schedules are only worth something if these things happen in them.
  CHECK(loads > 4 * schedules());
  CHECK(takeovers > schedules());
  CHECK(removals > schedules());
}
