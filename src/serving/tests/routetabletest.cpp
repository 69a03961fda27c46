#include <CppUTest/TestHarness.h>

#include "serving/routetable.h"

using namespace savoryrill;
using serving::RouteTable;

namespace {

serving::Route
route(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  serving::Route result;
  result.name = aName;
  result.hostName = aHost;
  result.prefix = aPrefix;
  result.shares = { { "group", 1.0 } };
  return result;
}

} // namespace

TEST_GROUP(RouteTable)
{
  std::shared_ptr<const RouteTable> table;

  void setup() override
  {
    serving::ServingConfig config;
    config.routes = { route("short", "a.example", "/x/"),
                      route("long", "a.example", "/x/y/"),
                      route("other", "b.example", "/x/") };
    table = RouteTable::create(std::move(config));
  }

  std::string nameOf(const char* aHost, const char* aTarget)
  {
    const auto* found = table->find(aHost, aTarget);
    return found == nullptr ? "" : found->name;
  }
};

// Guards against requests that are sent to the service of a shorter prefix.
TEST(RouteTable, TwoPrefixesMatch_LongestIsChosen)
{
  STRCMP_EQUAL("long", nameOf("a.example", "/x/y/z").c_str());
  STRCMP_EQUAL("short", nameOf("a.example", "/x/yz").c_str());
}

TEST(RouteTable, HostDiffersInCaseOrHasPort_RouteIsFound)
{
  STRCMP_EQUAL("other", nameOf("B.Example:8080", "/x/1?q=/y/").c_str());
}

// Guards against a query that is matched as part of the path.
TEST(RouteTable, PrefixOnlyInQuery_NoRoute)
{
  STRCMP_EQUAL("", nameOf("a.example", "/z?/x/").c_str());
  STRCMP_EQUAL("", nameOf("c.example", "/x/").c_str());
}

TEST(RouteTable, WeightedShares_ChosenInProportion)
{
  serving::Route split;
  split.shares = { { "major", 90 }, { "minor", 10 } };
  STRCMP_EQUAL("major", RouteTable::chooseGroup(split, 0.0).c_str());
  STRCMP_EQUAL("major", RouteTable::chooseGroup(split, 0.89).c_str());
  STRCMP_EQUAL("minor", RouteTable::chooseGroup(split, 0.91).c_str());
}
