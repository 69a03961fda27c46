#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "serving/types/organisation.h"
#include "serving/types/quota.h"

namespace savoryrill::serving {

/// What one host may spend of the quotas of organisations, and the requests that wait for
/// more. Load pattern: some to some hundred requests a second at a host, of up to a
/// thousand organisations, most of which have no request at a given time; the cost of a
/// request does not grow with their number. Grants come from the host that issues them
/// (`QuotaIssuer`); a host that reaches none uses half of its equal share. Not thread
/// safe; no I/O.
class QuotaLedger
{
public:
  /// Time after its arrival for which a grant may be spent.
  static constexpr Duration kGrantTime = 400ms;
  /// A grant ends this long after the quota request that it answers was sent, even if it
  /// arrived late, since the issuer had counted it in an earlier window.
  static constexpr Duration kAnswerTime = 600ms;
  /// Time after which a quota request that was not answered is repeated.
  static constexpr Duration kRepeatTime = 200ms;
  /// An issuer that has not answered for this long is taken for lost.
  static constexpr Duration kSilence = 2 * kRepeatTime;
  /// Time for which a denial by the issuer also holds for later requests. The room that
  /// the issuer expects can come seconds earlier, since its share grows while hosts
  /// connect to it after a change of the leader, and others give back what they do not
  /// use.
  static constexpr Duration kDenialTime = 400ms;
  /// Part of its equal share that a host uses without an issuer, since hosts differ in
  /// how many others they know of.
  static constexpr double kUsedShare = 0.5;
  /// Hosts assumed to share the quotas until a leader has stated the number.
  static constexpr std::uint32_t kUnknownHostCount = 100;
  /// Time for which a host without an issuer expects the next one: a change of leader
  /// takes less. Until then, requests that the host's own share does not cover wait for
  /// as long as they may; later they are denied at once.
  static constexpr Duration kNextIssuerTime = 4s;

  /// `aPhase`, from 0 to 1, differs between hosts, so that those without an issuer do not
  /// all spend their first request at the same time. `aFirstNumber` is random, so that
  /// no grant for an earlier process of this host is taken for one of this process.
  QuotaLedger(double aPhase, std::uint64_t aFirstNumber)
    : mPhase(aPhase)
    , mLastNumber(aFirstNumber)
  {
  }

  /// Limits from now on.
  void setQuotas(const std::map<std::string, Quota>& aQuotas, Instant aNow);
  bool hasQuotas() const { return !mAccounts.empty(); }
  /// States which issuer can be reached (empty: none), and how many hosts share the
  /// quotas (0: unknown).
  void setSharing(const std::string& aIssuer, std::uint32_t aHostCount, Instant aNow);

  struct Admitted
  {
    double amount = 0;
    Instant refundableUntil{};
  };
  struct Waits
  {
    std::uint64_t id;
  };
  using Outcome = std::variant<Admitted, QuotaDenial>;
  using Answer = std::variant<Admitted, Waits, QuotaDenial>;
  /// Charges a request to its organisation, denies it, or lets it wait until `aUntil` at
  /// most.
  Answer admit(const std::string& aOrganisation,
               double aCost,
               Instant aUntil,
               Instant aNow);
  /// A waiting request needs no outcome any more.
  void withdraw(std::uint64_t aId, Instant aNow);
  /// A charged request has not run and never will. Without effect after the end of the
  /// grant that it was charged to.
  void refund(const std::string& aOrganisation, const Admitted& aCharge, Instant aNow);

  struct Decision
  {
    std::uint64_t id;
    std::string organisation;
    Outcome outcome;
  };
  bool hasDecisions() const { return !mDecisions.empty(); }
  /// Outcomes of waiting requests since the last call.
  std::vector<Decision> takeDecisions();
  /// Decides the requests that have waited for long enough, and drops ended grants.
  void expire(Instant aNow);
  /// When to call `expire` for the next waiting request; nullopt: none waits.
  std::optional<Instant> nextDue() const;

