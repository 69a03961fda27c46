#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "base/types/time.h"
#include "serving/types/quota.h"

namespace savoryrill::gateway {

/// What a request has taken from the quota of its organisation.
struct QuotaCharge
{
  std::string organisation;
  double amount = 0;
  Instant refundableUntil{}; // end of the grant that the charge was taken from
};

using QuotaOutcome = std::variant<QuotaCharge, serving::QuotaDenial>;

/// Quotas of organisations, as seen by one host. Not thread safe.
class IQuotas
{
public:
  /// A request that waits for its outcome. Destroying it withdraws the request; it may be
  /// destroyed within its callback, too.
  class Pending
  {
  public:
    virtual ~Pending() = default;
  };
  virtual ~IQuotas() = default;

  /// Charges a request of `aCost` to the quota of an organisation. Calls back at once and
  /// returns null if this host holds enough or the organisation has no limit; otherwise
  /// calls back once, after at most `aMaxWait`.
  virtual std::unique_ptr<Pending> admit(
    const std::string& aOrganisation,
    double aCost,
    Duration aMaxWait,
    std::function<void(const QuotaOutcome&)> aCallback) = 0;

  /// Gives back the charge of a request that has not run and never will.
  virtual void refund(const QuotaCharge& aCharge) = 0;
};

} // namespace savoryrill::gateway
