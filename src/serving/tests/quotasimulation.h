#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "serving/quotaissuer.h"
#include "serving/quotaledger.h"
#include "serving/quotashare.h"

namespace savoryrill::serving {

/// Replays load on hosts that share the quotas of organisations, without a network or a
/// clock: hosts, messages with delays, cuts between hosts, ends of hosts and leaders.
/// Requests arrive at random times at random hosts; one in ten is large.
class QuotaSimulation
{
public:
  struct Result
  {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    /// Refused although the sum of the last window and the request was within the quota.
    std::uint64_t refusedBelowLimit = 0;
    std::uint64_t waited = 0;
    double longestWaitMs = 0; // of an admitted request
    /// Largest sum of a window as a part of what requirement 9 allows.
    double largestWindow = 0;
  };

  QuotaSimulation(std::size_t aHosts, std::uint64_t aSeed);

  /// Adds an organisation that uses its rate divided by 1.8.
  void addOrganisation(const std::string& aName, double aPerSecond);
  /// The organisation sends this many times its usual amount from now on.
  void setLoad(const std::string& aName, double aFactor);

  /// The host leads from now on; the hosts that reach it connect within a second.
  void lead(std::size_t aHost);
  /// The lease of the host ends. The hosts that are connected to it stay so.
  void loseLease(std::size_t aHost);
  /// Separates hosts from all others, or only from the hosts that are not in the list.
  void cutOff(const std::vector<std::size_t>& aHosts, bool aFromEachOther);
  /// The host's process ends and starts anew, without a connection.
  void restart(std::size_t aHost);

  void run(Duration aTime);
  const std::map<std::string, Result>& results() const { return mResults; }
  /// Counts from now on.
  void clearResults() { mResults.clear(); }
  /// All organisations but one.
  Result othersThan(const std::string& aName) const;
  std::uint64_t messages() const { return mMessages; }
  Instant now() const { return mNow; }

private:
  struct Message
  {
    Instant at;
    std::uint64_t order;
    std::size_t from;
    std::size_t to;
    std::vector<QuotaRequest> requests;
    std::vector<QuotaGrant> unused;
    std::vector<QuotaGrant> grants;
    std::vector<QuotaDenial> denials;
    bool operator<(const Message& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };
  struct Request
  {
    std::string organisation;
    double cost;
    Instant sent;
    bool belowLimit; // when it arrived
  };
  struct Host
  {
    std::unique_ptr<QuotaLedger> ledger;
    std::unique_ptr<QuotaIssuer> issuer;
    QuotaShare share;
    bool leads = false;
    bool issues = false;
    double issuedShare = 0;
    std::size_t follows = kNone; // host that it is connected to
    Instant connectsAt{};        // or disconnects, if that host cannot be reached
    std::size_t connectsTo = kNone;
    std::size_t group = 0; // only hosts of a group reach each other
    std::map<std::uint64_t, Request> waiting;
  };
  struct Window
  {
    Quota quota;
    double load = 1;
    std::deque<std::pair<Instant, double>> admitted; // in the last window
    double sum = 0;                                  // of these
  };
  static constexpr std::size_t kNone = ~std::size_t{ 0 };

  bool reaches(std::size_t aFrom, std::size_t aTo) const
  {
    return mHosts[aFrom].group == mHosts[aTo].group;
  }
  void start(Host& aHost);
  void arrive();
  void connect();
  void deliver();
  void step(std::size_t aHost);
  void send(Message aMessage);
  void answer(std::size_t aHost, const QuotaIssuer::Issued& aIssued);
  void decide(std::size_t aHost);
  void record(const Request& aRequest, bool aAdmitted);
  double windowSum(const std::string& aName);

  std::mt19937_64 mRandom;
  Instant mNow{ std::chrono::hours(1) };
  std::map<std::string, Quota> mQuotas;
  std::map<std::string, Window> mWindows;
  std::vector<Host> mHosts;
  std::priority_queue<Message> mInFlight;
  std::map<std::string, Result> mResults;
  std::uint64_t mMessages = 0;
  Instant mConnectionsChecked{};
};

} // namespace savoryrill::serving
