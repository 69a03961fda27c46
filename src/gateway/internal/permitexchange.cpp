#include "gateway/internal/permitexchange.h"

#include <utility>

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

PermitExchange::PermitExchange(Dependencies aDependencies,
                               std::string aOwnHost,
                               Send aSend,
                               std::function<void()> aOnPermitted)
  : mDependencies(aDependencies)
  , mOwnHost(std::move(aOwnHost))
  , mSend(std::move(aSend))
  , mOnPermitted(std::move(aOnPermitted))
{
}

void
PermitExchange::exchange(const Role& aRole)
{
  const auto now = mDependencies.loop.now();
  auto& limits = mDependencies.limits;
  limits.expire(now);
  mDependencies.metrics.set("savoryrill_gateway_limited_upstreams",
                            static_cast<double>(limits.count()));
  PermitMessage message;
  message.lifted = limits.takeLifted();
  if (aRole.issues || !aRole.issuer.empty()) {
    message.unused = limits.takeUnused(now);
    message.requests = limits.takeRequests(now);
  } else {
    limits.accrueOwnShare(aRole.hostCount, now);
  }
  if (aRole.issues) {
    for (const auto& upstream : applyRequests(mOwnHost, message)) {
      recordLifted(upstream);
    }
  } else if (!aRole.issuer.empty() && !message.empty()) {
    // A message that is lost is repeated: the host requests it again.
    mSend(aRole.issuer, message);
  }
  issue(aRole.share);
}

void
PermitExchange::received(const std::string& aHost,
                         const PermitMessage& aMessage,
                         const Role& aRole)
{
  PermitMessage answer;
  answer.lifted = applyRequests(aHost, aMessage);
  if (!answer.empty()) {
    mSend(aHost, answer);
  }
  for (const auto& upstream : aMessage.lifted) {
    recordLifted(upstream);
  }
  for (const auto& grant : aMessage.grants) {
    mDependencies.limits.grant(grant, mDependencies.loop.now());
  }
  issue(aRole.share);
  if (!aMessage.grants.empty() || !aMessage.lifted.empty()) {
    mOnPermitted();
  }
}

std::vector<std::string>
PermitExchange::applyRequests(const std::string& aHost, const PermitMessage& aMessage)
{
  const auto now = mDependencies.loop.now();
  for (const auto& upstream : aMessage.lifted) {
    mIssuer.lift(upstream, now);
  }
  for (const auto& unused : aMessage.unused) {
    mIssuer.giveBack(unused);
  }
  std::vector<std::string> lifted;
  for (const auto& request : aMessage.requests) {
    if (!mIssuer.request(aHost, request, now)) {
      lifted.push_back(request.upstream);
    }
  }
  return lifted;
}

void
PermitExchange::recordLifted(const std::string& aUpstream)
{
  if (mDependencies.limits.lift(aUpstream, mDependencies.loop.now())) {
    mDependencies.log.write(
      kUpstreamLimit,
      { { "upstream", aUpstream }, { "per_second", "-1" }, { "source", "other-host" } });
  }
}

void
PermitExchange::issue(double aShare)
{
  const auto now = mDependencies.loop.now();
  std::map<std::string, PermitMessage> messages;
  bool granted = false;
  for (const auto& issued : mIssuer.issue(aShare, now)) {
    mDependencies.metrics.add("savoryrill_gateway_permits_issued_total",
                              issued.grant.count);
    if (issued.host == mOwnHost) {
      mDependencies.limits.grant(issued.grant, now);
      granted = true;
    } else {
      messages[issued.host].grants.push_back(issued.grant);
    }
  }
  for (const auto& [host, message] : messages) {
    mSend(host, message);
  }
  if (granted) {
    mOnPermitted();
  }
}

} // namespace savoryrill::gateway
