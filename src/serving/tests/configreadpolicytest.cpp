#include <CppUTest/TestHarness.h>

#include "serving/configreadpolicy.h"

using namespace savoryrill;
using serving::ConfigReader;

TEST_GROUP(ConfigReadPolicy)
{
  serving::ConfigReadPolicy policy;

  void expect(ConfigReader aReader, bool aUnconfirmed = false)
  {
    STRCMP_EQUAL(std::string(nameOf(aReader)).c_str(),
                 std::string(nameOf(policy.reader(aUnconfirmed))).c_str());
  }
};

// Guards against a leader that waits as long as a host that is told of newer versions.
TEST(ConfigReadPolicy, FollowerIsToldAndThenLeads_ReadsAlone)
{
  expect(ConfigReader::Alone);
  policy.setTold(true);
  expect(ConfigReader::Told);
  policy.setLeading(true);
  expect(ConfigReader::Alone);
  policy.setLeading(false);
  policy.setTold(false);
  expect(ConfigReader::Alone);
}

// Guards against keys that nobody confirms after a change of leaders.
TEST(ConfigReadPolicy, ConfigurationHoldsKeys_OneHostConfirms)
{
  policy.setTold(true);
  policy.setConfirms(true);
  expect(ConfigReader::Confirmed);
  expect(ConfigReader::ConfirmsItself, true);
  policy.setLeading(true);
  expect(ConfigReader::ConfirmsForAll, true);
  expect(ConfigReader::ConfirmsForAll);
}

// Guards against a host that keeps an old configuration although the leader has reported
// a newer one.
TEST(ConfigReadPolicy, LeaderReportsNewerVersion_ReadsItUntilItApplies)
{
  policy.setTold(true);
  policy.versionApplied(3);
  policy.versionReported(3);
  expect(ConfigReader::Told);
  policy.versionReported(7);
  policy.versionReported(5);
  expect(ConfigReader::Behind);
  policy.setTold(false);
  expect(ConfigReader::Behind);
  policy.versionApplied(7);
  expect(ConfigReader::Alone);
}

// Guards against a store that all hosts read several times a second for a version that
// only the leader can use.
TEST(ConfigReadPolicy, ReportedVersionIsMissedAgainAndAgain_ReadsAloneUntilAnotherOne)
{
  policy.setTold(true);
  policy.versionApplied(3);
  policy.versionReported(7);
  for (int miss = 0; miss < 4; ++miss) {
    expect(ConfigReader::Behind);
    policy.reportedVersionMissed();
  }
  expect(ConfigReader::Alone);
  policy.versionReported(8);
  expect(ConfigReader::Behind);
}
