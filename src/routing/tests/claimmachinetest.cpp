#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "routing/claimmachine.h"

using namespace savoryrill;
using namespace savoryrill::routing;

namespace {

constexpr int kRouters = 2;
constexpr int kDepth = 10;

/// A pending table operation. It may take effect although its response is lost.
struct Operation
{
  ClaimCommand command;
};

struct Router
{
  ClaimMachine machine;
  std::vector<Operation> pending;           // waiting for the response
  std::vector<Operation> delayedOperations; // response lost, may still take effect
  bool dispatchWanted = false;
  bool running = false;        // at the upstream
  bool reportedNotRun = false; // the caller was told that the request did not run
  bool responded = false;
};

/// Two routers that handle requests with the same key, and their row in the table store.
struct SystemState
{
  std::vector<Router> routers;
  std::optional<VersionedClaim> row;
  std::uint64_t nextVersion = 1;
  int effectiveRuns = 0;

  SystemState()
  {
    for (int i = 0; i < kRouters; ++i) {
      routers.push_back({ ClaimMachine("attempt-" + std::to_string(i), "digest") });
      execute(routers.back(), routers.back().machine.start());
    }
  }

  void execute(Router& aRouter, std::vector<ClaimCommand> aCommands)
  {
    for (auto& command : aCommands) {
      if (std::holds_alternative<claim_command::Dispatch>(command)) {
        aRouter.dispatchWanted = true;
      } else if (const auto* refuse = std::get_if<claim_command::Refuse>(&command)) {
        aRouter.responded = true;
        aRouter.reportedNotRun = refuse->refusal.ran == Ran::No;
      } else if (std::holds_alternative<claim_command::ReplayOutcome>(command)) {
        aRouter.responded = true;
      } else {
        aRouter.pending.push_back({ std::move(command) });
      }
    }
  }

  /// Applies an operation to the row and returns the event of its response.
  ClaimEvent apply(const ClaimCommand& aCommand)
  {
    if (const auto* insert = std::get_if<claim_command::Insert>(&aCommand)) {
      if (row) {
        return claim_event::Conflict{};
      }
      row = VersionedClaim{ insert->row, nextVersion++ };
      return claim_event::Committed{ row->version };
    }
    if (const auto* record = std::get_if<claim_command::Record>(&aCommand)) {
      if (!row || row->version != record->version) {
        return claim_event::Conflict{};
      }
      row = VersionedClaim{ record->row, nextVersion++ };
      return claim_event::Recorded{ row->version };
    }
    if (const auto* release = std::get_if<claim_command::Release>(&aCommand)) {
      if (row && row->version == release->version) {
        row.reset();
        ++nextVersion;
      }
      return claim_event::Conflict{};
    }
    return claim_event::ReadBack{ row };
  }
};

std::string
describe(const ClaimCommand& aCommand)
{
  std::string text = std::to_string(aCommand.index());
  if (const auto* record = std::get_if<claim_command::Record>(&aCommand)) {
    text += nameOf(record->row.state);
    text += std::to_string(record->version);
  } else if (const auto* release = std::get_if<claim_command::Release>(&aCommand)) {
    text += "v" + std::to_string(release->version);
  }
  return text + ",";
}

/// Describes the whole state except the state machines, so that equal states are explored
/// only once.
std::string
describe(const SystemState& aState)
{
  std::string text = std::to_string(aState.nextVersion) + ";";
  if (aState.row) {
    text += serialise(aState.row->row) + std::to_string(aState.row->version);
  }
  for (const auto& router : aState.routers) {
    text += ";p";
    for (const auto& operation : router.pending) {
      text += describe(operation.command);
    }
    text += ";s";
    for (const auto& operation : router.delayedOperations) {
      text += describe(operation.command);
    }
    for (const bool flag : { router.dispatchWanted,
                             router.running,
                             router.reportedNotRun,
                             router.responded }) {
      text += flag ? '1' : '0';
    }
  }
  return text + std::to_string(aState.effectiveRuns);
}

/// Explores all sequences of events up to a depth, and checks the invariants in each
/// state that they reach.
class Explorer
{
public:
  void explore(const SystemState& aState, int aDepth)
  {
    auto& explored = mExplored[{
      aState.routers[0].machine, aState.routers[1].machine, describe(aState) }];
    if (explored >= aDepth + 1) {
      return;
    }
    explored = aDepth + 1;
    ++states;
    check(aState);
    if (aDepth == 0) {
      return;
    }
    for (int i = 0; i < kRouters; ++i) {
      tableSteps(aState, i, aDepth);
      upstreamSteps(aState, i, aDepth);
    }
  }

  int states = 0;
  int runs = 0;

private:
  std::map<std::tuple<ClaimMachine, ClaimMachine, std::string>, int> mExplored;

