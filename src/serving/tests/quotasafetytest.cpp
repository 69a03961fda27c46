#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "serving/quotaissuer.h"
#include "serving/quotaledger.h"
#include "serving/quotashare.h"

// Plays every sequence of events up to a depth on some hosts that share the quota of one
// organisation, and checks requirement 9 (the sum of each window) in every state. The
// hosts' callers always send more than the quota, apart from times without a request.

using namespace savoryrill;
using serving::Quota;
using serving::QuotaGrant;
using serving::QuotaIssuer;
using serving::QuotaLedger;

namespace {

enum class Action
{
  Spend,
  SpendWithRepeatedMessages,
  SpendWithLostMessages,
  SpendWithReturns, // the requests of a host do not run; messages are repeated
  Reserve,          // grants are obtained for requests that do not run; then no requests
  Release,          // the requests that did not run are refunded
  DelayGrants,      // grants arrive after a time without requests
  ChangeLeader,
  CutOff, // a host; or it is connected again
  PauseLeader,
  RestartHosts,
  LowerLimit
};
constexpr std::size_t kActions = 12;
constexpr std::array<const char*, kActions> kActionNames{
  "spend", "spend-repeated", "spend-lost", "spend-returns", "reserve",       "release",
  "delay", "change-leader",  "cut-off",    "pause-leader",  "restart-hosts", "lower-limit"
};

constexpr const char* kOrganisation = "o";
constexpr double kFullRate = 100'000;
constexpr double kRequestCost = 20'000;
constexpr double kSlack = 11'000;
constexpr double kOverage = 0.1;
constexpr Duration kSafetyStep = 200ms;
constexpr Duration kSpendTime = 8s;
constexpr Duration kQuietTime = 2s;
constexpr Duration kChangeTime = 1s;
constexpr Duration kCutOffTime = 20s;
// A bit more than what an issuer takes for a pause.
constexpr Duration kPauseTime = 1200ms;
constexpr int kPauses = 3;

/// Some hosts and what they have spent. Copied for each event.
struct QuotaWorld
{
  struct Host
  {
    QuotaLedger ledger;
    QuotaIssuer issuer;
    serving::QuotaShare share;
    bool cutOff = false;
    bool paused = false;
    bool issued = false;
    double issuedShare = 0;
    bool former = false; // leader that was cut off, and does not know the next one
    std::vector<QuotaLedger::Admitted> reserved;
  };
  struct Delayed
  {
    std::size_t host;
    QuotaGrant grant;
  };

  std::vector<Host> hosts;
  std::size_t leader = 0;
  Instant now{ std::chrono::hours(1) };
  double rate = kFullRate;
  Instant lowered{};
  std::deque<std::pair<Instant, double>> spent; // in the last window
  double sum = 0;
  double worst = 0; // largest sum as a part of what is allowed
  std::vector<Delayed> delayed;
  std::vector<std::pair<std::size_t, QuotaGrant>> repeated;
  std::uint64_t processes = 0;
  bool runs = true;     // requests run, otherwise they are reserved
  bool returns = false; // requests of the first host do not run
  bool requests = true; // callers send any
  enum class Delivery
  {
    Prompt,
    Repeated,
    Lost,
    Late
  } delivery = Delivery::Prompt;

  explicit QuotaWorld(std::size_t aHosts)
  {
    for (std::size_t host = 0; host < aHosts; ++host) {
      hosts.push_back(newHost());
    }
    for (auto& host : hosts) {
      host.share.record(static_cast<std::uint32_t>(aHosts), true, now);
    }
    hosts[0].share.setLeading(true, now);
    advance(kQuietTime, false); // the bucket fills
  }

  Host newHost()
  {
    ++processes;
    Host host{ QuotaLedger(static_cast<double>(processes % 3) / 3, processes << 32),
               QuotaIssuer(processes << 32),
               {} };
    host.ledger.setQuotas(quotas(), now);
    host.issuer.setQuotas(quotas());
    return host;
  }

  std::map<std::string, Quota> quotas() const
  {
    return { { kOrganisation, { rate, rate, serving::QuotaUnit::Tokens, 200 } } };
  }

  bool reachesLeader(std::size_t aHost) const
  {
    return !hosts[leader].paused &&
           (aHost == leader || (!hosts[aHost].cutOff && !hosts[leader].cutOff));
  }

  void advance(Duration aTime, bool aRequests)
  {
    requests = aRequests;
    for (const Instant end = now + aTime; now < end; now += kSafetyStep) {
      step();
    }
  }

  /// The host that this one asks; itself for issuers.
  std::optional<std::size_t> issuerOf(std::size_t aHost) const
  {
    if (hosts[aHost].former) {
      return aHost;
    }
    return reachesLeader(aHost) ? std::optional(leader) : std::nullopt;
  }

