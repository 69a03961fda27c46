#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "controller/internal/fleetview.h"
#include "controller/internal/taskcontext.h"
#include "placement/assignmentcache.h"
#include "placement/assignmentplanner.h"

namespace savoryrill::controller {

/// Caches the assignment and slots rows of the table, and plans, commits and publishes
/// changes of the rows that this controller is responsible for. Not thread safe.
class AssignmentTask
{
public:
  explicit AssignmentTask(TaskContext aContext);

  void start();
  void handle(AssignmentMessage&& aMessage);

  /// Input of the planner: configuration, cached rows, upstreams and demand.
  const placement::PlanView& view() const { return mView; }

private:
  void on(ConfigAdopted&& aMessage);
  void on(HeadConfirmed&& aMessage);
  void on(EntryChanged&& aMessage);
  void on(LiveHostsChanged&& aMessage);
  void on(OwnershipChanged&& aMessage);
  void on(PlaceFreed&& aMessage);

  void tick();
  void readRows();
  void rowsRead(const std::vector<platform::Row>& aSlots,
                const std::vector<platform::Row>& aAssignments,
                Instant aSentAt);
  void applyEntry(const peer::Entry& aEntry);
  void planNext();
  std::optional<placement::AssignmentChange> planOne(const config::Loadable& aLoadable);
  void commit(placement::AssignmentChange aChange);
  void committed(const placement::AssignmentChange& aChange,
                 const platform::TransactionOutcome& aOutcome);
  void publish(const config::Loadable& aLoadable,
               std::uint64_t aVersion,
               const placement::AssignmentRow& aRow);
  void sendAssignments();
  bool mayPlan(Instant aNow) const;
  bool isResponsibleFor(const config::Loadable& aLoadable) const;

  TaskContext mContext;
  CallbackGuard mGuard;
  event::Watch mTimer;
  placement::AssignmentPlanner mPlanner;
  placement::PlanView mView;
  ConfigurationPtr mConfiguration;
  FleetView mFleet;
  std::set<std::string> mLiveHosts;
  placement::AssignmentCache mCache;
  Instant mNextRead;
  // From this time on, changes are planned even if the state of some engines is unknown.
  Instant mPlanAfter;
  bool mReading = false;
  bool mPlanning = false;               // a planned change is being committed
  std::set<config::Loadable> mRemoving; // the removal of a place is in flight
  config::Loadable mCursor;             // planned last in round-robin order
};

} // namespace savoryrill::controller
