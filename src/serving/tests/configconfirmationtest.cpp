#include <CppUTest/TestHarness.h>

#include "serving/configconfirmation.h"

using namespace savoryrill;
using serving::ConfigConfirmation;

TEST_GROUP(ConfigConfirmation)
{
  ConfigConfirmation confirmation{ 5s };
  Instant start{ 1000s };
};

TEST(ConfigConfirmation, NoConfigurationOrNoConfirmation_NotValid)
{
  CHECK_FALSE(confirmation.valid(start));
  confirmation.confirmed(3, start); // of a version that this host does not have
  CHECK_FALSE(confirmation.valid(start));
  confirmation.configApplied(3);
  CHECK_FALSE(confirmation.valid(start));
  CHECK_FALSE(confirmation.age(start).has_value());
  confirmation.confirmed(3, start);
  CHECK_TRUE(confirmation.valid(start));
}

// Guards against requests that reach an upstream after the bound, although the key was
// checked before.
TEST(ConfigConfirmation, ConfirmationIsOld_ValidUntilShortlyBeforeTheBound)
{
  confirmation.configApplied(3);
  confirmation.confirmed(3, start);
  CHECK_TRUE(confirmation.valid(start + 4699ms));
  CHECK_FALSE(confirmation.valid(start + 4700ms));
  CHECK_TRUE(confirmation.age(start + 2s) == 2s);
}

TEST(ConfigConfirmation, LeaderConfirmsANewerVersion_CountsOnlyOnceItIsInForce)
{
  confirmation.configApplied(3);
  confirmation.confirmed(3, start);
  confirmation.confirmedByLeader(4, start + 4s);
  CHECK_FALSE(confirmation.valid(start + 5s));
  CHECK_TRUE(confirmation.wantsOwnRead(start + 4s));
  confirmation.configApplied(4);
  confirmation.confirmedByLeader(4, start + 4s);
  CHECK_TRUE(confirmation.valid(start + 5s));
}

// Guards against a late message that makes a host refuse requests.
TEST(ConfigConfirmation, OlderConfirmationArrivesLate_NoEffect)
{
  confirmation.configApplied(3);
  confirmation.confirmedByLeader(3, start + 3s);
  confirmation.confirmedByLeader(3, start);
  confirmation.confirmedByLeader(2, start);
  CHECK_TRUE(confirmation.age(start + 3s) == 0s);
  CHECK_FALSE(confirmation.wantsOwnRead(start + 4s));
}

// Guards against hosts that stop reading, since their own reads confirm, while no leader
// does.
TEST(ConfigConfirmation, OnlyOwnReadsConfirm_GoesOnReading)
{
  confirmation.configApplied(3);
  CHECK_TRUE(confirmation.wantsOwnRead(start));
  confirmation.confirmed(3, start);
  CHECK_TRUE(confirmation.wantsOwnRead(start));
  confirmation.confirmedByLeader(3, start);
  CHECK_FALSE(confirmation.wantsOwnRead(start + 1999ms));
  CHECK_TRUE(confirmation.wantsOwnRead(start + 2s));
}

TEST(ConfigConfirmation, NoBound_ValidOnceAConfigurationIsKnown)
{
  ConfigConfirmation unbounded{ Duration::zero() };
  CHECK_FALSE(unbounded.valid(start));
  unbounded.configApplied(3);
  CHECK_TRUE(unbounded.valid(start + std::chrono::hours(24)));
  CHECK_FALSE(unbounded.wantsOwnRead(start));
}
