#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

#include "state/statemap.h"

using namespace savoryrill;
using state::EntryKey;
using state::StateMap;

namespace {

peer::Entry
entry(peer::EntryKind aKind,
      const std::string& aKey,
      std::uint64_t aEpoch,
      std::uint64_t aSequence,
      std::uint32_t aTtlMs = 0)
{
  peer::Entry result;
  result.set_kind(aKind);
  result.set_key(aKey);
  result.set_epoch(aEpoch);
  result.set_sequence(aSequence);
  result.set_ttl_ms(aTtlMs);
  result.set_payload(std::to_string(aEpoch) + "/" + std::to_string(aSequence));
  return result;
}

std::string
payloadOf(const StateMap& aMap, const EntryKey& aKey, Instant aNow)
{
  const auto found = aMap.find(aKey, aNow);
  return found ? found->payload() : "absent";
}

const EntryKey kUpstreamA{ peer::ENTRY_KIND_UPSTREAM, "a" };
const EntryKey kDemandA{ peer::ENTRY_KIND_DEMAND, "a" };

} // namespace

TEST_GROUP(StateMap)
{
  StateMap map;
  Instant now{ 1000s };
};

// Guards against entries of a former owner that replace those of its successor.
TEST(StateMap, olderEpoch_higherSequence_refused)
{
  CHECK(map.apply(entry(peer::ENTRY_KIND_UPSTREAM, "a", 2, 1), now));
  CHECK_FALSE(map.apply(entry(peer::ENTRY_KIND_UPSTREAM, "a", 1, 99), now));
  CHECK_FALSE(map.apply(entry(peer::ENTRY_KIND_UPSTREAM, "a", 2, 1), now));
  STRCMP_EQUAL("2/1", payloadOf(map, kUpstreamA, now).c_str());
}

// Guards against storing entries of unknown kinds, without a key or above the size
// limits.
TEST(StateMap, malformedEntries_applied_changeNothing)
{
  StateMap small(StateMap::Limits{ 2, 4, 3 });
  CHECK_FALSE(small.apply(entry(peer::ENTRY_KIND_UNSPECIFIED, "a", 1, 1), now));
  CHECK_FALSE(small.apply(entry(static_cast<peer::EntryKind>(77), "a", 1, 1), now));
  CHECK_FALSE(small.apply(entry(peer::ENTRY_KIND_DEMAND, "", 1, 1), now));
  CHECK_FALSE(small.apply(entry(peer::ENTRY_KIND_DEMAND, "long", 1, 1), now));
  CHECK_FALSE(small.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 100, 1), now));
  LONGS_EQUAL(0, small.size());
}

// Guards against unbounded growth, and against a full map that refuses updates of stored
// entries.
TEST(StateMap, fullMap_newKeyRefused_heldKeyUpdated)
{
  StateMap small(StateMap::Limits{ 2, 100, 100 });
  CHECK(small.apply(entry(peer::ENTRY_KIND_MEMBER, "a", 1, 1), now));
  CHECK(small.apply(entry(peer::ENTRY_KIND_MEMBER, "b", 1, 1), now));
  CHECK_FALSE(small.apply(entry(peer::ENTRY_KIND_MEMBER, "c", 1, 1), now));
  CHECK(small.apply(entry(peer::ENTRY_KIND_MEMBER, "a", 1, 2), now));
  LONGS_EQUAL(2, small.size());
}

// Guards against entries of a stopped router, such as its demand, that stay in use after
// their time to live.
TEST(StateMap, timeToLive_passed_entryExpires)
{
  map.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, 1, 100), now);
  LONGS_EQUAL(40, map.find(kDemandA, now + 60ms)->ttl_ms());
  CHECK_FALSE(map.find(kDemandA, now + 100ms).has_value());
  LONGS_EQUAL(0, map.deltaFor({}, now + 100ms, 1000).entries_size());
  const auto expired = map.expire(now + 100ms);
  LONGS_EQUAL(1, expired.size());
  CHECK(expired.front() == kDemandA);
  LONGS_EQUAL(0, map.size());
}

// Guards against copies from other peers that restore an expired entry, or an older
// version of it with a longer time to live.
TEST(StateMap, expiredEntry_relayedCopies_isNotRestored)
{
  map.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, 5, 100), now);
  map.expire(now + 200ms);
  CHECK_FALSE(map.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, 4, 60000), now + 300ms));
  CHECK_FALSE(map.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, 5, 100), now + 300ms));
  StateMap other;
  other.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, 5, 100), now);
  CHECK_FALSE(map.isBehind(other.digest()));
  CHECK(map.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, 6, 100), now + 300ms));
}