  bool wantsToSend() const { return !mToRequest.empty() || !mUnused.empty(); }
  /// The quota requests to send to the issuer now.
  std::vector<QuotaRequest> takeRequests(Instant aNow);
  /// What has not been used and is no longer this host's.
  std::vector<QuotaGrant> takeUnused();
  void grant(const QuotaGrant& aGrant, Instant aNow);
  void deny(const QuotaDenial& aDenial, Instant aNow);

private:
  struct Grant
  {
    std::uint64_t number;
    double rest;
    Instant ends;
  };
  struct Waiting
  {
    std::uint64_t id;
    double cost;
    Instant until;
  };
  struct Account
  {
    Quota quota;
    // Neither allocates memory while it is empty, which most are.
    std::vector<Grant> grants;
    std::list<Waiting> waiting;
    std::optional<std::uint64_t> requested; // number of the unanswered quota request
    // Recent use here, averaged over about `kUseTime`.
    double amountPerSecond = 0;
    double requestsPerSecond = 0;
    Instant used{};
    // Latest denial by the issuer.
    Instant deniedUntil{};  // requests are denied here without asking again
    Instant deniedRoomAt{}; // the issuer expected room then
    Instant denied{};
    double deniedCost = 0;
    Instant returnsUntil{}; // callers of denied requests were told to return until then
    // Share without an issuer.
    double own = 0;
    double largest = 0; // cost of a request
    Instant ownSince{};
    Instant ownUntil{};
  };
  struct Sent
  {
    std::string organisation;
    Instant at;
    bool granted = false;
  };
  Account* accountOf(const std::string& aOrganisation);
  static double held(const Account& aAccount);
  std::optional<Admitted> spend(Account& aAccount, double aCost, Instant aNow);
  std::optional<Admitted> spendOwn(const std::string& aOrganisation,
                                   Account& aAccount,
                                   double aCost,
                                   Instant aNow);
  std::optional<Instant> withoutIssuerSince(Instant aNow) const;
  void accrue(const std::string& aOrganisation,
              Account& aAccount,
              double aCost,
              Instant aNow);
  double ownRate(const Account& aAccount) const;
  Duration ownRoomIn(const Account& aAccount) const;
  /// When the caller of a denied request should return: once there is room, and after the
  /// callers that were denied before, at this host's equal share of the rate. Load
  /// pattern: an organisation sends several times its rate for seconds. If all callers
  /// return when there is room for one, nearly all are denied again.
  Duration returnIn(Account& aAccount, double aCost, Instant aRoomAt, Instant aNow) const;
  static void recordUse(Account& aAccount, double aCost, Instant aNow);
  static double aheadOf(const Account& aAccount, Instant aNow);
  void requestAgain(const std::string& aOrganisation, Account& aAccount);
  void serveWaiting(const std::string& aOrganisation, Account& aAccount, Instant aNow);
  void decide(const std::string& aOrganisation, Waiting aWaiting, Outcome aOutcome);
  void dropEnded(const std::string& aOrganisation, Account& aAccount, Instant aNow);

  double mPhase;
  std::unordered_map<std::string, Account> mAccounts;
  std::string mIssuer;                     // empty: none
  std::optional<Instant> mIssuerLost;      // since when there is none
  std::optional<Instant> mUnansweredSince; // first quota request without an answer since
  std::uint32_t mHostCount = kUnknownHostCount;
  std::uint64_t mLastNumber; // of a quota request
  std::uint64_t mLastId = 0;
  std::map<std::uint64_t, Sent> mSent; // within `kAnswerTime`, by number
  std::set<std::string> mToRequest;    // organisations
  std::vector<QuotaGrant> mUnused;
  std::vector<Decision> mDecisions;
  std::unordered_map<std::uint64_t, std::string> mWaiting; // organisation, by id
  std::set<std::pair<Instant, std::uint64_t>> mDeadlines;  // of waiting requests
  std::set<std::pair<Instant, std::string>> mGrantEnds;    // and organisation
};

} // namespace savoryrill::serving
