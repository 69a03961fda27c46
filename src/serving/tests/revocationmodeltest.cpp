#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <unordered_set>
#include <utility>
#include <vector>

#include "serving/configconfirmation.h"
#include "serving/tablereadcheck.h"

using namespace savoryrill;
using serving::ConfigConfirmation;
using serving::TableReadCheck;

namespace {

constexpr Duration kModelBound = 5s;
// The ages 0 to 2 are below the bound with its margin, and the third is above the bound,
// so that an error of one step shows.
constexpr Duration kModelStep = 1700ms;
constexpr unsigned kOver = 3; // steps; everything this old counts as lost

/// Rules whose absence the model must notice.
enum class Flaw
{
  None,
  CountsFromEndOfRead,     // instead of from its start
  StampsAtEndOfRead,       // the leader names reports that arrived during its read
  OlderStateConfirms,      // a read that returned an older state than known
  ConfirmsWithoutRead,     // a leader that cannot read the store
  AcceptsOtherVersions,    // a follower with an older configuration than the leader's
  AgeStopsDuringSuspension // the clock of a suspended host
};

enum class Read : std::uint8_t
{
  None,
  Sent,
  WithKey,    // answered with the configuration that contains the key
  WithoutKey, // answered with that from which the operator has removed it
  Older       // answered with a state that is older than that of an earlier read
};

struct Host
{
  unsigned confirmed = kOver; // age in steps
  bool hasKey = true;         // in the configuration in force
  Read read = Read::None;
  unsigned readAge = 0; // since its start
};

/// Latest message of a leader that may still arrive, once or several times.
struct Message
{
  unsigned stamp = kOver; // age of the follower's report that it names
  bool hasKey = false;    // in the version that it confirms
};

/// One store and three hosts. The first two may lead, also both at once; a leader that
/// cannot reach the store has no read that ends. A host that takes no step while the time
/// goes on is suspended or slow. A message that is lost is one that is not delivered.
struct Model
{
  std::array<Host, 3> hosts;
  std::array<Message, 3> messages; // by receiver; the first host receives none
  bool removed = false;            // the store has acknowledged the removal of the key
  unsigned since = 0;              // steps since then

  std::uint64_t encode() const
  {
    std::uint64_t code = removed ? 1 + since : 0;
    for (const auto& host : hosts) {
      code = (((code * 4 + host.confirmed) * 2 + (host.hasKey ? 1 : 0)) * 5 +
              static_cast<std::uint64_t>(host.read)) *
               4 +
             host.readAge;
    }
    for (const auto& message : messages) {
      code = (code * 4 + message.stamp) * 2 + (message.hasKey ? 1 : 0);
    }
    return code;
  }
};

class Enumeration
{
public:
  explicit Enumeration(Flaw aFlaw)
    : mFlaw(aFlaw)
  {
  }

  /// Visits every reachable state; true if no host accepts the key too late.
  bool run()
  {
    std::vector<Model> layer;
    mNext.clear();
    reach(Model{});
    while (!mNext.empty() && mSafe) {
      layer.swap(mNext);
      mNext.clear();
      ++mDepth;
      for (const auto& model : layer) {
        expand(model);
      }
    }
    return mSafe;
  }

  std::size_t states() const { return mSeen.size(); }
  int depth() const { return mDepth; }

private:
  // Each host has its own clock; nothing may depend on the difference.
  static Instant now(std::size_t aHost)
  {
    return Instant{ 1000s } + aHost * std::chrono::hours(7);
  }
  static Instant before(std::size_t aHost, unsigned aSteps)
  {
    return now(aHost) - aSteps * kModelStep;
  }
  static std::uint64_t versionOf(bool aHasKey) { return aHasKey ? 1 : 2; }

