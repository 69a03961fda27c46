#include "gateway/internal/configreadtask.h"

#include "gateway/types/gatewayevents.h"

namespace savoryrill::gateway {

using serving::ConfigReader;

namespace {

struct Timing
{
  Duration wait;
  Duration pause;
  Duration retryPeriod = Duration::zero();
};

// Pause between two reads that wait for a change.
constexpr Duration kPause = 50ms;
// Maximum wait of a read where nobody tells of newer versions. If its response is lost, a
// change is noticed later by this and by `TableFollower::kHangMargin`. The sum stays
// below the time (3 s) after which a host counts as undisturbed again.
constexpr Duration kAloneWait = 2s;
// The same where the leader reports the version in force, so that only the price of the
// reads counts: a newer version than that of this host shows that the read hangs. Less
// than the minimum time for which a store keeps its history (20 s).
constexpr Duration kToldWait = 15s;
// A version that the leader has in force is in the store, so the response needs no wait.
// The read fails by the timeout of the store client, as all other calls do, and is not
// replaced before: a store that takes 1 s would otherwise never get to respond.
constexpr Duration kBehindWait = 300ms;
constexpr Duration kBehindReadPeriod = 1s;
// Wait of reads that confirm. The shorter it is, the more recent is the confirmation,
// which counts from the start of the read; a read without any wait could not be cancelled
// when it hangs.
constexpr Duration kConfirmingWait = 20ms;
// Time between the starts of two reads that confirm: about twice a second by the leader.
// The confirmations of a follower are then at most about 1 s old, half of the age at
// which it reads the store itself.
constexpr Duration kLeaderReadPeriod = 450ms;
constexpr Duration kOwnReadPeriod = 1s;
// Period of reads of all rows while the newest row cannot be used, since it may have been
// damaged on its way.
constexpr Duration kWholeReadPeriod = 1s;

// Shorter delays are only counted; each change brings one to most hosts.
constexpr Duration kLoggedDelay = 1s;

constexpr const char* kConfirmedSeries = "savoryrill_gateway_config_confirmed";

Timing
timingOf(ConfigReader aReader)
{
  switch (aReader) {
    case ConfigReader::Alone:
      return { kAloneWait, kPause };
    case ConfigReader::Told:
    case ConfigReader::Confirmed:
      return { kToldWait, kPause };
    case ConfigReader::Behind:
      return { kBehindWait, kBehindReadPeriod - kBehindWait, kBehindReadPeriod };
    case ConfigReader::ConfirmsForAll:
      return { kConfirmingWait, kLeaderReadPeriod - kConfirmingWait, kOwnReadPeriod };
    case ConfigReader::ConfirmsItself:
      return { kConfirmingWait, kOwnReadPeriod - kConfirmingWait, kOwnReadPeriod };
  }
  return { kAloneWait, kPause };
}

/// True if a host that begins to read like this must not wait for its next turn.
bool
isUrgent(ConfigReader aReader)
{
  return aReader == ConfigReader::Behind || aReader == ConfigReader::ConfirmsForAll ||
         aReader == ConfigReader::ConfirmsItself;
}

} // namespace

ConfigReadTask::ConfigReadTask(Dependencies aDependencies)
  : mDependencies(aDependencies)
{
  const auto timing = timingOf(mReader);
  mDependencies.follower.setTiming(timing.wait, timing.pause, timing.retryPeriod);
}

void
ConfigReadTask::configApplied(const serving::ServingConfig& aConfig)
{
  mNewestUsable = true;
  mPolicy.setConfirms(aConfig.organisations != nullptr &&
                      mDependencies.confirmation.bounded());
  mPolicy.versionApplied(aConfig.version);
  recordDelay();
  updateReader();
}

void
ConfigReadTask::readHandled(bool aAllRows)
{
  mReadsBehind += mBehindSince ? 1 : 0;
  if (mReader != ConfigReader::Behind) {
    return;
  }
  mPolicy.reportedVersionMissed();
  updateReader();
  if (mReader == ConfigReader::Behind && !aAllRows) {
    // The changes no longer hold a row that was damaged on its way.
    mDependencies.follower.requireAllRows();
  }
}

void
ConfigReadTask::setLeading(bool aLeads)
{
  mPolicy.setLeading(aLeads);
  updateReader();
  if (aLeads && mReader == ConfigReader::Alone) {
    // The others follow the version of this host from now on.
    mDependencies.follower.readNow();
  }
}

void
ConfigReadTask::listTold()
{
  mPolicy.setTold(true);
  updateReader();
}

void
ConfigReadTask::listReadStarted()
{
  mPolicy.setTold(false);
  updateReader();
}

void
ConfigReadTask::versionReported(std::uint64_t aVersion)
{
  mPolicy.versionReported(aVersion);
  recordDelay();
  updateReader();
}

/// Records for how long the version in force was older than that of the leader.
void
ConfigReadTask::recordDelay()
{
  const bool behind = mPolicy.reported() > mPolicy.applied();
  const auto now = mDependencies.loop.now();
  if (behind == mBehindSince.has_value()) {
    return;
  }
  if (behind) {
    mBehindSince = now;
    mReadsBehind = 0;
    return;
  }
  const auto delay = now - *mBehindSince;
  mBehindSince.reset();
  mDependencies.metrics.observe("savoryrill_gateway_config_behind_ms",
                                static_cast<double>(toMs(delay)));
  if (delay >= kLoggedDelay) {
    mDependencies.log.write(kConfigCaughtUp,
                            { { "version", mPolicy.applied() },
                              { "behind_ms", toMs(delay) },
                              { "reads", mReadsBehind } });
  }
}

void
ConfigReadTask::storeRegained(Instant aStarted)
{
  mDependencies.follower.readNowUnlessBegunSince(aStarted);
}

bool
ConfigReadTask::readSucceeded(std::uint64_t aVersion, Instant aStarted)
{
  if (!mPolicy.confirms() || !mNewestUsable) {
    return false;
  }
  mDependencies.confirmation.confirmed(aVersion, aStarted);
  mDependencies.metrics.add("savoryrill_gateway_confirmations_total{source=\"store\"}");
  reportState(mDependencies.loop.now());
  return true;
}

void
ConfigReadTask::confirmedByLeader(std::uint64_t aVersion, Instant aAsOf)
{
  if (!mPolicy.confirms()) {
    return;
  }
  mDependencies.confirmation.confirmedByLeader(aVersion, aAsOf);
  mDependencies.metrics.add("savoryrill_gateway_confirmations_total{source=\"leader\"}");
  updateReader();
  reportState(mDependencies.loop.now());
}

void
ConfigReadTask::updateReader()
{
  const auto reader =
    mPolicy.reader(mDependencies.confirmation.wantsOwnRead(mDependencies.loop.now()));
  if (reader == mReader) {
    return;
  }
  mDependencies.log.write(kConfigReader,
                          { { "reader", nameOf(reader) },
                            { "before", nameOf(mReader) },
                            { "version", mPolicy.applied() },
                            { "reported", mPolicy.reported() },
                            { "wait_ms", toMs(timingOf(reader).wait) } });
  mReader = reader;
  if (reader == ConfigReader::Behind) {
    // The changes hold each version that this host has missed, of which it uses the last.
    mDependencies.follower.requireAllRows();
  }
  const auto timing = timingOf(reader);
  mDependencies.follower.setTiming(timing.wait, timing.pause, timing.retryPeriod);
  if (isUrgent(reader)) {
    mDependencies.follower.readUnlessReading();
  }
}

void
ConfigReadTask::tick()
{
  if (!mPolicy.confirms()) {
    return;
  }
  updateReader();
  const auto now = mDependencies.loop.now();
  reportState(now);
  if (!mNewestUsable && (!mWholeRead || now - *mWholeRead >= kWholeReadPeriod)) {
    mWholeRead = now;
    mDependencies.follower.readAllNow();
  }
}

void
ConfigReadTask::reportState(Instant aNow)
{
  const bool confirmed = mDependencies.confirmation.valid(aNow);
  if (mReported != confirmed) {
    mReported = confirmed;
    mDependencies.metrics.set(kConfirmedSeries, confirmed ? 1 : 0);
  }
}

} // namespace savoryrill::gateway
