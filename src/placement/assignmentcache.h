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

/// Cache of the assignment and slots rows, filled from table reads, own commits and
/// gossip. An owner may load a model according to a row only if the table was read after
/// the owner took the upstream: an older row may contain a place that a former owner has
/// removed since. For the same reason gossip only replaces rows that the latest read
/// contained; a row that was absent may have been deleted after the gossip entry was
/// written. No I/O; not thread safe.
class AssignmentCache
{
public:
  using Assignments = std::map<config::Loadable, Versioned<AssignmentRow>>;
  using Slots = std::map<std::string, Versioned<SlotsRow>>;

  /// Effect of a table read on the cached assignment rows.
  struct ReadChanges
  {
    std::vector<config::Loadable> newer; // rows that are new or have a newer version
    bool deleted = false; // rows were dropped because the table does not contain them
  };

  /// Takes all slots and assignment rows, from reads that were sent no earlier than
  /// `aSentAt`.
  ReadChanges tableRead(const std::vector<platform::Row>& aSlots,
                        const std::vector<platform::Row>& aAssignments,
                        Instant aSentAt);

  /// Takes a row from gossip. Returns true if the row was stored; otherwise it is old, or
  /// the table has to be read first.
  bool gossipReceived(const config::Loadable& aLoadable,
                      std::uint64_t aVersion,
                      const AssignmentRow& aRow,
                      Instant aNow);

  /// Takes an own change that was committed. Returns the version of the assignment row.
  std::uint64_t committed(const AssignmentChange& aChange,
                          const platform::TransactionOutcome& aOutcome,
                          Instant aNow);

  const Assignments& assignments() const { return mAssignments; }
  const Slots& slots() const { return mSlots; }

  /// When the latest successful table read was sent, or nothing.
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
  // For each deleted row, the highest version at which updates are still ignored as
  // outdated.
  std::map<config::Loadable, std::uint64_t> mDeletedVersions;
  std::optional<Instant> mReadSentAt;
};

} // namespace savoryrill::placement
