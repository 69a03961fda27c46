#include "placement/assignmentcache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace savoryrill::placement {

bool
AssignmentCache::update(const config::Loadable& aLoadable,
                        std::uint64_t aVersion,
                        const AssignmentRow& aRow,
                        Source aSource,
                        Instant aNow)
{
  const auto deleted = mDeletedVersions.find(aLoadable);
  const auto known = mAssignments.find(aLoadable);
  if ((deleted != mDeletedVersions.end() && aVersion <= deleted->second) ||
      (known != mAssignments.end() && aVersion <= known->second.version)) {
    return false;
  }
  if (aRow.places.empty()) {
    mDeletedVersions[aLoadable] = aVersion;
    mOrigins.erase(aLoadable);
    return mAssignments.erase(aLoadable) > 0;
  }
  mAssignments[aLoadable] = { aVersion, aRow };
  mOrigins[aLoadable] = { aSource, aNow };
  return true;
}

AssignmentCache::ReadChanges
AssignmentCache::tableRead(const std::vector<platform::Row>& aSlots,
                           const std::vector<platform::Row>& aAssignments,
                           Instant aSentAt)
{
  ReadChanges changes;
  for (const auto& row : aSlots) {
    auto parsed = parseSlots(row.value);
    if (!parsed.has_value()) {
      continue;
    }
    auto& known = mSlots[row.key.substr(kSlotsPrefix.size())];
    if (row.version > known.version) {
      known = { row.version, std::move(parsed.value()) };
    }
  }
  std::set<config::Loadable> present;
  for (const auto& row : aAssignments) {
    const auto loadable =
      parseLoadable(std::string_view(row.key).substr(kAssignmentPrefix.size()));
    const auto parsed = parseAssignment(row.value);
    if (!loadable.has_value() || !parsed.has_value()) {
      continue;
    }
    present.insert(loadable.value());
    if (update(loadable.value(), row.version, parsed.value(), Source::Table, aSentAt)) {
      changes.newer.push_back(loadable.value());
    }
  }
  for (auto row = mAssignments.begin(); row != mAssignments.end();) {
    const auto origin = mOrigins.at(row->first);
    const bool newer_commit = origin.source == Source::Commit && origin.at >= aSentAt;
    if (present.contains(row->first) || newer_commit) {
      ++row;
      continue;
    }
    // A row that was received after the read was sent may have been written later than
    // the read. It is dropped, but its version is not recorded as deleted.
    if (origin.at < aSentAt) {
      mDeletedVersions[row->first] =
        std::max(mDeletedVersions[row->first], row->second.version);
    }
    mOrigins.erase(row->first);
    row = mAssignments.erase(row);
    changes.deleted = true;
  }
  mReadSentAt = aSentAt;
  return changes;
}

bool
AssignmentCache::gossipReceived(const config::Loadable& aLoadable,
                                std::uint64_t aVersion,
                                const AssignmentRow& aRow,
                                Instant aNow)
{
  if (mReadSentAt && !mAssignments.contains(aLoadable)) {
    return false;
  }
  return update(aLoadable, aVersion, aRow, Source::Gossip, aNow);
}

std::uint64_t
AssignmentCache::committed(const AssignmentChange& aChange,
                           const platform::TransactionOutcome& aOutcome,
                           Instant aNow)
{
  for (const auto& write : aChange.transaction.writes) {
    const auto version = aOutcome.versions.find(write.key);
    if (!write.key.starts_with(kSlotsPrefix) || !write.value ||
        version == aOutcome.versions.end()) {
      continue;
    }
    auto slots = parseSlots(*write.value);
    auto& known = mSlots[write.key.substr(kSlotsPrefix.size())];
    if (slots.has_value() && version->second > known.version) {
      known = { version->second, std::move(slots.value()) };
    }
  }
  const auto version = aOutcome.versions.find(assignmentKey(aChange.loadable));
  // The table may return no version for a deleted row; it is higher than the checked
  // version.
  const std::uint64_t next = version != aOutcome.versions.end()
                               ? version->second
                               : aChange.transaction.checks.front().version + 1;
  update(aChange.loadable, next, aChange.row, Source::Commit, aNow);
  return next;
}

} // namespace savoryrill::placement
