#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types/time.h"
#include "serving/types/organisation.h"
#include "serving/types/quota.h"

namespace savoryrill::serving {

/// Divides the quotas of organisations among the hosts that have requests for them. Load
/// pattern: up to a hundred hosts ask for small amounts, and one organisation may send
/// several times its quota. Each organisation has a token bucket, which is empty when
/// this host begins to issue. Hosts spend at most the rate times the window and
/// `kUnsettledTime`, plus the burst and `kDebtTokens`, in any window. Not thread safe; no
/// I/O.
class QuotaIssuer
{
public:
  /// Time for which a quota request waits here; one that would wait longer is denied.
  static constexpr Duration kMaxWait = 100ms;
  /// Time within which a host may return what it has not used. Later returns are ignored,
  /// since they could add up in one window. A grant ends 600 ms after its request was
  /// sent; the rest is for the host's next check and the message.
  static constexpr Duration kReturnTime = 800ms;
  /// A host that has not issued for this long, because it was suspended or did not lead,
  /// begins again with empty buckets: others may have issued meanwhile.
  static constexpr Duration kMaxPause = 1s;
  /// A bucket that is full counts grants that may still be spent or returned, apart from
  /// the rate in this time. Otherwise returns would refill a bucket that has meanwhile
  /// been refilled by its rate. At usual use (half of the rate), the burst stays whole.
  static constexpr Duration kUnsettledTime = 400ms;
  /// Window to which quotas apply.
  static constexpr Duration kWindow = 8s;
  /// Amount by which a bucket may be overdrawn. A bucket of a small organisation (2,700
  /// tokens) holds fewer than two ordinary requests (1,600 tokens), so it would refuse
  /// one in eight at half of its rate. Covers one large request (4,400 tokens), and is
  /// less than half of the slack that quotas have (11,000 tokens).
  static constexpr double kDebtTokens = 5000;
  static constexpr double kDebtRequests = 1;

  /// `aFirstNumber` is random, so that the grants of two processes differ.
  explicit QuotaIssuer(std::uint64_t aFirstNumber)
    : mLastNumber(aFirstNumber)
  {
  }

  /// Limits from now on. Buckets of organisations that had a limit before keep what they
  /// hold, up to the new burst.
  void setQuotas(const std::map<std::string, Quota>& aQuotas);
  /// Empties all buckets: this host begins to issue.
  void restart(Instant aNow);

  /// A host requests an amount. Its earlier request for the organisation, if one is still
  /// pending, is replaced and keeps its place.
  void request(const std::string& aHost, const QuotaRequest& aRequest, Instant aNow);
  /// A host returns what it has not used of a grant.
  void giveBack(const QuotaGrant& aUnused, Instant aNow);

  struct HostGrant
  {
    std::string host;
    QuotaGrant grant;
  };
  struct HostDenial
  {
    std::string host;
    QuotaDenial denial;
  };
  struct Issued
  {
    std::vector<HostGrant> grants;
    std::vector<HostDenial> denials;
    std::optional<Duration> again; // when to issue for what is still pending
  };
  /// Answers the requests for which that is possible. `aShare`, from 0 to 1, is the part
  /// of the rates and bursts that this host may issue. Call it after requests, and at
  /// least every `kMaxPause` while this host issues.
  Issued issue(double aShare, Instant aNow);

private:
  struct Pending
  {
    std::string host;
    QuotaRequest request;
    Instant at;
  };
  struct Grant
  {
    double amount;
    Instant at;
  };
  struct Bucket
  {
    Quota quota;
    double level = 0;     // from 0 to the burst and the debt
    double spare = 0;     // accrued since the bucket is full
    double refilled = 0;  // value of `mIssuedSeconds`
    double unsettled = 0; // sum of `grants`
    // Grants that may still be spent or returned, by number. Like the next one, it
    // allocates no memory while it is empty, which most are.
    std::map<std::uint64_t, Grant> grants;
    std::vector<Pending> pending;
  };
  static double debt(const Quota& aQuota);
  double capacity(const Quota& aQuota) const;
  double mostForOneRequest(const Quota& aQuota) const;
  void restartAfterPause(Instant aNow);
  void refill(Bucket& aBucket, Instant aNow) const;
  double affordable(const Bucket& aBucket, const QuotaRequest& aRequest) const;
  Duration roomIn(const Bucket& aBucket, double aAmount) const;
  void take(Bucket& aBucket,
            const Pending& aPending,
            double aAmount,
            Instant aNow,
            Issued& aIssued);
  void issueFrom(const std::string& aOrganisation,
                 Bucket& aBucket,
                 Instant aNow,
                 Issued& aIssued);

  std::unordered_map<std::string, Bucket> mBuckets;
  std::set<std::string> mWithPending; // organisations
  std::vector<HostGrant> mUnlimited;  // for organisations that have no limit here
  std::uint64_t mLastNumber;          // of a grant
  double mIssuedSeconds = 0;          // sum of time times share
  double mShare = 1;
  std::optional<Instant> mLastIssue;
};

} // namespace savoryrill::serving
