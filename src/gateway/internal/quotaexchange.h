#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "event/deferredcall.h"
#include "event/loop.h"
#include "gateway/internal/quotacodec.h"
#include "gateway/iquotas.h"
#include "serving/quotaissuer.h"
#include "serving/quotaledger.h"

namespace savoryrill::gateway {

/// Quotas of organisations at this host: asks the issuing host for the amounts that its
/// requests cost, and issues amounts to all hosts while it has that role. The requests of
/// one iteration of the loop go into one message. Sends nothing and runs no timer while
/// no organisation has a quota. Not thread safe.
class QuotaExchange final : public IQuotas
{
public:
  struct Dependencies
  {
    event::Loop& loop;
    EventLog& log;
    Metrics& metrics;
  };

  /// What the connections to other hosts allow at this moment.
  struct Role
  {
    bool issues = false; // this host issues to all that ask it
    std::string issuer;  // host to ask otherwise; empty: none can be reached
    /// Part of the rates that this host may issue, from 0 to 1.
    double share = 0;
    std::uint32_t hostCount = 0; // that share the quotas; 0: unknown
  };
  /// Connection to the other hosts.
  struct Peers
  {
    std::function<Role()> role;
    std::function<void(const std::string& aHost, const QuotaMessage&)> send;
  };

  QuotaExchange(Dependencies aDependencies, std::string aOwnHost, std::uint64_t aSeed);
  ~QuotaExchange() override;

  /// Sets the connection to the other hosts; without one, this host uses its own share.
  void setPeers(Peers aPeers) { mPeers = std::move(aPeers); }
  /// Applies the organisations of a configuration that has come into force.
  void setQuotas(const std::map<std::string, serving::Organisation>& aOrganisations);

  /// Sends and answers what is due. Call it at least every 100 ms, and when the
  /// connection to the issuing host has changed.
  void exchange();
  void received(const std::string& aHost, const QuotaMessage& aMessage);

  // IQuotas
  std::unique_ptr<Pending> admit(
    const std::string& aOrganisation,
    double aCost,
    Duration aMaxWait,
    std::function<void(const QuotaOutcome&)> aCallback) override;
  void refund(const QuotaCharge& aCharge) override;

private:
  class WaitingRequest;

  Role updateRole();
  void applyRequests(const std::string& aHost, const QuotaMessage& aMessage);
  void issue(double aShare);
  void withdraw(std::uint64_t aId);
  void callBack();
  /// Continues with `exchange` in the next iteration of the loop, or when something that
  /// waits is due.
  void continueLater();
  void wakeAt(Instant aTime);
  QuotaOutcome counted(const std::string& aOrganisation,
                       const serving::QuotaLedger::Outcome& aOutcome);

  Dependencies mDependencies;
  std::string mOwnHost;
  Peers mPeers;
  serving::QuotaLedger mLedger;
  serving::QuotaIssuer mIssuer;
  bool mIssues = false;
  std::string mKnownIssuer; // in the log
  std::unordered_map<std::uint64_t, std::function<void(const QuotaOutcome&)>> mCallbacks;
  event::DeferredCall mExchangeCall;
  std::optional<Instant> mWakeAt;
  event::Watch mTimer;
};

} // namespace savoryrill::gateway
