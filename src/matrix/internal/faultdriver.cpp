#include "matrix/faultdriver.h"

#include "testing/internal/json.h"

namespace savoryrill::matrix {

namespace {

using testing::fields;

constexpr Duration kUsualLength = 2500ms;
constexpr Duration kBrief = 500ms; // a third of the lease
// Lease, order time to live, clock margin, and time for the take-over itself.
constexpr Duration kTakeOver =
  (Topology::kLeaseMs + Topology::kOrderMs + Topology::kMarginMs) * 1ms + 2200ms;

/// Of writes to the rows that the step is about; enough for several tries in a row.
constexpr unsigned kLostAnswers = 4;

} // namespace

Duration
lengthOf(Fault aFault)
{
  switch (aFault) {
    case Fault::ControllerFrozenBriefly:
      return kBrief;
    case Fault::ControllerKilled:
    case Fault::ControllerLeaseLapsed:
    case Fault::LeaseLapsedWithoutFencing:
    case Fault::HostReclaimed:
    case Fault::LeaseLapsedAndPlatformAnswersLost:
    case Fault::HostReclaimedAndPlatformDown:
      return kTakeOver;
    default:
      return kUsualLength;
  }
}

std::string
FaultDriver::router() const
{
  return "router-" + std::string(Topology::kHosts[mFocus.host].name);
}

std::string
FaultDriver::controller() const
{
  return "controller-" + std::string(Topology::kHosts[mFocus.host].name);
}

std::string
FaultDriver::controllerOf(const std::string& aEngine)
{
  const std::string owner = mCluster.ownerOf(aEngine);
  return owner.empty() ? controller() : "controller-" + owner;
}

std::string
FaultDriver::platformRoute() const
{
  const auto centre = Topology::kHosts[mFocus.host].dataCentre;
  return "platform-" + std::string(Topology::kDataCentres[centre]);
}

Result<void>
FaultDriver::kill(const std::string& aProcess)
{
  mCluster.excuseStop(aProcess);
  BOOST_OUTCOME_TRYV(mCluster.kill(aProcess));
  mKilled.push_back(aProcess);
  return outcome::success();
}

Result<void>
FaultDriver::freeze(const std::string& aProcess)
{
  mCluster.excuseStop(aProcess);
  BOOST_OUTCOME_TRYV(mCluster.freeze(aProcess));
  mFrozen.push_back(aProcess);
  return outcome::success();
}

Result<void>
FaultDriver::cut(const std::vector<std::string>& aRoutes, const char* aKind)
{
  mRoutes.insert(mRoutes.end(), aRoutes.begin(), aRoutes.end());
  return mCluster.setRoutes(aRoutes, fields({ { "fault", aKind } }));
}

Result<void>
FaultDriver::block(const std::string& aRoute)
{
  mRoutes.push_back(aRoute);
  return mCluster.setRoutes(
    { aRoute }, fields({ { "fault", "blackhole" }, { "direction", "to_caller" } }));
}

/// Without the platform, and cut off from all that has it, hosts cannot learn of a
/// commit.
void
FaultDriver::noteCutOff(bool aEverywhere)
{
  for (const auto& host : Topology::kHosts) {
    if (aEverywhere || host.dataCentre == Topology::kHosts[mFocus.host].dataCentre) {
      mCluster.beginCutOff("controller-" + std::string(host.name));
      mCluster.beginCutOff("router-" + std::string(host.name));
    }
  }
}

/// A controller cannot hand over without the platform. A router cannot finish what a
/// broken upstream was working on.
void
FaultDriver::excuseStops(bool aRouter)
{
  mCluster.excuseStop(aRouter ? router() : controller());
}

/// Two operators change the configuration at the same time.
Result<void>
FaultDriver::race()
{
  for (int operators = 0; operators < 2; ++operators) {
    BOOST_OUTCOME_TRY(apply, mCluster.beginApply());
    mApplies.push_back(apply);
  }
  return outcome::success();
}

Result<void>
FaultDriver::platformDown()
{
  excuseStops(false);
  noteCutOff(true);
  return mCluster.set(
    "platform",
    fields({ { "table_down", true }, { "objects_down", true }, { "hosts_down", true } }));
}

Result<void>
FaultDriver::reclaimHost()
{
  BOOST_OUTCOME_TRYV(kill(router()));
  return kill(controller());
}

Result<void>
FaultDriver::cutDataCentre()
{
  excuseStops(false);
  noteCutOff(false);
  BOOST_OUTCOME_TRYV(cut({ platformRoute() }, "cut"));
  return cut(Topology::peerRoutes(Topology::kHosts[mFocus.host].dataCentre), "cut");
}

Result<void>
FaultDriver::breakUpstreams(Fault aFault)
{
  excuseStops(true);
  excuseStops(false);
  const std::vector<std::string> upstreams{ mFocus.engine, mFocus.service };
  if (aFault != Fault::UpstreamCutOneWay) {
    return cut(upstreams, aFault == Fault::UpstreamAnswerLost ? "lose_answer" : "cut");
  }
  BOOST_OUTCOME_TRYV(block(mFocus.engine));
  return block(mFocus.service);
}

Result<void>
FaultDriver::injectBoth(Fault aFirst, Fault aSecond)
{
  BOOST_OUTCOME_TRYV(inject(aFirst));
  return inject(aSecond);
}

Result<void>
FaultDriver::inject(Fault aFault)
{
  switch (aFault) {
    case Fault::None:
      return outcome::success();
    case Fault::EngineKilled:
    case Fault::EngineKilledTwice:
      excuseStops(true);
      return kill(mFocus.engine);
    case Fault::EngineFrozen:
      excuseStops(true);
      return freeze(mFocus.engine);
    case Fault::ServiceKilled:
      return kill(mFocus.service);
    case Fault::RouterKilled:
      return kill(router());
    case Fault::RouterFrozen:
      return freeze(router());
    case Fault::ControllerKilled:
      return kill(controllerOf(mFocus.engine));
    case Fault::ControllerFrozenBriefly:
    case Fault::ControllerLeaseLapsed:
      return freeze(controllerOf(mFocus.engine));
    case Fault::LeaseLapsedWithoutFencing:
      return freeze(controllerOf(std::string(kUnfencedEngine)));
    case Fault::HostReclaimed:
      return reclaimHost();
    case Fault::WeightStoreSlow:
      return mCluster.set("platform", fields({ { "weights_slow_factor", 8.0 } }));
    case Fault::PlatformDown:
      return platformDown();
    case Fault::PlatformSlow:
      return mCluster.set("platform", fields({ { "table_delay_ms", 800 } }));
    case Fault::PlatformAnswersLost:
      return mCluster.set("platform",
                          fields({ { "lose_write_answers", kLostAnswers },
                                   { "lose_writes_matching", mFocus.rows } }));
    case Fault::PlatformCutOneWay:
      excuseStops(false);
      return block(platformRoute());
    case Fault::PlatformCutBothWays:
      excuseStops(false);
      return cut({ platformRoute() }, "cut");
    case Fault::DataCentreCut:
      return cutDataCentre();
    case Fault::UpstreamCutOneWay:
    case Fault::UpstreamCutBothWays:
    case Fault::UpstreamAnswerLost:
      return breakUpstreams(aFault);
    case Fault::OperatorsRacing:
      return race();
    case Fault::EngineKilledAndWeightStoreSlow:
      return injectBoth(Fault::WeightStoreSlow, Fault::EngineKilled);
    case Fault::LeaseLapsedAndPlatformAnswersLost:
      return injectBoth(Fault::PlatformAnswersLost, Fault::ControllerLeaseLapsed);
    case Fault::HostReclaimedAndPlatformDown:
      return injectBoth(Fault::PlatformDown, Fault::HostReclaimed);
  }
  return outcome::success();
}

Result<void>
FaultDriver::end(Fault aFault)
{
  mCluster.pump(lengthOf(aFault));
  if (aFault == Fault::EngineKilledTwice) {
    BOOST_OUTCOME_TRYV(mCluster.restart(mFocus.engine));
    mCluster.pump(kBrief);
    BOOST_OUTCOME_TRYV(mCluster.kill(mFocus.engine));
  }
  BOOST_OUTCOME_TRYV(mCluster.set("platform",
                                  fields({ { "weights_slow_factor", 1.0 },
                                           { "table_down", false },
                                           { "objects_down", false },
                                           { "hosts_down", false },
                                           { "table_delay_ms", 0 },
                                           { "lose_write_answers", 0 },
                                           { "lose_writes_matching", "" } })));
  BOOST_OUTCOME_TRYV(mCluster.setRoutes(mRoutes, fields({ { "fault", "pass" } })));
  mCluster.endCutOff();
  for (const auto& process : mFrozen) {
    BOOST_OUTCOME_TRYV(mCluster.wake(process));
  }
  for (const auto& process : mKilled) {
    BOOST_OUTCOME_TRYV(mCluster.restart(process));
  }
  for (const auto& apply : mApplies) {
    BOOST_OUTCOME_TRYV(mCluster.waitApply(apply));
  }
  return outcome::success();
}

} // namespace savoryrill::matrix
