#include "serving/tests/quotasimulation.h"

#include <algorithm>

namespace savoryrill::serving {

namespace {

constexpr Duration kReplayStep = 10ms;
// Period in which hosts check their connections.
constexpr Duration kConnectionPeriod = 50ms;
// A quarter of an objective of 500 ms.
constexpr Duration kMaxWait = 125ms;
constexpr Duration kPeerTimeout = 1500ms;
constexpr double kOrdinaryCost = 1'600;
constexpr double kLargeCost = 4'400;
constexpr double kOverage = 0.1;
constexpr double kSlack = 11'000;
constexpr double kUsualPart = 1 / 1.8;

} // namespace

QuotaSimulation::QuotaSimulation(std::size_t aHosts, std::uint64_t aSeed)
  : mRandom(aSeed)
  , mHosts(aHosts)
{
  for (auto& host : mHosts) {
    start(host);
  }
}

void
QuotaSimulation::start(Host& aHost)
{
  const auto group = aHost.group;
  aHost = Host{};
  aHost.group = group;
  const double phase = std::uniform_real_distribution<double>(0, 1)(mRandom);
  aHost.ledger = std::make_unique<QuotaLedger>(phase, mRandom());
  aHost.issuer = std::make_unique<QuotaIssuer>(mRandom());
  aHost.ledger->setQuotas(mQuotas, mNow);
  aHost.issuer->setQuotas(mQuotas);
}

void
QuotaSimulation::addOrganisation(const std::string& aName, double aPerSecond)
{
  mQuotas[aName] = { aPerSecond, aPerSecond, QuotaUnit::Tokens, 200 };
  mWindows[aName].quota = mQuotas[aName];
  for (auto& host : mHosts) {
    host.ledger->setQuotas(mQuotas, mNow);
    host.issuer->setQuotas(mQuotas);
  }
}

void
QuotaSimulation::setLoad(const std::string& aName, double aFactor)
{
  mWindows[aName].load = aFactor;
}

void
QuotaSimulation::lead(std::size_t aHost)
{
  auto& leader = mHosts[aHost];
  leader.leads = true;
  leader.follows = kNone;
  leader.connectsTo = kNone;
  leader.share.setLeading(true, mNow);
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    if (host != aHost && reaches(host, aHost)) {
      mHosts[host].connectsTo = aHost;
      mHosts[host].connectsAt =
        mNow +
        std::chrono::milliseconds(std::uniform_int_distribution<int>(20, 1'000)(mRandom));
    }
  }
}

void
QuotaSimulation::loseLease(std::size_t aHost)
{
  mHosts[aHost].leads = false;
  mHosts[aHost].share.setLeading(false, mNow);
}

void
QuotaSimulation::cutOff(const std::vector<std::size_t>& aHosts, bool aFromEachOther)
{
  for (const auto host : aHosts) {
    mHosts[host].group = aFromEachOther ? host + 1 : 1;
  }
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    auto& item = mHosts[host];
    if (item.follows != kNone && !reaches(host, item.follows)) {
      item.connectsTo = kNone;
      item.connectsAt = mNow + kPeerTimeout;
    }
  }
}

void
QuotaSimulation::restart(std::size_t aHost)
{
  for (auto& host : mHosts) {
    if (host.follows == aHost) {
      host.follows = kNone; // the connection is closed
    }
  }
  start(mHosts[aHost]);
}

void
QuotaSimulation::run(Duration aTime)
{
  for (const Instant end = mNow + aTime; mNow < end; mNow += kReplayStep) {
    if (mNow - mConnectionsChecked >= kConnectionPeriod) {
      mConnectionsChecked = mNow;
      connect();
    }
    deliver();
    arrive();
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      step(host);
    }
  }
}

void
QuotaSimulation::connect()
{
  std::vector<std::uint32_t> served(mHosts.size(), 1);
  for (auto& host : mHosts) {
    if (host.connectsAt != Instant{} && mNow >= host.connectsAt) {
      host.connectsAt = {};
      host.follows = host.connectsTo;
      host.connectsTo = kNone;
    }
    if (host.follows != kNone) {
      ++served[host.follows];
    }
  }
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    auto& host = mHosts[index];
    if (host.leads) {
      host.share.record(served[index], false, mNow);
    }
    // A host that has led issues to those that are still connected.
    const bool issues = host.leads || (host.follows == kNone && served[index] > 1);
    if (issues && !host.issues) {
      host.issuer->restart(mNow);
    }
    host.issues = issues;
    if (host.follows != kNone && reaches(index, host.follows) &&
        mHosts[host.follows].leads) {
      host.share.record(served[host.follows], true, mNow);
    }
    const auto issuer = issues                  ? "own" + std::to_string(index)
                        : host.follows != kNone ? std::to_string(host.follows)
                                                : std::string();
    host.ledger->setSharing(issuer, host.share.hostCount(), mNow);
    host.issuedShare = issues ? host.share.of(served[index], mNow) : 0;
  }
}

void
QuotaSimulation::send(Message aMessage)
{
  ++mMessages;
  aMessage.order = mMessages;
  // Hosts are in several data centres.
  aMessage.at = mNow + (aMessage.from % 3 == aMessage.to % 3 ? 2ms : 20ms);
  mInFlight.push(std::move(aMessage));
}

void
QuotaSimulation::deliver()
{
  while (!mInFlight.empty() && mInFlight.top().at <= mNow) {
    const auto message = mInFlight.top();
    mInFlight.pop();
    auto& host = mHosts[message.to];
    if (!reaches(message.from, message.to)) {
      continue;
    }
    if (host.issues) {
      for (const auto& unused : message.unused) {
        host.issuer->giveBack(unused, mNow);
      }
      for (const auto& request : message.requests) {
        host.issuer->request(std::to_string(message.from), request, mNow);
      }
    }
    for (const auto& grant : message.grants) {
      host.ledger->grant(grant, mNow);
    }
    for (const auto& denial : message.denials) {
      host.ledger->deny(denial, mNow);
    }
  }
}

