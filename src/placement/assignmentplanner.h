#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types/enumnames.h"
#include "placement/ownershiptracker.h"
#include "placement/types/fleet.h"
#include "platform/types/table.h"

namespace savoryrill::placement {

enum class ChangeKind
{
  Assign,  // a place is added to the row
  Release, // a place is marked as releasing
  Remove   // a place is removed from the row
};

/// A change of one assignment row, with the transaction that commits it.
struct AssignmentChange
{
  ChangeKind kind = ChangeKind::Assign;
  config::Loadable loadable;
  std::string upstream;
  std::string reason;
  AssignmentRow row; // after the change
  platform::Transaction transaction;
};

/// Chooses the upstreams at which a loadable may be loaded. It never adds a place to a
/// row that has `max_replicas` places already, and at engines that ignore fencing numbers
/// the assigned footprints never exceed the memory. Every transaction checks the versions
/// of the assignment row, the `config/head` row and, where needed, the slots row. No I/O;
/// thread safe.
class AssignmentPlanner
{
public:
  /// The next change of the row of `aLoadable`, or of the row of an idle loadable whose
  /// memory it needs; nothing if no change is needed.
  std::optional<AssignmentChange> plan(const PlanView& aView,
                                       const config::Loadable& aLoadable) const;

  /// Removes a releasing place. Preconditions: this controller owns the upstream, an
  /// inventory shows that the loadable is absent, and no older order can load it again.
  std::optional<AssignmentChange> planRemoval(const PlanView& aView,
                                              const config::Loadable& aLoadable,
                                              const std::string& aUpstream,
                                              const Ownership& aOwnership) const;

  /// Removes a place at an upstream that the configuration no longer contains.
  std::optional<AssignmentChange> planOrphanRemoval(
    const PlanView& aView,
    const config::Loadable& aLoadable) const;

  /// True if the row allows a load order to `aUpstream` now. While the row has more than
  /// `max_replicas` places, after the maximum was lowered, no load is allowed: the new
  /// replica would add to the ones that are still being released.
  static bool mayLoad(const PlanView& aView,
                      const config::Loadable& aLoadable,
                      const std::string& aUpstream);

private:
  struct Candidate;
  std::optional<AssignmentChange> planRelease(const PlanView& aView,
                                              const config::Loadable& aLoadable) const;
  std::optional<AssignmentChange> planAssign(const PlanView& aView,
                                             const config::Loadable& aLoadable) const;
  std::optional<AssignmentChange> planIdleRelease(
    const PlanView& aView,
    const config::Loadable& aLoadable) const;
};

} // namespace savoryrill::placement

namespace savoryrill {

template<>
struct EnumNames<placement::ChangeKind>
{
  static constexpr EnumTable<placement::ChangeKind, 3> kTable{ {
    { placement::ChangeKind::Assign, "assign" },
    { placement::ChangeKind::Release, "release" },
    { placement::ChangeKind::Remove, "remove" },
  } };
};

} // namespace savoryrill
