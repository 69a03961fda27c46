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

/// A table operation on its way: its effect and its answer are separate steps.
struct Operation
{
  ClaimCommand command;
};

struct Router
{
  ClaimMachine machine;
  std::vector<Operation> pending;    // sent, answer awaited
  std::vector<Operation> stragglers; // answer lost, may still take effect
  bool dispatchWanted = false;
  bool running = false; // at the upstream
  bool saidNotRun = false;
  bool answered = false;
};

/// Two routers with the same key and one table row; every step is one possible event.
struct World
{
  std::vector<Router> routers;
  std::optional<VersionedClaim> row;
  std::uint64_t nextVersion = 1;
  int effectiveRuns = 0;

  World()
  {
    for (int i = 0; i < kRouters; ++i) {
      routers.push_back({ ClaimMachine("attempt-" + std::to_string(i), "digest") });
      take(routers.back(), routers.back().machine.start());
    }
  }

  void take(Router& aRouter, std::vector<ClaimCommand> aCommands)
  {
    for (auto& command : aCommands) {
      if (std::holds_alternative<claim_command::Dispatch>(command)) {
        aRouter.dispatchWanted = true;
      } else if (const auto* refuse = std::get_if<claim_command::Refuse>(&command)) {
        aRouter.answered = true;
        aRouter.saidNotRun = refuse->refusal.ran == Ran::No;
      } else if (std::holds_alternative<claim_command::ReplayOutcome>(command)) {
        aRouter.answered = true;
      } else {
        aRouter.pending.push_back({ std::move(command) });
      }
    }
  }

  /// Applies an operation to the row; returns the event of its answer.
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

/// Everything beside the machines, so that equal worlds are explored once.
std::string
describe(const World& aWorld)
{
  std::string text = std::to_string(aWorld.nextVersion) + ";";
  if (aWorld.row) {
    text += serialise(aWorld.row->row) + std::to_string(aWorld.row->version);
  }
  for (const auto& router : aWorld.routers) {
    text += ";p";
    for (const auto& operation : router.pending) {
      text += describe(operation.command);
    }
    text += ";s";
    for (const auto& operation : router.stragglers) {
      text += describe(operation.command);
    }
    for (const bool flag :
         { router.dispatchWanted, router.running, router.saidNotRun, router.answered }) {
      text += flag ? '1' : '0';
    }
  }
  return text + std::to_string(aWorld.effectiveRuns);
}

class Explorer
{
public:
  void explore(const World& aWorld, int aDepth)
  {
    auto& explored = mExplored[{
      aWorld.routers[0].machine, aWorld.routers[1].machine, describe(aWorld) }];
    if (explored >= aDepth + 1) {
      return;
    }
    explored = aDepth + 1;
    ++worlds;
    check(aWorld);
    if (aDepth == 0) {
      return;
    }
    for (int i = 0; i < kRouters; ++i) {
      tableSteps(aWorld, i, aDepth);
      upstreamSteps(aWorld, i, aDepth);
    }
  }

  int worlds = 0;
  int runs = 0;

private:
  std::map<std::tuple<ClaimMachine, ClaimMachine, std::string>, int> mExplored;

  void check(const World& aWorld)
  {
    CHECK_TRUE(aWorld.effectiveRuns <= 1);
    runs += aWorld.effectiveRuns;
    for (const auto& router : aWorld.routers) {
      CHECK_FALSE(router.saidNotRun && router.running);
    }
  }

