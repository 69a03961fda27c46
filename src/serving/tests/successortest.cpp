#include <CppUTest/TestHarness.h>

#include "serving/successor.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(Successor){};

// Load pattern: a rolling restart has reached the leader. Guards against a successor that
// is restarted next, after which no host sends orders for seconds once more.
TEST(Successor, RollingRestart_HostRestartedLastIsNamed)
{
  STRCMP_EQUAL(
    "b",
    chooseSuccessor({ { "a", 60s }, { "b", 2s }, { "c", 4s }, { "d", 60s } }, 60s)
      .c_str());
}

// All processes started together, so none is known to have been restarted already.
TEST(Successor, AllStartedTogether_NoneNamed)
{
  STRCMP_EQUAL("", chooseSuccessor({ { "a", 59500ms }, { "b", 60s } }, 60s).c_str());
  STRCMP_EQUAL("", chooseSuccessor({}, 60s).c_str());
}

// The leader itself was restarted last; any other host may follow.
TEST(Successor, LeaderStartedLast_NoneNamed)
{
  STRCMP_EQUAL("", chooseSuccessor({ { "a", 60s }, { "b", 5s } }, 3s).c_str());
}
