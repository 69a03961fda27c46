#include <CppUTest/TestHarness.h>

#include <set>

#include "gossip/internal/controllerchoice.h"
#include "gossip/internal/controllerdirectory.h"
#include "gossip/internal/pushqueue.h"

using namespace savoryrill;
using namespace savoryrill::gossip;

namespace {

/// Applies changes and records the resulting set of connections.
struct Connections
{
  void applyChange(const ChoiceChange& aChange)
  {
    open.insert(aChange.connect.begin(), aChange.connect.end());
    for (const auto& endpoint : aChange.disconnect) {
      open.erase(endpoint);
    }
  }
  std::set<std::string> open;
};

peer::Entry
member(const std::string& aKey, const std::string& aEndpoint, bool aLeaving = false)
{
  peer::MemberContent content;
  content.set_role(peer::ROLE_CONTROLLER);
  content.set_host(aKey);
  content.set_data_centre("xela");
  content.set_endpoint(aEndpoint);
  content.set_leaving(aLeaving);
  peer::Entry entry;
  entry.set_kind(peer::ENTRY_KIND_MEMBER);
  entry.set_key(aKey);
  entry.set_payload(content.SerializeAsString());
  return entry;
}

} // namespace

TEST_GROUP(ControllerChoice)
{
  Instant now{ 1000s };
  Connections connections;

  ControllerChoice listed()
  {
    ControllerChoice choice(ChoiceOrder::AsListed, 1);
    for (const char* endpoint : { "b", "c" }) {
      connections.applyChange(choice.add(endpoint, false, now));
    }
    connections.applyChange(choice.add("a", true, now));
    return choice;
  }
};

// Guards against a router that stays without a controller, or that disconnects from a
// working one before another is connected.
TEST(ControllerChoice, asListed_failures_nextOneTriedAndFirstOnePreferred)
{
  auto choice = listed();
  connections.applyChange(choice.joined("b"));
  CHECK(choice.chosen() == "b");
  connections.applyChange(choice.lost("b", now));
  CHECK((connections.open == std::set<std::string>{ "c" }));
  connections.applyChange(choice.tick(now + 2s));
  CHECK((connections.open == std::set<std::string>{ "a" }));
  connections.applyChange(choice.tick(now + 4s));
  connections.applyChange(choice.joined("b"));
  CHECK(choice.chosen() == "b");
  connections.applyChange(choice.rotate(now + 5s));
  CHECK(choice.chosen() == "b");
  CHECK((connections.open == std::set<std::string>{ "a", "b" }));
  connections.applyChange(choice.joined("a"));
  CHECK(choice.chosen() == "a");
  CHECK((connections.open == std::set<std::string>{ "a" }));
  CHECK(choice.rotate(now + 9s).connect.empty());
}

// Guards against a group without a connection after the one to its only member was lost.
TEST(ControllerChoice, onlyMember_lost_connectionKept)
{
  ControllerChoice choice(ChoiceOrder::Random, 1);
  connections.applyChange(choice.add("a", false, now));
  connections.applyChange(choice.joined("a"));
  connections.applyChange(choice.lost("a", now));
  connections.applyChange(choice.tick(now + 5s));
  CHECK((connections.open == std::set<std::string>{ "a" }));
  connections.applyChange(choice.joined("a"));
  CHECK(choice.chosen() == "a");
  connections.applyChange(choice.remove("a", now));
  CHECK(connections.open.empty());
  CHECK_FALSE(choice.chosen().has_value());
}

// Guards against leaked connections, a chosen controller without a connection, and a
// group whose reachable controller is never tried, in any order of events.
TEST(ControllerChoice, randomEvents_anyOrder_invariantsHold)
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    const bool in_order = seed % 2 == 0;
    ControllerChoice choice(in_order ? ChoiceOrder::AsListed : ChoiceOrder::Random, seed);
    Connections open;
    std::set<std::string> known;
    Instant time{ 1000s };
    for (int step = 0; step < 100; ++step) {
      const std::string endpoint(1, char('a' + random() % 5));
      time += std::chrono::milliseconds(random() % 700);
      switch (random() % 6) {
        case 0:
          open.applyChange(choice.add(endpoint, random() % 4 == 0, time));
          known.insert(endpoint);
          break;
        case 1:
          open.applyChange(choice.remove(endpoint, time));
          known.erase(endpoint);
          break;
        case 2:
          open.applyChange(choice.lost(endpoint, time));
          break;
        case 3:
          open.applyChange(choice.tick(time));
          break;
        case 4:
          open.applyChange(choice.rotate(time));
          break;
        default:
          if (open.open.count(endpoint) > 0) {
            open.applyChange(choice.joined(endpoint));
          }
      }
      CHECK(open.open.size() <= 2);
      CHECK(!choice.chosen() || open.open.count(*choice.chosen()) == 1);
      CHECK(
        std::includes(known.begin(), known.end(), open.open.begin(), open.open.end()));
      CHECK(known.empty() || !open.open.empty());
    }
    open.applyChange(choice.add("z", false, time));
    for (int round = 0; round < 100 && choice.chosen() != "z"; ++round) {
      time += 2s;
      if (choice.chosen()) {
        open.applyChange(choice.lost(*choice.chosen(), time));
      }
      open.applyChange(choice.tick(time));
      if (open.open.count("z") > 0) {
        open.applyChange(choice.joined("z"));
      }
    }
    CHECK(choice.chosen() == "z");
  }
}

