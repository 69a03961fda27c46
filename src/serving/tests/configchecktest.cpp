#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string_view>

#include "serving/configcheck.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(ConfigCheck)
{
  ServingConfig config;

  void setup() override
  {
    config.version = 7;
    config.routes.push_back({ "a", "h", "/a/", RequestKind::Stream, { { "e", 1 } } });
    UpstreamGroup group;
    group.name = "e";
    group.engine.emplace();
    group.engine->memoryMb = 100;
    group.engine->models["m"].footprintMb = 90;
    config.groups["e"] = group;
  }

  bool finds(std::string_view aText) const
  {
    return std::ranges::any_of(contradictions(config), [&](const std::string& aFound) {
      return aFound.find(aText) != std::string::npos;
    });
  }
};

TEST(ConfigCheck, SoundConfiguration_NothingFound)
{
  LONGS_EQUAL(0, contradictions(config).size());
  LONGS_EQUAL(1, differences(config, config).size()); // the version is not newer
}

TEST(ConfigCheck, EntriesWithoutEffect_AreNamed)
{
  config.routes.push_back(config.routes.front());
  config.routes.back().name = "b";
  config.routes.back().shares = { { "e", 0 }, { "f", 1 } };
  config.groups["e"].engine->models["n"].footprintMb = 101;
  CHECK_TRUE(finds("route b: never matches, since route a"));
  CHECK_TRUE(finds("route b, group e: gets no requests"));
  CHECK_TRUE(finds("route b, group f: is not among the groups"));
  CHECK_TRUE(finds("group e, model n: no engine has enough memory"));
}

// Guards against a longer prefix taken for a hidden one: the longest prefix wins.
TEST(ConfigCheck, ShorterPrefixBefore_LongerOneStillMatches)
{
  config.routes.push_back(config.routes.front());
  config.routes.back().name = "b";
  config.routes.back().prefix = "/a/b/";
  LONGS_EQUAL(0, contradictions(config).size());
}

TEST(ConfigCheck, LimitsThatContradict_AreNamed)
{
  config.routes.front().timeout = 900ms;
  config.routes.front().callerTimeout = 900ms;
  CHECK_TRUE(finds("the timeout is below the objective"));
  CHECK_TRUE(finds("callers leave before the objective"));
}

TEST(ConfigCheck, NextVersion_DifferencesAreListed)
{
  auto next = config;
  next.version = 8;
  next.routes.front().priority = 2;
  next.groups["e"].engine->models.clear();
  next.organisations =
    OrganisationDirectory::create({ { { "o", 1, {} }, { "secret" } } }).directory;
  const auto lines = differences(config, next);
  const auto has = [&](std::string_view aStart) {
    return std::ranges::any_of(
      lines, [&](const std::string& aLine) { return aLine.starts_with(aStart); });
  };
  LONGS_EQUAL(4, lines.size());
  CHECK_TRUE(has("route a: was "));
  CHECK_TRUE(has("group e, model m: removed"));
  CHECK_TRUE(has("organisation o: added, priority 1"));
  CHECK_TRUE(has("keys: was not needed; is needed"));
}
