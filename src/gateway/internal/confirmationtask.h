#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "base/types/time.h"
#include "event/loop.h"
#include "gateway/internal/tablefollower.h"
#include "serving/configconfirmation.h"
#include "serving/types/servingconfig.h"

namespace savoryrill::gateway {

/// Decides when this host reads the configuration so that it stays confirmed: as the
/// leader about twice a second for all hosts, otherwise about once a second while no
/// leader confirms it. Load pattern: a configuration that does not change for hours, with
/// a hundred hosts, at a store whose requests are paid for; and outages of the store or
/// of the leader. Changes nothing unless the configuration names organisations and a
/// bound is set. Not thread safe.
class ConfirmationTask
{
public:
  /// Preconditions: all references outlive the task.
  struct Dependencies
  {
    event::Loop& loop;
    Metrics& metrics;
    TableFollower& follower; // of the configuration
    serving::ConfigConfirmation& confirmation;
  };

  explicit ConfirmationTask(Dependencies aDependencies);

  /// A configuration has come into force at this host.
  void configApplied(const serving::ServingConfig& aConfig);
  /// Whether the newest row of the configuration that was read can be used. While it
  /// cannot, reads do not confirm the older configuration in force.
  void setNewestUsable(bool aUsable) { mNewestUsable = aUsable; }
  void setLeading(bool aLeads);

  /// True if confirmations are needed; the task then controls the reads.
  bool active() const { return mActive; }

  /// A read that began at `aStarted` has shown that the known rows are the newest ones.
  /// Returns true if this confirms the configuration in force.
  bool readSucceeded(std::uint64_t aVersion, Instant aStarted);
  /// The leader has read `aVersion` at `aAsOf` or later.
  void confirmedByLeader(std::uint64_t aVersion, Instant aAsOf);

  void tick();

private:
  enum class Reader
  {
    Unneeded, // no confirmations
    Leader,   // this host, for all hosts
    OwnHost,  // this host, for itself
    OtherHost // the leader, for this host
  };

  Reader chooseReader(Instant aNow) const;
  void updateReader();
  void reportState(Instant aNow);

  Dependencies mDependencies;
  bool mActive = false;
  bool mLeading = false;
  bool mNewestUsable = true;
  Reader mReader = Reader::Unneeded;
  std::optional<Instant> mWholeRead; // of a row that cannot be used
  std::optional<bool> mReported;
};

} // namespace savoryrill::gateway
