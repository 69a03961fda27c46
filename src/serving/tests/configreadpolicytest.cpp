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
