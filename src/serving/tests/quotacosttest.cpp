#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdio>
#include <malloc.h>

#include "serving/quotaissuer.h"
#include "serving/quotaledger.h"

using namespace savoryrill;

// Prints what a request costs and what the state occupies, with today's number of
// organisations and with the largest one. Checks only that the number of messages, which
// does not depend on the machine, is the same for both.
TEST_GROUP(QuotaCost)
{
  Instant now{ std::chrono::hours(1) };

  std::size_t messagesFor(int aOrganisations)
  {
    constexpr int kRequests = 50'000;
    std::map<std::string, serving::Quota> quotas;
    for (int at = 0; at < aOrganisations; ++at) {
      quotas["organisation" + std::to_string(at)] = {
        1e9, 1e9, serving::QuotaUnit::Tokens, 200
      };
    }
    const auto memory_before = mallinfo2().uordblks;
    serving::QuotaLedger ledger{ 0.5, 0 };
    serving::QuotaIssuer issuer{ 0 };
    ledger.setQuotas(quotas, now);
    ledger.setSharing("a", 80, now);
    issuer.setQuotas(quotas);
    issuer.issue(1, now);
    now += 900ms;
    issuer.issue(1, now);
    const auto memory = mallinfo2().uordblks - memory_before;
    std::size_t messages = 0;
    const auto started = std::chrono::steady_clock::now();
    for (int at = 0; at < kRequests; ++at, now += 5ms) {
      ledger.admit("organisation" + std::to_string(at % 16), 1'600, now + 100ms, now);
      ledger.expire(now);
      for (const auto& request : ledger.takeRequests(now)) {
        issuer.request("h", request, now);
        ++messages;
      }
      for (const auto& unused : ledger.takeUnused()) {
        issuer.giveBack(unused, now);
      }
      for (const auto& [host, grant] : issuer.issue(1, now).grants) {
        ledger.grant(grant, now);
      }
      ledger.takeDecisions();
    }
    const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - started;
    std::printf(
      "\n%d organisations: %.1f us for a request at host and issuer, %.2f quota "
      "requests each, %zu bytes in all",
      aOrganisations,
      taken.count() / kRequests,
      static_cast<double>(messages) / kRequests,
      static_cast<std::size_t>(memory));
    return messages;
  }
};

// Guards against a cost of each request that grows with the number of organisations.
TEST(QuotaCost, ManyOrganisations_SameNumberOfMessages)
{
  LONGS_EQUAL(messagesFor(16), messagesFor(1'000));
  std::printf("\n");
}
