#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "placement/assignmentplanner.h"
#include "placement/types/rows.h"
#include "platform/types/table.h"

namespace savoryrill::placement {

/// The assignment and slots rows as far as they are known, from table reads, own commits
/// and gossip. An owner may load by a row only if the table was read after it took the
/// upstream: an older view may show a place that a former owner has removed since. For
/// the same reason gossip only replaces rows that the latest read has shown; one that was
/// absent may have been deleted after the entry was written. No I/O; not thread safe.
class AssignmentCache
{
public:
  using Assignments = std::map<config::Loadable, Versioned<AssignmentRow>>;
  using Slots = std::map<std::string, Versioned<SlotsRow>>;

  /// All slots and assignment rows, from reads that were sent no earlier than `aSentAt`.
  /// Returns the loadables whose rows are new or newer; `deleted` rows are dropped.
  struct ReadChanges
  {
    std::vector<config::Loadable> newer;
    bool deleted = false;
  };
  ReadChanges tableRead(const std::vector<platform::Row>& aSlots,
                        const std::vector<platform::Row>& aAssignments,
                        Instant aSentAt);

  /// A row from gossip. Returns true if it was taken; otherwise it is old, or the table
  /// has to be read first.
  bool gossipReceived(const config::Loadable& aLoadable,
                      std::uint64_t aVersion,
                      const AssignmentRow& aRow,
                      Instant aNow);

  /// An own change that was committed. Returns the version of the assignment row.
  std::uint64_t committed(const AssignmentChange& aChange,
                          const platform::TransactionOutcome& aOutcome,
                          Instant aNow);

  const Assignments& assignments() const { return mAssignments; }
  const Slots& slots() const { return mSlots; }

  /// When the latest answered table read was sent, or nothing.
  std::optional<Instant> readSentAt() const { return mReadSentAt; }

private:
  enum class Source
  {
    Table,
    Commit,
    Gossip
  };
  bool update(const config::Loadable& aLoadable,
              std::uint64_t aVersion,
              const AssignmentRow& aRow,
              Source aSource,
              Instant aNow);

  struct Origin
  {
    Source source = Source::Table;
    Instant at;
  };
  Assignments mAssignments;
  Slots mSlots;
  std::map<config::Loadable, Origin> mOrigins;
  // Versions that are known to be older than the deletion of the row.
  std::map<config::Loadable, std::uint64_t> mDeletedVersions;
  std::optional<Instant> mReadSentAt;
};

} // namespace savoryrill::placement
