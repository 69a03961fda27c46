#include <CppUTest/TestHarness.h>

#include "serving/organisationdirectory.h"

using namespace savoryrill;
using serving::OrganisationDirectory;
using serving::OrganisationSpec;
using serving::Quota;
using serving::QuotaUnit;

TEST_GROUP(OrganisationDirectory)
{
  std::vector<std::string> findings;

  static OrganisationSpec organisation(const std::string& aName,
                                       std::vector<std::string> aKeys,
                                       std::optional<Quota> aQuota = std::nullopt)
  {
    return { { aName, std::nullopt, aQuota }, std::move(aKeys) };
  }

  std::shared_ptr<const OrganisationDirectory> create(
    std::vector<OrganisationSpec> aSpecs)
  {
    auto created = OrganisationDirectory::create(std::move(aSpecs));
    findings = std::move(created.findings);
    return created.directory;
  }

  static std::string holderOf(const OrganisationDirectory& aDirectory,
                              std::string_view aKey)
  {
    const auto* found = aDirectory.find(aKey);
    return found == nullptr ? "" : found->name;
  }
};

TEST(OrganisationDirectory, SeveralKeys_EachFindsItsOrganisation)
{
  std::vector<OrganisationSpec> specs;
  for (int at = 0; at < 1000; ++at) {
    const auto number = std::to_string(at);
    specs.push_back(organisation("o" + number, { "first" + number, "second" + number }));
  }
  const auto directory = create(std::move(specs));
  for (int at = 0; at < 1000; ++at) {
    const auto number = std::to_string(at);
    STRCMP_EQUAL(("o" + number).c_str(), holderOf(*directory, "first" + number).c_str());
    STRCMP_EQUAL(("o" + number).c_str(), holderOf(*directory, "second" + number).c_str());
  }
  LONGS_EQUAL(0, findings.size());
  STRCMP_EQUAL("o7", directory->byName("o7")->name.c_str());
}

// Guards against prefixes, extensions and other spellings that count as the key.
TEST(OrganisationDirectory, UnknownKey_FindsNone)
{
  const auto directory = create({ organisation("o", { "key1" }) });
  for (const auto* key : { "", "key", "key11", "KEY1", "o", " key1" }) {
    STRCMP_EQUAL("", holderOf(*directory, key).c_str());
  }
  POINTERS_EQUAL(nullptr, create({})->find("key1"));
  POINTERS_EQUAL(nullptr, directory->byName("p"));
}

// Guards against requests that run under the name of another organisation.
TEST(OrganisationDirectory, KeyOfTwoOrganisations_AcceptedForNeither)
{
  const auto directory = create({ organisation("a", { "shared", "own" }),
                                  organisation("b", { "shared", "second" }) });
  STRCMP_EQUAL("", holderOf(*directory, "shared").c_str());
  STRCMP_EQUAL("a", holderOf(*directory, "own").c_str());
  STRCMP_EQUAL("b", holderOf(*directory, "second").c_str());
  LONGS_EQUAL(1, findings.size());
}

TEST(OrganisationDirectory, KeyTwiceInOneOrganisation_Accepted)
{
  STRCMP_EQUAL("a",
               holderOf(*create({ organisation("a", { "key", "key" }) }), "key").c_str());
  LONGS_EQUAL(0, findings.size());
}

// Guards against a second header that the name smuggles into requests to upstreams.
TEST(OrganisationDirectory, NameIsEmptyRepeatedOrNoHeaderValue_LeftOut)
{
  const auto directory = create({ organisation("", { "key1" }),
                                  organisation("a", { "key2" }),
                                  organisation("a", { "key3" }),
                                  organisation("b\r\nX: 1", { "key4" }),
                                  organisation(" b", { "key5" }),
                                  organisation("c d", { "key6" }) });
  for (const auto* key : { "key1", "key3", "key4", "key5" }) {
    STRCMP_EQUAL("", holderOf(*directory, key).c_str());
  }
  STRCMP_EQUAL("a", holderOf(*directory, "key2").c_str());
  STRCMP_EQUAL("c d", holderOf(*directory, "key6").c_str());
  LONGS_EQUAL(4, findings.size());
  LONGS_EQUAL(2, directory->organisations().size());
}

// Guards against a quota into which no request ever fits.
TEST(OrganisationDirectory, BurstBelowOneRequest_IsRaised)
{
  const auto directory =
    create({ organisation("a", {}, Quota{ 10, 0, QuotaUnit::Requests, 200 }),
             organisation("b", {}, Quota{ 10, 50, QuotaUnit::Tokens, 200 }),
             organisation("c", {}, Quota{ 10, 200, QuotaUnit::Tokens, 200 }) });
  DOUBLES_EQUAL(1, directory->byName("a")->quota->burst, 1e-9);
  DOUBLES_EQUAL(200, directory->byName("b")->quota->burst, 1e-9);
  DOUBLES_EQUAL(200, directory->byName("c")->quota->burst, 1e-9);
  LONGS_EQUAL(2, findings.size());
}

// Guards against keys in log lines: findings are logged.
TEST(OrganisationDirectory, Findings_NameNoKey)
{
  create({ organisation("", { "secret-a" }),
           organisation("a", { "secret-b", "" }, Quota{ 10, 0 }),
           organisation("b", { "secret-b" }),
           organisation("b", { "secret-c" }) });
  LONGS_EQUAL(5, findings.size());
  for (const auto& finding : findings) {
    CHECK_TRUE(finding.find("secret") == std::string::npos);
  }
}
