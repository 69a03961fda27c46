#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/eventlog.h"
#include "base/metrics.h"
#include "base/types/time.h"
#include "event/loop.h"
#include "gateway/internal/tablefollower.h"
#include "serving/configconfirmation.h"
#include "serving/configreadpolicy.h"
#include "serving/types/servingconfig.h"

namespace savoryrill::gateway {

/// Makes this host read the configuration as `serving::ConfigReadPolicy` chooses, and
/// keeps it confirmed where it holds keys of callers: the leader reads it about twice a
/// second for all hosts, others about once a second while no leader confirms it. Load
/// pattern: a configuration that does not change for hours, with a hundred hosts, at a
/// store whose requests are paid for; and outages of the store or of the leader. Not
/// thread safe.
class ConfigReadTask
{
public:
  /// Preconditions: all references outlive the task.
  struct Dependencies
  {
    event::Loop& loop;
    EventLog& log;
    Metrics& metrics;
    TableFollower& follower; // of the configuration
    serving::ConfigConfirmation& confirmation;
  };

  explicit ConfigReadTask(Dependencies aDependencies);

  /// A configuration has come into force at this host.
  void configApplied(const serving::ServingConfig& aConfig);
  /// Whether the newest row of the configuration that was read can be used. While it
  /// cannot, reads do not confirm the older configuration in force.
  void setNewestUsable(bool aUsable) { mNewestUsable = aUsable; }
  /// A read of all rows, or of the changes, has succeeded and its rows have been handled.
  void readHandled(bool aAllRows);

  void setLeading(bool aLeads);
  /// The leader has sent its list of upstreams to this host.
  void listTold();
  /// This host reads the list of upstreams itself, since the leader has not sent it for a
  /// while.
  void listReadStarted();
  /// The leader has `aVersion` in force.
  void versionReported(std::uint64_t aVersion);
  /// The store has answered another read, which began at `aStarted`, after an outage.
  void storeRegained(Instant aStarted);

  /// A read that began at `aStarted` has shown that the known rows are the newest ones.
  /// Returns true if this confirms the configuration in force.
  bool readSucceeded(std::uint64_t aVersion, Instant aStarted);
  /// The leader has read `aVersion` at `aAsOf` or later.
  void confirmedByLeader(std::uint64_t aVersion, Instant aAsOf);

  void tick();

private:
  void updateReader();
  void reportState(Instant aNow);
  void recordDelay();

  Dependencies mDependencies;
  serving::ConfigReadPolicy mPolicy;
  serving::ConfigReader mReader = serving::ConfigReader::Alone;
  bool mNewestUsable = true;
  std::optional<Instant> mWholeRead; // of a row that cannot be used
  std::optional<bool> mReported;
  std::optional<Instant> mBehindSince; // the leader reported a newer version
  std::uint64_t mReadsBehind = 0;      // handled since then
};

} // namespace savoryrill::gateway