  void check(const SystemState& aState)
  {
    CHECK_TRUE(aState.effectiveRuns <= 1);
    runs += aState.effectiveRuns;
    for (const auto& router : aState.routers) {
      CHECK_FALSE(router.reportedNotRun && router.running);
    }
  }

  void tableSteps(const SystemState& aState, int aIndex, int aDepth)
  {
    const auto& router = aState.routers[aIndex];
    if (!router.pending.empty()) {
      applyWithResponse(aState, aIndex, aDepth);
      applyWithLostResponse(aState, aIndex, aDepth);
      delayed(aState, aIndex, aDepth);
      unavailable(aState, aIndex, aDepth);
    }
    if (!router.delayedOperations.empty()) {
      SystemState next = aState;
      auto& changed = next.routers[aIndex];
      const auto operation = changed.delayedOperations.front();
      changed.delayedOperations.erase(changed.delayedOperations.begin());
      next.apply(operation.command);
      explore(next, aDepth - 1);
    }
  }

  static Operation pop(Router& aRouter)
  {
    Operation operation = aRouter.pending.front();
    aRouter.pending.erase(aRouter.pending.begin());
    return operation;
  }

  void applyWithResponse(const SystemState& aState, int aIndex, int aDepth)
  {
    SystemState next = aState;
    auto& router = next.routers[aIndex];
    const auto operation = pop(router);
    const auto event = next.apply(operation.command);
    if (!std::holds_alternative<claim_command::Release>(operation.command)) {
      next.execute(router, router.machine.on(event));
    }
    explore(next, aDepth - 1);
  }

  static ClaimEvent lost(const Operation& aOperation)
  {
    const bool read = std::holds_alternative<claim_command::ReadRow>(aOperation.command);
    return read ? ClaimEvent(claim_event::PlatformUnavailable{})
                : ClaimEvent(claim_event::ResponseLost{});
  }

  void applyWithLostResponse(const SystemState& aState, int aIndex, int aDepth)
  {
    SystemState next = aState;
    auto& router = next.routers[aIndex];
    const auto operation = pop(router);
    next.apply(operation.command);
    next.execute(router, router.machine.on(lost(operation)));
    explore(next, aDepth - 1);
  }

  void delayed(const SystemState& aState, int aIndex, int aDepth)
  {
    SystemState next = aState;
    auto& router = next.routers[aIndex];
    const auto operation = pop(router);
    if (std::holds_alternative<claim_command::ReadRow>(operation.command)) {
      return; // a read has no effect on the row, also if it is late
    }
    router.delayedOperations.push_back(operation);
    next.execute(router, router.machine.on(lost(operation)));
    explore(next, aDepth - 1);
  }

  void unavailable(const SystemState& aState, int aIndex, int aDepth)
  {
    SystemState next = aState;
    auto& router = next.routers[aIndex];
    pop(router);
    next.execute(router, router.machine.on(claim_event::PlatformUnavailable{}));
    explore(next, aDepth - 1);
  }

  void upstreamSteps(const SystemState& aState, int aIndex, int aDepth)
  {
    const auto& router = aState.routers[aIndex];
    if (router.machine.mayDispatch()) {
      CHECK_TRUE(router.dispatchWanted);
      SystemState next = aState;
      auto& changed = next.routers[aIndex];
      next.execute(changed, changed.machine.on(claim_event::Dispatched{}));
      changed.running = true;
      ++next.effectiveRuns;
      explore(next, aDepth - 1);
    }
    if (router.machine.running()) {
      ended(aState, aIndex, aDepth, claim_event::Finished{ { 200, "text/plain", "ok" } });
      ended(aState, aIndex, aDepth, claim_event::OutcomeUnknown{});
      notRun(aState, aIndex, aDepth);
    }
    if (!router.responded && !router.machine.finished()) {
      SystemState next = aState;
      auto& changed = next.routers[aIndex];
      const bool running = changed.machine.running();
      next.execute(changed, changed.machine.on(claim_event::Abandoned{}));
      changed.responded = true;
      changed.reportedNotRun = changed.reportedNotRun || !running;
      explore(next, aDepth - 1);
    }
  }

  void ended(const SystemState& aState, int aIndex, int aDepth, const ClaimEvent& aEvent)
  {
    SystemState next = aState;
    auto& router = next.routers[aIndex];
    next.execute(router, router.machine.on(aEvent));
    router.responded = true;
    explore(next, aDepth - 1);
  }

  void notRun(const SystemState& aState, int aIndex, int aDepth)
  {
    SystemState next = aState;
    auto& router = next.routers[aIndex];
    router.running = false;
    --next.effectiveRuns;
    next.execute(router, router.machine.on(claim_event::NotRun{}));
    explore(next, aDepth - 1);
  }
};

} // namespace

