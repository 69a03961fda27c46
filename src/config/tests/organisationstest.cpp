#include <CppUTest/TestHarness.h>

#include "config/tests/sampletext.h"

using namespace savoryrill;
using namespace savoryrill::config;

TEST_GROUP(Organisations)
{
  const std::string first = std::string(64, 'a');
  const std::string second = std::string(64, 'b');

  static Bundle bundleWith(const std::string& aOrganisations)
  {
    return sampleBundle(
      replaced(kSampleBase,
               "  \"callers\"",
               "  \"organisations\": {\n" + aOrganisations + "},\n  \"callers\""));
  }

  std::string member(const std::string& aName,
                     const std::string& aHash,
                     const std::string& aMore = "") const
  {
    return '"' + aName + R"(": {"keys_sha256": [")" + aHash + R"("])" + aMore + "}";
  }

  static void checkFinding(const std::string& aExpected,
                           const std::string& aOrganisations)
  {
    STRCMP_CONTAINS(aExpected.c_str(),
                    listed(checkBundle(bundleWith(aOrganisations)).findings).c_str());
  }
};

TEST(Organisations, Whole_IsReadAndWarnsThatRoutersDoNotApplyIt)
{
  const auto checked = checkBundle(
    bundleWith(member("towers",
                      first,
                      R"(, "priority": "high", "unit": "tokens", "rate_per_s": 176356,)"
                      R"( "burst": 176357, "default_tokens": 200)") +
               ",\n" + member("desks", second)));
  LONGS_EQUAL(1, checked.findings.size());
  STRCMP_CONTAINS("base.json:26: warning: organisations: is applied by the gateway only",
                  listed(checked.findings).c_str());
  const auto& towers = checked.sites.at("xela").organisations.at("towers");
  STRCMP_EQUAL(first.c_str(), towers.keysSha256.at(0).c_str());
  CHECK_TRUE(towers.priority == Priority::High);
  CHECK_TRUE(towers.unit == QuotaUnit::Tokens);
  DOUBLES_EQUAL(176356, towers.ratePerSecond, 1e-9);
  DOUBLES_EQUAL(176357, towers.burst, 1e-9);
  DOUBLES_EQUAL(200, towers.defaultTokens, 1e-9);
  const auto& desks = checked.sites.at("xela").organisations.at("desks");
  CHECK_FALSE(desks.priority.has_value());
  DOUBLES_EQUAL(0, desks.ratePerSecond, 1e-9);
}

// Guards against requests that are counted for the wrong organisation, or refused.
TEST(Organisations, KeyOfTwo_IsError)
{
  checkFinding("base.json:28: error: organisations.towers.keys_sha256: contains a key of "
               "'desks'",
               member("desks", first) + ",\n" + member("towers", first));
}

TEST(Organisations, NameIsEmptyOrRepeatedOrNoHeaderValue_IsError)
{
  checkFinding("is not a name", member("", first));
  checkFinding("is not a name", member("to wers", first));
  checkFinding("base.json:28: error: organisations.towers: the key is given twice",
               member("towers", first) + ",\n" + member("towers", second));
}

// Guards against a quota into which no request ever fits.
TEST(Organisations, BurstBelowOneRequest_IsErrorIfThereIsARate)
{
  checkFinding("error: organisations.towers.burst: is below the cost of one request",
               member("towers", first, R"(, "rate_per_s": 5)"));
  checkFinding(
    "error: organisations.towers.burst: is below the cost of one request",
    member(
      "towers",
      first,
      R"(, "rate_per_s": 5, "burst": 100, "unit": "tokens", "default_tokens": 200)"));
  const auto checked =
    checkBundle(bundleWith(member("towers", first, R"(, "burst": 0, "rate_per_s": 0)")));
  CHECK_FALSE(hasErrors(checked.findings));
}

TEST(Organisations, OtherFault_IsError)
{
  checkFinding(
    "error: organisations.towers.unit: 'token' is not one of requests, tokens; "
    "did you mean 'tokens'?",
    member("towers", first, R"(, "unit": "token")"));
  checkFinding("organisations.towers.rate_per_s: must be from 0",
               member("towers", first, R"(, "rate_per_s": -1)"));
  checkFinding("organisations.towers.keys_sha256: is missing", R"("towers": {})");
  checkFinding("organisations.towers.priority: 'urgent' is not one of",
               member("towers", first, R"(, "priority": "urgent")"));
}

// Guards against keys in findings, where an operator has written one instead of its hash.
TEST(Organisations, PlainKey_IsErrorThatDoesNotQuoteIt)
{
  const auto findings =
    listed(checkBundle(bundleWith(member("towers", "secret-key"))).findings);
  STRCMP_CONTAINS("organisations.towers.keys_sha256[0]: the hash must be",
                  findings.c_str());
  CHECK_TRUE(findings.find("secret-key") == std::string::npos);
}
