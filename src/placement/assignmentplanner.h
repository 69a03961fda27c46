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
  Assign,  // an upstream joins the row
  Release, // its place is marked releasing
  Remove   // its place leaves the row
};

/// A change of one assignment row, with the transaction that makes it.
struct AssignmentChange
{
  ChangeKind kind = ChangeKind::Assign;
  config::Loadable loadable;
  std::string upstream;
  std::string reason;
  AssignmentRow row; // after the change
  platform::Transaction transaction;
};

/// Chooses the upstreams at which a loadable may be loaded. A row never gains a place
/// that would bring it above `max_replicas`, and at engines that ignore fencing numbers
/// the assigned footprints never exceed the memory. Every transaction checks the row, the
/// `config/head` row and, where needed, the slots row. No I/O; thread safe.
class AssignmentPlanner
{
public:
  /// The next change of the row of `aLoadable`, or of the row of an idle loadable that
  /// has to make room for it; nothing if the row is as it should be.
  std::optional<AssignmentChange> plan(const PlanView& aView,
                                       const config::Loadable& aLoadable) const;

  /// Removes a releasing place. Preconditions: the caller owns the upstream, an inventory
  /// shows that the loadable is gone, and no older order can load it again.
  std::optional<AssignmentChange> planRemoval(const PlanView& aView,
                                              const config::Loadable& aLoadable,
                                              const std::string& aUpstream,
                                              const Ownership& aOwnership) const;

  /// Removes a place at an upstream that the configuration does not have any more.
  std::optional<AssignmentChange> planOrphanRemoval(
    const PlanView& aView,
    const config::Loadable& aLoadable) const;

  /// True if the row allows a load order at `aUpstream` now. While a lowered
  /// `max_replicas` has not been reached yet, it allows none, because the place that
  /// would be loaded may come on top of the ones that are being released.
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
