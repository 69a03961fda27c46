#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstdio>

#include "serving/tests/quotasimulation.h"

using namespace savoryrill;
using serving::QuotaSimulation;

// Replays of the load that quotas are made for: 80 hosts and 16 organisations that use
// half of their rates, one of which sends 7.5 times its usual amount. Each prints what
// was refused below the limit, and the largest window.

TEST_GROUP(QuotaReplay)
{
  static constexpr std::size_t kHosts = 80;
  static constexpr const char* kBusy = "o12"; // 86,000 tokens a second

  std::unique_ptr<QuotaSimulation> simulation;

  void setup() override
  {
    simulation = std::make_unique<QuotaSimulation>(kHosts, 1);
    for (int index = 0; index < 16; ++index) {
      const double rate = 2'700 * std::pow(176'000.0 / 2'700, index / 15.0);
      simulation->addOrganisation("o" + std::to_string(index), rate);
    }
  }

  static void print(const char* aWhat, const QuotaSimulation::Result& aResult)
  {
    std::printf("  %s: %llu requests, %llu refused, %.2f %% of all below the limit, "
                "largest window %.3f of allowance, longest wait %.0f ms\n",
                aWhat,
                static_cast<unsigned long long>(aResult.requests),
                static_cast<unsigned long long>(aResult.refused),
                100.0 * static_cast<double>(aResult.refusedBelowLimit) /
                  static_cast<double>(aResult.requests),
                aResult.largestWindow,
                aResult.longestWaitMs);
  }

  /// Prints the results, and checks that no window exceeds what is allowed.
  void check(const char* aName, double aMostRefusedOfOthers)
  {
    std::printf("\n%s, %llu messages:\n",
                aName,
                static_cast<unsigned long long>(simulation->messages()));
    const auto others = simulation->othersThan(kBusy);
    print("usual organisations", others);
    print("busy organisation", simulation->results().at(kBusy));
    for (const auto& [name, result] : simulation->results()) {
      if (result.largestWindow > 1) {
        FAIL(name.c_str());
      }
    }
    CHECK_TRUE(static_cast<double>(others.refused) <=
               aMostRefusedOfOthers * static_cast<double>(others.requests));
  }

  static std::vector<std::size_t> hostsFrom(std::size_t aFirst, std::size_t aCount)
  {
    std::vector<std::size_t> hosts;
    for (std::size_t at = 0; at < aCount; ++at) {
      hosts.push_back(aFirst + at);
    }
    return hosts;
  }
};

TEST(QuotaReplay, OneOrganisationIsBusy_LimitHoldsAndOthersAreServed)
{
  simulation->lead(0);
  simulation->run(15s);
  simulation->clearResults(); // without the start
  simulation->setLoad(kBusy, 7.5);
  simulation->run(30s);
  check("one organisation at 7.5 times its usual amount", 0.01);
}

// Fixed parts of the quotas at each host, which is what hosts use without an issuer.
TEST(QuotaReplay, NoHostIssues_LimitHolds)
{
  simulation->run(15s);
  simulation->clearResults();
  simulation->setLoad(kBusy, 7.5);
  simulation->run(30s);
  check("no host issues", 0.75);
}

// Guards against limits that are exceeded by hosts that are cut off alone.
TEST(QuotaReplay, ThirdOfHostsIsCutOffAlone_LimitHolds)
{
  simulation->lead(0);
  simulation->run(15s);
  simulation->setLoad(kBusy, 7.5);
  simulation->run(5s);
  simulation->cutOff(hostsFrom(52, 28), true);
  simulation->run(50s);
  check("28 hosts cut off, each alone, for 50 s", 0.35);
}

// Guards against two issuers on both sides of a cut.
TEST(QuotaReplay, ThirdOfHostsIsCutOffWithLeader_LimitHolds)
{
  simulation->lead(60);
  simulation->run(15s);
  simulation->setLoad(kBusy, 7.5);
  simulation->run(5s);
  simulation->cutOff(hostsFrom(52, 28), false);
  simulation->run(3s);
  simulation->loseLease(60);
  simulation->run(1s);
  simulation->lead(0);
  simulation->run(50s);
  check("28 hosts cut off with the leader, for 50 s", 0.25);
}

// Guards against an organisation that becomes busy while a third is cut off: the buckets
// are full then.
TEST(QuotaReplay, BecomesBusyWhileHostsAreCutOff_LimitHolds)
{
  simulation->lead(60);
  simulation->run(10s);
  simulation->cutOff(hostsFrom(52, 28), false);
  simulation->run(3s);
  simulation->loseLease(60);
  simulation->run(1s);
  simulation->lead(0);
  simulation->run(35s);
  simulation->setLoad(kBusy, 7.5);
  simulation->run(20s);
  check("busy after 35 s with 28 hosts cut off", 0.25);
}

TEST(QuotaReplay, LeaderEnds_LimitHoldsAndNextLeaderServesSoon)
{
  simulation->lead(0);
  simulation->run(15s);
  simulation->setLoad(kBusy, 7.5);
  simulation->run(5s);
  simulation->restart(0);
  simulation->run(4s);
  simulation->lead(1);
  simulation->run(20s);
  check("leader ends, next one after 4 s", 0.1);
}

TEST(QuotaReplay, AllHostsRestart_LimitHolds)
{
  simulation->lead(0);
  simulation->run(15s);
  simulation->setLoad(kBusy, 7.5);
  simulation->run(10s);
  for (std::size_t host = 0; host < kHosts; ++host) {
    simulation->restart(host);
  }
  simulation->run(4s);
  simulation->lead(3);
  simulation->run(20s);
  check("all hosts restart, leader after 4 s", 0.15);
}