  static ConfigConfirmation confirmationOf(const Model& aModel, std::size_t aHost)
  {
    const auto& host = aModel.hosts.at(aHost);
    ConfigConfirmation confirmation(kModelBound);
    confirmation.configApplied(versionOf(host.hasKey));
    if (host.confirmed < kOver) {
      confirmation.confirmed(versionOf(host.hasKey), before(aHost, host.confirmed));
    }
    return confirmation;
  }

  static void store(Host& aHost, std::size_t aAt, const ConfigConfirmation& aConfirmation)
  {
    const auto age = aConfirmation.age(now(aAt));
    aHost.confirmed =
      age ? std::min(kOver, static_cast<unsigned>(*age / kModelStep)) : unsigned{ kOver };
  }

  /// Leaves out what no longer matters: a host without the key can accept it no more.
  static void simplify(Model& aModel)
  {
    for (std::size_t at = 0; at < aModel.hosts.size(); ++at) {
      auto& host = aModel.hosts.at(at);
      if (host.hasKey) {
        continue;
      }
      host.confirmed = kOver;
      aModel.messages.at(at) = {};
      if (at + 1 == aModel.hosts.size()) { // never leads, so its reads matter to no other
        host.read = Read::None;
        host.readAge = 0;
      }
    }
  }

  void reach(Model aModel)
  {
    simplify(aModel);
    if (!mSeen.insert(aModel.encode()).second) {
      return;
    }
    for (std::size_t at = 0; at < aModel.hosts.size(); ++at) {
      // The third step after the acknowledgement is later than the bound.
      const bool late = aModel.removed && aModel.since >= kOver;
      if (late && aModel.hosts.at(at).hasKey &&
          confirmationOf(aModel, at).valid(now(at))) {
        mSafe = false;
      }
    }
    mNext.push_back(aModel);
  }

  void expand(const Model& aModel)
  {
    passTime(aModel);
    if (!aModel.removed) {
      auto next = aModel;
      next.removed = true;
      reach(next);
    }
    for (std::size_t at = 0; at < aModel.hosts.size(); ++at) {
      startRead(aModel, at);
      answerRead(aModel, at);
      receiveAnswer(aModel, at);
      receiveMessage(aModel, at);
      if (mFlaw == Flaw::ConfirmsWithoutRead) {
        send(aModel, at, 0);
      }
    }
  }

  void passTime(const Model& aModel)
  {
    auto next = aModel;
    if (next.removed) {
      next.since = std::min(kOver, next.since + 1);
    }
    for (std::size_t at = 0; at < next.hosts.size(); ++at) {
      auto& host = next.hosts.at(at);
      const bool suspended = mFlaw == Flaw::AgeStopsDuringSuspension && at == 2;
      host.confirmed = std::min(kOver, host.confirmed + (suspended ? 0 : 1));
      if (host.read != Read::None && ++host.readAge >= kOver) {
        host.read = Read::None; // its result could confirm nothing any more
        host.readAge = 0;
      }
      auto& message = next.messages.at(at);
      message.stamp = std::min(kOver, message.stamp + 1);
      message.hasKey = message.hasKey && message.stamp < kOver;
    }
    reach(next);
  }

  void startRead(const Model& aModel, std::size_t aHost)
  {
    auto next = aModel;
    next.hosts.at(aHost).read = Read::Sent;
    next.hosts.at(aHost).readAge = 0;
    reach(next);
  }

  void answerRead(const Model& aModel, std::size_t aHost)
  {
    if (aModel.hosts.at(aHost).read != Read::Sent) {
      return;
    }
    auto next = aModel;
    next.hosts.at(aHost).read = aModel.removed ? Read::WithoutKey : Read::WithKey;
    reach(next);
    next.hosts.at(aHost).read = Read::Older;
    receiveAnswer(next, aHost);
  }