// Guards against unbounded growth of the tombstones.
TEST(StateMap, tombstones_aboveLimit_oldestDropped)
{
  StateMap small(StateMap::Limits{ 2, 100, 100 });
  for (const char* key : { "a", "b", "c" }) {
    small.apply(entry(peer::ENTRY_KIND_DEMAND, key, 1, 1, 1), now);
    now += 10ms;
    small.expire(now);
  }
  CHECK(small.apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, 1, 1), now));
  CHECK_FALSE(small.apply(entry(peer::ENTRY_KIND_DEMAND, "c", 1, 1, 1), now));
}

// Guards against losing a `config` or `leaving` entry by expiry or deletion.
TEST(StateMap, persistentKinds_expiryAndDeletion_haveNoEffect)
{
  for (const auto kind : { peer::ENTRY_KIND_CONFIG, peer::ENTRY_KIND_LEAVING }) {
    CHECK(map.apply(entry(kind, "a", 3, 1, 50), now));
    LONGS_EQUAL(0, map.expire(now + 100s).size());
    auto deletion = entry(kind, "a", 9, 9);
    deletion.clear_payload();
    CHECK_FALSE(map.apply(deletion, now));
    STRCMP_EQUAL("3/1", payloadOf(map, { kind, "a" }, now + 100s).c_str());
  }
}

// Guards against deltas that include entries the peer has or omit entries it lacks.
TEST(StateMap, deltaFor_peerDigest_holdsOnlyNewerEntries)
{
  StateMap peer;
  map.apply(entry(peer::ENTRY_KIND_UPSTREAM, "a", 1, 2), now);
  map.apply(entry(peer::ENTRY_KIND_UPSTREAM, "b", 1, 1), now);
  map.apply(entry(peer::ENTRY_KIND_UPSTREAM, "c", 1, 1), now);
  peer.apply(entry(peer::ENTRY_KIND_UPSTREAM, "a", 1, 1), now);
  peer.apply(entry(peer::ENTRY_KIND_UPSTREAM, "b", 1, 1), now);
  const auto delta = map.deltaFor(peer.digest(), now, 10000);
  LONGS_EQUAL(2, delta.entries_size());
  STRCMP_EQUAL("a", delta.entries(0).key().c_str());
  STRCMP_EQUAL("c", delta.entries(1).key().c_str());
  CHECK(peer.isBehind(map.digest()));
  CHECK_FALSE(map.isBehind(peer.digest()));
}

// Guards against differences that a summary does not show, and against digests that cover
// more than the buckets that differ.
TEST(StateMap, summary_oneEntryDiffers_onlyItsBucketIsExchanged)
{
  StateMap left;
  StateMap right;
  constexpr int kEntries = 640;
  for (int index = 0; index < kEntries; ++index) {
    peer::Entry entry;
    entry.set_kind(peer::ENTRY_KIND_UPSTREAM);
    entry.set_key("upstream-" + std::to_string(index));
    entry.set_epoch(1);
    entry.set_sequence(1);
    entry.set_payload("state");
    left.apply(entry, Instant{});
    right.apply(entry, Instant{});
  }
  LONGS_EQUAL(0, left.differingBuckets(right.summary()).size());

  peer::Entry newer;
  newer.set_kind(peer::ENTRY_KIND_UPSTREAM);
  newer.set_key("upstream-77");
  newer.set_epoch(1);
  newer.set_sequence(2);
  newer.set_payload("newer");
  left.apply(newer, Instant{});
  const auto buckets = right.differingBuckets(left.summary());
  LONGS_EQUAL(1, buckets.size());

  const auto digest = right.digestOfBuckets(buckets);
  CHECK(digest.items_size() < kEntries / 8);
  const auto delta = left.deltaFor(digest, Instant{}, 1024 * 1024);
  LONGS_EQUAL(1, delta.entries_size());
  STRCMP_EQUAL("upstream-77", delta.entries(0).key().c_str());
  right.apply(delta.entries(0), Instant{});
  LONGS_EQUAL(0, left.differingBuckets(right.summary()).size());
}

// Guards against an entry above the size limit of deltas that is never sent.
TEST(StateMap, deltaFor_entryAboveLimit_isSentAlone)
{
  auto large = entry(peer::ENTRY_KIND_CONFIG, "bundle", 0, 1);
  large.set_payload(std::string(5000, 'x'));
  map.apply(large, now);
  map.apply(entry(peer::ENTRY_KIND_UPSTREAM, "a", 1, 1), now);
  const auto delta = map.deltaFor({}, now, 1000);
  LONGS_EQUAL(1, delta.entries_size());
  STRCMP_EQUAL("bundle", delta.entries(0).key().c_str());
}

namespace {

struct Version
{
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Version&) const = default;
};

/// Several maps that exchange entries over a simulated network, which delays, reorders,
/// duplicates and loses them.
class SimulatedNetwork
{
public:
  SimulatedNetwork(unsigned aSeed, std::size_t aMaps)
    : mRandom(aSeed)
    , mMaps(aMaps)
    , mHighest(aMaps)
  {
  }

