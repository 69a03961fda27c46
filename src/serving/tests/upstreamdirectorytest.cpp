#include <CppUTest/TestHarness.h>

#include "serving/upstreamdirectory.h"

using namespace savoryrill;
using serving::DirectoryChange;
using serving::UpstreamDirectory;
using serving::UpstreamEntry;

TEST_GROUP(UpstreamDirectory)
{
  UpstreamDirectory directory;
  std::vector<DirectoryChange> changes;
  Instant now{ 100s };

  static UpstreamEntry entry(const std::string& aId,
                             std::int64_t aBorn = 1,
                             std::uint64_t aHeartbeat = 1,
                             bool aLeaving = false)
  {
    UpstreamEntry result;
    result.id = aId;
    result.bornMs = aBorn;
    result.heartbeat = aHeartbeat;
    result.leaving = aLeaving;
    return result;
  }

  void update(UpstreamEntry aEntry)
  {
    directory.update(std::move(aEntry), now, changes);
  }

  bool changed(DirectoryChange::Kind aKind)
  {
    for (const auto& change : changes) {
      if (change.kind == aKind) {
        return true;
      }
    }
    return false;
  }
};

// Guards against new requests to a leaving upstream after an outdated entry, which does
// not show it as leaving.
TEST(UpstreamDirectory, OutdatedEntryAfterLeaving_StaysLeaving)
{
  update(entry("u", 1, 5));
  update(entry("u", 1, 6, true));
  update(entry("u", 1, 4));
  CHECK_TRUE(directory.find("u")->leaving);
  update(entry("u", 1, 7));
  CHECK_TRUE(directory.find("u")->leaving);
}

// Guards against requests to an upstream that has said in a response that it leaves, and
// against a late response of an earlier incarnation that says so.
TEST(UpstreamDirectory, IncarnationSaysThatItLeaves_OnlyThatOneMarked)
{
  update(entry("u", 2, 1));
  directory.markLeaving("u", 1, changes);
  CHECK_FALSE(directory.find("u")->leaving);
  directory.markLeaving("u", 2, changes);
  CHECK_TRUE(changed(DirectoryChange::Kind::Leaving));
  update(entry("u", 2, 2));
  CHECK_TRUE(directory.find("u")->leaving);
}

TEST(UpstreamDirectory, NewIncarnationUnderSameId_ReplacesLeavingOne)
{
  update(entry("u", 1, 5, true));
  update(entry("u", 2, 1));
  CHECK_FALSE(directory.find("u")->leaving);
  LONGS_EQUAL(2, directory.find("u")->bornMs);
}

TEST(UpstreamDirectory, EntryOfEarlierIncarnation_Ignored)
{
  update(entry("u", 2, 1));
  update(entry("u", 1, 9, true));
  CHECK_FALSE(directory.find("u")->leaving);
}

TEST(UpstreamDirectory, RemovedWhileListIsReadable_VanishesAtOnce)
{
  update(entry("u"));
  directory.readSucceeded(now);
  now += 1s;
  directory.remove("u", now, changes);
  CHECK_TRUE(changed(DirectoryChange::Kind::Vanished));
  CHECK_TRUE(directory.find("u") == nullptr);
}

// Guards against losing all upstreams whose entries expired while the list was
// unreadable.
TEST(UpstreamDirectory, MissingAfterOutage_KeptForReturnTime)
{
  update(entry("u"));
  directory.readSucceeded(now);
  now += 5s;
  directory.replaceAll({}, now, changes);
  directory.readSucceeded(now);
  CHECK_TRUE(directory.find("u") != nullptr);
  now += UpstreamDirectory::kReturnTime - 10ms;
  directory.expire(now, changes);
  CHECK_TRUE(directory.find("u") != nullptr);
  now += 20ms;
  directory.expire(now, changes);
  CHECK_TRUE(directory.find("u") == nullptr);
}

TEST(UpstreamDirectory, ReturnsAfterOutage_IsNotRemovedLater)
{
  update(entry("u"));
  directory.readSucceeded(now);
  now += 5s;
  directory.replaceAll({}, now, changes);
  directory.readSucceeded(now);
  now += 1s;
  update(entry("u", 1, 2));
  CHECK_TRUE(changed(DirectoryChange::Kind::Returned));
  now += 10s;
  directory.expire(now, changes);
  CHECK_TRUE(directory.find("u") != nullptr);
}

// Guards against keeping an upstream after an outage although it was leaving.
TEST(UpstreamDirectory, LeavingAndMissingAfterOutage_VanishesAtOnce)
{
  update(entry("u", 1, 1, true));
  directory.readSucceeded(now);
  now += 5s;
  directory.remove("u", now, changes);
  CHECK_TRUE(directory.find("u") == nullptr);
}

// Guards against requests to an upstream that is gone: a copy of the store still lists
// it.
TEST(UpstreamDirectory, CopyHoldsRemovedIncarnation_UsedOnceItsHeartbeatsGoOn)
{
  update(entry("u", 1, 5));
  directory.readSucceeded(now);
  directory.remove("u", now, changes);
  directory.storeRestored(now);
  directory.replaceAll({ entry("u", 1, 9) }, now, changes);
  directory.replaceAll({ entry("u", 1, 9) }, now, changes);
  CHECK_TRUE(directory.find("u") == nullptr);
  directory.replaceAll({ entry("u", 1, 10) }, now, changes);
  CHECK_TRUE(directory.find("u") != nullptr);
}

TEST(UpstreamDirectory, CopyIsFollowedByNewIncarnation_UsedAtOnce)
{
  update(entry("u", 1, 5));
  directory.readSucceeded(now);
  directory.remove("u", now, changes);
  directory.storeRestored(now);
  update(entry("u", 2, 1));
  CHECK_TRUE(directory.find("u") != nullptr);
}

// Guards against upstreams that get no requests, since the copy is older than their
// entries.
TEST(UpstreamDirectory, CopyLacksUpstream_KeptForReturnTime)
{
  update(entry("u"));
  directory.readSucceeded(now);
  directory.storeRestored(now);
  directory.replaceAll({}, now, changes);
  CHECK_TRUE(directory.find("u") != nullptr);
  now += UpstreamDirectory::kReturnTime;
  directory.expire(now, changes);
  CHECK_TRUE(directory.find("u") == nullptr);
}