void
QuotaSimulation::answer(std::size_t aHost, const QuotaIssuer::Issued& aIssued)
{
  std::map<std::size_t, Message> messages;
  const auto own = std::to_string(aHost);
  for (const auto& [host, grant] : aIssued.grants) {
    if (host == own) {
      mHosts[aHost].ledger->grant(grant, mNow);
    } else {
      messages[std::stoul(host)].grants.push_back(grant);
    }
  }
  for (const auto& [host, denial] : aIssued.denials) {
    if (host == own) {
      mHosts[aHost].ledger->deny(denial, mNow);
    } else {
      messages[std::stoul(host)].denials.push_back(denial);
    }
  }
  for (auto& [host, message] : messages) {
    message.from = aHost;
    message.to = host;
    send(std::move(message));
  }
}

void
QuotaSimulation::arrive()
{
  for (auto& [name, window] : mWindows) {
    constexpr double kMeanCost = 0.9 * kOrdinaryCost + 0.1 * kLargeCost;
    const double expected = window.quota.perSecond * kUsualPart * window.load /
                            kMeanCost * toSeconds(kReplayStep);
    const int count = std::poisson_distribution<int>(expected)(mRandom);
    for (int at = 0; at < count; ++at) {
      const auto index =
        std::uniform_int_distribution<std::size_t>(0, mHosts.size() - 1)(mRandom);
      auto& host = mHosts[index];
      const bool large = std::uniform_int_distribution<int>(0, 9)(mRandom) == 0;
      const double cost = large ? kLargeCost : kOrdinaryCost;
      const auto& quota = window.quota;
      Request request{ name,
                       cost,
                       mNow,
                       windowSum(name) + cost <=
                         quota.perSecond * toSeconds(QuotaIssuer::kWindow) +
                           quota.burst };
      const auto answer = host.ledger->admit(name, cost, mNow + kMaxWait, mNow);
      if (const auto* waits = std::get_if<QuotaLedger::Waits>(&answer)) {
        host.waiting[waits->id] = request;
      } else {
        record(request, std::holds_alternative<QuotaLedger::Admitted>(answer));
      }
    }
  }
}

void
QuotaSimulation::step(std::size_t aHost)
{
  auto& host = mHosts[aHost];
  if (host.issues) {
    answer(aHost, host.issuer->issue(host.issuedShare, mNow));
  }
  host.ledger->expire(mNow);
  Message message;
  message.from = aHost;
  message.unused = host.ledger->takeUnused();
  if (host.issues || host.follows != kNone) {
    message.requests = host.ledger->takeRequests(mNow);
  }
  if (host.issues) {
    for (const auto& unused : message.unused) {
      host.issuer->giveBack(unused, mNow);
    }
    for (const auto& request : message.requests) {
      host.issuer->request(std::to_string(aHost), request, mNow);
    }
  } else if (host.follows != kNone &&
             (!message.requests.empty() || !message.unused.empty())) {
    message.to = host.follows;
    send(std::move(message));
  }
  decide(aHost);
}

void
QuotaSimulation::decide(std::size_t aHost)
{
  auto& host = mHosts[aHost];
  for (const auto& decision : host.ledger->takeDecisions()) {
    const auto found = host.waiting.find(decision.id);
    auto& result = mResults[found->second.organisation];
    const bool admitted = std::holds_alternative<QuotaLedger::Admitted>(decision.outcome);
    ++result.waited;
    if (admitted) {
      result.longestWaitMs =
        std::max(result.longestWaitMs, toSeconds(mNow - found->second.sent) * 1000);
    }
    record(found->second, admitted);
    host.waiting.erase(found);
  }
}

double
QuotaSimulation::windowSum(const std::string& aName)
{
  // Longer by the time that a request may wait, as it counts from when it was sent, but
  // is recorded when it is admitted.
  auto& window = mWindows.at(aName);
  auto& admitted = window.admitted;
  while (!admitted.empty() &&
         mNow - admitted.front().first >= QuotaIssuer::kWindow + kMaxWait) {
    window.sum -= admitted.front().second;
    admitted.pop_front();
  }
  return window.sum;
}

void
QuotaSimulation::record(const Request& aRequest, bool aAdmitted)
{
  auto& result = mResults[aRequest.organisation];
  ++result.requests;
  if (!aAdmitted) {
    ++result.refused;
    result.refusedBelowLimit += aRequest.belowLimit ? 1 : 0;
    return;
  }
  auto& window = mWindows[aRequest.organisation];
  window.admitted.emplace_back(aRequest.sent, aRequest.cost);
  window.sum += aRequest.cost;
  const auto& quota = window.quota;
  const double allowed =
    (quota.perSecond * toSeconds(QuotaIssuer::kWindow) + quota.burst) * (1 + kOverage) +
    kSlack;
  result.largestWindow =
    std::max(result.largestWindow, windowSum(aRequest.organisation) / allowed);
}

QuotaSimulation::Result
QuotaSimulation::othersThan(const std::string& aName) const
{
  Result sum;
  for (const auto& [name, result] : mResults) {
    if (name == aName) {
      continue;
    }
    sum.requests += result.requests;
    sum.refused += result.refused;
    sum.refusedBelowLimit += result.refusedBelowLimit;
    sum.waited += result.waited;
    sum.longestWaitMs = std::max(sum.longestWaitMs, result.longestWaitMs);
    sum.largestWindow = std::max(sum.largestWindow, result.largestWindow);
  }
  return sum;
}

} // namespace savoryrill::serving
