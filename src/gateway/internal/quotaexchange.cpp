#include "gateway/internal/quotaexchange.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

namespace {

using serving::QuotaLedger;

template<typename... T>
struct Overloaded : T...
{
  using T::operator()...;
};
template<typename... T>
Overloaded(T...) -> Overloaded<T...>;

// Differs between processes of one host, which may have the same seed.
std::mt19937_64
randomFor(std::uint64_t aSeed, const std::string& aHost, Instant aNow)
{
  std::seed_seq sequence{ aSeed,
                          static_cast<std::uint64_t>(std::hash<std::string>{}(aHost)),
                          static_cast<std::uint64_t>(aNow.time_since_epoch().count()) };
  return std::mt19937_64(sequence);
}

double
phaseFor(std::uint64_t aSeed, const std::string& aHost, Instant aNow)
{
  auto random = randomFor(aSeed, aHost, aNow);
  return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

/// Withdraws its request when it is destroyed.
class QuotaExchange::WaitingRequest final : public IQuotas::Pending
{
public:
  WaitingRequest(QuotaExchange& aExchange, std::uint64_t aId)
    : mExchange(aExchange)
    , mId(aId)
  {
  }
  ~WaitingRequest() override { mExchange.withdraw(mId); }
  WaitingRequest(const WaitingRequest&) = delete;
  WaitingRequest& operator=(const WaitingRequest&) = delete;

private:
  QuotaExchange& mExchange;
  std::uint64_t mId;
};

QuotaExchange::QuotaExchange(Dependencies aDependencies,
                             std::string aOwnHost,
                             std::uint64_t aSeed)
  : mDependencies(aDependencies)
  , mOwnHost(std::move(aOwnHost))
  , mLedger(phaseFor(aSeed, mOwnHost, aDependencies.loop.now()),
            randomFor(aSeed + 1, mOwnHost, aDependencies.loop.now())())
  , mIssuer(randomFor(aSeed + 2, mOwnHost, aDependencies.loop.now())())
  , mExchangeCall(aDependencies.loop, [this] { exchange(); })
{
}

QuotaExchange::~QuotaExchange() = default;

void
QuotaExchange::setQuotas(
  const std::map<std::string, serving::Organisation>& aOrganisations)
{
  std::map<std::string, serving::Quota> quotas;
  for (const auto& [name, organisation] : aOrganisations) {
    if (organisation.quota && organisation.quota->perSecond > 0) {
      quotas.emplace(name, *organisation.quota);
    }
  }
  if (quotas.empty() && !mLedger.hasQuotas()) {
    return;
  }
  mDependencies.metrics.set("savoryrill_gateway_quotas",
                            static_cast<double>(quotas.size()));
  mLedger.setQuotas(quotas, mDependencies.loop.now());
  mIssuer.setQuotas(quotas);
  mExchangeCall.request();
}

QuotaExchange::Role
QuotaExchange::updateRole()
{
  const auto now = mDependencies.loop.now();
  const Role role = mPeers.role ? mPeers.role() : Role{};
  if (role.issues && !mIssues) {
    // Others have issued since this host did, if it ever did.
    mIssuer.restart(now);
  }
  mIssues = role.issues;
  const auto& issuer = role.issues ? mOwnHost : role.issuer;
  mLedger.setSharing(issuer, role.hostCount, now);
  if (issuer != mKnownIssuer && mLedger.hasQuotas()) {
    mKnownIssuer = issuer;
    mDependencies.log.write(
      kQuotaIssuer,
      { { "issuer", issuer }, { "hosts", std::uint64_t{ role.hostCount } } });
  }
  return role;
}

void
QuotaExchange::exchange()
{
  if (!mLedger.hasQuotas()) {
    callBack(); // those that waited when the last quota ended
    return;
  }
  const auto now = mDependencies.loop.now();
  const auto role = updateRole();
  mLedger.expire(now);
  if (role.issues || !role.issuer.empty()) {
    QuotaMessage message;
    message.requests = mLedger.takeRequests(now);
    message.unused = mLedger.takeUnused();
    if (role.issues) {
      applyRequests(mOwnHost, message);
    } else if (!message.empty()) {
      mDependencies.metrics.add("savoryrill_gateway_quota_messages_total");
      mPeers.send(role.issuer, message);
    }
  } else {
    mLedger.takeUnused(); // its issuer is gone
  }
  if (role.issues) {
    issue(role.share);
  }
  callBack();
  continueLater();
}

void
QuotaExchange::received(const std::string& aHost, const QuotaMessage& aMessage)
{
  const auto now = mDependencies.loop.now();
  const auto role = updateRole();
  if (role.issues && mLedger.hasQuotas()) {
    // Others would keep back the host's share without the right to issue, or know no
    // limit before they have a configuration; the host uses its own share if it gets no
    // answer.
    applyRequests(aHost, aMessage);
    issue(role.share);
  }
  for (const auto& grant : aMessage.grants) {
    mLedger.grant(grant, now);
  }
  for (const auto& denial : aMessage.denials) {
    mLedger.deny(denial, now);
  }
  callBack();
  continueLater();
}

void
QuotaExchange::applyRequests(const std::string& aHost, const QuotaMessage& aMessage)
{
  const auto now = mDependencies.loop.now();
  for (const auto& unused : aMessage.unused) {
    mIssuer.giveBack(unused, now);
  }
  for (const auto& request : aMessage.requests) {
    mIssuer.request(aHost, request, now);
  }
}

void
QuotaExchange::issue(double aShare)
{
  const auto now = mDependencies.loop.now();
  const auto issued = mIssuer.issue(aShare, now);
  std::map<std::string, QuotaMessage> messages;
  for (const auto& [host, grant] : issued.grants) {
    if (host == mOwnHost) {
      mLedger.grant(grant, now);
    } else {
      messages[host].grants.push_back(grant);
    }
  }
  for (const auto& [host, denial] : issued.denials) {
    if (host == mOwnHost) {
      mLedger.deny(denial, now);
    } else {
      messages[host].denials.push_back(denial);
    }
  }
  for (const auto& [host, message] : messages) {
    mDependencies.metrics.add("savoryrill_gateway_quota_messages_total");
    mPeers.send(host, message);
  }
  if (issued.again) {
    wakeAt(now + *issued.again);
  }
}

std::unique_ptr<IQuotas::Pending>
QuotaExchange::admit(const std::string& aOrganisation,
                     double aCost,
                     Duration aMaxWait,
                     std::function<void(const QuotaOutcome&)> aCallback)
{
  const auto now = mDependencies.loop.now();
  const auto answer = mLedger.admit(aOrganisation, aCost, now + aMaxWait, now);
  if (mLedger.wantsToSend()) {
    mExchangeCall.request();
  }
  return std::visit(
    Overloaded{ [&](const QuotaLedger::Waits& aWaits) -> std::unique_ptr<Pending> {
                 mCallbacks[aWaits.id] = std::move(aCallback);
                 wakeAt(now + aMaxWait);
                 return std::make_unique<WaitingRequest>(*this, aWaits.id);
               },
                [&](const auto& aOutcome) -> std::unique_ptr<Pending> {
                  aCallback(counted(aOrganisation, aOutcome));
                  return nullptr;
                } },
    answer);
}

QuotaOutcome
QuotaExchange::counted(const std::string& aOrganisation,
                       const QuotaLedger::Outcome& aOutcome)
{
  return std::visit(
    Overloaded{
      [&](const QuotaLedger::Admitted& aAdmitted) -> QuotaOutcome {
        return QuotaCharge{ aOrganisation, aAdmitted.amount, aAdmitted.refundableUntil };
      },
      [&](const serving::QuotaDenial& aDenial) -> QuotaOutcome {
        mDependencies.metrics.add("savoryrill_gateway_quota_denials_total");
        return aDenial;
      } },
    aOutcome);
}

void
QuotaExchange::refund(const QuotaCharge& aCharge)
{
  mLedger.refund(aCharge.organisation,
                 { aCharge.amount, aCharge.refundableUntil },
                 mDependencies.loop.now());
  if (mLedger.hasDecisions() || mLedger.wantsToSend()) {
    mExchangeCall.request();
  }
}

void
QuotaExchange::withdraw(std::uint64_t aId)
{
  if (mCallbacks.erase(aId) > 0) {
    mLedger.withdraw(aId, mDependencies.loop.now());
    mExchangeCall.request();
  }
}

void
QuotaExchange::callBack()
{
  for (const auto& decision : mLedger.takeDecisions()) {
    const auto found = mCallbacks.find(decision.id);
    if (found == mCallbacks.end()) {
      // Withdrawn by an earlier callback of this loop.
      if (const auto* charge = std::get_if<QuotaLedger::Admitted>(&decision.outcome)) {
        mLedger.refund(decision.organisation, *charge, mDependencies.loop.now());
      }
      continue;
    }
    const auto callback = std::move(found->second);
    mCallbacks.erase(found);
    callback(counted(decision.organisation, decision.outcome));
  }
}

void
QuotaExchange::continueLater()
{
  if (mLedger.hasDecisions() || (mLedger.wantsToSend() && !mKnownIssuer.empty())) {
    mExchangeCall.request();
  }
  if (const auto due = mLedger.nextDue()) {
    wakeAt(*due);
  }
}

void
QuotaExchange::wakeAt(Instant aTime)
{
  if (mWakeAt && *mWakeAt <= aTime) {
    return;
  }
  mWakeAt = aTime;
  const auto delay = std::max(Duration::zero(), aTime - mDependencies.loop.now());
  mTimer = mDependencies.loop.after(delay, [this] {
    mWakeAt.reset();
    exchange();
  });
}

} // namespace savoryrill::gateway
