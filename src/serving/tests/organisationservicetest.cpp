#include <CppUTest/TestHarness.h>

#include <string>

#include "serving/organisationservice.h"

using namespace savoryrill::serving;

TEST_GROUP(OrganisationService)
{
  OrganisationService service;
};

TEST(OrganisationService, BothWait_CounterIsTokensOverWeight)
{
  service.setWaiting({ "a", "b" });
  service.served("a", 1600, 0);
  service.served("b", 1600, 1);
  DOUBLES_EQUAL(1600, service.counter("a"), 0);
  DOUBLES_EQUAL(3200, service.counter("b"), 0);
}

// Guards against credit for idle time, with which an organisation that returns would
// displace all others until it had caught up.
TEST(OrganisationService, BeginsToWait_GetsSmallestCounterOfThoseThatWait)
{
  service.setWaiting({ "a", "b" });
  service.served("a", 5000, 0);
  service.served("b", 3000, 0);
  service.setWaiting({ "a", "b", "c" });
  DOUBLES_EQUAL(3000, service.counter("c"), 0);
  DOUBLES_EQUAL(5000, service.counter("a"), 0);
}

// Guards against debts from times at which nobody had to wait.
TEST(OrganisationService, NobodyWaits_ServiceIsNotHeldAgainstAnOrganisation)
{
  for (int at = 0; at < 100; ++at) {
    service.served("a", 1000, 0);
  }
  service.setWaiting({ "a", "b" });
  CHECK_TRUE(service.counter("a") - service.counter("b") <= 1000);
}

TEST(OrganisationService, ManyOrganisationsSeen_OnlyThoseThatDifferAreKept)
{
  for (int at = 0; at < 1000; ++at) {
    service.served("o" + std::to_string(at), 1000, 0);
  }
  CHECK_TRUE(service.size() <= 1000);
  service.setWaiting({ "a" });
  service.served("a", 10'000, 0);
  service.setWaiting({ "a" });
  CHECK_TRUE(service.size() <= 1);
}