  void receiveAnswer(const Model& aModel, std::size_t aHost)
  {
    constexpr std::uint64_t kTableVersion = 100;
    auto next = aModel;
    auto& host = next.hosts.at(aHost);
    const auto read = std::exchange(host.read, Read::None);
    const auto age = std::exchange(host.readAge, 0);
    if (read == Read::None || read == Read::Sent) {
      return;
    }
    TableReadCheck check;
    check.readStarted(before(aHost, age), 0);
    const auto known = kTableVersion + versionOf(host.hasKey);
    const auto returned = read == Read::Older
                            ? kTableVersion
                            : kTableVersion + versionOf(read == Read::WithKey);
    auto as_of = check.changesRead(known, returned, returned <= known);
    if (mFlaw == Flaw::OlderStateConfirms) {
      as_of = before(aHost, age);
    }
    if (mFlaw == Flaw::CountsFromEndOfRead && as_of) {
      as_of = now(aHost);
    }
    auto confirmation = confirmationOf(next, aHost);
    host.hasKey = host.hasKey && read != Read::WithoutKey;
    confirmation.configApplied(versionOf(host.hasKey));
    if (!as_of) {
      reach(next);
      return;
    }
    confirmation.confirmed(versionOf(host.hasKey), *as_of);
    store(host, aHost, confirmation);
    send(next, aHost, mFlaw == Flaw::StampsAtEndOfRead ? 0 : age);
  }

  /// A leader tells the others, each of which may keep an earlier message instead. The
  /// report that the leader had received last is assumed to be as recent as possible; an
  /// older one confirms less.
  void send(const Model& aModel, std::size_t aHost, unsigned aStamp)
  {
    reach(aModel);
    const Message message{ aStamp, aModel.hosts.at(aHost).hasKey };
    for (std::size_t to = aHost + 1; to < aModel.hosts.size(); ++to) {
      auto one = aModel;
      one.messages.at(to) = message;
      reach(one);
    }
    if (aHost == 0) {
      auto both = aModel;
      both.messages = { Message{}, message, message };
      reach(both);
    }
  }

  void receiveMessage(const Model& aModel, std::size_t aHost)
  {
    const auto& message = aModel.messages.at(aHost);
    if (message.stamp >= kOver) {
      return;
    }
    auto next = aModel;
    auto confirmation = confirmationOf(next, aHost);
    confirmation.confirmedByLeader(
      mFlaw == Flaw::AcceptsOtherVersions ? 1 : versionOf(message.hasKey),
      before(aHost, message.stamp));
    store(next.hosts.at(aHost), aHost, confirmation);
    reach(next); // the message stays, as it may arrive again
  }

  Flaw mFlaw;
  std::unordered_set<std::uint64_t> mSeen;
  std::vector<Model> mNext;
  int mDepth = 0;
  bool mSafe = true;
};

} // namespace

TEST_GROUP(RevocationModel){};

// Guards against a key that a host accepts later than the bound after the store has
// acknowledged its removal, in any order of the steps of three hosts and the store.
TEST(RevocationModel, AllStates_NoKeyIsAcceptedAfterTheBound)
{
  // The model forgets confirmations of this age.
  ConfigConfirmation old(kModelBound);
  old.configApplied(1);
  old.confirmed(1, Instant{ 1000s });
  CHECK_FALSE(old.valid(Instant{ 1000s } + kOver * kModelStep));

  Enumeration enumeration(Flaw::None);
  const bool safe = enumeration.run();
  std::printf(
    "revocation: %zu states, depth %d\n", enumeration.states(), enumeration.depth());
  CHECK_TRUE(safe);
}

// Guards against an enumeration that would miss a rule that the code no longer keeps.
TEST(RevocationModel, OneRuleIsMissing_KeyIsAcceptedTooLate)
{
  for (const auto flaw : { Flaw::CountsFromEndOfRead,
                           Flaw::StampsAtEndOfRead,
                           Flaw::OlderStateConfirms,
                           Flaw::ConfirmsWithoutRead,
                           Flaw::AcceptsOtherVersions,
                           Flaw::AgeStopsDuringSuspension }) {
    CHECK_FALSE(Enumeration(flaw).run());
  }
}
