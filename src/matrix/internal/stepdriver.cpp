#include "matrix/stepdriver.h"

#include "matrix/internal/recordaccess.h"

namespace savoryrill::matrix {

namespace {

using testing::fields;
using testing::PlannedRequest;
using testing::textMember;

constexpr Duration kReachLimit = 15s;
constexpr std::uint64_t kDeadlineMs = 9000;
constexpr unsigned kTokens = 20;
constexpr unsigned kManyTokens = 40; // 4 s while tokens are held

Json::Value
delay(const char* aMember, unsigned aMs)
{
  return fields({ { aMember, aMs } });
}

Json::Value
routeDelay(unsigned aMs)
{
  return fields({ { "fault", "pass" }, { "delay_ms", aMs } });
}

const char*
rowsOf(Step aStep)
{
  if (aStep >= Step::StopReadinessOff) {
    return "owner/";
  }
  if (aStep >= Step::ConfigObjectWritten) {
    return "config/";
  }
  if (aStep >= Step::AssignmentPlanned) {
    return "assignment/";
  }
  const bool booking =
    aStep >= Step::BookingBeforeClaim && aStep <= Step::BookingRecorded;
  return booking ? "claim/" : "";
}

bool
writes(const Json::Value& aRecord, const std::string& aPrefix, const std::string& aPart)
{
  const auto& writes = aRecord["writes"];
  return testing::flagMember(aRecord, "committed") &&
         std::any_of(writes.begin(), writes.end(), [&](const auto& aWrite) {
           const std::string key = textMember(aWrite, "key");
           return key.starts_with(aPrefix) && key.find(aPart) != std::string::npos;
         });
}

/// `aText` is that of a `Sign`.
bool
shows(const Json::Value& aRecord, const std::string& aText, const std::string& aMarker)
{
  const bool own = aText.ends_with('*');
  if (isKind(aRecord, "transaction")) {
    return writes(aRecord, aText.substr(0, aText.find('*')), own ? aMarker : "");
  }
  if (own) {
    return textMember(aRecord, "marker") == aMarker ||
           textMember(aRecord, "booking") == aMarker;
  }
  return textMember(aRecord, "model").starts_with(aText);
}

} // namespace

Result<Focus>
StepDriver::reach(Step aStep)
{
  const auto* plan = std::find_if(kStepPlans.begin(),
                                  kStepPlans.end(),
                                  [&](const auto& aPlan) { return aPlan.step == aStep; });
  mFocus.rows = rowsOf(aStep);
  mBeganUs = Cluster::nowUs();
  if (plan->work >= Work::AskWarm && plan->work != Work::Book &&
      plan->work != Work::Apply) {
    BOOST_OUTCOME_TRYV(warm());
  }
  BOOST_OUTCOME_TRYV(hold(plan->hold));
  mBeganUs = Cluster::nowUs();
  BOOST_OUTCOME_TRYV(start(plan->work));
  if (plan->sign.kind != nullptr) {
    BOOST_OUTCOME_TRYV(await(plan->sign.kind, plan->sign.text, plan->sign.count));
  }
  mCluster.pump(plan->moment);
  return mFocus;
}

Result<void>
StepDriver::hold(Hold aHold)
{
  switch (aHold) {
    case Hold::None:
      return outcome::success();
    case Hold::Tokens:
      return setAll(Role::Engine, delay("step_ms", 100));
    case Hold::Weights:
      return mCluster.set("platform", delay("weights_slow_factor", 3));
    case Hold::Table:
      return mCluster.set("platform", delay("table_delay_ms", 700));
    case Hold::EngineRoutes:
      return mCluster.setRoutes(mCluster.names(Role::Engine), routeDelay(300));
    case Hold::Orders:
      return setAll(Role::Engine, delay("order_delay_ms", 400));
    case Hold::ServiceRoutes:
      return mCluster.setRoutes(mCluster.names(Role::Service), routeDelay(500));
    case Hold::Services:
      return setAll(Role::Service, delay("delay_ms", 600));
    case Hold::Operator:
      return mCluster.setRoutes({ "platform-operator" }, routeDelay(200));
  }
  return outcome::success();
}

Result<void>
StepDriver::start(Work aWork)
{
  switch (aWork) {
    case Work::Late:
      return outcome::success();
    case Work::AskCold:
    case Work::AskColdStream:
      ask(kCold, aWork == Work::AskColdStream, kTokens);
      return outcome::success();
    case Work::AskWarm:
    case Work::AskWarmStream:
      ask(kWarm, aWork == Work::AskWarmStream, kTokens);
      return outcome::success();
    case Work::Book:
      book();
      return outcome::success();
    case Work::Leave:
    case Work::LeaveInUse:
      return leave(aWork == Work::LeaveInUse);
    case Work::Apply:
      return apply();
    case Work::Stop:
      return stop();
  }
  return outcome::success();
}

void
StepDriver::ask(const std::string& aModel, bool aStream, std::uint32_t aTokens)
{
  ++mNumber;
  PlannedRequest request;
  request.target = mCluster.topology().caller(mFocus.host);
  request.model = aModel;
  request.stream = aStream;
  request.maxTokens = aTokens;
  request.deadlineMs = kDeadlineMs;
  request.marker = marker();
  mCluster.send({ request });
}

/// The same booking at two routers, as by a caller that does not wait long enough.
void
StepDriver::book()
{
  ++mNumber;
  PlannedRequest request;
  request.kind = testing::LoadKind::Service;
  request.service = std::string(kBookingService) + "/one";
  request.deadlineMs = kDeadlineMs;
  request.marker = marker();
  request.key = "key-" + marker();
  request.caller = "matrix";
  request.target = mCluster.topology().caller(mFocus.host);
  PlannedRequest duplicate = request;
  duplicate.duplicate = true;
  duplicate.at = 50ms;
  duplicate.target = mCluster.topology().caller(2);
  mCluster.send({ request, duplicate });
}

Result<void>
StepDriver::await(const char* aKind, const std::string& aText, unsigned aCount)
{
  std::vector<std::string> sources{ "platform" };
  for (const auto role : { Role::Engine, Role::Service }) {
    const auto names = mCluster.names(role);
    sources.insert(sources.end(), names.begin(), names.end());
  }
  std::optional<Cluster::Found> found;
  const auto seen = [&] {
    unsigned count = 0;
    found = mCluster.find(sources, mBeganUs, [&](const Json::Value& aRecord) {
      return isKind(aRecord, aKind) && shows(aRecord, aText, marker()) &&
             ++count == aCount;
    });
    return found.has_value();
  };
  if (!mCluster.waitFor(seen, kReachLimit)) {
    return fail(ErrorCode::Timeout,
                "step not reached: no " + std::string(aKind) + " " + aText);
  }
  if (mCluster.part(found->process).role == Role::Engine) {
    mFocus.engine = found->process;
  } else if (mCluster.part(found->process).role == Role::Service) {
    mFocus.service = found->process;
  }
  return outcome::success();
}

Result<void>
StepDriver::warm()
{
  ask(kWarm, false, 2);
  return await("request_end", "*");
}

/// `aInUse`: a long stream keeps the replica, so that the unload takes its time.
Result<void>
StepDriver::leave(bool aInUse)
{
  if (aInUse) {
    ask(kWarm, true, kManyTokens);
    BOOST_OUTCOME_TRYV(await("request_begin", "*"));
  }
  mBeganUs = Cluster::nowUs();
  return mCluster.setLeaving(mFocus.engine);
}

Result<void>
StepDriver::apply()
{
  BOOST_OUTCOME_TRY(process, mCluster.beginApply());
  mApply = process;
  return outcome::success();
}

/// Stops both processes of a host during a long stream.
Result<void>
StepDriver::stop()
{
  ask(kWarm, true, kManyTokens);
  BOOST_OUTCOME_TRYV(await("request_begin", "*"));
  mBeganUs = Cluster::nowUs();
  const std::string host(Topology::kHosts[mFocus.host].name);
  BOOST_OUTCOME_TRYV(mCluster.beginStop("router-" + host));
  return mCluster.beginStop("controller-" + host);
}

Result<void>
StepDriver::setAll(Role aRole, const Json::Value& aFaults)
{
  for (const auto& name : mCluster.names(aRole)) {
    BOOST_OUTCOME_TRYV(mCluster.set(name, aFaults));
  }
  return outcome::success();
}

void
StepDriver::startLateWork(Step aStep)
{
  if (aStep == Step::BookingBeforeClaim) {
    book();
  }
}

Result<void>
StepDriver::release()
{
  BOOST_OUTCOME_TRYV(mCluster.set(
    "platform", fields({ { "table_delay_ms", 0 }, { "weights_slow_factor", 1 } })));
  BOOST_OUTCOME_TRYV(mCluster.setRoutes({ "platform-operator" }, routeDelay(0)));
  BOOST_OUTCOME_TRYV(mCluster.setRoutes(mCluster.names(Role::Engine), routeDelay(0)));
  BOOST_OUTCOME_TRYV(mCluster.setRoutes(mCluster.names(Role::Service), routeDelay(0)));
  BOOST_OUTCOME_TRYV(setAll(Role::Service, delay("delay_ms", 0)));
  return setAll(Role::Engine, fields({ { "step_ms", 10 }, { "order_delay_ms", 0 } }));
}

Result<void>
StepDriver::finish()
{
  if (!mApply.empty()) {
    // Its exit status depends on the fault; what counts is what was committed.
    BOOST_OUTCOME_TRYV(mCluster.waitApply(mApply));
  }
  mCluster.finishStops();
  return outcome::success();
}

} // namespace savoryrill::matrix