  void tableSteps(const World& aWorld, int aIndex, int aDepth)
  {
    const auto& router = aWorld.routers[aIndex];
    if (!router.pending.empty()) {
      answered(aWorld, aIndex, aDepth);
      effectWithoutAnswer(aWorld, aIndex, aDepth);
      delayed(aWorld, aIndex, aDepth);
      unavailable(aWorld, aIndex, aDepth);
    }
    if (!router.stragglers.empty()) {
      World next = aWorld;
      auto& changed = next.routers[aIndex];
      const auto operation = changed.stragglers.front();
      changed.stragglers.erase(changed.stragglers.begin());
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

  void answered(const World& aWorld, int aIndex, int aDepth)
  {
    World next = aWorld;
    auto& router = next.routers[aIndex];
    const auto operation = pop(router);
    const auto event = next.apply(operation.command);
    if (!std::holds_alternative<claim_command::Release>(operation.command)) {
      next.take(router, router.machine.on(event));
    }
    explore(next, aDepth - 1);
  }

  static ClaimEvent lost(const Operation& aOperation)
  {
    const bool read = std::holds_alternative<claim_command::ReadRow>(aOperation.command);
    return read ? ClaimEvent(claim_event::PlatformUnavailable{})
                : ClaimEvent(claim_event::ResponseLost{});
  }

  void effectWithoutAnswer(const World& aWorld, int aIndex, int aDepth)
  {
    World next = aWorld;
    auto& router = next.routers[aIndex];
    const auto operation = pop(router);
    next.apply(operation.command);
    next.take(router, router.machine.on(lost(operation)));
    explore(next, aDepth - 1);
  }

  void delayed(const World& aWorld, int aIndex, int aDepth)
  {
    World next = aWorld;
    auto& router = next.routers[aIndex];
    const auto operation = pop(router);
    if (std::holds_alternative<claim_command::ReadRow>(operation.command)) {
      return; // a late read has no effect
    }
    router.stragglers.push_back(operation);
    next.take(router, router.machine.on(lost(operation)));
    explore(next, aDepth - 1);
  }

  void unavailable(const World& aWorld, int aIndex, int aDepth)
  {
    World next = aWorld;
    auto& router = next.routers[aIndex];
    pop(router);
    next.take(router, router.machine.on(claim_event::PlatformUnavailable{}));
    explore(next, aDepth - 1);
  }

  void upstreamSteps(const World& aWorld, int aIndex, int aDepth)
  {
    const auto& router = aWorld.routers[aIndex];
    if (router.machine.mayDispatch()) {
      CHECK_TRUE(router.dispatchWanted);
      World next = aWorld;
      auto& changed = next.routers[aIndex];
      next.take(changed, changed.machine.on(claim_event::Dispatched{}));
      changed.running = true;
      ++next.effectiveRuns;
      explore(next, aDepth - 1);
    }
    if (router.machine.running()) {
      ended(aWorld, aIndex, aDepth, claim_event::Finished{ { 200, "text/plain", "ok" } });
      ended(aWorld, aIndex, aDepth, claim_event::OutcomeUnknown{});
      notRun(aWorld, aIndex, aDepth);
    }
    if (!router.answered && !router.machine.finished()) {
      World next = aWorld;
      auto& changed = next.routers[aIndex];
      const bool running = changed.machine.running();
      next.take(changed, changed.machine.on(claim_event::Abandoned{}));
      changed.answered = true;
      changed.saidNotRun = changed.saidNotRun || !running;
      explore(next, aDepth - 1);
    }
  }

  void ended(const World& aWorld, int aIndex, int aDepth, const ClaimEvent& aEvent)
  {
    World next = aWorld;
    auto& router = next.routers[aIndex];
    next.take(router, router.machine.on(aEvent));
    router.answered = true;
    explore(next, aDepth - 1);
  }

  void notRun(const World& aWorld, int aIndex, int aDepth)
  {
    World next = aWorld;
    auto& router = next.routers[aIndex];
    router.running = false;
    --next.effectiveRuns;
    next.take(router, router.machine.on(claim_event::NotRun{}));
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

// Guards against a second dispatch of a key, and against 'not run' after a dispatch,
// under every order of commits, lost and late answers of two routers.
TEST(ClaimMachine, twoRouters_everyOrderOfEvents_keepsInvariants)
{
  Explorer explorer;
  explorer.explore(World(), kDepth);
  CHECK_TRUE(explorer.worlds > 10000);
  CHECK_TRUE(explorer.runs > 0);
}

// Guards against losing an owned claim whose commit answer was lost.
TEST(ClaimMachine, answerLost_ownRowReadBack_dispatches)
{
  machine.start();
  CHECK(only<claim_command::ReadRow>(machine.on(claim_event::ResponseLost{})));
  CHECK(only<claim_command::Dispatch>(
    machine.on(rowOf("attempt", "digest", ClaimState::Claimed))));
  CHECK_TRUE(machine.mayDispatch());
}

// Guards against a dispatch while the claim cannot be read back.
TEST(ClaimMachine, answerLost_platformUnavailable_refusesAsNotRunForGood)
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

// Guards against running a duplicate instead of answering the recorded outcome.
TEST(ClaimMachine, duplicateOfDone_answersRecordedOutcome)
{
  machine.start();
  machine.on(claim_event::Conflict{});
  const auto commands = machine.on(rowOf("other", "digest", ClaimState::Done));
  const auto* answer = only<claim_command::ReplayOutcome>(commands);
  CHECK(answer != nullptr);
  STRCMP_EQUAL("booked", answer->outcome.body.c_str());
}

// Guards against one key answering for two different requests.
TEST(ClaimMachine, keyOfOtherRequest_isRefused)
{
  machine.start();
  machine.on(claim_event::Conflict{});
  const auto commands = machine.on(rowOf("other", "other digest", ClaimState::Done));
  const auto* refuse = only<claim_command::Refuse>(commands);
  CHECK(refuse != nullptr);
  CHECK(refuse->refusal.reason == RefusalReason::IdempotencyKeyReused);
}

// Guards against duplicates that are told 'in progress' after an unknown outcome.
TEST(ClaimMachine, outcomeUnknown_isRecordedAndAnswered)
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

// Guards against rows that another router cannot read, and against accepting broken rows.
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