  void step()
  {
    std::vector<std::uint32_t> served(hosts.size(), 0);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      if (const auto issuer = issuerOf(host)) {
        ++served[*issuer];
      }
    }
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      auto& item = hosts[host];
      if (item.paused) {
        continue;
      }
      const auto issuer = issuerOf(host);
      const bool issues = issuer == host;
      if (issuer == leader) {
        item.share.record(served[leader], !issues, now);
      }
      if (issues && !item.issued) {
        item.issuer.restart(now);
      }
      item.issued = issues;
      item.issuedShare = issues ? item.share.of(served[host], now) : 0;
      item.ledger.setSharing(
        issuer ? std::to_string(*issuer) : "", item.share.hostCount(), now);
      item.ledger.expire(now);
      if (requests) {
        request(item);
      }
    }
    for (int round = 0; round < 2; ++round) {
      exchange();
    }
    check();
  }

  void request(Host& aHost)
  {
    int waiting = 0;
    for (int at = 0; waiting < 6 && at < 20; ++at) {
      const auto answer =
        aHost.ledger.admit(kOrganisation, kRequestCost, now + 150ms, now);
      if (const auto* charge = std::get_if<QuotaLedger::Admitted>(&answer)) {
        admitted(aHost, *charge);
      } else if (std::holds_alternative<serving::QuotaDenial>(answer)) {
        return;
      } else {
        ++waiting;
      }
    }
  }

  void admitted(Host& aHost, const QuotaLedger::Admitted& aCharge)
  {
    if (returns && &aHost == hosts.data()) {
      aHost.ledger.refund(kOrganisation, aCharge, now);
      return;
    }
    if (!runs) {
      aHost.reserved.push_back(aCharge);
      return;
    }
    spent.emplace_back(now, aCharge.amount);
    sum += aCharge.amount;
  }

  void exchange()
  {
    for (const auto& [host, grant] : std::exchange(repeated, {})) {
      hosts[host].ledger.grant(grant, now);
    }
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      const auto issuer = issuerOf(host);
      if (!issuer || hosts[host].paused) {
        continue;
      }
      const auto unused = hosts[host].ledger.takeUnused();
      const auto asked = hosts[host].ledger.takeRequests(now);
      for (int copy = 0; copy < (delivery == Delivery::Repeated ? 2 : 1); ++copy) {
        for (const auto& item : unused) {
          hosts[*issuer].issuer.giveBack(item, now);
        }
        for (const auto& item : asked) {
          hosts[*issuer].issuer.request(std::to_string(host), item, now);
        }
        issue(*issuer);
      }
    }
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      if (issuerOf(host) == host && !hosts[host].paused) {
        issue(host);
      }
    }
    for (auto& host : hosts) {
      for (const auto& decision : host.ledger.takeDecisions()) {
        if (const auto* charge = std::get_if<QuotaLedger::Admitted>(&decision.outcome)) {
          admitted(host, *charge);
        }
      }
    }
  }

  void issue(std::size_t aIssuer)
  {
    auto& issuer = hosts[aIssuer];
    const auto issued = issuer.issuer.issue(issuer.issuedShare, now);
    for (const auto& [name, grant] : issued.grants) {
      const auto host = std::stoul(name);
      if (delivery == Delivery::Late) {
        delayed.push_back({ host, grant });
      } else if (delivery != Delivery::Lost || grant.number % 2 == 0) {
        hosts[host].ledger.grant(grant, now);
      }
      if (delivery == Delivery::Repeated) {
        repeated.emplace_back(host, grant);
      }
    }
    for (const auto& [name, denial] : issued.denials) {
      hosts[std::stoul(name)].ledger.deny(denial, now);
    }
  }

  void check()
  {
    while (!spent.empty() && now - spent.front().first >= QuotaIssuer::kWindow) {
      sum -= spent.front().second;
      spent.pop_front();
    }
    // A lowered limit is binding one window after all hosts know it.
    const bool former = lowered != Instant{} && now - lowered < QuotaIssuer::kWindow + 1s;
    const double limit = former ? kFullRate : rate;
    const double allowed =
      (limit * toSeconds(QuotaIssuer::kWindow) + limit) * (1 + kOverage) + kSlack;
    worst = std::max(worst, sum / allowed);
  }

  void setLeader(std::size_t aHost)
  {
    hosts[leader].share.setLeading(false, now);
    hosts[leader].former = hosts[leader].cutOff && hosts[leader].issued;
    leader = aHost;
    hosts[leader].former = false;
    hosts[leader].share.setLeading(true, now);
  }

  void deliverDelayed()
  {
    for (const auto& [host, grant] : std::exchange(delayed, {})) {
      hosts[host].ledger.grant(grant, now);
    }
  }

  void apply(Action aAction)
  {
    delivery = Delivery::Prompt;
    if (aAction != Action::DelayGrants) {
      deliverDelayed();
    }
    switch (aAction) {
      case Action::SpendWithRepeatedMessages:
        delivery = Delivery::Repeated;
        [[fallthrough]];
      case Action::Spend:
        advance(kSpendTime, true);
        break;
      case Action::SpendWithLostMessages:
        delivery = Delivery::Lost;
        advance(kSpendTime, true);
        break;
      case Action::SpendWithReturns:
        delivery = Delivery::Repeated;
        returns = true;
        advance(kSpendTime, true);
        returns = false;
        break;
      case Action::Reserve:
        runs = false;
        advance(kSafetyStep, true);
        runs = true;
        advance(kQuietTime, false);
        break;
      case Action::Release:
        for (auto& host : hosts) {
          for (const auto& charge : std::exchange(host.reserved, {})) {
            host.ledger.refund(kOrganisation, charge, now);
          }
        }
        break;
      case Action::DelayGrants:
        delivery = Delivery::Late;
        runs = false;
        advance(kSafetyStep, true);
        runs = true;
        delivery = Delivery::Prompt;
        advance(kQuietTime, false);
        break;
      case Action::ChangeLeader:
        setLeader((leader + 1) % hosts.size());
        advance(kChangeTime, true);
        break;
      case Action::CutOff:
        hosts.back().cutOff = !hosts.back().cutOff;
        hosts.back().former = false;
        if (hosts.back().cutOff && leader == hosts.size() - 1) {
          setLeader(0);
        }
        advance(kCutOffTime, false);
        break;
      case Action::PauseLeader:
        // Another host leads meanwhile; the paused one resumes as the leader before its
        // first check.
        for (int pause = 0; pause < kPauses; ++pause) {
          const auto paused = leader;
          hosts[paused].paused = true;
          setLeader((leader + 1) % hosts.size());
          advance(kPauseTime, true);
          hosts[paused].paused = false;
          setLeader(paused);
          advance(kSafetyStep, true);
        }
        break;
      case Action::RestartHosts:
        for (auto& host : hosts) {
          const bool cut_off = host.cutOff;
          host = newHost();
          host.cutOff = cut_off;
        }
        setLeader(leader);
        advance(kChangeTime, true);
        break;
      case Action::LowerLimit:
        if (lowered == Instant{}) {
          lowered = now;
          rate = kFullRate / 2;
          for (auto& host : hosts) {
            host.ledger.setQuotas(quotas(), now);
            host.issuer.setQuotas(quotas());
          }
        }
        advance(kSafetyStep, true);
        break;
    }
  }
};

