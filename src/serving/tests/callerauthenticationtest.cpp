#include <CppUTest/TestHarness.h>

#include "serving/callerauthentication.h"

using namespace savoryrill;
using namespace savoryrill::serving;

TEST_GROUP(CallerAuthentication)
{
  using Spec = std::pair<std::string, std::vector<std::string>>;

  static CallerAuthentication::Directory directory(const std::vector<Spec>& aSpecs)
  {
    std::vector<OrganisationSpec> specs;
    for (const auto& [name, keys] : aSpecs) {
      specs.push_back({ { name, 1, std::nullopt }, keys });
    }
    return OrganisationDirectory::create(std::move(specs)).directory;
  }

  CallerAuthentication::Directory both =
    directory({ { "bewo", { "key-of-bewo" } }, { "tukami", { "key-of-tukami" } } });
};

TEST(CallerAuthentication, KnownKey_RunsUnderItsOrganisation)
{
  CallerAuthentication caller(true, "key-of-tukami");
  CHECK_TRUE(caller.organisation() == nullptr);
  CHECK_FALSE(caller.check(both, true).has_value());
  STRCMP_EQUAL("tukami", caller.organisation()->name.c_str());
}

TEST(CallerAuthentication, MissingOrUnknownKey_Refused)
{
  CallerAuthentication none(true, "");
  CHECK_TRUE(none.check(both, true) == RefusalReason::MissingKey);
  CallerAuthentication other(true, "key-of-nobody");
  CHECK_TRUE(other.check(both, true) == RefusalReason::UnknownKey);
  // An empty list names organisations, none of which has a key.
  CallerAuthentication known(true, "key-of-bewo");
  CHECK_TRUE(known.check(directory({}), true) == RefusalReason::UnknownKey);
}

// Guards against callers that are refused for good by a host with an old configuration.
TEST(CallerAuthentication, UnconfirmedConfiguration_UnknownKeyIsNotDecided)
{
  for (const char* key : { "key-of-bewo", "key-of-nobody" }) {
    CallerAuthentication caller(true, key);
    CHECK_TRUE(caller.check(both, false) == RefusalReason::Unconfirmed);
  }
}

TEST(CallerAuthentication, NoKeyNeeded_WithoutOrganisation)
{
  CallerAuthentication open(false, "key-of-bewo");
  CHECK_FALSE(open.check(both, false).has_value());
  CHECK_TRUE(open.organisation() == nullptr);
  CallerAuthentication unlisted(true, "");
  CHECK_FALSE(unlisted.check(nullptr, true).has_value());
  CHECK_TRUE(unlisted.organisation() == nullptr);
}

// Guards against a request that runs with a removed key since it has waited.
TEST(CallerAuthentication, KeyRemovedLater_Refused)
{
  CallerAuthentication caller(true, "key-of-bewo");
  CHECK_FALSE(caller.check(both, true).has_value());
  CHECK_TRUE(caller.check(directory({ { "bewo", { "new" } } }), true) ==
             RefusalReason::UnknownKey);
}

// Guards against a request that runs under the name of another organisation, and under
// the former name of its own.
TEST(CallerAuthentication, KeyMovedLater_Refused)
{
  CallerAuthentication caller(true, "key-of-bewo");
  CHECK_FALSE(caller.check(both, true).has_value());
  const auto moved = directory({ { "bewo", {} }, { "tukami", { "key-of-bewo" } } });
  CHECK_TRUE(caller.check(moved, true) == RefusalReason::KeyMoved);
  STRCMP_EQUAL("bewo", caller.organisation()->name.c_str());
}

// Guards against requests without a key that run since they arrived before the list.
TEST(CallerAuthentication, OrganisationsConfiguredLater_KeyIsNeeded)
{
  CallerAuthentication none(true, "");
  CallerAuthentication known(true, "key-of-bewo");
  CHECK_FALSE(none.check(nullptr, true).has_value());
  CHECK_FALSE(known.check(nullptr, true).has_value());
  CHECK_TRUE(none.check(both, true) == RefusalReason::MissingKey);
  CHECK_FALSE(known.check(both, true).has_value());
  STRCMP_EQUAL("bewo", known.organisation()->name.c_str());
}