TEST_GROUP(ClaimMachine)
{
  ClaimMachine machine{ "attempt", "digest" };

  template<typename T>
  static const T* only(const std::vector<ClaimCommand>& aCommands)
  {
    return aCommands.size() == 1 ? std::get_if<T>(&aCommands.front()) : nullptr;
  }

  static claim_event::ReadBack rowOf(
    const std::string& aAttempt, const std::string& aDigest, ClaimState aState)
  {
    ClaimRow row{ aAttempt, aDigest, aState, { 201, "text/plain", "booked", "" } };
    return { VersionedClaim{ row, 7 } };
  }
};

// Guards against a second dispatch with the same key, and against telling the caller that
// a dispatched request did not run, in every order of commits and of lost and late
// responses at two routers.
TEST(ClaimMachine, twoRouters_everyOrderOfEvents_keepsInvariants)
{
  Explorer explorer;
  explorer.explore(SystemState(), kDepth);
  CHECK_TRUE(explorer.states > 10000);
  CHECK_TRUE(explorer.runs > 0);
}

// Guards against losing a claim that was committed although the response was lost.
TEST(ClaimMachine, responseLost_ownRowReadBack_dispatches)
{
  machine.start();
  CHECK(only<claim_command::ReadRow>(machine.on(claim_event::ResponseLost{})));
  CHECK(only<claim_command::Dispatch>(
    machine.on(rowOf("attempt", "digest", ClaimState::Claimed))));
  CHECK_TRUE(machine.mayDispatch());
}

// Guards against a dispatch after a failure to read the claim back.
TEST(ClaimMachine, responseLost_platformUnavailable_refusesAndNeverDispatches)
{
  machine.start();
  machine.on(claim_event::ResponseLost{});
  const auto commands = machine.on(claim_event::PlatformUnavailable{});
  const auto* refuse = std::get_if<claim_command::Refuse>(&commands.at(0));
  CHECK(refuse != nullptr);
  CHECK(refuse->refusal.ran == Ran::No);
  const auto cleanup = machine.on(rowOf("attempt", "digest", ClaimState::Claimed));
  CHECK(only<claim_command::Release>(cleanup));
  CHECK_FALSE(machine.mayDispatch());
}

// Guards against executing a duplicate instead of responding with the recorded outcome.
TEST(ClaimMachine, duplicateOfDone_replaysRecordedOutcome)
{
  machine.start();
  machine.on(claim_event::Conflict{});
  const auto commands = machine.on(rowOf("other", "digest", ClaimState::Done));
  const auto* replay = only<claim_command::ReplayOutcome>(commands);
  CHECK(replay != nullptr);
  STRCMP_EQUAL("booked", replay->outcome.body.c_str());
}

// Guards against the recorded outcome of one request being sent for another request with
// the same key.
TEST(ClaimMachine, keyOfOtherRequest_isRefused)
{
  machine.start();
  machine.on(claim_event::Conflict{});
  const auto commands = machine.on(rowOf("other", "other digest", ClaimState::Done));
  const auto* refuse = only<claim_command::Refuse>(commands);
  CHECK(refuse != nullptr);
  CHECK(refuse->refusal.reason == RefusalReason::IdempotencyKeyReused);
}

// Guards against duplicates that are refused as in progress after the outcome has become
// unknown.
TEST(ClaimMachine, outcomeUnknown_isRecordedAndRefused)
{
  machine.start();
  machine.on(claim_event::Committed{ 3 });
  machine.on(claim_event::Dispatched{});
  const auto commands = machine.on(claim_event::OutcomeUnknown{});
  LONGS_EQUAL(2, commands.size());
  const auto* refuse = std::get_if<claim_command::Refuse>(&commands.at(0));
  const auto* record = std::get_if<claim_command::Record>(&commands.at(1));
  CHECK(refuse->refusal.reason == RefusalReason::OutcomeUnknown);
  CHECK(record->row.state == ClaimState::Failed);
  LONGS_EQUAL(3, record->version);
}

// Guards against rows that other routers cannot parse, and against accepting malformed
// ones.
TEST(ClaimMachine, claimRow_writtenAndRead_isEqual)
{
  ClaimRow row{
    "a", "d", ClaimState::Done, { 200, "application/json", "{\"a\":1}", "" }
  };
  const auto read = parseClaimRow(serialise(row));
  CHECK_TRUE(read.has_value());
  STRCMP_EQUAL(row.outcome.body.c_str(), read.value().outcome.body.c_str());
  CHECK(read.value().state == ClaimState::Done);
  const std::string nested(100000, '[');
  for (const std::string& bad :
       { std::string(), std::string("[]"), std::string("{\"attempt\":1}"), nested }) {
    CHECK_FALSE(parseClaimRow(bad).has_value());
  }
}