TEST_GROUP(ControllerDirectory){};

// Guards against connections to controllers that have left or changed their endpoint, and
// against the removal of a seed.
TEST(ControllerDirectory, memberEntries_addedMovedRemoved_changesReported)
{
  ControllerDirectory directory;
  directory.addSeed({ "xela", "seed", "127.0.0.1:1" });
  CHECK_FALSE(directory.update(member("seed", "127.0.0.1:1")).added.has_value());
  STRCMP_EQUAL("127.0.0.1:2",
               directory.update(member("h", "127.0.0.1:2")).added->endpoint.c_str());
  CHECK_FALSE(directory.update(member("h", "127.0.0.1:2")).added.has_value());
  const auto moved = directory.update(member("h", "127.0.0.1:3"));
  STRCMP_EQUAL("127.0.0.1:2", moved.removed->endpoint.c_str());
  STRCMP_EQUAL("127.0.0.1:3", moved.added->endpoint.c_str());
  CHECK(directory.update(member("h", "127.0.0.1:3", true)).removed.has_value());
  CHECK_FALSE(directory.update(member("seed", "127.0.0.1:1", true)).removed.has_value());
  auto expired = member("h", "");
  expired.clear_payload();
  CHECK(directory.update(member("h", "127.0.0.1:2")).added.has_value());
  CHECK(directory.update(expired).removed.has_value());
  auto unreadable = member("h", "");
  unreadable.set_payload("\xff\xff");
  CHECK_FALSE(directory.update(unreadable).added.has_value());
}

TEST_GROUP(PushQueue){
  static transport::RemotePeer peerOf(peer::Role aRole, const std::string& aDataCentre){
    transport::RemotePeer result;
result.role = aRole;
result.dataCentre = aDataCentre;
return result;
}

static void
check(const PushTargets& aTargets, bool aOwn, bool aRouters, bool aOther)
{
  CHECK_EQUAL(aOwn, aTargets.ownControllers);
  CHECK_EQUAL(aRouters, aTargets.routers);
  CHECK_EQUAL(aOther, aTargets.otherDataCentres);
}
}
;

// Guards against entries that are forwarded in a loop, and against changes that do not
// reach all processes.
TEST(PushQueue, targets_bySource_noLoopsAndNoGaps)
{
  check(pushTargetsFor(nullptr, "xela"), true, true, true);
  const auto router = peerOf(peer::ROLE_ROUTER, "xela");
  check(pushTargetsFor(&router, "xela"), true, true, true);
  const auto own_controller = peerOf(peer::ROLE_CONTROLLER, "xela");
  check(pushTargetsFor(&own_controller, "xela"), false, true, false);
  const auto other_controller = peerOf(peer::ROLE_CONTROLLER, "toto");
  check(pushTargetsFor(&other_controller, "xela"), true, true, false);
}

// Guards against entries that are sent back to their sender or after their expiry, and
// against deltas above the maximum size.
TEST(PushQueue, deltas_forPeer_filteredAndSplit)
{
  state::StateMap map;
  PushQueue queue;
  Instant now{ 1000s };
  for (std::uint64_t index = 1; index <= 4; ++index) {
    auto entry = member(std::to_string(index), "127.0.0.1:9");
    entry.set_sequence(1);
    entry.set_ttl_ms(index == 4 ? 10 : 0);
    map.apply(entry, now);
    queue.add({ entry.kind(), entry.key() }, { index != 3, true, false }, index);
  }
  now += 20ms;
  auto count = [&](std::uint64_t aPeer, PushTargets aGroups, std::size_t aMaxBytes) {
    std::size_t entries = 0;
    const auto deltas = queue.deltasFor(aPeer, aGroups, map, now, aMaxBytes);
    for (const auto& delta : deltas) {
      entries += static_cast<std::size_t>(delta.entries_size());
    }
    return std::pair(deltas.size(), entries);
  };
  CHECK((count(9, { false, true, false }, 10000) ==
         std::pair<std::size_t, std::size_t>(1, 3)));
  CHECK(
    (count(9, { false, true, false }, 10) == std::pair<std::size_t, std::size_t>(3, 3)));
  CHECK((count(1, { true, false, false }, 10000) ==
         std::pair<std::size_t, std::size_t>(1, 1)));
  CHECK((count(9, { false, false, true }, 10000) ==
         std::pair<std::size_t, std::size_t>(0, 0)));
}