struct QuotaExplorer
{
  static bool spends(Action aAction)
  {
    return aAction != Action::Reserve && aAction != Action::Release &&
           aAction != Action::DelayGrants && aAction != Action::CutOff;
  }

  std::uint64_t states = 0;
  double worst = 0;
  std::vector<Action> path;
  std::vector<Action> worstPath;

  void explore(const QuotaWorld& aWorld, int aDepth)
  {
    ++states;
    if (aWorld.worst > worst) {
      worst = aWorld.worst;
      worstPath = path;
    }
    if (aDepth == 0) {
      return;
    }
    for (std::size_t action = 0; action < kActions; ++action) {
      if (aDepth == 1 && !spends(static_cast<Action>(action))) {
        continue; // the sum of no window grows
      }
      QuotaWorld next = aWorld;
      next.apply(static_cast<Action>(action));
      path.push_back(static_cast<Action>(action));
      explore(next, aDepth - 1);
      path.pop_back();
    }
  }

  void print(std::size_t aHosts, int aDepth) const
  {
    std::printf("\n%zu hosts, depth %d: %llu states, largest window %.3f of allowance:",
                aHosts,
                aDepth,
                static_cast<unsigned long long>(states),
                worst);
    for (const auto action : worstPath) {
      std::printf(" %s", kActionNames[static_cast<std::size_t>(action)]);
    }
    std::printf("\n");
  }
};

} // namespace

TEST_GROUP(QuotaSafety){};

// Guards against an organisation that uses more than its quota in some window, whatever
// happens to messages, links and hosts.
TEST(QuotaSafety, EverySequenceOfEvents_WindowsStayWithinQuota)
{
  constexpr std::array<std::pair<std::size_t, int>, 2> kSizes{ { { 2, 4 }, { 3, 3 } } };
  for (const auto& [hosts, depth] : kSizes) {
    QuotaExplorer explorer;
    explorer.explore(QuotaWorld(hosts), depth);
    explorer.print(hosts, depth);
    CHECK_TRUE(explorer.worst <= 1);
  }
}
