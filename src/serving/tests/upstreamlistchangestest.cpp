#include <CppUTest/TestHarness.h>

#include "serving/upstreamdirectory.h"
#include "serving/upstreamlistchanges.h"

using namespace savoryrill;
using serving::DirectoryChange;
using serving::UpstreamDirectory;
using serving::UpstreamEntry;
using serving::UpstreamListChanges;

TEST_GROUP(UpstreamListChanges)
{
  UpstreamListChanges changes;
  std::uint64_t version = 100;

  static UpstreamEntry entry(
    const std::string& aId, std::uint64_t aRowVersion, bool aLeaving = false)
  {
    UpstreamEntry result;
    result.id = aId;
    result.bornMs = 1;
    result.group = "g";
    result.endpoint = { "10.0.0.1", 80 };
    result.heartbeat = aRowVersion;
    result.rowVersion = aRowVersion;
    result.leaving = aLeaving;
    return result;
  }

  void list(const UpstreamEntry& aEntry)
  {
    changes.update(aEntry);
    version = std::max(version, aEntry.rowVersion);
    changes.setVersion(version);
  }
};

TEST(UpstreamListChanges, NothingRead_NoUpdate)
{
  CHECK_FALSE(changes.since(0).has_value());
  CHECK_FALSE(changes.since(1000).has_value());
}

// Guards against updates as large as the list: heartbeats change each of its entries.
TEST(UpstreamListChanges, OnlyHeartbeatsChange_UpdateIsEmpty)
{
  list(entry("u", 101));
  list(entry("u", 105));
  list(entry("u", 109));
  const auto update = changes.since(101);
  LONGS_EQUAL(0, update->entries.size());
  LONGS_EQUAL(109, update->version);
}

TEST(UpstreamListChanges, UpstreamLeaves_InUpdatesFromOlderVersions)
{
  list(entry("u", 101));
  list(entry("u", 105, true));
  LONGS_EQUAL(1, changes.since(104)->entries.size());
  CHECK_TRUE(changes.since(104)->entries[0].leaving);
  LONGS_EQUAL(0, changes.since(105)->entries.size());
}

// Guards against a host that missed a removal and keeps sending to the removed upstream.
TEST(UpstreamListChanges, RemovalMayHaveBeenDropped_NoUpdate)
{
  list(entry("u", 101));
  CHECK_TRUE(changes.since(101).has_value());
  CHECK_FALSE(changes.since(100).has_value()); // before the first read
  for (std::size_t at = 0; at <= UpstreamListChanges::kMaxRemovals; ++at) {
    changes.remove("v" + std::to_string(at), 200 + at);
  }
  changes.setVersion(2000);
  CHECK_FALSE(changes.since(150).has_value());
  LONGS_EQUAL(UpstreamListChanges::kMaxRemovals, changes.since(200)->removed.size());
}

TEST(UpstreamListChanges, WholeListLacksEntry_UpdateHasRemoval)
{
  list(entry("u", 101));
  list(entry("v", 102));
  changes.retainOnly({ "v" }, 110);
  changes.setVersion(110);
  const auto update = changes.since(102);
  LONGS_EQUAL(1, update->removed.size());
  STRCMP_EQUAL("u", update->removed[0].c_str());
  list(entry("u", 120)); // the same id again
  LONGS_EQUAL(0, changes.since(110)->removed.size());
  LONGS_EQUAL(1, changes.since(110)->entries.size());
}

// Guards against a new leader that never tells of the removal of an upstream that it knew
// from the former leader alone.
TEST(UpstreamListChanges, EntryOfAppliedUpdateIsGoneFromWholeList_UpdateHasRemoval)
{
  list(entry("u", 101));
  serving::UpstreamListUpdate update;
  update.base = 101;
  update.version = 110;
  update.entries = { entry("young", 0) };
  changes.apply(update);
  LONGS_EQUAL(1, changes.since(105)->entries.size());
  changes.update(entry("u", 118));
  changes.retainOnly({ "u" }, 120);
  changes.setVersion(120);
  LONGS_EQUAL(1, changes.since(110)->removed.size());
  STRCMP_EQUAL("young", changes.since(110)->removed[0].c_str());
}

TEST(UpstreamListChanges, AppliedUpdateRemovesEntry_UpdateHasRemoval)
{
  list(entry("u", 101));
  list(entry("v", 102));
  serving::UpstreamListUpdate update;
  update.base = 102;
  update.version = 110;
  update.removed = { "v" };
  changes.apply(update);
  LONGS_EQUAL(110, changes.since(102)->version);
  STRCMP_EQUAL("v", changes.since(102)->removed.at(0).c_str());
}

// Guards against a host that keeps an upstream which the leader has never seen, since it
// came and went between two versions of the leader.
TEST(UpstreamListChanges, HostIsAtVersionBetweenTwoWholeLists_NoUpdate)
{
  list(entry("u", 101));
  changes.update(entry("u", 118));
  changes.retainOnly({ "u" }, 120);
  changes.setVersion(120);
  CHECK_FALSE(changes.since(110).has_value());
  CHECK_TRUE(changes.since(101).has_value());
  CHECK_TRUE(changes.since(120).has_value());
  for (std::size_t at = 1; at <= UpstreamListChanges::kMaxGaps; ++at) {
    changes.retainOnly({ "u" }, 120 + 10 * at);
    changes.setVersion(120 + 10 * at);
  }
  CHECK_FALSE(changes.since(110).has_value());
  CHECK_FALSE(changes.since(125).has_value());
  CHECK_TRUE(changes.since(130).has_value());
}

// Guards against a directory that loses the engine reports when it applies an update that
// another host has published.
TEST(UpstreamListChanges, UpdateIsApplied_EngineReportsAreKept)
{
  UpstreamDirectory directory;
  std::vector<DirectoryChange> found;
  auto known = entry("u", 101);
  known.engine.models = { { "m", 1, {} } };
  directory.update(known, Instant{ 1s }, found);
  list(entry("u", 101));
  list(entry("u", 105, true));
  list(entry("w", 106));
  changes.remove("x", 107);
  changes.setVersion(107);
  directory.update(entry("x", 100), Instant{ 1s }, found);
  found.clear();
  directory.apply(*changes.since(101), Instant{ 2s }, found);
  CHECK_TRUE(directory.find("u")->leaving);
  LONGS_EQUAL(1, directory.find("u")->engine.models.size());
  CHECK_TRUE(directory.find("w") != nullptr);
  CHECK_TRUE(directory.find("x") == nullptr);
  LONGS_EQUAL(3, found.size()); // leaving, added, vanished
}
