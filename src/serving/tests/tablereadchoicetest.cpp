#include <CppUTest/TestHarness.h>

#include <string>

#include "serving/tablereadchoice.h"

using namespace savoryrill;

TEST_GROUP(TableReadChoice)
{
  serving::TableReadChoice choice;

  void setup() override
  {
    choice.readSucceeded(true, true);
  }

  /// The kinds of the next reads if no response arrives: `a` for all rows, `c` for
  /// changes.
  std::string readsWithoutResponse(int aCount)
  {
    std::string reads;
    for (int read = 0; read < aCount; ++read) {
      reads.push_back(choice.allRows() ? 'a' : 'c');
      choice.responseLost();
    }
    return reads;
  }
};

// Guards against reads of changes that grow with each one that fails.
TEST(TableReadChoice, TableChangesAndResponsesAreLost_AllRowsAreReadNext)
{
  choice.readSucceeded(false, true);
  STRCMP_EQUAL("cacaca", readsWithoutResponse(6).c_str());
  choice.readSucceeded(false, true);
  STRCMP_EQUAL("ca", readsWithoutResponse(2).c_str());
}

// Guards against large reads on a poor link of a table that does not change.
TEST(TableReadChoice, TableIsQuietAndResponsesAreLost_ChangesAreTriedTwice)
{
  choice.readSucceeded(false, false);
  STRCMP_EQUAL("ccacac", readsWithoutResponse(6).c_str());
}

TEST(TableReadChoice, AllRowsAreRequired_ReadUntilOneSucceeds)
{
  choice.readSucceeded(false, false);
  choice.requireAllRows();
  STRCMP_EQUAL("aaaa", readsWithoutResponse(4).c_str());
  choice.readSucceeded(true, true);
  CHECK_FALSE(choice.allRows());
}
