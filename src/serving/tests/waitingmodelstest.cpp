#include <CppUTest/TestHarness.h>

#include "serving/waitingmodels.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(WaitingModels)
{
  const Instant now{ 100s };

  WaitingModel model(const char* aName,
                     std::uint32_t aWaiting,
                     Duration aToObjective,
                     Duration aUntilCallerLeaves) const
  {
    return { aName, aWaiting, true, 500ms, now + aToObjective, now + aUntilCallerLeaves };
  }

  std::string order(std::vector<WaitingModel> aModels) const
  {
    sortByPlacementOrder(aModels, now);
    std::string names;
    for (const auto& item : aModels) {
      names += item.model;
    }
    return names;
  }
};

// Load pattern: a burst of requests for more models than can be loaded within their
// objective; some are late already and their callers stay for seconds. Guards against
// loads for late callers that make those late who could be served in time.
TEST(WaitingModels, BurstExceedsLoads_CallersInTimeBeforeLateOnes)
{
  STRCMP_EQUAL("ba",
               order({ model("a", 9, -1s, 6s), model("b", 1, 1500ms, 8s) }).c_str());
}

// Load pattern: as before, and the callers of a late model are about to give up. Guards
// against late callers who wait in vain while newer ones keep arriving.
TEST(WaitingModels, LateCallerAboutToGiveUp_ServedFirst)
{
  STRCMP_EQUAL("ab",
               order({ model("b", 5, 1500ms, 8s), model("a", 1, -5s, 2s) }).c_str());
}

TEST(WaitingModels, ModelsInTime_MostRequestsFirst)
{
  STRCMP_EQUAL(
    "bca",
    order(
      { model("a", 1, 900ms, 8s), model("b", 3, 1800ms, 8s), model("c", 1, 800ms, 8s) })
      .c_str());
}

// A load from the weight store keeps its engine busy for much longer.
TEST(WaitingModels, NoEngineHasCopy_AfterAllWithCopy)
{
  auto without_copy = model("a", 9, 1500ms, 8s);
  without_copy.hasCopy = false;
  STRCMP_EQUAL("ba", order({ without_copy, model("b", 1, -1s, 8s) }).c_str());
}

// The time that a load takes counts: an objective that the load would miss is lost.
TEST(WaitingModels, LoadEndsAfterObjective_CountsAsLate)
{
  STRCMP_EQUAL("ba",
               order({ model("a", 9, 400ms, 8s), model("b", 1, 600ms, 8s) }).c_str());
}