  void publishRandom()
  {
    constexpr peer::EntryKind kKinds[] = { peer::ENTRY_KIND_CONFIG,
                                           peer::ENTRY_KIND_UPSTREAM,
                                           peer::ENTRY_KIND_MEMBER,
                                           peer::ENTRY_KIND_LEAVING };
    const auto next =
      entry(kKinds[draw(4)], std::string(1, char('a' + draw(3))), draw(4), draw(20));
    mNetwork.push_back(next);
    auto& best = mBest[{ next.kind(), next.key() }];
    best = std::max(best, Version{ next.epoch(), next.sequence() });
    mPublished.push_back(next);
  }

  void deliverRandom()
  {
    if (mNetwork.empty()) {
      return;
    }
    const std::size_t index = draw(mNetwork.size());
    applyTo(draw(mMaps.size()), mNetwork[index]);
    if (draw(3) == 0) {
      mNetwork.erase(mNetwork.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }

  void syncRandom() { sync(draw(mMaps.size()), draw(mMaps.size()), 200); }

  void settle()
  {
    for (const auto& published : mPublished) {
      applyTo(draw(mMaps.size()), published);
    }
    for (std::size_t round = 0; round < mMaps.size(); ++round) {
      for (std::size_t from = 0; from < mMaps.size(); ++from) {
        sync(from, (from + 1) % mMaps.size(), 1 << 20);
      }
    }
  }

  void checkConverged() const
  {
    for (const auto& map : mMaps) {
      LONGS_EQUAL(mBest.size(), map.size());
      for (const auto& [key, version] : mBest) {
        const auto held = map.find(key, mNow);
        CHECK(held.has_value());
        CHECK((Version{ held->epoch(), held->sequence() } == version));
      }
    }
  }

private:
  std::size_t draw(std::size_t aBound) { return mRandom() % aBound; }

  void sync(std::size_t aFrom, std::size_t aTo, std::size_t aMaxBytes)
  {
    const auto delta = mMaps[aFrom].deltaFor(mMaps[aTo].digest(), mNow, aMaxBytes);
    for (const auto& next : delta.entries()) {
      applyTo(aTo, next);
    }
  }

  /// Applies and checks that the held version of the key does not go back.
  void applyTo(std::size_t aMap, const peer::Entry& aEntry)
  {
    mMaps[aMap].apply(aEntry, mNow);
    const EntryKey key{ aEntry.kind(), aEntry.key() };
    const auto held = mMaps[aMap].find(key, mNow);
    CHECK(held.has_value());
    const Version version{ held->epoch(), held->sequence() };
    auto& highest = mHighest[aMap][key];
    CHECK(version >= highest);
    highest = version;
  }

  std::mt19937 mRandom;
  std::vector<StateMap> mMaps;
  std::vector<std::map<EntryKey, Version>> mHighest;
  std::vector<peer::Entry> mNetwork;
  std::vector<peer::Entry> mPublished;
  std::map<EntryKey, Version> mBest;
  Instant mNow{ 1000s };
};

} // namespace

// Guards against maps that depend on the order of delivery, and against an entry, above
// all the configuration, that is replaced by an older version.
TEST(StateMap, randomDelivery_withDigests_convergesAndNeverReverts)
{
  for (unsigned seed = 1; seed <= 200; ++seed) {
    SimulatedNetwork network(seed, 4);
    std::mt19937 steps(seed + 1000);
    for (int step = 0; step < 150; ++step) {
      switch (steps() % 4) {
        case 0:
          network.publishRandom();
          break;
        case 1:
          network.syncRandom();
          break;
        default:
          network.deliverRandom();
      }
    }
    network.settle();
    network.checkConverged();
  }
}

// Guards against entries with a time to live that circulate among peers forever, and
// against an expiry after which an older version reappears.
TEST(StateMap, randomRelays_ofExpiringEntries_expireEverywhere)
{
  for (unsigned seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    std::vector<StateMap> maps(3);
    std::vector<std::uint64_t> highest(3);
    Instant time{ 1000s };
    for (std::uint64_t step = 1; step <= 100; ++step) {
      time += std::chrono::milliseconds(random() % 20);
      const std::size_t to = random() % 3;
      if (step <= 50 && random() % 2 == 0) {
        maps[to].apply(entry(peer::ENTRY_KIND_DEMAND, "a", 1, step, 1 + random() % 100),
                       time);
      } else {
        const auto delta = maps[random() % 3].deltaFor(maps[to].digest(), time, 1000);
        for (const auto& next : delta.entries()) {
          maps[to].apply(next, time);
        }
      }
      maps[random() % 3].expire(time);
      if (const auto held = maps[to].find(kDemandA, time)) {
        CHECK(held->sequence() >= highest[to]);
        highest[to] = held->sequence();
      }
    }
    time += 200ms;
    for (auto& map : maps) {
      map.expire(time);
      LONGS_EQUAL(0, map.size());
    }
  }
}
